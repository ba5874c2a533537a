/**
 * Logs decisions and state changes as JSON lines. Decisions are rate-limited: dropped lines are counted
 * by event and logged in one line. Writing never blocks; the library drops lines when its buffer is full.
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
  /** Limit of decision lines per second. @default 60 */
  readonly linesPerSecond?: number;
  /** Destination of the lines. @default standard output, asynchronous */
  readonly destination?: DestinationStream;
}

const DEFAULT_LINES_PER_SECOND = 60;

/** Buffer of the asynchronous destination; lines that exceed it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Writes decisions, state changes and faults. */
export class DecisionLog {
  private readonly logger: Logger;
  private readonly linesPerWindow: number;
  private windowStart = 0;
  private linesInWindow = 0;
  private readonly dropped = new Map<string, number>();

  constructor(private readonly options: DecisionLogOptions) {
    const loggerOptions = {
      base: { node: options.node, zone: options.zone },
      timestamp: pino.stdTimeFunctions.isoTime,
    };
    const destination =
      options.destination ??
      pino.destination({ sync: false, maxLength: MAX_BUFFERED_BYTES, minLength: 0 });
    this.logger = pino(loggerOptions, destination);
    this.linesPerWindow = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
  }

  /** Logs a state change; not rate-limited, as state changes are rare. */
  state(event: string, details: ChangeDetails = {}): void {
    this.logger.info(details, event);
  }

  /** Logs a decision about one request or item; only counts it when the rate limit is reached. */
  decision(event: string, details: ChangeDetails): void {
    this.startWindowIfDue();
    if (this.linesInWindow >= this.linesPerWindow) {
      this.dropped.set(event, (this.dropped.get(event) ?? 0) + 1);
      return;
    }
    this.linesInWindow += 1;
    this.logger.info(details, event);
  }

  /** Logs an internal error. */
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
