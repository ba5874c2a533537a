/**
 * Client of model engines: OpenAI-compatible streaming completions with wardwing's extension
 * fields, load reports and fenced orders. Never repeats a request by itself.
 */
import http from 'node:http';
import type { GenerationRequest } from '../core/generation.js';
import { HTTP_STATUS } from '../core/http-status.js';
import { MEBIBYTE, type Milliseconds } from '../core/units.js';
import { startGeneration } from './engine-stream-client.js';
import { orderResult, workerReport } from './engine-wire-client.js';
import { exchangeHttp, type HttpOutcome, parseJson } from './http-exchange-client.js';
import type {
  EngineEvent,
  EngineOrder,
  WorkerOrderResult,
  WorkerRecord,
  WorkerReport,
} from './worker.js';

/** Options of {@link EngineClient}. */
export interface EngineClientOptions {
  /** Time for one load report. Default 1 s. */
  readonly reportTimeout?: Milliseconds;
  /** Time for one order, which may load weights. Default 60 s. */
  readonly orderTimeout?: Milliseconds;
  /** A generation that streams nothing for this long has failed. Default 120 s. */
  readonly streamSilenceLimit?: Milliseconds;
  /** Largest report, order result, line of a stream or whole text. Default 16 MiB. */
  readonly maximumBytes?: number;
}

const DEFAULTS = {
  reportTimeout: 1_000,
  orderTimeout: 60_000,
  streamSilenceLimit: 120_000,
  maximumBytes: 16 * MEBIBYTE,
} as const;

/** Connections an engine for reports and orders; generations have one each. */
const MAXIMUM_SOCKETS = 4;

/** Speaks to all engines. */
export class EngineClient {
  private readonly options: Required<EngineClientOptions>;
  private readonly streamAgent = new http.Agent({ keepAlive: true });
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });

  constructor(options: EngineClientOptions = {}) {
    this.options = { ...DEFAULTS, ...options };
  }

  /**
   * Runs a generation; the last event is `finished` or `failed`. Returns a function that cancels
   * it, after which no event comes.
   */
  generate(
    worker: WorkerRecord,
    request: GenerationRequest,
    listener: (event: EngineEvent) => void,
  ): () => void {
    return startGeneration({
      agent: this.streamAgent,
      address: worker.address,
      request,
      silenceLimit: this.options.streamSilenceLimit,
      maximumBytes: this.options.maximumBytes,
      listener,
    });
  }

  /** The engine's load report; `undefined` where it fails, is too late or breaks the schema. */
  async report(worker: WorkerRecord): Promise<WorkerReport | undefined> {
    const outcome = await this.exchange(worker, '/load', this.options.reportTimeout);
    if (outcome.kind !== 'answer' || outcome.status !== HTTP_STATUS.ok) return undefined;
    return workerReport.safeParse(parseJson(outcome.body)).data;
  }

  /** Gives a fenced order; a missing answer is `failed`, and the order may still take effect. */
  async order(worker: WorkerRecord, order: EngineOrder): Promise<WorkerOrderResult> {
    const outcome = await this.exchange(worker, '/orders', this.options.orderTimeout, order);
    if (outcome.kind !== 'answer') return { kind: 'failed', reason: outcome.reason };
    const result = orderResult.safeParse(parseJson(outcome.body));
    if (result.success) return result.data;
    return { kind: 'failed', reason: `unreadable answer, status ${outcome.status}` };
  }

  /** Ends all connections. */
  close(): void {
    this.agent.destroy();
    this.streamAgent.destroy();
  }

  private exchange(
    worker: WorkerRecord,
    path: string,
    timeout: Milliseconds,
    body?: unknown,
  ): Promise<HttpOutcome> {
    return exchangeHttp({
      agent: this.agent,
      address: worker.address,
      method: body === undefined ? 'GET' : 'POST',
      path,
      timeout,
      maximumBytes: this.options.maximumBytes,
      ...(body === undefined ? {} : { body }),
    });
  }
}
