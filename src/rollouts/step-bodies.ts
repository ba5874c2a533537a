/** Text forms of the bodies a step keeps in the ledger: its samples, and each result. */
import type { GenerationResult } from '../core/generation.js';
import type { SampleRequest } from '../node/calls.js';

/** A result as it is kept until its trainer has acknowledged it. */
export interface StoredResult {
  readonly key: string;
  readonly result: GenerationResult;
}

/** Encodes a step's samples; the same samples give the same text. */
export function encodeSamples(samples: readonly SampleRequest[]): string {
  const ordered = samples.map(({ key, prompt, maxTokens, samplingSeed }) => {
    return { key, prompt, maxTokens, samplingSeed };
  });
  return JSON.stringify(ordered);
}

/** Decodes what {@link encodeSamples} made; the digest has been checked by the ledger. */
export function decodeSamples(body: string): readonly SampleRequest[] {
  return JSON.parse(body) as SampleRequest[];
}

/** Encodes one result. */
export function encodeResult(key: string, result: GenerationResult): string {
  const stored: StoredResult = { key, result };
  return JSON.stringify(stored);
}

/** Decodes what {@link encodeResult} made; the digest has been checked by the ledger. */
export function decodeResult(body: string): StoredResult {
  return JSON.parse(body) as StoredResult;
}
