/**
 * Client of the key-value service. Never repeats a request by itself: whether a write may have
 * taken effect is told to the caller, who settles it by reading back.
 */
import http from 'node:http';
import { FIRST_SERVER_ERROR_STATUS, HTTP_STATUS } from '../core/http-status.js';
import { MEBIBYTE, type Milliseconds, type Revision } from '../core/units.js';
import { exchangeHttp, type HttpOutcome, parseJson } from './http-exchange-client.js';
import type { KeyValueOperation, KeyValueResult, KeyValueWatchEvent } from './key-value.js';
import { startWatch } from './key-value-watch-client.js';
import { decodeResult, encodeOperation } from './key-value-wire-client.js';

/** Options of {@link KeyValueClient}. */
export interface KeyValueClientOptions {
  /** Host and port of the service. */
  readonly address: string;
  /** Time for one operation. Default 2 s. */
  readonly requestTimeout?: Milliseconds;
  /** Largest answer to one operation, in bytes. Default 64 MiB. */
  readonly maximumBytes?: number;
  /** How often an open watch asks how far it has seen. Default 1 s. */
  readonly progressInterval?: Milliseconds;
  /** A watch that hears nothing for this long is lost. Default 5 s. */
  readonly watchSilenceLimit?: Milliseconds;
}

const DEFAULTS = {
  requestTimeout: 2_000,
  maximumBytes: 64 * MEBIBYTE,
  progressInterval: 1_000,
  watchSilenceLimit: 5_000,
} as const;

/** Connections for operations; watches have their own. */
const MAXIMUM_SOCKETS = 8;

/** When to come back after a failure that names no time. */
const DEFAULT_RETRY_AFTER: Milliseconds = 1_000;

/** Speaks to one key-value service. */
export class KeyValueClient {
  private readonly options: Required<KeyValueClientOptions>;
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });
  private readonly watchAgent = new http.Agent({ keepAlive: false });
  private readonly watches = new Set<() => void>();

  constructor(options: KeyValueClientOptions) {
    this.options = { ...DEFAULTS, ...options };
  }

  /** Performs one operation; never rejects. */
  async perform(operation: KeyValueOperation): Promise<KeyValueResult> {
    const outcome = await exchangeHttp({
      agent: this.agent,
      address: this.options.address,
      method: 'POST',
      ...encodeOperation(operation),
      timeout: this.options.requestTimeout,
      maximumBytes: this.options.maximumBytes,
    });
    return resultOf(operation, outcome);
  }

  /**
   * Reports all changes below a prefix with `modRevision >= fromRevision`, and regularly how far
   * the watch has seen. After `lost` nothing more comes. Returns a function that ends the watch.
   */
  watch(
    prefix: string,
    fromRevision: Revision,
    listener: (event: KeyValueWatchEvent) => void,
  ): () => void {
    const stopWatch = startWatch({
      ...this.options,
      agent: this.watchAgent,
      prefix,
      fromRevision,
      listener: (event) => {
        if (event.kind === 'lost') this.watches.delete(stop);
        listener(event);
      },
    });
    const stop = (): void => {
      this.watches.delete(stop);
      stopWatch();
    };
    this.watches.add(stop);
    return stop;
  }

  /** Ends all watches and connections. */
  close(): void {
    for (const stop of [...this.watches]) stop();
    this.agent.destroy();
    this.watchAgent.destroy();
  }
}

function resultOf(operation: KeyValueOperation, outcome: HttpOutcome): KeyValueResult {
  const writes = operation.kind === 'transaction';
  if (outcome.kind === 'not-sent') return failed(false);
  if (outcome.kind === 'lost') return failed(writes);
  if (outcome.status === HTTP_STATUS.tooManyRequests) {
    return { ...failed(false, outcome.retryAfter), reason: 'rate-limited' };
  }
  if (outcome.status === HTTP_STATUS.ok) {
    return decodeResult(operation.kind, parseJson(outcome.body)) ?? failed(writes);
  }
  // A service may answer 5xx for a write that it still carries out, such as after a timeout.
  return failed(writes && outcome.status >= FIRST_SERVER_ERROR_STATUS, outcome.retryAfter);
}

function failed(
  mayHaveApplied: boolean,
  retryAfter: Milliseconds = 0,
): Extract<KeyValueResult, { kind: 'failed' }> {
  return {
    kind: 'failed',
    reason: 'unavailable',
    mayHaveApplied,
    retryAfter: retryAfter > 0 ? retryAfter : DEFAULT_RETRY_AFTER,
  };
}
