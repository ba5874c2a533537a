/**
 * The wait of a new coordinator for the orders of earlier holders. It ends once none of them can have
 * given an order within the transfer delay.
 */
import type { Milliseconds } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { type CoordinatorHolder, namesOf } from './coordinator-records.js';

/** Time after sending a renewal of its lease during which the holder may give orders. */
export const FENCING_TOKEN_VALIDITY: Milliseconds = 1_000;

/** Timeout of the request to resign to an earlier holder. */
const RESIGN_TIMEOUT: Milliseconds = 400;

/** Allowance for message latency, added to the minimum time between two holders' orders. */
const TRANSFER_MARGIN: Milliseconds = 100;

export interface TransferWaitOptions {
  readonly peers: PeerPort;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Minimum time between the last order of one holder and the first of the next. */
  readonly transferDelay: () => Milliseconds;
  /** Whether workers reject orders with a lower fencing token than they have seen. */
  readonly areTokensChecked: () => boolean;
}

/** Decides from when this node may give orders in its terms. */
export class TransferWait {
  /** Infinite before the first term of this process. */
  private endsAt: Milliseconds = Number.POSITIVE_INFINITY;

  constructor(private readonly options: TransferWaitOptions) {}

  get isOver(): boolean {
    return this.options.clock.now() >= this.endsAt;
  }

  /** Ends the wait, as no other node can have given recent orders. */
  skip(): void {
    this.endsAt = this.options.clock.now();
  }

  /**
   * Waits for as long as an earlier holder may rely on its last renewal, and for the transfer delay
   * after that. If all of them are known and resign, the age of the last order shortens the wait,
   * unless `isCurrent` says that another term has begun.
   */
  async begin(
    earlierHolders: readonly CoordinatorHolder[] | undefined,
    isCurrent: () => boolean,
  ): Promise<void> {
    const { clock, log, transferDelay } = this.options;
    this.endsAt = clock.now() + this.maxDuration();
    if (earlierHolders === undefined) return;
    const ages = await Promise.all(earlierHolders.map(({ address }) => this.lastOrderAge(address)));
    if (!isCurrent()) return;
    const lastOrderAge = Math.min(...ages);
    const details = { peers: namesOf(earlierHolders) };
    if (lastOrderAge <= 0) {
      log.state('coordinator-wait', { ...details, waitMs: Math.round(this.remaining) });
      return;
    }
    const wait = Math.max(0, transferDelay() + TRANSFER_MARGIN - lastOrderAge);
    this.endsAt = Math.min(this.endsAt, clock.now() + wait);
    log.state('coordinator-resigned', { ...details, waitMs: Math.round(this.remaining) });
  }

  /**
   * Time for which no earlier holder has given an order; at least the transfer delay once the wait is
   * over, and infinite before the first term of this process.
   */
  get earlierOrderAge(): Milliseconds {
    if (this.endsAt === Number.POSITIVE_INFINITY) return this.endsAt;
    const { transferDelay } = this.options;
    return Math.max(0, transferDelay() + TRANSFER_MARGIN - this.remaining);
  }

  /** Asks a holder to resign. */
  requestResignation(address: string): Promise<PeerOutcome<'resign-coordinator'>> {
    const request = { kind: 'resign-coordinator' } as const;
    return this.options.peers.request<'resign-coordinator'>(address, request, RESIGN_TIMEOUT);
  }

  private get remaining(): Milliseconds {
    return this.endsAt - this.options.clock.now();
  }

  /** Time since the last order of a node that resigns; 0 if an order may still be in flight. */
  private async lastOrderAge(address: string): Promise<Milliseconds> {
    const outcome = await this.requestResignation(address);
    return outcome.kind === 'answered' ? outcome.answer.lastOrderAge : 0;
  }

  /**
   * If workers do not check tokens, an earlier holder may still give orders until its last lease
   * renewal is too old.
   */
  private maxDuration(): Milliseconds {
    const { transferDelay, areTokensChecked } = this.options;
    return transferDelay() + (areTokensChecked() ? 0 : FENCING_TOKEN_VALIDITY);
  }
}
