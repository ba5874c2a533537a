/**
 * Grants permits for cold workers on the node that holds the coordinator's fencing token. A new
 * granter waits until every permit of its predecessor has been used or has expired.
 */
import { MINUTE, type Milliseconds, type Revision, SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { ColdStart, ServiceName, WorkerRecord } from '../serving/traffic-configuration.js';
import { type WorkerIncarnation, workerIncarnationOf } from '../serving/worker-incarnation.js';
import {
  NOT_GRANTER,
  type PermitAnswer,
  type PermitGrant,
  type PermitRequest,
} from './cold-permits.js';
import type { ColdTolerance } from './cold-tolerance.js';
import { MAX_GRANT_TO_SEND_DELAY, PermitBucket, permitLimits } from './permit-bucket.js';
import type { WorkerWarmth } from './worker-warmth.js';

/** Idle time after which a bucket is removed: its permits have expired and it is full again. */
const BUCKET_LIFETIME: Milliseconds = MINUTE;

export interface PermitGranterOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly warmth: WorkerWarmth;
  readonly tolerance: ColdTolerance;
  /** The fencing token while this node is the coordinator. */
  readonly fencingToken: () => Revision | undefined;
  /** Longest time for which a coordinator may still treat a lost token as valid. */
  readonly tokenValidity: Milliseconds;
  readonly workerOf: (id: string) => WorkerRecord | undefined;
  /** Limits for the cold workers of a service; `undefined` where its workers are never cold. */
  readonly coldStartOf: (service: ServiceName) => ColdStart | undefined;
  /** Requests a probe of an unconfirmed worker for which permits were requested. */
  readonly probe: (worker: WorkerRecord) => void;
}

/**
 * `none`: not the coordinator; `waiting`: until the permits of the previous granter have expired;
 * `open`: grants permits.
 */
export type GranterState = 'none' | 'waiting' | 'open';

export class PermitGranter {
  private token: Revision | undefined;
  private grantsFrom: Milliseconds = Number.POSITIVE_INFINITY;
  private readonly buckets = new Map<WorkerIncarnation, PermitBucket>();

  constructor(private readonly options: PermitGranterOptions) {}

  /** Reads the fencing token. Periodic calls start the wait soon after a token is acquired. */
  refreshState(): GranterState {
    const { clock, fencingToken, tokenValidity } = this.options;
    const token = fencingToken();
    if (token === undefined) return 'none';
    const now = clock.now();
    if (token !== this.token) {
      this.token = token;
      this.grantsFrom = now + tokenValidity + MAX_GRANT_TO_SEND_DELAY + SECOND;
      this.buckets.clear();
    }
    return now < this.grantsFrom ? 'waiting' : 'open';
  }

  /**
   * Answers a gateway's requests; while waiting, the answer has the workers' warmth and no permits.
   */
  answer(requests: readonly PermitRequest[]): PermitAnswer {
    const state = this.refreshState();
    if (state === 'none') return NOT_GRANTER;
    const grants = requests.map((request) => this.grant(request, state === 'open'));
    return { term: this.token, grants: grants.filter((grant) => grant !== undefined) };
  }

  /** Removes idle buckets, such as those of terminated incarnations. */
  prune(): void {
    const { clock } = this.options;
    for (const [incarnation, bucket] of this.buckets) {
      if (clock.now() - bucket.lastTakenAt > BUCKET_LIFETIME) this.buckets.delete(incarnation);
    }
  }

  private grant(request: PermitRequest, mayGrant: boolean): PermitGrant | undefined {
    const { clock, warmth, tolerance, workerOf, coldStartOf, probe } = this.options;
    const record = workerOf(request.worker);
    if (record === undefined || workerIncarnationOf(record) !== request.life) return undefined;
    const coldStart = coldStartOf(record.service);
    if (coldStart === undefined) return undefined;
    if (request.doubtAge !== undefined) warmth.markUnconfirmed(record, request.doubtAge);
    const state = warmth.of(record, coldStart);
    if (state.kind === 'doubtful' && request.permits > 0) probe(record);
    const { worker, life } = request;
    const canGrant = mayGrant && state.kind !== 'warm';
    const limits = permitLimits(coldStart, tolerance);
    const permits = canGrant ? this.bucketOf(life).take(request.permits, limits, clock.now()) : 0;
    return { worker, life, warmth: state, permits };
  }

  private bucketOf(incarnation: WorkerIncarnation): PermitBucket {
    const existing = this.buckets.get(incarnation);
    if (existing !== undefined) return existing;
    const bucket = new PermitBucket();
    this.buckets.set(incarnation, bucket);
    return bucket;
  }
}
