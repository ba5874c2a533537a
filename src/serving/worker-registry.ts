/**
 * The workers that a node knows: their records, what is under way on each from here, what they
 * told of their load, and how their last requests ended.
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

/** How one request at a worker ended, for the choice of later ones. */
export type WorkerOutcome = 'success' | 'failure' | 'full' | 'stalled';

/** Time that a worker is passed over after failures in a row: base, doubled up to the limit. */
const FAILURE_PENALTY: Milliseconds = 400;
const MAX_FAILURE_PENALTY: Milliseconds = 3_200;

/**
 * Time that a worker is passed over after it said that it was full, doubled with each refusal in a row
 * up to the limit: one that loads weights refuses everything for most of a second, and looks empty.
 */
const FULL_PENALTY: Milliseconds = 100;
const MAX_FULL_PENALTY: Milliseconds = 800;

/** Time that a worker is passed over after its streams paused. */
const STALL_PENALTY: Milliseconds = 600;

/** Age beyond which a reported load no longer counts. */
const LOAD_LIFETIME: Milliseconds = 2_000;

/**
 * Share of a new sample in the moving mean of the time for one event. A worker that streams some
 * answers gives hundreds of samples a second.
 */
const EVENT_INTERVAL_SMOOTHING = 0.03;

/** A single pause counts as this many times the mean at most: it need not mean a slow worker. */
const MAX_EVENT_INTERVAL_RATIO = 2;

/** One known worker. */
export class KnownWorker {
  /** Requests under way from this node. */
  inFlight = 0;
  /** Moving mean of the time between two events, or `undefined` before the first. */
  eventInterval: Milliseconds | undefined;
  private penalizedUntil: Milliseconds = 0;
  private consecutiveFailures = 0;
  private consecutiveRejections = 0;
  private readonly reportedVersions = new Map<ModelName, WeightVersion>();
  /** Models whose weights it loads, by the time until which that is believed. */
  private readonly loadingUntil = new Map<ModelName, Milliseconds>();
  private load: ReportedLoad | undefined;
  private loadAt: Milliseconds = 0;

  constructor(public record: WorkerRecord) {}

  /** Takes note of how a request ended. */
  noteOutcome(outcome: WorkerOutcome, now: Milliseconds): void {
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
      this.penalizedUntil = Math.max(this.penalizedUntil, now + STALL_PENALTY);
      return;
    }
    const penalty = Math.min(FAILURE_PENALTY * 2 ** this.consecutiveFailures, MAX_FAILURE_PENALTY);
    this.consecutiveFailures += 1;
    this.penalizedUntil = now + penalty;
  }

  /** Requests that were sent together are refused together: that counts once. */
  private noteRejection(now: Milliseconds): void {
    if (this.isPenalized(now)) return;
    const penalty = Math.min(FULL_PENALTY * 2 ** this.consecutiveRejections, MAX_FULL_PENALTY);
    this.consecutiveRejections += 1;
    this.penalizedUntil = now + penalty;
  }

  /** Takes note of the load that the worker told. */
  noteLoad(load: ReportedLoad | undefined, now: Milliseconds): void {
    if (load === undefined) return;
    this.load = load;
    this.loadAt = now;
  }

  /** Takes note of the time between two events of a stream. */
  noteEventInterval(sample: Milliseconds): void {
    if (this.eventInterval === undefined) {
      this.eventInterval = sample;
      return;
    }
    const bounded = Math.min(sample, MAX_EVENT_INTERVAL_RATIO * this.eventInterval);
    this.eventInterval += EVENT_INTERVAL_SMOOTHING * (bounded - this.eventInterval);
  }

  /** Whether failures or fullness speak against the worker now. */
  isPenalized(now: Milliseconds): boolean {
    return now < this.penalizedUntil;
  }

  /** Whether one more request from here may go there now. */
  hasFreeSlot(now: Milliseconds): boolean {
    if (this.record.draining || this.isPenalized(now)) return false;
    return this.inFlight < this.record.slots;
  }

  /** Requests at the worker, as far as this node can tell. */
  occupancy(now: Milliseconds): number {
    if (this.load === undefined || now - this.loadAt > LOAD_LIFETIME) return this.inFlight;
    return Math.max(this.inFlight, this.load.running + this.load.waiting);
  }

  /** It loads weights of a model, and refuses requests for it that it has not begun. */
  noteLoading(model: ModelName, until: Milliseconds): void {
    this.loadingUntil.set(model, until);
  }

  /** Whether it loads weights of a model now. */
  isLoading(model: ModelName, now: Milliseconds): boolean {
    return now < (this.loadingUntil.get(model) ?? 0);
  }

  /** Version of a model that it holds; 0 where it does not hold the model. */
  versionOf(model: ModelName): WeightVersion {
    const registered = this.record.models.find((held) => held.name === model)?.version ?? 0;
    return Math.max(registered, this.reportedVersions.get(model) ?? 0);
  }

  /** Takes note of a version that the worker itself showed; its record may lag behind. */
  noteVersion(model: ModelName, version: WeightVersion): void {
    this.loadingUntil.delete(model);
    if (version > this.versionOf(model)) this.reportedVersions.set(model, version);
  }
}

