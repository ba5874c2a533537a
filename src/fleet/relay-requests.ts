/** Requests relays in order until one of them has current data. */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerAnswers, PeerOutcome, PeerPort, PeerRequestOf } from '../peers/peer-messages.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { PrefixSources } from './prefix-sources.js';
import type { RelayChoice, RelayFleet } from './relay-choice.js';

export type RelayRequestKind = 'follow-prefix' | 'list-prefix';

export type CurrentAnswer<Kind extends RelayRequestKind> = Extract<
  PeerAnswers[Kind],
  { isCurrent: true }
>;

/** The outcome of requesting the relays. */
export type RelaysOutcome<Kind extends RelayRequestKind> =
  | {
      readonly kind: 'answered';
      readonly relay: NodeId;
      readonly answer: CurrentAnswer<Kind>;
      /** Time from the request to its answer. */
      readonly duration: Milliseconds;
    }
  /** Relays answered but may be missing changes of the store. */
  | {
      readonly kind: 'not-current';
      readonly relays: readonly NodeId[];
      /** Whether some of them read the store now. */
      readonly areReadingStore: boolean;
    }
  | { readonly kind: 'no-relay' };

export interface RelaysTimeouts {
  /** Time after which a relay that has not answered is passed over, for all relays until then. */
  readonly firstTimeout: Milliseconds;
  /** Time for each further relay. */
  readonly nextTimeout: Milliseconds;
  /** Time for all relays. */
  readonly timeout: Milliseconds;
}

/** One round of requests to relays. */
export interface RelaysRequest<Kind extends RelayRequestKind> extends RelaysTimeouts {
  readonly prefix: string;
  readonly relays: readonly NodeId[];
  /** Time for which the relays may wait for a change, all together. */
  readonly wait: Milliseconds;
  readonly request: (wait: Milliseconds) => PeerRequestOf<Kind>;
  /** Aborted once another source has answered. */
  readonly superseded: AbortSignal;
}

export interface RelayRequestsOptions {
  readonly peers: PeerPort;
  readonly fleet: () => Pick<RelayFleet, 'addressOf'>;
  readonly choice: Pick<RelayChoice, 'noteAnswer' | 'noteSilence' | 'penalize'>;
  readonly sources: PrefixSources;
  readonly clock: Clock;
  readonly metrics: FleetMetrics;
}

/** The answer of a relay that has current data; `undefined` if there is none. */
export function currentAnswer<Kind extends RelayRequestKind>(
  outcome: PeerOutcome<Kind>,
): CurrentAnswer<Kind> | undefined {
  if (outcome.kind !== 'answered' || !outcome.answer.isCurrent) return undefined;
  return outcome.answer as CurrentAnswer<Kind>;
}

/** Sends requests to relays and records which of them help. */
export class RelayRequests {
  constructor(private readonly options: RelayRequestsOptions) {}

  /** Requests the relays in order until one is current or the time is over. */
  async send<Kind extends RelayRequestKind>(
    round: RelaysRequest<Kind>,
  ): Promise<RelaysOutcome<Kind>> {
    const { peers, fleet, clock, sources, choice } = this.options;
    const { prefix, superseded } = round;
    const startedAt = clock.now();
    const notCurrent: NodeId[] = [];
    const failures: string[] = [];
    let areReadingStore = false;
    for (const relay of round.relays) {
      const address = fleet().addressOf(relay);
      const elapsed = clock.now() - startedAt;
      const wait = Math.max(0, round.wait - elapsed);
      const timeout = timeoutAfter(elapsed, round);
      if (timeout <= 0 || superseded.aborted) break;
      if (address === undefined) continue;
      const sentAt = suspendAwareTime(clock);
      const outcome = await peers.request<Kind>(address, round.request(wait), timeout);
      const answer = currentAnswer(outcome);
      const failure = outcome.kind === 'answered' ? 'not-current' : outcome.kind;
      this.options.metrics.count('relayed_watches', { outcome: answer ? 'current' : failure });
      if (outcome.kind === 'answered') choice.noteAnswer(relay);
      if (answer !== undefined) {
        this.penalize(notCurrent);
        if (!superseded.aborted) sources.noteReceived(prefix, relay);
        const duration = suspendAwareTime(clock) - sentAt;
        return { kind: 'answered', relay, answer, duration };
      }
      failures.push(`${relay}:${failure}`);
      if (outcome.kind === 'answered') {
        sources.noteContact(prefix);
        notCurrent.push(relay);
        areReadingStore ||= 'isReadingStore' in outcome.answer;
      } else choice.noteSilence(relay);
    }
    if (superseded.aborted) this.penalize(notCurrent);
    else sources.noteUnavailable(prefix, failures);
    if (notCurrent.length === 0) return { kind: 'no-relay' };
    return { kind: 'not-current', relays: notCurrent, areReadingStore };
  }

  private penalize(relays: readonly NodeId[]): void {
    for (const relay of relays) this.options.choice.penalize(relay);
  }
}

function timeoutAfter(
  elapsed: Milliseconds,
  { firstTimeout, nextTimeout, timeout }: RelaysTimeouts,
): Milliseconds {
  const limit = elapsed < firstTimeout ? firstTimeout - elapsed : nextTimeout;
  return Math.min(limit, timeout - elapsed);
}
