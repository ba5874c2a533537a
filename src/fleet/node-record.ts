/** What a node tells of itself in the shared store. */
import * as z from 'zod';
import { FORMAT_FIELD } from '../core/format-version.js';

const NODE_RECORD = z.object({
  incarnation: z.string(),
  zone: z.string(),
  address: z.string(),
  /** Processor share of its machine, in cores of ordinary speed. */
  capacity: z.number().default(1),
  /** What its build reads. */
  format: FORMAT_FIELD,
});

/** What a node tells of itself. */
export type NodeRecord = z.infer<typeof NODE_RECORD>;

/** Reads a record; `undefined` where the text is none. */
export function parseNodeRecord(text: string): NodeRecord | undefined {
  try {
    return NODE_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
