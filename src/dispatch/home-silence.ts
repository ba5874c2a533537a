/**
 * When each home was last heard, over all its dispatches. One home may run hundreds of dispatches
 * of one origin, so an origin asks a home for a sign of life by one of them and not by each.
 */
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';

/** One home with open dispatches, shared by them. */
export class HomeContact {
  private askedAt: Milliseconds;
  /** Dispatches of the home that are open. */
  open = 0;

  /** @param heardAt when a message of the home last came; the start of its first dispatch */
  constructor(public heardAt: Milliseconds) {
    this.askedAt = heardAt;
  }

  /**
   * Whether the home should be asked for a sign of life now; the asking is noted.
   *
   * @param interval silence after which it is asked
   * @param repeat time after which it is asked again, as question or answer may be lost
   */
  shouldAsk(interval: Milliseconds, repeat: Milliseconds, now: Milliseconds): boolean {
    if (now - this.heardAt < interval || now - this.askedAt < repeat) return false;
    this.askedAt = now;
    return true;
  }
}

/** Homes with open dispatches. */
export class HomeSilence {
  private readonly homes = new Map<string, HomeContact>();

  /** A dispatch to a home is open from now on. */
  opened(home: NodeIdentity, now: Milliseconds): HomeContact {
    const key = identityKey(home);
    const contact = this.homes.get(key) ?? new HomeContact(now);
    contact.open += 1;
    this.homes.set(key, contact);
    return contact;
  }

  /** A dispatch is not open any more. */
  closed(home: NodeIdentity, contact: HomeContact): void {
    contact.open -= 1;
    if (contact.open === 0) this.homes.delete(identityKey(home));
  }

  /** A message of a home came. */
  heard(home: NodeIdentity, now: Milliseconds): void {
    const contact = this.homes.get(identityKey(home));
    if (contact !== undefined) contact.heardAt = now;
  }
}
