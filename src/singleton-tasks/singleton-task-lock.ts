/** Port to the lock that lets one node at a time perform the singleton tasks. */
import type { Revision } from '../core/units.js';

/** Issues fencing tokens; implemented by the coordinator's lock. */
export interface SingletonTaskLock {
  /** The fencing token while this node may act; `undefined` otherwise. */
  fencingToken(): Revision | undefined;
  /** The token for one call; the caller calls {@link endOrder} after the answer or a timeout. */
  beginOrder(): Revision | undefined;
  endOrder(): void;
  /** Called after a token was rejected because a higher one is in use; it is not issued again. */
  noteRefused(token: Revision): void;
}
