/** Records of the coordinator in the shared store. */
import * as z from 'zod';
import { FLEET_PREFIX } from './fleet-registry.js';

/** Key of the lock, attached to the lease of its holder. */
export const LOCK_KEY = `${FLEET_PREFIX}coordinator`;

/** Key of the last term, which outlives the lock. */
export const TERM_KEY = `${FLEET_PREFIX}coordinator-term`;

/** Maximum number of earlier holders in a record; more count as unknown. */
const MAX_EARLIER_HOLDERS = 16;

const HOLDER = z.object({ node: z.string(), address: z.string() });
const LOCK_RECORD = HOLDER.extend({ nonce: z.string() });
const TERM_RECORD = LOCK_RECORD.extend({ earlierHolders: z.array(HOLDER).optional() });

/** A node that holds or held the lock. Another address under the same name is another holder. */
export type CoordinatorHolder = z.infer<typeof HOLDER>;

/** The lock; `nonce` differs for each acquisition. */
export type LockRecord = z.infer<typeof LOCK_RECORD>;

/**
 * The last acquisition of the lock. `earlierHolders` are the other nodes that may have given an
 * order within the transfer delay before the holder's first one; `undefined` if they are unknown,
 * as in records of builds that did not store them.
 */
export type TermRecord = z.infer<typeof TERM_RECORD>;

/** The lock of a term. */
export function lockOf({ node, address, nonce }: TermRecord): LockRecord {
  return { node, address, nonce };
}

/** Decodes a lock; `undefined` if it is malformed. */
export function parseLock(text: string): LockRecord | undefined {
  return decode(LOCK_RECORD, text);
}

/** Decodes a term; `undefined` if it is malformed. */
export function parseTerm(text: string): TermRecord | undefined {
  return decode(TERM_RECORD, text);
}

export function isSameHolder(
  left: CoordinatorHolder | undefined,
  right: CoordinatorHolder,
): boolean {
  return left?.node === right.node && left.address === right.address;
}

/**
 * The nodes other than `self` that may have given recent orders when `self` acquires the lock after
 * the last term; `undefined` if they are unknown.
 */
export function earlierHoldersAfter(
  last: TermRecord | undefined,
  self: CoordinatorHolder,
): CoordinatorHolder[] | undefined {
  if (last?.earlierHolders === undefined) return undefined;
  const holders = [last, ...last.earlierHolders].filter((holder) => !isSameHolder(holder, self));
  if (holders.length > MAX_EARLIER_HOLDERS) return undefined;
  return holders.map(({ node, address }) => ({ node, address }));
}

/** The names of holders, for the log. */
export function namesOf(holders: readonly CoordinatorHolder[]): string {
  return holders.map(({ node }) => node).join(' ');
}

function decode<Shape>(schema: z.ZodType<Shape>, text: string): Shape | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
