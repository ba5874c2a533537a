/**
 * Emulated model engine over HTTP: OpenAI-compatible streaming completions, load reports, fenced
 * orders, cache events, and faults set by `POST /lab/faults`. Drives {@link EngineCore} in time.
 */
import type http from 'node:http';
import * as z from 'zod';
import type { GenerationRequest } from '../../src/core/generation.js';
import { placementHash } from '../../src/core/hashing.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { completionRequest, engineOrder } from '../../src/platform/engine-wire-client.js';
import type { EngineEvent, WorkerOrderResult } from '../../src/platform/worker.js';
import { AcceptedLog } from './accepted-log.js';
import { decodeHandle, encodeHandle, exportRequest, importRequest } from './cache-handle.js';
import { EngineCore, type EngineOutput } from './engine-core.js';
import type { EngineSettings } from './engine-settings.js';
import {
  type RouteHandler,
  type RunningServer,
  readBody,
  sendJson,
  startServer,
} from './http-server.js';
import type { ExternalLoad } from './order-processing.js';
import { WeightDownloads } from './weight-download.js';

/** Options of {@link startEngineEmulator}. */
export interface EngineEmulatorOptions {
  /** Loopback port; 0 for any free one. */
  readonly port: number;
  readonly settings: EngineSettings;
  /** Engine time for each millisecond of real time. Default 1. */
  readonly timeScale?: number;
  /** Seed of the faults. Default 1. */
  readonly seed?: number;
  /** File that keeps the accepted requests over restarts. Default none. */
  readonly acceptedFile?: string;
  /** Model whose weights and adapters the engine holds. Default `model`. */
  readonly model?: string;
  /** Host and port of the weight store that versions are loaded from. Default none: by time. */
  readonly weightStore?: string;
}

/** Name of a model that none was given for. */
const DEFAULT_MODEL = 'model';

/** Before the number of a completion in its stream. */
const COMPLETION_PREFIX = 'cmpl-';

/** Body of `/lab/faults`; what is absent stays as it is. */
const engineFaults = z.strictObject({
  /** True kills the engine: streams break, and connections are reset until it is false. */
  crashed: z.boolean().optional(),
  leaving: z.boolean().optional(),
  loadFailureRate: z.number().min(0).max(1).optional(),
});

/** Starts an engine. */
export async function startEngineEmulator(options: EngineEmulatorOptions): Promise<RunningServer> {
  const emulator = new EngineEmulator(options);
  const server = await startServer(emulator.routes(), options.port);
  const close = (): Promise<void> => {
    emulator.stop();
    return server.close();
  };
  return { address: server.address, close };
}

class EngineEmulator {
  private readonly core: EngineCore;
  private readonly timeScale: number;
  private readonly accepted: AcceptedLog;
  private readonly downloads: WeightDownloads | undefined;
  private readonly streams = new Map<string, http.ServerResponse>();
  private readonly orders = new Map<string, (result: WorkerOrderResult) => void>();
  private timer: NodeJS.Timeout | undefined;
  private lastId = 0;
  private stopped = false;

  constructor(private readonly options: EngineEmulatorOptions) {
    const { settings, weightStore: address, model = DEFAULT_MODEL } = options;
    const random = createRandomSource(options.seed ?? 1);
    const externalLoads = address !== undefined;
    this.core = new EngineCore(settings, random, externalLoads);
    // Engines of one seed must not wait alike.
    const waits = createRandomSource(placementHash(settings.worker, options.seed ?? 1));
    if (externalLoads) this.downloads = new WeightDownloads({ address, model, random: waits });
    this.timeScale = options.timeScale ?? 1;
    this.accepted = new AcceptedLog(options.acceptedFile ?? null);
  }

  routes(): Record<string, RouteHandler> {
    return {
      'POST /v1/completions': this.unlessCrashed((request, response) =>
        this.complete(request, response),
      ),
      'GET /load': this.unlessCrashed((_request, response) =>
        sendJson(response, 200, this.core.report(this.now())),
      ),
      'GET /cache-events': this.unlessCrashed((_request, response) =>
        sendJson(response, 200, this.core.cacheEvents(this.now())),
      ),
      'POST /orders': this.unlessCrashed((request, response) => this.order(request, response)),
      'GET /v1/models': this.unlessCrashed((_request, response) =>
        sendJson(response, 200, this.models()),
      ),
      'POST /kv/export': this.unlessCrashed((request, response) =>
        this.exportCache(request, response),
      ),
      'POST /kv/import': this.unlessCrashed(async (request, response) => {
        const { handle } = importRequest.parse(await readBody(request));
        this.core.importCache(decodeHandle(handle));
        sendJson(response, 200, {});
      }),
      'GET /lab/accepted': (_request, response) =>
        sendJson(response, 200, this.accepted.document()),
      'POST /lab/faults': async (request, response) => {
        const faults = engineFaults.parse(await readBody(request));
        if (faults.crashed === true) this.crash();
        if (faults.crashed === false) this.core.restart(this.now());
        if (faults.leaving !== undefined) this.core.setLeaving(faults.leaving);
        if (faults.loadFailureRate !== undefined) {
          this.core.setLoadFailureRate(faults.loadFailureRate);
        }
        this.pump();
        sendJson(response, 200, faults);
      },
    };
  }

