/**
 * Counters of the gateway.
 */
import { ERROR_KINDS, type ErrorKind } from '../errors/error-kinds.js';
import type { CallOutcome } from './call-runner.js';

/** Counters since the start of the process. */
export interface GatewayStats {
  /** Requests that reached a route with a valid token. */
  readonly requests: number;
  readonly answered: number;
  readonly callersLeft: number;
  readonly readersTooSlow: number;
  /** Failures answered, by kind. */
  readonly failures: Readonly<Record<ErrorKind, number>>;
  /** Calls under way now. */
  readonly inFlight: number;
  /** Bytes of bodies being received now. */
  readonly bodyBytes: number;
}

/** Counts what the gateway does. */
export class GatewayCounters {
  readonly #failures = Object.fromEntries(ERROR_KINDS.map((kind) => [kind, 0])) as Record<
    ErrorKind,
    number
  >;
  #requests = 0;
  #answered = 0;
  #callersLeft = 0;
  #readersTooSlow = 0;

  /** Counts a request in. */
  countRequest(): void {
    this.#requests += 1;
  }

  /** Counts a failure of a kind. */
  countFailure(kind: ErrorKind): void {
    this.#failures[kind] += 1;
  }

  /** Counts a caller that left before its answer. */
  countCallerLeft(): void {
    this.#callersLeft += 1;
  }

  /** Counts how a call ended. */
  countOutcome(outcome: CallOutcome): void {
    if (outcome.kind === 'answered') this.#answered += 1;
    else if (outcome.kind === 'failed') this.countFailure(outcome.failure.kind);
    else if (outcome.cause === 'reader-too-slow') this.#readersTooSlow += 1;
    else this.countCallerLeft();
  }

  /** The counters now. */
  snapshot(inFlight: number, bodyBytes: number): GatewayStats {
    return {
      requests: this.#requests,
      answered: this.#answered,
      callersLeft: this.#callersLeft,
      readersTooSlow: this.#readersTooSlow,
      failures: { ...this.#failures },
      inFlight,
      bodyBytes,
    };
  }
}
