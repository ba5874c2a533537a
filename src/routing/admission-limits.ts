/** Admission limits that the configuration sets. */
import type { AccountName, ModelName } from '../core/identity.js';

export interface AdmissionLimits {
  /** Share of each worker's slots reserved for interactive work, by model; 0 where absent. */
  readonly reservedShares: ReadonlyMap<ModelName, number>;
  /** Weight of each trainer in the fair share of slots, above 0; 1 where absent. */
  readonly accountWeights: ReadonlyMap<AccountName, number>;
}

/** Limits without a reserve and with equal weights. */
export const DEFAULT_LIMITS: AdmissionLimits = {
  reservedShares: new Map(),
  accountWeights: new Map(),
};
