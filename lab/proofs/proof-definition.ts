/** What a proof consists of. */

import type { Milliseconds, TokenCount } from '../../src/core/units.js';
import type { MechanismName } from '../../src/node/mechanisms.js';
import type { ActionWeights } from './action-arbitraries.js';
import type { Oracle } from './oracle.js';

/** Generated steps that press on one mechanism. */
export interface MechanismTrial {
  readonly mechanism: MechanismName;
  readonly weights: ActionWeights;
  /** Longest pause between two steps, in milliseconds. @default 80 */
  readonly longestPause?: Milliseconds;
}

/** One promise with how it is tried and judged. */
export interface ProofDefinition {
  readonly name: string;
  readonly createOracle: () => Oracle;
  /**
   * Mechanisms that the promise rests on; without any one of them it must not hold. The rounds of
   * a proof take turns between its own weights and those of its trials.
   */
  readonly trials: readonly MechanismTrial[];
  readonly weights: ActionWeights;
  /** Whether the oracle looks at messages between nodes. */
  readonly observeMessages: boolean;
  /** Median length of answers. */
  readonly medianTokens: TokenCount;
}
