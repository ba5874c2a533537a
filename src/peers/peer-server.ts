/** Serves the requests of other nodes over HTTP. */
import type http from 'node:http';
import { parse, stringify } from 'devalue';
import * as z from 'zod';
import { type Milliseconds, SECOND } from '../core/units.js';
import { failure } from '../errors/error-kinds.js';
import { readBody } from '../limits/body-reader.js';
import { type ClosingCause, createClientServer } from '../limits/client-server.js';
import { capacityFor, MemoryBudget } from '../limits/memory-budget.js';
import {
  DEFAULT_MACHINE_LIMITS,
  type ProcessLimits,
  processLimitsOf,
} from '../limits/process-limits.js';
import type { PeerHandler, PeerRequest } from './peer-messages.js';
import { PEER_PATH, PEER_STATUS, withRequestDefaults } from './peer-protocol.js';

/** Only `kind` is checked, because the address is reachable only for nodes of the fleet. */
const REQUEST = z.looseObject({ kind: z.string() });

const MAX_REQUEST_BYTES = 4_194_304;

const HEADER_TIMEOUT: Milliseconds = 10 * SECOND;
const KEEP_ALIVE_TIMEOUT: Milliseconds = 60 * SECOND;

/** Time without a byte of a request's body, and for its answer to be read. */
const TRANSFER_TIMEOUT: Milliseconds = 10 * SECOND;

export interface PeerServerOptions {
  /** @default those of the default machine */
  readonly limits?: Pick<ProcessLimits, 'peerConnections' | 'peerBytes'>;
  /** Called when a limit closes a connection. */
  readonly onClosed?: (cause: ClosingCause) => void;
}

/** HTTP server on the node-to-node address. */
export class PeerServer {
  private readonly server: http.Server;
  /**
   * Encoded answers by answer object. A relay sends the same large snapshot to all its followers
   * after a restart, and a list of 3,000 workers takes 28 ms of a whole core to encode.
   */
  private readonly encodedAnswers = new WeakMap<object, string>();

  private readonly memory: MemoryBudget;

  /** `onFault` receives the errors of failed requests; the peer gets only a status. */
  constructor(
    private readonly handler: PeerHandler,
    private readonly onFault: (error: unknown) => void = () => {},
    options: PeerServerOptions = {},
  ) {
    const { limits = processLimitsOf(DEFAULT_MACHINE_LIMITS), onClosed } = options;
    this.memory = new MemoryBudget({
      capacity: () => Math.max(limits.peerBytes, capacityFor(MAX_REQUEST_BYTES)),
      now: () => performance.now(),
    });
    const serverOptions = {
      maxConnections: limits.peerConnections,
      headerTimeout: HEADER_TIMEOUT,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
      ...(onClosed && { onClosed }),
    };
    this.server = createClientServer(
      serverOptions,
      (request, response) => void this.serve(request, response),
    );
  }

  /** Resolves with the port, which the system chooses if `port` is 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private encode(answer: object): string {
    const cachedBody = this.encodedAnswers.get(answer);
    if (cachedBody !== undefined) return cachedBody;
    const body = stringify(answer);
    this.encodedAnswers.set(answer, body);
    return body;
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.url !== PEER_PATH) {
      response.writeHead(PEER_STATUS.otherPath).end();
      return;
    }
    const peerRequest = await this.readRequest(request, response);
    response.once('prefinish', () => response.setTimeout(TRANSFER_TIMEOUT));
    if (typeof peerRequest === 'number') {
      response.writeHead(peerRequest).end();
      return;
    }
    try {
      const answer = await this.handler.answer(withRequestDefaults(peerRequest));
      if (answer === undefined) response.writeHead(PEER_STATUS.unknownKind).end();
      else {
        const headers = { 'content-type': 'application/json' };
        response.writeHead(PEER_STATUS.answered, headers).end(this.encode(answer));
      }
    } catch (error) {
      this.onFault(error);
      response.writeHead(PEER_STATUS.failed).end();
    }
  }

  /** Reads a request; returns the error status if it is too large or malformed. */
  private async readRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<PeerRequest | number> {
    const holding = this.memory.open();
    response.once('close', () => holding.close());
    const body = await readBody({
      request,
      maxBytes: MAX_REQUEST_BYTES,
      raiseLimit: async () => failure('body_too_large', `more than ${MAX_REQUEST_BYTES} bytes`),
      holding,
      idleTimeout: TRANSFER_TIMEOUT,
    });
    if (body === undefined || 'detail' in body) return PEER_STATUS.tooLong;
    try {
      const value: unknown = parse(body.toString('utf8'));
      return REQUEST.safeParse(value).success ? (value as PeerRequest) : PEER_STATUS.malformed;
    } catch {
      return PEER_STATUS.malformed;
    }
  }
}
