/** Limits of admission that come from the configuration. */
import type { AccountName, ModelName } from '../core/identity.js';

/** Limits taken from the configuration. */
export interface AdmissionLimits {
  /** Share of each worker's slots that training never takes, by model; 0 where absent. */
  readonly reservedShares: ReadonlyMap<ModelName, number>;
  /** Weight of each trainer, above 0; 1 where absent. */
  readonly accountWeights: ReadonlyMap<AccountName, number>;
}

/** Limits that reserve nothing and weigh all trainers alike. */
export const NO_LIMITS: AdmissionLimits = {
  reservedShares: new Map(),
  accountWeights: new Map(),
};