/** What a record changed: a worker is new, known, in a later life, or told of in an earlier one. */
export type WorkerChange = 'added' | 'updated' | 'restarted' | 'outdated';

/** All known workers. */
export class WorkerRegistry {
  private readonly workers = new Map<string, KnownWorker>();
  private readonly services = new Map<ServiceName, Set<KnownWorker>>();

  /**
   * `rules` tell which workers may be sent work; without them all may. `distanceBetween` tells how
   * far zones are from each other.
   */
  constructor(
    readonly rules: SendRules = new SendRules(),
    private readonly distanceBetween: DistanceBetween = distanceInOneRegion,
  ) {}

  /**
   * Adds a worker or replaces its record. What is known of an earlier life under the same id
   * (versions, pace, load, penalties) says nothing of a later one, which begins as a new worker; a
   * record of an earlier life that comes late is passed over.
   */
  put(record: WorkerRecord): WorkerChange {
    const known = this.workers.get(record.id);
    if (known !== undefined && isLaterIncarnation(known.record, record)) return 'outdated';
    const isSameIncarnation = known !== undefined && !isLaterIncarnation(record, known.record);
    if (isSameIncarnation && known.record.service === record.service) {
      known.record = record;
      return 'updated';
    }
    this.remove(record.id);
    this.add(new KnownWorker(record));
    return known === undefined || isSameIncarnation ? 'added' : 'restarted';
  }

  private add(worker: KnownWorker): void {
    const { id, service } = worker.record;
    this.workers.set(id, worker);
    const others = this.services.get(service);
    if (others === undefined) this.services.set(service, new Set([worker]));
    else others.add(worker);
  }

  /** Forgets a worker that has left. */
  remove(id: string): void {
    const worker = this.workers.get(id);
    if (worker === undefined) return;
    this.workers.delete(id);
    this.services.get(worker.record.service)?.delete(worker);
  }

  /** The worker of this id, if it is still known. */
  get(id: string): KnownWorker | undefined {
    return this.workers.get(id);
  }

  /** All workers of a service, also those that are leaving. */
  ofService(service: ServiceName): KnownWorker[] {
    return [...(this.services.get(service) ?? [])];
  }

  /** Workers of a service that take new work. */
  available(service: ServiceName): KnownWorker[] {
    return this.ofService(service).filter((worker) => !worker.record.draining);
  }

  /** Workers of a service that may be sent work of these regions now. */
  eligible(service: ServiceName, allowed: AllowedRegions): KnownWorker[] {
    return this.available(service).filter(({ record }) => this.rules.mayReceive(record, allowed));
  }

  /** Whether a service has workers and none of them stands where work of these regions may go. */
  areAllOutsideRegions(service: ServiceName, allowed: AllowedRegions): boolean {
    if (allowed === undefined) return false;
    const workers = this.available(service);
    const isOutside = ({ record }: KnownWorker): boolean =>
      this.rules.rejectionOf(record, allowed) === 'region-not-allowed';
    return workers.length > 0 && workers.every(isOutside);
  }

  /** All workers. */
  all(): KnownWorker[] {
    return [...this.workers.values()];
  }

  /**
   * The worker for an interactive request from a zone: one that may be sent it, not tried before, not
   * penalized if possible, then with the most free room, of which the way there takes some.
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

  /** The same among the workers of other regions, for work that has to find room and has none in its own. */
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
