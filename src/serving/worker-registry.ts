/**
 * The workers known to a node: their records, this node's requests in flight, their reported load,
 * and the outcomes of recent requests.
 */
import type { ModelName, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import { requestDistanceCost } from '../placement/distance-costs.js';
import { SendRules } from '../placement/send-rules.js';
import { type DistanceBetween, distanceInOneRegion } from '../placement/zone-topology.js';
import type { ReportedLoad } from './engine-port.js';
import type { ServiceName, WorkerRecord } from './traffic-configuration.js';
import { isLaterIncarnation } from './worker-incarnation.js';

/** Outcome of one request at a worker, used to rank the worker for later ones. */
export type WorkerOutcome = 'success' | 'failure' | 'full' | 'stalled';

/** Penalty after a failure, doubled with each consecutive one up to the maximum. */
const FAILURE_PENALTY: Milliseconds = 400;
const MAX_FAILURE_PENALTY: Milliseconds = 3_200;

/**
 * Penalty after a rejection as full, doubled with each consecutive one up to the maximum. A worker
 * that loads weights rejects everything for most of a second while its load looks low.
 */
const FULL_PENALTY: Milliseconds = 100;
const MAX_FULL_PENALTY: Milliseconds = 800;

/**
 * Longest time for which a penalty excludes a worker from batch items; for the rest of it the worker
 * is their last choice. Items are owed, and all workers may be penalized at once.
 */
const MAX_EXCLUSION: Milliseconds = 1_000;

/** Penalty after a stream stalled. */
const STALL_PENALTY: Milliseconds = 600;

/** Age at which a reported load expires. */
const LOAD_LIFETIME: Milliseconds = 2_000;

/** Weight of a new sample in the mean event interval; there may be hundreds of samples a second. */
const EVENT_INTERVAL_SMOOTHING = 0.03;

/**
 * Limit of a sample as a multiple of the mean, since a single pause does not mean a slow worker.
 */
const MAX_EVENT_INTERVAL_RATIO = 2;

export class KnownWorker {
  /** This node's requests in flight. */
  inFlight = 0;
  /** Moving mean of the time between two stream events; `undefined` before the first sample. */
  eventInterval: Milliseconds | undefined;
  private hasAnswered = false;
  private penalizedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private penalizedUntil: Milliseconds = 0;
  private consecutiveFailures = 0;
  private consecutiveRejections = 0;
  private readonly reportedVersions = new Map<ModelName, WeightVersion>();
  /** Models whose weights the worker is loading, with the expiry of that information. */
  private readonly loadingUntil = new Map<ModelName, Milliseconds>();
  private load: ReportedLoad | undefined;
  private loadAt: Milliseconds = 0;

  constructor(public record: WorkerRecord) {}

  /** Whether the latest request got an answer; false before the first. */
  get isResponsive(): boolean {
    return this.hasAnswered;
  }

  /** Records that an answer has begun. */
  noteAnswered(): void {
    this.hasAnswered = true;
  }

  /** Records the outcome of a request. */
  noteOutcome(outcome: WorkerOutcome, now: Milliseconds): void {
    this.hasAnswered = outcome === 'success' || outcome === 'full';
    if (outcome === 'success') {
      this.consecutiveFailures = 0;
      this.consecutiveRejections = 0;
      this.penalizedUntil = 0;
      return;
    }
    if (outcome === 'full') {
      this.noteRejection(now);
      return;
    }
    if (outcome === 'stalled') {
      this.penalize(now, Math.max(this.penalizedUntil - now, STALL_PENALTY));
      return;
    }
    const penalty = Math.min(FAILURE_PENALTY * 2 ** this.consecutiveFailures, MAX_FAILURE_PENALTY);
    this.consecutiveFailures += 1;
    this.penalize(now, penalty);
  }

  /** Rejections of requests sent together count once. */
  private noteRejection(now: Milliseconds): void {
    if (this.isPenalized(now)) return;
    const penalty = Math.min(FULL_PENALTY * 2 ** this.consecutiveRejections, MAX_FULL_PENALTY);
    this.consecutiveRejections += 1;
    this.penalize(now, penalty);
  }

  private penalize(now: Milliseconds, penalty: Milliseconds): void {
    this.penalizedAt = now;
    this.penalizedUntil = now + penalty;
  }

  /** Records the load that the worker reported, if any. */
  noteLoad(load: ReportedLoad | undefined, now: Milliseconds): void {
    if (load === undefined) return;
    this.load = load;
    this.loadAt = now;
  }

  /** Records the time between two events of a stream. */
  noteEventInterval(sample: Milliseconds): void {
    if (this.eventInterval === undefined) {
      this.eventInterval = sample;
      return;
    }
    const bounded = Math.min(sample, MAX_EVENT_INTERVAL_RATIO * this.eventInterval);
    this.eventInterval += EVENT_INTERVAL_SMOOTHING * (bounded - this.eventInterval);
  }

  /** Whether recent failures, rejections or stalls make the worker a last choice. */
  isPenalized(now: Milliseconds): boolean {
    return now < this.penalizedUntil;
  }

  /** Whether a penalty excludes the worker from batch items. */
  isExcluded(now: Milliseconds): boolean {
    return this.isPenalized(now) && now - this.penalizedAt < MAX_EXCLUSION;
  }

  /** Whether the worker may be sent one more batch item of this node. */
  hasFreeSlot(now: Milliseconds): boolean {
    if (this.record.draining || this.isExcluded(now)) return false;
    return this.inFlight < this.record.slots;
  }

  /** Requests at the worker, by the reported load or this node's own, whichever is higher. */
  occupancy(now: Milliseconds): number {
    if (this.load === undefined || now - this.loadAt > LOAD_LIFETIME) return this.inFlight;
    return Math.max(this.inFlight, this.load.running + this.load.waiting);
  }

  /** Records that the worker is loading weights of a model and rejects new requests for it. */
  noteLoading(model: ModelName, until: Milliseconds): void {
    this.loadingUntil.set(model, until);
  }

  /** Whether the worker is changing the weights of a model, and so gets no batch items for it. */
  isLoading(model: ModelName, now: Milliseconds): boolean {
    return now < (this.loadingUntil.get(model) ?? 0);
  }

  /** Loaded version of a model; 0 where it is not loaded. */
  versionOf(model: ModelName): WeightVersion {
    const registered = this.record.models.find((held) => held.name === model)?.version ?? 0;
    return Math.max(registered, this.reportedVersions.get(model) ?? 0);
  }

  /** Records a version that the worker reported itself; its record may lag behind. */
  noteVersion(model: ModelName, version: WeightVersion): void {
    this.loadingUntil.delete(model);
    if (version > this.versionOf(model)) this.reportedVersions.set(model, version);
  }
}

/**
 * Effect of a record on the registry.
 * - `added`: a new worker, or a known incarnation now in another service
 * - `updated`: the same incarnation and service
 * - `restarted`: a later incarnation
 * - `outdated`: an earlier incarnation; the record is ignored
 */
export type WorkerChange = 'added' | 'updated' | 'restarted' | 'outdated';

export class WorkerRegistry {
  private readonly workers = new Map<string, KnownWorker>();
  private readonly services = new Map<ServiceName, Set<KnownWorker>>();

  /** Without `rules` every worker may be sent work. */
  constructor(
    readonly rules: SendRules = new SendRules(),
    private readonly distanceBetween: DistanceBetween = distanceInOneRegion,
  ) {}

  /**
   * Adds a worker or replaces its record. A later incarnation starts as a new worker, without the
   * versions, event interval, load and penalties of the earlier one; a delayed record of an earlier
   * incarnation is ignored.
   */
  put(record: WorkerRecord): WorkerChange {
    const existing = this.workers.get(record.id);
    if (existing !== undefined && isLaterIncarnation(existing.record, record)) return 'outdated';
    const isSameIncarnation =
      existing !== undefined && !isLaterIncarnation(record, existing.record);
    if (isSameIncarnation && existing.record.service === record.service) {
      existing.record = record;
      return 'updated';
    }
    this.remove(record.id);
    this.add(new KnownWorker(record));
    return existing === undefined || isSameIncarnation ? 'added' : 'restarted';
  }

  private add(worker: KnownWorker): void {
    const { id, service } = worker.record;
    this.workers.set(id, worker);
    const others = this.services.get(service);
    if (others === undefined) this.services.set(service, new Set([worker]));
    else others.add(worker);
  }

  remove(id: string): void {
    const worker = this.workers.get(id);
    if (worker === undefined) return;
    this.workers.delete(id);
    this.services.get(worker.record.service)?.delete(worker);
  }

  get(id: string): KnownWorker | undefined {
    return this.workers.get(id);
  }

  /** All workers of a service, including draining ones. */
  ofService(service: ServiceName): KnownWorker[] {
    return [...(this.services.get(service) ?? [])];
  }

  /** Workers of a service that accept new work. */
  available(service: ServiceName): KnownWorker[] {
    return this.ofService(service).filter((worker) => !worker.record.draining);
  }

  /** Workers of a service to which the rules allow sending work of these regions. */
  eligible(service: ServiceName, allowed: AllowedRegions): KnownWorker[] {
    return this.available(service).filter(({ record }) => this.rules.mayReceive(record, allowed));
  }

  /** Whether a service has workers, but none in the allowed regions. */
  areAllOutsideRegions(service: ServiceName, allowed: AllowedRegions): boolean {
    if (allowed === undefined) return false;
    const workers = this.available(service);
    const isOutside = ({ record }: KnownWorker): boolean =>
      this.rules.rejectionOf(record, allowed) === 'region-not-allowed';
    return workers.length > 0 && workers.every(isOutside);
  }

  all(): KnownWorker[] {
    return [...this.workers.values()];
  }

  /**
   * The worker for an interactive request from a zone: eligible, not tried before, not penalized if
   * possible, and with the lowest sum of occupancy and distance cost.
   */
  pick(
    service: ServiceName,
    tried: Pick<ReadonlySet<string>, 'has'>,
    zone: ZoneName,
    now: Milliseconds,
    allowed?: AllowedRegions,
  ): KnownWorker | undefined {
    return this.lowestRanked(this.eligible(service, allowed), tried, zone, now);
  }

  /** {@link pick} among workers of other regions, for work that found no free slot in its own. */
  pickInOtherRegion(
    service: ServiceName,
    tried: Pick<ReadonlySet<string>, 'has'>,
    zone: ZoneName,
    now: Milliseconds,
    allowed?: AllowedRegions,
  ): KnownWorker | undefined {
    const inOtherRegions = this.eligible(service, allowed).filter(
      ({ record }) => this.distanceBetween(zone, record.zone) === 'other-region',
    );
    return this.lowestRanked(inOtherRegions, tried, zone, now);
  }

  private lowestRanked(
    eligible: readonly KnownWorker[],
    tried: Pick<ReadonlySet<string>, 'has'>,
    zone: ZoneName,
    now: Milliseconds,
  ): KnownWorker | undefined {
    const untried = eligible.filter((worker) => !tried.has(worker.record.id));
    const unpenalized = untried.filter((worker) => !worker.isPenalized(now));
    const candidates = unpenalized.length > 0 ? unpenalized : untried;
    const rank = (worker: KnownWorker): number =>
      worker.occupancy(now) / worker.record.slots +
      requestDistanceCost(this.distanceBetween(zone, worker.record.zone));
    return candidates.reduce<KnownWorker | undefined>(
      (best, worker) => (best === undefined || rank(worker) < rank(best) ? worker : best),
      undefined,
    );
  }
}
