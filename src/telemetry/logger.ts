/**
 * The log: one JSON object a line on standard output, for changes of state only. What happens
 * often is counted instead; see `counters.ts`.
 */
import { type DestinationStream, type Logger, pino } from 'pino';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';

/** Settings of {@link createLogger}. */
export interface LoggerOptions {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** @default 'info' */
  readonly level?: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Where lines go. @default standard output */
  readonly destination?: DestinationStream;
}

/** The log of one node. */
export interface NodeLogger {
  /** Writes one line: which module, what changed, and the facts. */
  logStateChange(module: string, change: string, details: ChangeDetails): void;
  /** Writes one line about a fault of wardwing itself. */
  logFault(module: string, fault: unknown): void;
}

/** Makes the log of a node; every line bears the node and its zone. */
export function createLogger(options: LoggerOptions): NodeLogger {
  const logger = createPino(options);
  return {
    logStateChange: (module, change, details) => logger.info({ module, change, details }, change),
    logFault: (module, fault) => logger.error({ module, err: fault }, 'fault'),
  };
}

function createPino(options: LoggerOptions): Logger {
  const settings = {
    level: options.level ?? 'info',
    base: { node: options.node, zone: options.zone },
    timestamp: pino.stdTimeFunctions.isoTime,
  };
  return options.destination === undefined ? pino(settings) : pino(settings, options.destination);
}
