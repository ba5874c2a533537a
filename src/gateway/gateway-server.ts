/**
 * The HTTP server for callers, trainers and operators: authenticates, checks, hands calls to the
 * node and answers.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Milliseconds } from '../core/units.js';
import type { CallHandler } from './call-handler.js';
import { answerConnectionError } from './connection-errors.js';
import {
  DEFAULT_GATEWAY_LIMITS,
  type GatewayLimits,
  type GatewayOptions,
} from './gateway-options.js';
import type { GatewayStats } from './gateway-stats.js';
import { RequestPipeline } from './request-pipeline.js';
import { allRoutes } from './routes.js';

/** How often Node looks for connections that are too slow. */
const CONNECTION_CHECK_MILLISECONDS = 1_000;

/** How long a connection without requests stays open. */
const KEEP_ALIVE_MILLISECONDS = 65_000;

/** Answers HTTP requests from outside. */
export class GatewayServer {
  readonly #options: GatewayOptions;
  readonly #pipeline: RequestPipeline;
  readonly #server: Server;
  readonly #lingerTime: Milliseconds;

  /** Throws a `RangeError` where an account's digest is not a SHA-256 in hexadecimal. */
  constructor(options: GatewayOptions, handler: CallHandler) {
    const limits: GatewayLimits = { ...DEFAULT_GATEWAY_LIMITS, ...options.limits };
    const routes = allRoutes({ limits, handler, parseIntent: options.parseIntent });
    this.#options = options;
    this.#pipeline = new RequestPipeline(limits, options.accounts, routes, handler);
    this.#server = this.#createServer(limits);
    this.#lingerTime = limits.lingerTime;
  }

  /** Starts listening and gives the address; rejects where the port cannot be had. */
  async start(): Promise<{ readonly address: string }> {
    const { host, port } = this.#options.listen;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    const actual = this.#server.address() as AddressInfo;
    return { address: `${host}:${actual.port}` };
  }

  /** Refuses new calls with `stopping` and resolves when the running ones have ended. */
  async drain(): Promise<void> {
    await this.#pipeline.drain();
  }

  /**
   * Stops listening and closes idle connections at once, the others after `lingerTime`: answers on
   * their way still arrive, calls still running are abandoned.
   */
  async stop(): Promise<void> {
    const cut = setTimeout(() => this.#server.closeAllConnections(), this.#lingerTime);
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
    clearTimeout(cut);
  }

  /** Counters since the start. */
  stats(): GatewayStats {
    return this.#pipeline.stats();
  }

  #createServer(limits: GatewayLimits): Server {
    const server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        headersTimeout: limits.headerTimeout,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
      },
      (request, response) => this.#pipeline.handle({ request, response }),
    );
    server.on('checkContinue', (request, response) => this.#pipeline.handle({ request, response }));
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.#pipeline.countFailure(answerConnectionError(error, socket));
    });
    server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
    server.maxConnections = limits.maxConnections;
    return server;
  }
}
