/**
 * Selects the worker that runs a request: filters candidates by zone, state, weight version and free
 * slots, then applies the routing policy. A request without an eligible worker is refused at once.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { WorkerId, ZoneName } from '../core/identity.js';
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { AllowedCandidates, isAllowed } from './allowed-candidates.js';
import type { RoutingPolicy, RoutingReason } from './routing-policy.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** Input of a routing decision besides the request. */
export interface RoutingContext {
  /** Zones the request may run in. */
  readonly zones: readonly ZoneName[];
  /** From `WorkerDirectory.candidates`. */
  readonly candidates: readonly WorkerCandidate[];
  /** The newest published version of the model; `undefined` where it is unknown. */
  readonly newestVersion: WeightVersion | undefined;
  /** The newest version allowed; absent or `null` for no limit. */
  readonly maximumVersion?: WeightVersion | null;
  /** Workers that were tried already. */
  readonly exclude: ReadonlySet<WorkerId>;
  readonly now: Milliseconds;
}

export type RoutingDecision =
  | {
      readonly kind: 'worker';
      readonly candidate: WorkerCandidate;
      readonly reason: RoutingReason;
    }
  | { readonly kind: 'refused'; readonly failure: Failure };

export interface RouterOptions {
  readonly policy: RoutingPolicy;
  /** Jitters the retry delays. */
  readonly random: RandomSource;
}

/** Average retry delay while the load of the workers is still unknown. */
const CONNECTING_RETRY_DELAY: Milliseconds = 500;

/** Average retry delay where no worker is in service. */
const NO_WORKER_RETRY_DELAY: Milliseconds = 2_000;

/** Average retry delay where no worker has weights within the bounds. */
const VERSION_RETRY_DELAY: Milliseconds = 2_000;

/** Average retry delay where all workers are full. */
const OVERLOADED_RETRY_DELAY: Milliseconds = 1_000;

/** Retry delays vary by this share in both directions. */
const RETRY_AFTER_JITTER = 0.5;

/** Initial length of the buffers, in candidates. */
const INITIAL_SIZE = 128;

/** Queue slots of a worker that interactive work may use beyond the regular slots. */
const INTERACTIVE_QUEUE_SLOTS = 1;

/** Number of candidates after each filter; the reason of a refusal follows from it. */
interface FilterCounts {
  allowed: number;
  connecting: number;
  inService: number;
  fresh: number;
  eligible: number;
}

export class Router {
  readonly #policy: RoutingPolicy;
  readonly #random: RandomSource;
  readonly #allowed = new AllowedCandidates();
  #eligible = new Int32Array(INITIAL_SIZE);
  #flags = new Uint8Array(INITIAL_SIZE);

  constructor(options: RouterOptions) {
    this.#policy = options.policy;
    this.#random = options.random;
  }

  /** Selects a worker for a request, or refuses the request as not run. */
  choose(request: GenerationRequest, context: RoutingContext): RoutingDecision {
    this.#ensureCapacity(context.candidates.length);
    const versionKnown = isVersionKnown(request, context);
    const counts = this.#filter(request, context);
    if (counts.inService > 0 && !versionKnown) return this.#versionUnknown();
    if (counts.eligible === 0) return this.#refuse(counts);
    const pick = this.#policy.pick({
      request,
      candidates: context.candidates,
      eligible: this.#eligible,
      eligibleCount: counts.eligible,
      eligibleFlags: this.#flags,
      now: context.now,
    });
    if (pick === undefined) return this.#refuseOverloaded();
    const isPickAllowed = isAllowed(pick.candidate, request.model, context.zones);
    if (!isPickAllowed) return this.#noWorker(counts);
    return { kind: 'worker', candidate: pick.candidate, reason: pick.reason };
  }

  #ensureCapacity(size: number): void {
    if (size <= this.#eligible.length) return;
    this.#eligible = new Int32Array(size * 2);
    this.#flags = new Uint8Array(size * 2);
  }

  #filter(request: GenerationRequest, context: RoutingContext): FilterCounts {
    const { candidates, exclude } = context;
    const maximumVersion = context.maximumVersion ?? Number.POSITIVE_INFINITY;
    const allowed = this.#allowed.indicesOf(candidates, request.model, context.zones);
    const counts = { allowed: allowed.length, connecting: 0, inService: 0, fresh: 0, eligible: 0 };
    this.#flags.fill(0, 0, candidates.length);
    for (let position = 0; position < allowed.length; position += 1) {
      const index = allowed[position] as number;
      const candidate = candidates[index] as WorkerCandidate;
      if (candidate.state === 'connecting') counts.connecting += 1;
      if (candidate.state !== 'in-service') continue;
      counts.inService += 1;
      if (!isWithinBound(candidate, request.oldestVersion, maximumVersion)) continue;
      counts.fresh += 1;
      if (!hasFreeSlot(candidate, request)) continue;
      if (exclude.size > 0 && exclude.has(candidate.record.worker)) continue;
      this.#flags[index] = 1;
      this.#eligible[counts.eligible] = index;
      counts.eligible += 1;
    }
    return counts;
  }

  #refuse(counts: FilterCounts): RoutingDecision {
    if (counts.inService === 0) return this.#noWorker(counts);
    if (counts.fresh === 0) return this.#versionUnknown();
    return this.#refuseOverloaded();
  }

  #noWorker(counts: FilterCounts): RoutingDecision {
    const retryDelay = counts.connecting > 0 ? CONNECTING_RETRY_DELAY : NO_WORKER_RETRY_DELAY;
    const detail = `${counts.allowed} workers known in the allowed zones, none in service`;
    return this.#refusal('no_worker', detail, retryDelay);
  }

  #versionUnknown(): RoutingDecision {
    const detail = 'no worker in the allowed zones is known to serve weights within the bound';
    return this.#refusal('version_unknown', detail, VERSION_RETRY_DELAY);
  }

  #refuseOverloaded(): RoutingDecision {
    const detail = 'every worker that may run this is full or was tried';
    return this.#refusal('overloaded', detail, OVERLOADED_RETRY_DELAY);
  }

  /** @param retryDelay average retry delay */
  #refusal(
    kind: 'no_worker' | 'version_unknown' | 'overloaded',
    detail: string,
    retryDelay: Milliseconds,
  ): RoutingDecision {
    const retryAfter = Math.round(jittered(this.#random, retryDelay, RETRY_AFTER_JITTER));
    return { kind: 'refused', failure: failure(kind, detail, { retryAfter, ran: 'no' }) };
  }
}

/** Training with a bound on staleness requires that the newest version is known. */
function isVersionKnown(request: GenerationRequest, context: RoutingContext): boolean {
  const bounded = request.trafficClass === 'training' && request.oldestVersion > 0;
  return !bounded || context.newestVersion !== undefined;
}

function isWithinBound(
  candidate: WorkerCandidate,
  oldest: WeightVersion,
  newest: WeightVersion,
): boolean {
  if (oldest === 0 && newest === Number.POSITIVE_INFINITY) return true;
  const { activeVersion } = candidate;
  return activeVersion !== undefined && activeVersion >= oldest && activeVersion <= newest;
}

function hasFreeSlot(candidate: WorkerCandidate, request: GenerationRequest): boolean {
  if (request.trafficClass === 'training') return candidate.queueFree > candidate.sentSinceUpdate;
  return candidate.interactiveOutstanding < candidate.slots + INTERACTIVE_QUEUE_SLOTS;
}
