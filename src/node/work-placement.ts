/**
 * Where work may run from this node's point of view: picks a worker for a request, and decides as
 * a home whether a dispatch may run on one of its workers.
 */
import type { PermissionAnswer } from '../access/permission.js';
import { newestVersion } from '../config-feed/configuration.js';
import type { GenerationRequest } from '../core/generation.js';
import type { WorkerId, ZoneName } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerChoice } from '../dispatch/generation-runner.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { WorkerRecord } from '../platform/worker.js';
import type { Router } from '../routing/router.js';
import type { WorkerDirectory } from '../routing/worker-directory.js';

/** Answers whether an intent still allows a generation here. */
export type GenerationPermission = (request: GenerationRequest) => PermissionAnswer;

/** Picks workers, and guards those this node is home of. */
export class WorkPlacement {
  constructor(
    private readonly node: NodePorts,
    private readonly directory: WorkerDirectory,
    private readonly router: Router,
    private readonly allZones: readonly ZoneName[],
    private readonly permission: GenerationPermission,
  ) {}

  /** Picks a worker for a request, or refuses it as not run. */
  choose(
    request: GenerationRequest,
    allowedZones: readonly ZoneName[],
    exclude: ReadonlySet<WorkerId>,
    now: Milliseconds,
  ): WorkerChoice {
    const zones = this.node.mechanisms['residency-routing'] ? allowedZones : this.allZones;
    const configuration = this.node.configuration();
    const decision = this.router.choose(request, {
      zones,
      candidates: this.directory.candidates(request.model, zones),
      newestVersion: newestVersion(configuration, request.model),
      maximumVersion: configuration.intents.get(request.intent)?.maximumVersion ?? null,
      exclude,
      now,
    });
    if (decision.kind === 'refused') return decision;
    const { record, home } = decision.candidate;
    this.directory.recordDispatch(record.worker, now);
    return { kind: 'worker', worker: record.worker, home };
  }

  /** The record of a worker that takes the request now, or why it does not. */
  acceptable(
    worker: WorkerId,
    request: GenerationRequest,
  ): { readonly worker: WorkerRecord } | { readonly failure: Failure } {
    const refusal = this.refusalOfNode() ?? this.refusalOfRequest(request);
    if (refusal !== null) return { failure: refusal };
    const record = this.directory.worker(worker);
    if (record === undefined || record.zone !== this.node.self.zone) {
      return { failure: failure('no_worker', 'the worker is not known here', { ran: 'no' }) };
    }
    return this.refusalOfWorker(record, request) ?? { worker: record };
  }

  /** Why a generation that runs here must be withdrawn; `null` where it may go on. */
  withdrawal(request: GenerationRequest): Failure | null {
    return this.refusalOfRequest(request);
  }

  /**
   * Why a training generation should go on on another worker: its own is leaving, and others are
   * known; `null` where it stays.
   */
  moveAway(request: GenerationRequest, worker: WorkerId): Failure | null {
    if (request.trafficClass !== 'training' || !request.repeatable) return null;
    if (!this.node.mechanisms['drain-refusal'] || !this.directory.isLeaving(worker)) return null;
    const answer = this.permission(request);
    const zones = answer.kind === 'refused' ? [] : answer.permission.zones;
    const others = this.directory.candidates(request.model, zones);
    if (!others.some(({ record }) => record.worker !== worker)) return null;
    return failure('no_worker', `${worker} is leaving`, { ran: 'no' });
  }

  private refusalOfNode(): Failure | null {
    if (this.node.isStopping()) return failure('stopping', 'the home node is stopping');
    if (this.node.isConfirmed()) return null;
    return failure('no_worker', 'the home node may have been declared dead', { ran: 'no' });
  }

  private refusalOfRequest(request: GenerationRequest): Failure | null {
    const answer = this.permission(request);
    if (answer.kind === 'refused') return { ...answer.failure, ran: 'no' };
    if (!this.node.mechanisms['residency-routing']) return null;
    if (answer.permission.zones.includes(this.node.self.zone)) return null;
    return failure('zone_not_allowed', 'the intent does not name the zone of the worker');
  }

  private refusalOfWorker(
    record: WorkerRecord,
    request: GenerationRequest,
  ): { readonly failure: Failure } | null {
    const guarded = this.node.mechanisms['drain-refusal'];
    if (guarded && this.directory.isLeaving(record.worker)) {
      return { failure: failure('no_worker', `${record.worker} is leaving`, { ran: 'no' }) };
    }
    if (!this.node.mechanisms['staleness-check-at-dispatch']) return null;
    const active = this.directory.report(record.worker)?.activeVersion;
    if (active === undefined) return null;
    if (active >= request.oldestVersion) return null;
    const detail = `${record.worker} serves version ${active}, older than allowed`;
    return { failure: failure('version_unknown', detail, { ran: 'no' }) };
  }
}
