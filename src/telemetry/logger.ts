/** Logs state changes and faults as JSON lines; frequent events are counted instead (`counters.ts`). */
import { type DestinationStream, type Logger, pino } from 'pino';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { ChangeDetails } from '../core/state-change.js';

/** Settings of {@link createLogger}. */
export interface LoggerOptions {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** @default 'info' */
  readonly level?: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Destination of the lines. @default standard output */
  readonly destination?: DestinationStream;
}

/** The log of one node. */
export interface NodeLogger {
  /** Logs a state change of a module. */
  logStateChange(module: string, change: string, details: ChangeDetails): void;
  /** Logs an internal error. */
  logFault(module: string, fault: unknown): void;
}

/** Creates the log of a node; every line has the fields `node` and `zone`. */
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
