/**
 * Tells the fleet which requests were at workers that ended. Callers come again at any node, so each
 * has to know within the bound for changes, also one that restarts or joins later.
 *
 * Reports go both ways: straight to all live nodes, which takes a round trip and needs no store; and
 * into a record of the shared store, which all nodes follow, and which nodes read that were not
 * live, did not answer, or were all killed. Each way alone has a hole: nodes that are told directly
 * forget with their process, and the store may be away, or a watch of it silent, for seconds.
 */
import { firstValueFrom, Subject } from 'rxjs';
import * as z from 'zod';
import type { NodeId } from '../core/identity.js';
import { openRecord } from '../core/open-record.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { EVIDENCE_LIFETIME } from '../serving/crash-evidence.js';
import type { RequestFingerprint } from '../serving/request-fingerprint.js';
import type { CrashReport } from '../serving/request-quarantine.js';
import type { SharedStore, StoreChange, StoreCommit } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';

/** Records of workers that ended, under the prefix of the fleet. */
const CRASH_PREFIX = 'fleet/worker-end/';

/** Times that a node which does not answer is told: the first may hang on a connection gone silent. */
const TELL_ATTEMPTS = 3;

/**
 * Pause before a commit that failed is tried again; doubled up to the longest. The end of an outage
 * is noticed by the lease's renewal, and ends a pause at once.
 */
const RETRY_PAUSE: Milliseconds = 250;
const LONGEST_RETRY_PAUSE: Milliseconds = 2_000;

/** Time that a node which stops spends on reports that the store has not taken. */
const FINISH_LIMIT: Milliseconds = 1_000;

/** Keys that one commit of the store may write. */
const MOST_KEYS_TOGETHER = 32;

const CRASH_RECORD = openRecord({
  /** Fingerprints. */
  requests: z.array(z.string()),
  /** Time of day. */
  at: z.number(),
});

/** What one node says was at a worker when it ended. */
type CrashRecord = z.infer<typeof CRASH_RECORD>;

interface StoredRecord extends CrashRecord {
  readonly revision: Revision;
}

/** Options of {@link CrashReports}. */
export interface CrashReportsOptions {
  readonly store: SharedStore;
  readonly self: NodeId;
  readonly liveNodes: () => readonly NodeId[];
  /** Tells one node directly; resolves with whether it knows now. */
  readonly notifyNode: (node: NodeId, report: CrashReport) => Promise<boolean>;
  /** Another node's report, and the steady time of what it tells. */
  readonly onReport: (report: CrashReport, at: Milliseconds) => void;
  /** What was taken back of a report. */
  readonly onWithdrawal: (report: CrashReport) => void;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** Passes reports on and takes them in. */
export class CrashReports {
  /** What lies in the store, by key. */
  private readonly stored = new Map<string, StoredRecord>();
  /** Own records that the store has not confirmed, by key. */
  private readonly unsaved = new Map<string, CrashRecord>();
  /** Answered requests that records may still name. */
  private readonly acquitted = new Set<RequestFingerprint>();
  private saving: Promise<void> | undefined;
  /** Fires when a commit that failed is to be tried again now. */
  private readonly retries = new Subject<void>();
  private isStopped = false;

  constructor(private readonly options: CrashReportsOptions) {}

  /** Writes what is left, as far as the store takes it soon, and nothing more. */
  async flush(): Promise<void> {
    this.retryNow();
    await Promise.race([this.saving, this.options.clock.sleep(FINISH_LIMIT)]);
    this.isStopped = true;
    this.retryNow();
  }

  /** Tells all nodes. */
  report(report: CrashReport): void {
    const { self, liveNodes, clock } = this.options;
    for (const node of liveNodes()) if (node !== self) void this.tell(node, report);
    const key = `${CRASH_PREFIX}${report.worker}/${self}`;
    const before = this.unsaved.get(key)?.requests ?? this.stored.get(key)?.requests ?? [];
    const requests = [...new Set([...before, ...report.requests])];
    this.unsaved.set(key, { requests, at: clock.wallTime() });
    this.save();
  }

  /** Tells a node that has just joined what the store does not hold yet: no list can show it. */
  sendUnsavedTo(node: NodeId): void {
    if (node === this.options.self) return;
    for (const [key, { requests }] of this.unsaved) {
      void this.tell(node, { worker: workerOf(key), requests });
    }
  }

  /** The store answers again: what waits is written now. */
  retryNow(): void {
    this.retries.next();
  }

  /** A worker answered a request: records must not speak against it at other nodes. */
  withdraw(request: RequestFingerprint): void {
    this.acquitted.add(request);
    this.save();
  }

