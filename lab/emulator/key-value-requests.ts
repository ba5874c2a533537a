/**
 * Bodies the emulated key-value service reads: the subset of the etcd v3 JSON gateway that
 * wardwing uses. What is outside of it is refused with 400.
 */
import * as z from 'zod';
import type { KeyValueOperation, KeyValueWrite } from '../../src/platform/key-value.js';
import { decodeText, prefixRangeEnd } from '../../src/platform/key-value-wire-client.js';

const longNumber = z.union([z.string(), z.number()]).transform(Number);

/** Body of `/v3/kv/range`, `/v3/kv/deleterange`, and part of a watch. */
export const rangeRequest = z.object({ key: z.string(), range_end: z.string().default('') });

/** Body of `/v3/kv/put`. */
export const putRequest = z.object({
  key: z.string(),
  value: z.string().default(''),
  lease: z.union([z.string(), z.number()]).transform(String).default('0'),
});

/** Body of `/v3/kv/txn`: compares of the modification revision, puts and deletions. */
export const transactionRequest = z.object({
  compare: z
    .array(
      z.object({
        key: z.string(),
        target: z.literal('MOD'),
        result: z.literal('EQUAL').default('EQUAL'),
        mod_revision: longNumber.default(0),
      }),
    )
    .default([]),
  success: z
    .array(
      z.strictObject({
        request_put: putRequest.optional(),
        request_delete_range: z.strictObject({ key: z.string() }).optional(),
      }),
    )
    .default([]),
  failure: z.array(z.never()).default([]),
});

/** Body of the lease paths; times in seconds. */
export const leaseRequest = z.object({
  ID: z.union([z.string(), z.number()]).transform(String).default(''),
  TTL: longNumber.default(0),
});

/** One line of a watch's request. */
export const watchRequest = z.union([
  z.object({ create_request: rangeRequest.extend({ start_revision: longNumber.default(0) }) }),
  z.object({ progress_request: z.object({}) }),
]);

const faultsSchema = z.strictObject({
  /** Requests a second before 429; `null` for no limit. */
  rateLimitPerSecond: z.number().positive().nullable(),
  /** `refuse` answers 503, `hang` answers nothing. */
  outage: z.enum(['none', 'refuse', 'hang']),
  /** Added to each answer. */
  slownessMilliseconds: z.number().nonnegative(),
  /** Share of writes whose answer is lost after they took effect. */
  lostAnswerRate: z.number().min(0).max(1),
});

/** Faults of the service. */
export type KeyValueFaults = z.infer<typeof faultsSchema>;

/** A service that works. */
export const NO_FAULTS: KeyValueFaults = {
  rateLimitPerSecond: null,
  outage: 'none',
  slownessMilliseconds: 0,
  lostAnswerRate: 0,
};

/** Faults after a body of `/lab/faults`; what is absent stays as it is. */
export function changedFaults(faults: KeyValueFaults, body: unknown): KeyValueFaults {
  return faultsSchema.parse({ ...faults, ...z.record(z.string(), z.unknown()).parse(body) });
}

/** Whether a range is one key or a prefix; other ranges throw. */
export function decodeRange(range: z.infer<typeof rangeRequest>): { key: string; prefix: boolean } {
  const key = decodeText(range.key);
  if (range.range_end === '') return { key, prefix: false };
  if (range.range_end === prefixRangeEnd(key)) return { key, prefix: true };
  throw new RangeError('only single keys and prefixes are supported');
}

/** The operation in a transaction's body. */
export function decodeTransaction(
  body: z.infer<typeof transactionRequest>,
): Extract<KeyValueOperation, { kind: 'transaction' }> {
  const compares = body.compare.map((compare) => ({
    key: decodeText(compare.key),
    modRevision: compare.mod_revision,
  }));
  const writes = body.success.map((write): KeyValueWrite => {
    const { request_put: put, request_delete_range: deletion } = write;
    if (put !== undefined) {
      return { kind: 'put', key: decodeText(put.key), value: decodeText(put.value) };
    }
    if (deletion !== undefined) return { kind: 'delete', key: decodeText(deletion.key) };
    throw new RangeError('a write is neither a put nor a deletion');
  });
  return { kind: 'transaction', compares, writes };
}
