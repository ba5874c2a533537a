/**
 * Tracks from which source this node last received each prefix, and logs changes of the source and
 * the time without a source.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

/** The source of a prefix that is read from the store directly. */
export const STORE_SOURCE = 'store';

/** The source of a prefix that neither a relay nor the store provides. */
const NO_SOURCE = 'nobody';

export interface PrefixSourcesOptions {
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
}

/**
 * The name of a relay, {@link STORE_SOURCE} or {@link NO_SOURCE}, and the time of the last update.
 */
interface PrefixSource {
  readonly source: NodeId;
  readonly updatedAt: Milliseconds;
}

export class PrefixSources {
  private readonly sources = new Map<string, PrefixSource>();
  /** By {@link suspendAwareTime}. */
  private readonly contacts = new Map<string, Milliseconds>();

  constructor(private readonly options: PrefixSourcesOptions) {}

  /** Whether a prefix was received at least once. */
  wasReceived(prefix: string): boolean {
    return this.sources.has(prefix);
  }

  /** The source from which a prefix was last received; {@link NO_SOURCE} if there is none now. */
  sourceOf(prefix: string): NodeId {
    return this.sources.get(prefix)?.source ?? NO_SOURCE;
  }

  /** Time since the last contact about a prefix; infinite before the first. */
  contactAge(prefix: string): Milliseconds {
    const contactAt = this.contacts.get(prefix) ?? Number.NEGATIVE_INFINITY;
    return suspendAwareTime(this.options.clock) - contactAt;
  }

  /**
   * Records a contact: the store or another node answered a request for a prefix, with or without
   * current data.
   */
  noteContact(prefix: string): void {
    this.contacts.set(prefix, suspendAwareTime(this.options.clock));
  }

  /** Records that a source provided a prefix. */
  noteReceived(prefix: string, source: NodeId): void {
    this.noteContact(prefix);
    const now = this.options.clock.now();
    const previous = this.sources.get(prefix);
    this.sources.set(prefix, { source, updatedAt: now });
    if (previous === undefined || previous.source === source) return;
    const unheardMs = Math.round(now - previous.updatedAt);
    const details = { prefix, by: source, before: previous.source, unheardMs };
    this.options.log.state('prefix-followed', details);
  }

  /** Records that no requested node could provide a prefix. */
  noteUnavailable(prefix: string, failures: readonly string[]): void {
    const previous = this.sources.get(prefix);
    if (previous === undefined || previous.source === NO_SOURCE) return;
    this.sources.set(prefix, { source: NO_SOURCE, updatedAt: previous.updatedAt });
    const unheardMs = Math.round(this.options.clock.now() - previous.updatedAt);
    const details = { prefix, by: NO_SOURCE, before: previous.source, unheardMs };
    this.options.log.state('prefix-followed', { ...details, asked: failures.join(' ') });
  }
}