  /** Takes in a change under the prefix of the fleet. */
  applyChange({ key, value, revision }: StoreChange): void {
    if (!key.startsWith(CRASH_PREFIX)) return;
    const before = this.stored.get(key);
    if (before !== undefined && revision < before.revision) return;
    const record = value === undefined ? undefined : parseRecord(value);
    if (value !== undefined && record === undefined) {
      this.options.log.state('record-unreadable', { key });
    }
    if (record === undefined) this.stored.delete(key);
    else this.stored.set(key, { ...record, revision });
    const worker = workerOf(key);
    const named = new Set(record?.requests ?? []);
    const gone = before?.requests.filter((request) => !named.has(request)) ?? [];
    if (gone.length > 0) this.options.onWithdrawal({ worker, requests: gone });
    if (record === undefined) return;
    const { clock, onReport: taken } = this.options;
    const age = Math.max(0, clock.wallTime() - record.at);
    if (age < EVIDENCE_LIFETIME) taken({ worker, requests: record.requests }, clock.now() - age);
  }

  /** Removes records that no longer speak against anything; the work of one node at a time. */
  async removeExpired(): Promise<void> {
    const { store, clock } = this.options;
    const oldest = clock.wallTime() - EVIDENCE_LIFETIME;
    const expired = [...this.stored].filter(([, { at }]) => at < oldest).map(([key]) => key);
    if (expired.length === 0) return;
    await store.commit({ expected: [], remove: expired.slice(0, MOST_KEYS_TOGETHER) });
  }

  private async tell(node: NodeId, report: CrashReport): Promise<void> {
    const { notifyNode: tell, metrics } = this.options;
    let isTold = false;
    for (let attempt = 0; attempt < TELL_ATTEMPTS && !isTold; attempt += 1) {
      isTold = await tell(node, report);
    }
    metrics.count('crash_reports', { way: 'peer', outcome: isTold ? 'told' : 'silent' });
  }

  private save(): void {
    this.saving ??= this.saveAll();
  }

  /** Commits until nothing is left to write. */
  private async saveAll(): Promise<void> {
    // `save` has to know the promise before the loop can end, or the next call would begin none.
    await Promise.resolve();
    let pause = RETRY_PAUSE;
    for (let next = this.nextCommit(); next !== undefined; next = this.nextCommit()) {
      const isDone = await this.commit(next);
      if (isDone) pause = RETRY_PAUSE;
      else {
        await Promise.race([
          this.options.clock.sleep(pause),
          firstValueFrom(this.retries, { defaultValue: undefined }),
        ]);
        pause = Math.min(2 * pause, LONGEST_RETRY_PAUSE);
      }
    }
    this.saving = undefined;
  }

  /** What is to be written next: own reports first, then records without what was acquitted. */
  private nextCommit(): StoreCommit | undefined {
    if (this.isStopped) return undefined;
    const unsaved = [...this.unsaved].slice(0, MOST_KEYS_TOGETHER);
    if (unsaved.length > 0) {
      return {
        expected: [],
        put: unsaved.map(([key, record]) => ({ key, value: JSON.stringify(record) })),
      };
    }
    const named = [...this.stored].filter(([, record]) => this.namesAcquitted(record));
    if (named.length === 0) {
      this.acquitted.clear();
      return undefined;
    }
    return this.withoutAcquitted(named.slice(0, MOST_KEYS_TOGETHER));
  }

  private namesAcquitted({ requests }: CrashRecord): boolean {
    return this.acquitted.size > 0 && requests.some((request) => this.acquitted.has(request));
  }

  private withoutAcquitted(records: readonly (readonly [string, StoredRecord])[]): StoreCommit {
    const put: { key: string; value: string }[] = [];
    const remove: string[] = [];
    for (const [key, { revision: _, ...record }] of records) {
      const requests = record.requests.filter((request) => !this.acquitted.has(request));
      if (requests.length === 0) remove.push(key);
      else put.push({ key, value: JSON.stringify({ ...record, requests }) });
    }
    const expected = records.map(([key, { revision }]) => ({ key, revision }));
    return { expected, put, remove };
  }

  /** Whether there is no need to wait before the next commit. */
  private async commit(commit: StoreCommit): Promise<boolean> {
    const { store, metrics } = this.options;
    const sent = new Map(this.unsaved);
    const outcome = await store.commit(commit);
    metrics.count('crash_reports', { way: 'store', outcome: outcome.kind });
    if (outcome.kind !== 'committed') return false;
    for (const { key, value } of commit.put ?? []) {
      if (this.unsaved.get(key) === sent.get(key)) this.unsaved.delete(key);
      this.applyChange({ key, value, revision: outcome.revision });
    }
    for (const key of commit.remove ?? []) {
      this.applyChange({ key, value: undefined, revision: outcome.revision });
    }
    return true;
  }
}

/** The worker that a record is about; names of nodes hold no slash. */
function workerOf(key: string): string {
  return key.slice(CRASH_PREFIX.length, key.lastIndexOf('/'));
}

function parseRecord(text: string): CrashRecord | undefined {
  try {
    return CRASH_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
