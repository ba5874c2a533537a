/**
 * Decides which worker runs a request: zones first, then state, weight version and room, then the
 * policy's choice among what is left. A request that no worker may run is refused at once.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { WorkerId, ZoneName } from '../core/identity.js';
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { AllowedCandidates, isAllowed } from './allowed-candidates.js';
import type { RoutingPolicy, RoutingReason } from './routing-policy.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** What a decision rests on besides the request. */
export interface RoutingContext {
  /** Zones the request may run in; no worker elsewhere is ever chosen. */
  readonly zones: readonly ZoneName[];
  /** As given by `WorkerDirectory.candidates`. */
  readonly candidates: readonly WorkerCandidate[];
  /** The newest published version of the model; `undefined` where it is not known. */
  readonly newestVersion: WeightVersion | undefined;
  /** The newest version that may be used; absent or `null` where there is no such limit. */
  readonly maximumVersion?: WeightVersion | null;
  /** Workers that were tried before. */
  readonly exclude: ReadonlySet<WorkerId>;
  readonly now: Milliseconds;
}

/** The outcome of one decision. */
export type RoutingDecision =
  | {
      readonly kind: 'worker';
      readonly candidate: WorkerCandidate;
      readonly reason: RoutingReason;
    }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Settings of a router. */
export interface RouterOptions {
  readonly policy: RoutingPolicy;
  /** Spreads the times at which refused callers come back. */
  readonly random: RandomSource;
}

/** When to come back where workers exist but nothing is known of them yet. */
const CONNECTING_RETRY: Milliseconds = 500;

/** When to come back, on average, where no worker is in service. */
const NO_WORKER_RETRY: Milliseconds = 2_000;

/** When to come back, on average, where no worker has weights within the bound. */
const VERSION_RETRY: Milliseconds = 2_000;

/** When to come back, on average, where all workers are full. */
const OVERLOADED_RETRY: Milliseconds = 1_000;

/** Share by which the time to come back is spread both ways. */
const RETRY_AFTER_JITTER = 0.5;

/** Candidates the buffers hold at first. */
const INITIAL_SIZE = 128;

/** Queue places beyond the slots that interactive work may count on at a worker. */
const INTERACTIVE_SPARE = 1;

/** How many candidates got past each check; tells why a request is refused. */
interface FilterCounts {
  allowed: number;
  connecting: number;
  inService: number;
  fresh: number;
  eligible: number;
}

/** Chooses workers for requests. */
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

  /** Chooses a worker for one request, or refuses it as not run. */
  choose(request: GenerationRequest, context: RoutingContext): RoutingDecision {
    this.#reserve(context.candidates.length);
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
    if (pick === undefined) return this.#overloaded();
    const isInside = isAllowed(pick.candidate, request.model, context.zones);
    if (!isInside) return this.#noWorker(counts);
    return { kind: 'worker', candidate: pick.candidate, reason: pick.reason };
  }

  #reserve(size: number): void {
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
      if (!hasRoom(candidate, request)) continue;
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
    return this.#overloaded();
  }

  #noWorker(counts: FilterCounts): RoutingDecision {
    const wait = counts.connecting > 0 ? CONNECTING_RETRY : NO_WORKER_RETRY;
    const detail = `${counts.allowed} workers known in the allowed zones, none in service`;
    return this.#refusal('no_worker', detail, wait);
  }

  #versionUnknown(): RoutingDecision {
    const detail = 'no worker in the allowed zones is known to serve weights within the bound';
    return this.#refusal('version_unknown', detail, VERSION_RETRY);
  }

  #overloaded(): RoutingDecision {
    const detail = 'every worker that may run this is full or was tried';
    return this.#refusal('overloaded', detail, OVERLOADED_RETRY);
  }

  /** @param wait average time to come back */
  #refusal(
    kind: 'no_worker' | 'version_unknown' | 'overloaded',
    detail: string,
    wait: Milliseconds,
  ): RoutingDecision {
    const retryAfter = Math.round(jittered(this.#random, wait, RETRY_AFTER_JITTER));
    return { kind: 'refused', failure: failure(kind, detail, { retryAfter, ran: 'no' }) };
  }
}

/** Training work with a bound needs the newest version known; interactive work does not. */
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

function hasRoom(candidate: WorkerCandidate, request: GenerationRequest): boolean {
  if (request.trafficClass === 'training') return candidate.queueFree > candidate.sentSinceUpdate;
  return candidate.interactiveOutstanding < candidate.slots + INTERACTIVE_SPARE;
}
