/** The lock under which one node at a time does the duties, as these see it. */
import type { Revision } from '../core/units.js';

/** Gives tokens for calls and orders; the coordinator's lock implements it. */
export interface SingletonTaskLock {
  /** The fencing token while this node may act; `undefined` otherwise. */
  fencingToken(): Revision | undefined;
  /** The token for one call; {@link endOrder} is called once it is answered or given up. */
  beginOrder(): Revision | undefined;
  endOrder(): void;
  /** A token was refused for a lower one than was seen: it is not used again. */
  noteRefused(token: Revision): void;
}
