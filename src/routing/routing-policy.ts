/** The interface of routing policies, and the registry that makes one by name. */
import type { GenerationRequest } from '../core/generation.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerCandidate } from './worker-candidate.js';

/** Why a worker was chosen. */
export type RoutingReason =
  | 'random'
  | 'round-robin'
  | 'least-load'
  | 'power-of-two'
  | 'prefix-affinity'
  | 'load-bound-passed-on';

/** One choice put to a policy. At least one candidate is eligible. */
export interface RoutingChoice {
  readonly request: GenerationRequest;
  /** The same array object as long as its members stay the same. */
  readonly candidates: readonly WorkerCandidate[];
  /** Indices of eligible candidates; only the first `eligibleCount` entries count. */
  readonly eligible: Int32Array;
  readonly eligibleCount: number;
  /** By candidate index: 1 where eligible. */
  readonly eligibleFlags: Uint8Array;
  readonly now: Milliseconds;
}

/** A policy's answer. */
export interface RoutingPick {
  readonly candidate: WorkerCandidate;
  readonly reason: RoutingReason;
}

/** Picks one of the eligible candidates; `undefined` where none can be picked. */
export interface RoutingPolicy {
  readonly name: string;
  pick(choice: RoutingChoice): RoutingPick | undefined;
}

/** Makes a policy. */
export type RoutingPolicyFactory = (random: RandomSource) => RoutingPolicy;

/** Policies by name. */
export class RoutingPolicyRegistry {
  readonly #factories = new Map<string, RoutingPolicyFactory>();

  /** Adds a policy; throws where the name is taken. */
  register(name: string, factory: RoutingPolicyFactory): this {
    if (this.#factories.has(name)) throw new Error(`The routing policy ${name} exists already`);
    this.#factories.set(name, factory);
    return this;
  }

  /** Names in order of registration. */
  names(): readonly string[] {
    return [...this.#factories.keys()];
  }

  /** Makes the named policy; throws for an unknown name. */
  create(name: string, random: RandomSource): RoutingPolicy {
    const factory = this.#factories.get(name);
    if (factory === undefined) throw new Error(`There is no routing policy ${name}`);
    return factory(random);
  }
}

/** Candidate at an index that is known to exist. */
export function candidateAt(
  candidates: readonly WorkerCandidate[],
  index: number | undefined,
): WorkerCandidate {
  const candidate = index === undefined ? undefined : candidates[index];
  if (candidate === undefined) throw new RangeError('A routing policy left its candidates');
  return candidate;
}
