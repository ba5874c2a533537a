/** What a proof consists of. */

import type { TokenCount } from '../../src/core/units.js';
import type { MechanismName } from '../../src/node/mechanisms.js';
import type { ActionWeights } from './action-arbitraries.js';
import type { Oracle } from './oracle.js';

/** One promise with how it is tried and judged. */
export interface ProofDefinition {
  readonly name: string;
  readonly createOracle: () => Oracle;
  /** Mechanisms that the promise rests on; without any one of them it must not hold. */
  readonly mechanisms: readonly MechanismName[];
  readonly weights: ActionWeights;
  /** Whether the oracle looks at messages between nodes. */
  readonly observeMessages: boolean;
  /** Median length of answers. */
  readonly medianTokens: TokenCount;
}
