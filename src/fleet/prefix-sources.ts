/**
 * Who told of each followed prefix last, and when: a change of the source, and how long nobody told,
 * is what a late change is explained by.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

/** The source of a prefix that comes from the store without a relay. */
export const STORE_SOURCE = 'store';

/** The source of a prefix of which neither a relay nor the store tells. */
const NO_SOURCE = 'nobody';

/** Options of {@link PrefixSources}. */
export interface PrefixSourcesOptions {
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
}

/** A relay by its name, the store, or nobody. */
interface PrefixSource {
  readonly source: NodeId;
  readonly heardAt: Milliseconds;
}

/** Keeps in mind where the followed prefixes come from. */
export class PrefixSources {
  private readonly sources = new Map<string, PrefixSource>();
  /** By {@link suspendAwareTime}. */
  private readonly contacts = new Map<string, Milliseconds>();

  constructor(private readonly options: PrefixSourcesOptions) {}

  /** Whether a prefix has ever been told of. */
  isKnown(prefix: string): boolean {
    return this.sources.has(prefix);
  }

  /** Time since the last contact about a prefix; infinite before the first. */
  contactAge(prefix: string): Milliseconds {
    const contactAt = this.contacts.get(prefix) ?? Number.NEGATIVE_INFINITY;
    return suspendAwareTime(this.options.clock) - contactAt;
  }

  /** The store told of a prefix, or another node that was asked answered, whatever it knew. */
  noteContact(prefix: string): void {
    this.contacts.set(prefix, suspendAwareTime(this.options.clock));
  }

  /** A source told of a prefix. */
  noteHeard(prefix: string, source: NodeId): void {
    this.noteContact(prefix);
    const now = this.options.clock.now();
    const before = this.sources.get(prefix);
    this.sources.set(prefix, { source, heardAt: now });
    if (before === undefined || before.source === source) return;
    const unheardMs = Math.round(now - before.heardAt);
    const details = { prefix, by: source, before: before.source, unheardMs };
    this.options.log.state('prefix-followed', details);
  }

  /** Nobody that was asked could tell of a prefix. */
  noteUnheard(prefix: string, refusals: readonly string[]): void {
    const before = this.sources.get(prefix);
    if (before === undefined || before.source === NO_SOURCE) return;
    this.sources.set(prefix, { source: NO_SOURCE, heardAt: before.heardAt });
    const unheardMs = Math.round(this.options.clock.now() - before.heardAt);
    const details = { prefix, by: NO_SOURCE, before: before.source, unheardMs };
    this.options.log.state('prefix-followed', { ...details, asked: refusals.join(' ') });
  }
}
