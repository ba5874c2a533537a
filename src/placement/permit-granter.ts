/**
 * Grants permits for cold workers, at one node of the fleet. Its right to do so is the coordinator's fencing token.
 * One that has just got it waits until no permit of the granter before it can still let a request go.
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
import { GRANT_SPREAD, PermitBucket, permitPace } from './permit-bucket.js';
import type { WorkerWarmth } from './worker-warmth.js';

/** Age of the last grant beyond which all its permits are long used or void, and the bucket is full. */
const BUCKET_LIFETIME: Milliseconds = MINUTE;

/** Options of {@link PermitGranter}. */
export interface PermitGranterOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly warmth: WorkerWarmth;
  readonly tolerance: ColdTolerance;
  /** The fencing token while this node coordinates. */
  readonly fencingToken: () => Revision | undefined;
  /** Longest time after its loss for which a coordinator may take its token for valid. */
  readonly tokenValidity: Milliseconds;
  readonly workerOf: (id: string) => WorkerRecord | undefined;
  /** What workers of a service bear while cold; `undefined` where they are never cold. */
  readonly coldStartOf: (service: ServiceName) => ColdStart | undefined;
  /** Has a doubtful worker that somebody would send work to asked whether it is cold. */
  readonly probe: (worker: WorkerRecord) => void;
}

/** Whether this node grants permits: not at all, not yet, or now. */
export type GranterState = 'none' | 'waiting' | 'open';

/** Decides how many requests each gateway may send to a cold worker. */
export class PermitGranter {
  private token: Revision | undefined;
  private opensAt: Milliseconds = Number.POSITIVE_INFINITY;
  private readonly buckets = new Map<WorkerIncarnation, PermitBucket>();

  constructor(private readonly options: PermitGranterOptions) {}

  /** Follows the right to grant; called regularly, so that the wait begins with it. */
  observe(): GranterState {
    const { clock, fencingToken, tokenValidity } = this.options;
    const token = fencingToken();
    if (token === undefined) return 'none';
    const now = clock.now();
    if (token !== this.token) {
      this.token = token;
      this.opensAt = now + tokenValidity + GRANT_SPREAD + SECOND;
      this.buckets.clear();
    }
    return now < this.opensAt ? 'waiting' : 'open';
  }

  /** Answers a gateway's wishes; while it waits, it tells how warm workers are and grants nothing. */
  answer(wishes: readonly PermitRequest[]): PermitAnswer {
    const state = this.observe();
    if (state === 'none') return NOT_GRANTER;
    const grants = wishes.map((wish) => this.grant(wish, state === 'open'));
    return { term: this.token, grants: grants.filter((grant) => grant !== undefined) };
  }

  /** Forgets the permits for lives of workers that are over. */
  prune(): void {
    const { clock } = this.options;
    for (const [life, bucket] of this.buckets) {
      if (clock.now() - bucket.lastTakenAt > BUCKET_LIFETIME) this.buckets.delete(life);
    }
  }

  private grant(wish: PermitRequest, mayGrant: boolean): PermitGrant | undefined {
    const { clock, warmth, tolerance, workerOf, coldStartOf, probe: look } = this.options;
    const record = workerOf(wish.worker);
    if (record === undefined || workerIncarnationOf(record) !== wish.life) return undefined;
    const coldStart = coldStartOf(record.service);
    if (coldStart === undefined) return undefined;
    if (wish.doubtAge !== undefined) warmth.markUnconfirmed(record, wish.doubtAge);
    const state = warmth.of(record, coldStart);
    if (state.kind === 'doubtful' && wish.permits > 0) look(record);
    const { worker, life } = wish;
    const mayHave = mayGrant && state.kind !== 'warm';
    const pace = permitPace(coldStart, tolerance);
    const permits = mayHave ? this.bucketOf(life).take(wish.permits, pace, clock.now()) : 0;
    return { worker, life, warmth: state, permits };
  }

  private bucketOf(life: WorkerIncarnation): PermitBucket {
    const known = this.buckets.get(life);
    if (known !== undefined) return known;
    const bucket = new PermitBucket();
    this.buckets.set(life, bucket);
    return bucket;
  }
}
