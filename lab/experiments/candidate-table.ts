/**
 * The workers of one model as routing sees them: counts of the home, and the engines' own reports,
 * which lag.
 */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { WorkerRecord } from '../../src/platform/worker.js';
import type { RoutingPolicy } from '../../src/routing/routing-policy.js';
import type { WorkerState } from '../../src/routing/worker-candidate.js';
import type { EventQueue } from '../simulation/event-queue.js';
import type { EngineHost } from './engine-host.js';

const POLL_INTERVAL: Milliseconds = 1_000;

/** Time without a report after which a worker is taken out of service. */
const REPORT_EXPIRY: Milliseconds = 2_500;

/** A routing candidate whose fields change. */
export interface TableCandidate {
  readonly record: WorkerRecord;
  readonly home: { readonly node: string; readonly incarnation: number };
  readonly host: EngineHost;
  readonly slots: number;
  state: WorkerState;
  outstanding: number;
  interactiveOutstanding: number;
  queueFree: number;
  sentSinceUpdate: number;
  reportedLoad: number;
  activeVersion: WeightVersion | undefined;
  loadedVersions: readonly WeightVersion[];
  returnedAt: Milliseconds;
  reportedAt: Milliseconds;
}

/** Workers of one model, kept up to date by polls. */
export class CandidateTable {
  readonly candidates: readonly TableCandidate[];
  private readonly eligible: Int32Array;
  private readonly eligibleFlags: Uint8Array;

  constructor(
    hosts: readonly EngineHost[],
    private readonly policy: RoutingPolicy,
    private readonly queue: EventQueue,
  ) {
    this.candidates = hosts.map(newCandidate);
    this.eligible = new Int32Array(hosts.length);
    this.eligibleFlags = new Uint8Array(hosts.length);
    this.poll();
  }

  /** Chooses among the candidates in service that pass the test. */
  choose(
    request: GenerationRequest,
    test: (candidate: TableCandidate) => boolean,
  ): TableCandidate | undefined {
    let eligibleCount = 0;
    for (const [index, candidate] of this.candidates.entries()) {
      const passes = candidate.state === 'in-service' && test(candidate);
      this.eligibleFlags[index] = passes ? 1 : 0;
      if (!passes) continue;
      this.eligible[eligibleCount] = index;
      eligibleCount += 1;
    }
    if (eligibleCount === 0) return undefined;
    const { candidates, eligible, eligibleFlags } = this;
    const now = this.queue.now;
    const choice = { request, candidates, eligible, eligibleCount, eligibleFlags, now };
    const picked = this.policy.pick(choice)?.candidate;
    return this.candidates.find((candidate) => candidate === picked);
  }

  /** Takes a worker out of service until its next report. */
  suspect(candidate: TableCandidate): void {
    candidate.state = 'unreachable';
    candidate.reportedAt = Number.NEGATIVE_INFINITY;
  }

  private poll(): void {
    for (const candidate of this.candidates) this.pollOne(candidate);
    this.queue.after(POLL_INTERVAL, () => this.poll());
  }

  private pollOne(candidate: TableCandidate): void {
    const { now } = this.queue;
    const report = candidate.host.report();
    if (report === undefined) {
      if (now - candidate.reportedAt > REPORT_EXPIRY) candidate.state = 'unreachable';
      return;
    }
    if (candidate.state === 'unreachable') candidate.returnedAt = now;
    candidate.state = 'in-service';
    candidate.reportedAt = now;
    candidate.activeVersion = report.activeVersion;
    candidate.loadedVersions = report.loadedVersions;
    candidate.reportedLoad = report.running + report.waiting;
  }
}

function newCandidate(host: EngineHost): TableCandidate {
  return {
    record: host.record,
    home: { node: `${host.record.zone}-1`, incarnation: 1 },
    host,
    slots: host.record.slots,
    state: 'connecting',
    outstanding: 0,
    interactiveOutstanding: 0,
    queueFree: host.record.slots,
    sentSinceUpdate: 0,
    reportedLoad: 0,
    activeVersion: undefined,
    loadedVersions: [],
    returnedAt: Number.NEGATIVE_INFINITY,
    reportedAt: Number.NEGATIVE_INFINITY,
  };
}
