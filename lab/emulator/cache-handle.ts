/**
 * Handles under which emulated engines hand each other key-value caches. Callers treat a handle
 * as opaque; here it holds the cache itself, as the engines share no memory.
 */
import * as z from 'zod';
import { tokenSegment } from '../../src/platform/engine-wire-client.js';
import type { KeyValueCacheExport } from './sequence.js';

const cacheExport = z.strictObject({
  answer: z.number().int(),
  segments: z.array(tokenSegment),
});

/** Body of `POST /kv/export`: the `id` that a completion's stream names. */
export const exportRequest = z.strictObject({ completion: z.string().min(1) });

/** Body of `POST /kv/import`. */
export const importRequest = z.strictObject({ handle: z.string().min(1) });

/** The handle of a cache. */
export function encodeHandle(cache: KeyValueCacheExport): string {
  return Buffer.from(JSON.stringify(cache)).toString('base64url');
}

/** The cache of a handle. Throws where the handle is none, or its tokens have a gap. */
export function decodeHandle(handle: string): KeyValueCacheExport {
  const cache = cacheExport.parse(JSON.parse(Buffer.from(handle, 'base64url').toString('utf8')));
  let nextToken = 0;
  for (const { firstToken, tokenCount } of cache.segments) {
    if (firstToken !== nextToken) throw new RangeError('the handle has a gap');
    nextToken += tokenCount;
  }
  return cache;
}
