/**
 * Logs decisions, rejections and state changes as JSON lines. Decisions and rejections are each
 * rate-limited: dropped lines are counted by event and logged in one line. Writing never blocks; the
 * library drops lines when its buffer is full.
 */
import { type DestinationStream, type Logger, pino } from 'pino';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';
import type { Clock } from '../serving/clock.js';
import { LineBudget } from './line-budget.js';

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

/** Limit of rejection lines per second, beside that of decisions. */
const REJECTION_LINES_PER_SECOND = 10;

/** Buffer of the asynchronous destination; lines that exceed it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Writes decisions, rejections, state changes and faults. */
export class DecisionLog {
  private readonly logger: Logger;
  private readonly decisions: LineBudget;
  private readonly rejections: LineBudget;

  constructor(options: DecisionLogOptions) {
    const loggerOptions = {
      base: { node: options.node, zone: options.zone },
      timestamp: pino.stdTimeFunctions.isoTime,
    };
    const destination =
      options.destination ??
      pino.destination({ sync: false, maxLength: MAX_BUFFERED_BYTES, minLength: 0 });
    this.logger = pino(loggerOptions, destination);
    const { clock, linesPerSecond = DEFAULT_LINES_PER_SECOND } = options;
    const onDropped = (counts: Readonly<Record<string, number>>): void =>
      this.logger.info(counts, 'log-lines-dropped');
    this.decisions = new LineBudget({ clock, linesPerSecond, onDropped });
    const rejectionOptions = { clock, linesPerSecond: REJECTION_LINES_PER_SECOND, onDropped };
    this.rejections = new LineBudget(rejectionOptions);
  }

  /** Logs a state change; not rate-limited, as state changes are rare. */
  state(event: string, details: ChangeDetails = {}): void {
    this.logger.info(details, event);
  }

  /** Logs a decision about one request or item; only counts it when the rate limit is reached. */
  decision(event: string, details: ChangeDetails): void {
    if (this.decisions.admit(event)) this.logger.info(details, event);
  }

  /** Logs the rejection of a request, like a decision, under a rate limit of its own. */
  rejection(event: string, details: ChangeDetails): void {
    if (this.rejections.admit(event)) this.logger.info(details, event);
  }

  /** Logs an internal error. */
  fault(event: string, error: unknown): void {
    this.logger.error({ err: error }, event);
  }
}
