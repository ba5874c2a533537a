/**
 * Lengths of answers: log-normal with a part that all samples of a prompt group share, so that a
 * group's earlier answers tell something of the later ones. A retry has the same length.
 */
import { placementHash } from '../../src/core/hashing.js';
import type { TokenCount } from '../../src/core/units.js';

/** Share of the variance that belongs to the prompt group. */
const GROUP_VARIANCE = 0.5;

/** What the length of an answer depends on. */
export interface AnswerLengthInput {
  readonly promptGroup: string;
  readonly samplingSeed: number;
  readonly medianTokens: TokenCount;
  /** Standard deviation of the logarithm. */
  readonly lengthSpread: number;
}

/** Length of an answer before `maxTokens` cuts it off; at least 1. */
export function answerLength(input: AnswerLengthInput): TokenCount {
  const group = normal(input.promptGroup);
  const sample = normal(`${input.promptGroup}\u0000${input.samplingSeed}`);
  const deviate = Math.sqrt(GROUP_VARIANCE) * group + Math.sqrt(1 - GROUP_VARIANCE) * sample;
  return Math.max(1, Math.round(input.medianTokens * Math.exp(input.lengthSpread * deviate)));
}

/** A standard normal deviate that depends on a text only (Box and Muller, 1958). */
function normal(text: string): number {
  const radius = Math.sqrt(-2 * Math.log(uniform(text, 1)));
  return radius * Math.cos(2 * Math.PI * uniform(text, 2));
}

/** A number in `(0, 1)`. */
function uniform(text: string, seed: number): number {
  return (placementHash(text, seed) + 0.5) / 2 ** 32;
}
