/**
 * The log of decisions: one JSON line for each decision that touches a request or changes what the
 * process believes. A budget a second bounds the volume; lines beyond it are counted by event and
 * told in one line. Writing never waits for the reader: beyond a bound of buffered bytes the
 * library drops lines.
 */
import { type DestinationStream, type Logger, pino } from 'pino';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';
import { SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly clock: Clock;
  /** Lines about single requests in one second. @default 60 */
  readonly linesPerSecond?: number;
  /** Where lines go. @default standard output, without waiting for it */
  readonly destination?: DestinationStream;
}

const DEFAULT_LINES_PER_SECOND = 60;

/** Bytes that wait for a reader at most; beyond it lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Writes decisions and changes of state. */
export class DecisionLog {
  private readonly logger: Logger;
  private readonly linesPerWindow: number;
  private windowStart = 0;
  private linesInWindow = 0;
  private readonly dropped = new Map<string, number>();

  constructor(private readonly options: DecisionLogOptions) {
    const settings = {
      base: { node: options.node, zone: options.zone },
      timestamp: pino.stdTimeFunctions.isoTime,
    };
    const destination =
      options.destination ??
      pino.destination({ sync: false, maxLength: MAX_BUFFERED_BYTES, minLength: 0 });
    this.logger = pino(settings, destination);
    this.linesPerWindow = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
  }

  /** A change of what the process believes; always written, as such changes are few. */
  state(event: string, details: ChangeDetails = {}): void {
    this.logger.info(details, event);
  }

  /** A decision about one request or item; counted instead where the budget is used up. */
  decision(event: string, details: ChangeDetails): void {
    this.startWindowIfDue();
    if (this.linesInWindow >= this.linesPerWindow) {
      this.dropped.set(event, (this.dropped.get(event) ?? 0) + 1);
      return;
    }
    this.linesInWindow += 1;
    this.logger.info(details, event);
  }

  /** A fault of wardwing itself. */
  fault(event: string, error: unknown): void {
    this.logger.error({ err: error }, event);
  }

  private startWindowIfDue(): void {
    const now = this.options.clock.now();
    if (now - this.windowStart < SECOND) return;
    this.windowStart = now;
    this.linesInWindow = 0;
    if (this.dropped.size === 0) return;
    this.logger.info(Object.fromEntries(this.dropped), 'log-lines-dropped');
    this.dropped.clear();
  }
}
