/** The interface of routing policies, and the registry that creates them by name. */
import type { GenerationRequest } from '../core/generation.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** Why a policy chose a worker; recorded with the decision. */
export type RoutingReason =
  | 'random'
  | 'round-robin'
  | 'least-load'
  | 'power-of-two'
  | 'prefix-affinity'
  | 'load-bound-passed-on';

/** Input of a policy. At least one candidate is eligible. */
export interface RoutingChoice {
  readonly request: GenerationRequest;
  /** The same array object while its members are unchanged. */
  readonly candidates: readonly WorkerCandidate[];
  /** Indices of eligible candidates; only the first `eligibleCount` entries are valid. */
  readonly eligible: Int32Array;
  readonly eligibleCount: number;
  /** By candidate index: 1 where eligible. */
  readonly eligibleFlags: Uint8Array;
  readonly now: Milliseconds;
}

/** Result of a policy. */
export interface RoutingPick {
  readonly candidate: WorkerCandidate;
  readonly reason: RoutingReason;
}

/** A routing policy. */
export interface RoutingPolicy {
  readonly name: string;
  /** Picks one of the eligible candidates; `undefined` where all are above their load bound. */
  pick(choice: RoutingChoice): RoutingPick | undefined;
}

export type RoutingPolicyFactory = (random: RandomSource) => RoutingPolicy;

/** Policies by name. */
export class RoutingPolicyRegistry {
  readonly #factories = new Map<string, RoutingPolicyFactory>();

  /** Adds a policy; throws where the name is registered already. */
  register(name: string, factory: RoutingPolicyFactory): this {
    if (this.#factories.has(name))
      throw new Error(`routing policy "${name}" is already registered`);
    this.#factories.set(name, factory);
    return this;
  }

  /** Names in order of registration. */
  names(): readonly string[] {
    return [...this.#factories.keys()];
  }

  /** Creates a policy; throws for an unknown name. */
  create(name: string, random: RandomSource): RoutingPolicy {
    const factory = this.#factories.get(name);
    if (factory === undefined) throw new Error(`unknown routing policy "${name}"`);
    return factory(random);
  }
}

/** The candidate at an index; throws `RangeError` where there is none. */
export function candidateAt(
  candidates: readonly WorkerCandidate[],
  index: number | undefined,
): WorkerCandidate {
  const candidate = index === undefined ? undefined : candidates[index];
  if (candidate === undefined)
    throw new RangeError('routing policy chose an index outside of the candidate list');
  return candidate;
}
