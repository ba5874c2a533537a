/**
 * Wire form of the key-value service: the etcd v3 JSON gateway. Keys and values are base64,
 * 64-bit numbers are strings, and fields with their default value are left out.
 */
import * as z from 'zod';
import type {
  KeyValueChange,
  KeyValueEntry,
  KeyValueOperation,
  KeyValueResult,
  KeyValueWrite,
} from './key-value.js';

/** Text to base64. */
export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Base64 to text. */
export function decodeText(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** `range_end` of all keys with a prefix, base64: the prefix with its last byte raised by one. */
export function prefixRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  for (let position = bytes.length - 1; position >= 0; position -= 1) {
    const byte = bytes[position] ?? 0xff;
    if (byte === 0xff) continue;
    bytes[position] = byte + 1;
    return bytes.subarray(0, position + 1).toString('base64');
  }
  return Buffer.from([0]).toString('base64');
}

const longNumber = z.union([z.string().regex(/^\d+$/), z.number()]).transform(Number);
const header = z.object({ revision: longNumber });
const keyValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: longNumber.default(0),
});

/** Answer of `/v3/kv/range`. */
const rangeAnswer = z.object({ header, kvs: z.array(keyValue).default([]) });

/** Answer of `/v3/kv/txn`. */
const transactionAnswer = z.object({ header, succeeded: z.boolean().default(false) });

/** One line of `/v3/watch`. */
export const watchLine = z.object({
  result: z.object({
    header,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: longNumber.default(0),
    events: z
      .array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValue }))
      .default([]),
  }),
});

/** Path and body of an operation. */
export function encodeOperation(operation: KeyValueOperation): { path: string; body: unknown } {
  if (operation.kind === 'range') {
    return { path: '/v3/kv/range', body: encodeRange(operation.key, operation.prefix) };
  }
  const compare = operation.compares.map((condition) => ({
    key: encodeText(condition.key),
    target: 'MOD',
    result: 'EQUAL',
    mod_revision: String(condition.modRevision),
  }));
  return { path: '/v3/kv/txn', body: { compare, success: operation.writes.map(encodeWrite) } };
}

/** Key and range end of one key or of a prefix. */
export function encodeRange(key: string, prefix: boolean): { key: string; range_end?: string } {
  const encoded = { key: encodeText(key) };
  return prefix ? { ...encoded, range_end: prefixRangeEnd(key) } : encoded;
}

function encodeWrite(write: KeyValueWrite): unknown {
  const key = encodeText(write.key);
  if (write.kind === 'delete') return { request_delete_range: { key } };
  return { request_put: { key, value: encodeText(write.value) } };
}

/** Result in an answer's body; `undefined` where it breaks the schema. */
export function decodeResult(
  kind: KeyValueOperation['kind'],
  body: unknown,
): KeyValueResult | undefined {
  if (kind === 'range') {
    const range = rangeAnswer.safeParse(body);
    if (!range.success) return undefined;
    const entries = range.data.kvs.map(decodeEntry);
    return { kind: 'range', revision: range.data.header.revision, entries };
  }
  const transaction = transactionAnswer.safeParse(body);
  if (!transaction.success) return undefined;
  const { succeeded } = transaction.data;
  return { kind: 'transaction', succeeded, revision: transaction.data.header.revision };
}

function decodeEntry(entry: z.infer<typeof keyValue>): KeyValueEntry {
  return {
    key: decodeText(entry.key),
    value: decodeText(entry.value),
    modRevision: entry.mod_revision,
  };
}

/** Changes in one line of a watch. */
export function decodeChanges(line: z.infer<typeof watchLine>): KeyValueChange[] {
  return line.result.events.map((event) => {
    const entry = decodeEntry(event.kv);
    return event.type === 'DELETE' ? { ...entry, value: null } : entry;
  });
}
