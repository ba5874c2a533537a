/**
 * The text an emulated engine makes: a pure function of prompt, sampling seed, weight version and
 * token position, so that an oracle can tell whose answer a caller got and which version made
 * each token. One token is `HASH.VERSION` in base 36 and a space, e.g. `1x0c4.7 `.
 */

import type { TokenSegment } from '../../src/core/generation.js';
import { placementHash } from '../../src/core/hashing.js';
import type { TokenCount, WeightVersion } from '../../src/core/units.js';

/** Token hashes stay below this, at most five characters in base 36. */
const TOKEN_HASH_LIMIT = 36 ** 5;

/** Names one answer; compute it once an answer, as it reads the whole prompt. */
export function answerKey(prompt: string, samplingSeed: number): number {
  return placementHash(prompt, samplingSeed >>> 0);
}

/** Text of one token of an answer named by {@link answerKey}. */
export function tokenTextOf(key: number, version: WeightVersion, tokenIndex: TokenCount): string {
  const hash = mix(key ^ mix(Math.imul(version, 0x9e3779b1) ^ tokenIndex));
  return `${(hash % TOKEN_HASH_LIMIT).toString(36)}.${version.toString(36)} `;
}

/** Text of one token. */
export function tokenText(
  prompt: string,
  samplingSeed: number,
  version: WeightVersion,
  tokenIndex: TokenCount,
): string {
  return tokenTextOf(answerKey(prompt, samplingSeed), version, tokenIndex);
}

/** Text of one run of tokens of an answer named by {@link answerKey}. */
export function segmentText(key: number, segment: TokenSegment): string {
  let text = '';
  for (let offset = 0; offset < segment.tokenCount; offset += 1) {
    text += tokenTextOf(key, segment.version, segment.firstToken + offset);
  }
  return text;
}

/** The whole text an engine makes when its tokens are of these segments. */
export function expectedText(
  prompt: string,
  samplingSeed: number,
  segments: readonly TokenSegment[],
): string {
  const key = answerKey(prompt, samplingSeed);
  return segments.map((segment) => segmentText(key, segment)).join('');
}

/** The tokens of a text. */
export function tokensOfText(text: string): string[] {
  return text.split(/(?<= )/);
}

/** The weight version of each token of a text, read from the text itself. */
export function versionsInText(text: string): WeightVersion[] {
  const tokens = text.split(' ').filter((token) => token !== '');
  return tokens.map((token) => Number.parseInt(token.slice(token.indexOf('.') + 1), 36));
}

/** Finalizer of MurmurHash3, 32 bits. */
function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
