/** The record that each node registers in the shared store. */
import * as z from 'zod';
import { FORMAT_VERSION_FIELD } from '../core/format-version.js';

const NODE_RECORD = z.object({
  incarnation: z.string(),
  zone: z.string(),
  address: z.string(),
  /** CPU share of the node's machine, in standard cores. */
  capacity: z.number().default(1),
  /** Format version that the node's build reads. */
  format: FORMAT_VERSION_FIELD,
});

export type NodeRecord = z.infer<typeof NODE_RECORD>;

/** Parses a record; `undefined` if the text is invalid. */
export function parseNodeRecord(text: string): NodeRecord | undefined {
  try {
    return NODE_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