  stop(): void {
    this.stopped = true;
    this.downloads?.cancelAll();
    clearTimeout(this.timer);
  }

  private now(): Milliseconds {
    return performance.now() * this.timeScale;
  }

  private unlessCrashed(handler: RouteHandler): RouteHandler {
    return (request, response) => {
      if (!this.core.isCrashed) return handler(request, response);
      response.destroy();
    };
  }

  private crash(): void {
    this.core.crash(this.now());
    this.downloads?.cancelAll();
  }

  /** Model and adapters, as OpenAI-compatible engines list them. */
  private models(): object {
    const names = [this.options.model ?? DEFAULT_MODEL, ...this.core.adapters];
    return { object: 'list', data: names.map((id) => ({ id, object: 'model' })) };
  }

  private async exportCache(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { completion } = exportRequest.parse(await readBody(request));
    const cache = this.core.exportCache(completion.slice(COMPLETION_PREFIX.length), this.now());
    if (cache === undefined) sendJson(response, 404, { error: 'no such completion runs' });
    else sendJson(response, 200, { handle: encodeHandle(cache) });
    this.pump();
  }

  private nextId(): string {
    this.lastId += 1;
    return String(this.lastId);
  }

  private async complete(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const parsed = completionRequest.safeParse(await readBody(request));
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    const dispatchId = this.nextId();
    const generation = generationOf(parsed.data);
    if (this.core.start(dispatchId, generation, this.now()) === 'refused') {
      const error = this.core.role === 'prefill' ? 'the engine only reads' : 'the queue is full';
      sendJson(response, 503, { error }, { 'retry-after': '1' });
      return;
    }
    this.accepted.add({
      requestId: generation.requestId,
      prompt: generation.prompt,
      seed: generation.samplingSeed,
      at: Date.now(),
    });
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    this.streams.set(dispatchId, response);
    response.on('close', () => this.closed(dispatchId));
    this.pump();
  }

  /** The caller closed the connection: that cancels the generation. */
  private closed(dispatchId: string): void {
    if (!this.streams.delete(dispatchId)) return;
    this.core.cancel(dispatchId, this.now());
    this.pump();
  }

  private async order(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const parsed = engineOrder.parse(await readBody(request));
    const orderId = this.nextId();
    this.orders.set(orderId, (result) => sendJson(response, 200, result));
    this.core.order(orderId, parsed, this.now());
    this.pump();
  }

  /** Carries out what the engine says up to now, and comes back when it says more. */
  private pump(): void {
    for (const load of this.core.takeExternalLoads()) void this.download(load);
    for (const output of this.core.advance(this.now())) this.deliver(output);
    clearTimeout(this.timer);
    const next = this.core.nextEventAt();
    if (next === undefined || this.stopped) return;
    const delay = Math.max(0, (next - this.now()) / this.timeScale);
    this.timer = setTimeout(() => this.pump(), delay);
  }

  private async download({ orderId, version }: ExternalLoad): Promise<void> {
    const succeeded = (await this.downloads?.fetch(version)) === true;
    if (this.stopped) return;
    this.core.endExternalLoad(orderId, succeeded, this.now());
    this.pump();
  }

  private deliver(output: EngineOutput): void {
    if (output.kind === 'order') {
      this.orders.get(output.orderId)?.(output.result);
      this.orders.delete(output.orderId);
      return;
    }
    const { dispatchId, event } = output;
    const response = this.streams.get(dispatchId);
    if (response === undefined) return;
    if (event.kind !== 'segment') this.streams.delete(dispatchId);
    if (event.kind === 'failed') response.destroy();
    else response.write(encodeEvent(dispatchId, event));
    if (event.kind === 'finished') response.end('data: [DONE]\n\n');
  }
}

function generationOf(body: z.infer<typeof completionRequest>): GenerationRequest {
  const { resume } = body.wardwing;
  return {
    requestId: body.wardwing.requestId,
    account: '',
    intent: '',
    model: body.model,
    trafficClass: body.wardwing.priority,
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    samplingSeed: body.seed,
    repeatable: true,
    oldestVersion: body.wardwing.oldestVersion,
    promptGroup: body.wardwing.promptGroup,
    ...(resume === undefined ? {} : { resume }),
  };
}

function encodeEvent(id: string, event: Exclude<EngineEvent, { kind: 'failed' }>): string {
  const text = event.kind === 'segment' ? event.text : '';
  const finishReason = event.kind === 'finished' ? event.result.finishReason : null;
  const segment = event.kind === 'segment' ? event.segment : null;
  const choices = [{ index: 0, text, finish_reason: finishReason }];
  const chunk = {
    id: COMPLETION_PREFIX + id,
    object: 'text_completion',
    choices,
    wardwing: { segment },
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
