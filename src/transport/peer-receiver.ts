/**
 * Receives batches from peers over HTTP: token first, then a body of limited size and time.
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import { HTTP_STATUS } from '../core/http-status.js';
import { decodeEnvelope, type PeerEnvelope } from './peer-envelope.js';
import { BATCH_ACCEPTED_STATUS, PEER_PATH } from './peer-sender.js';
import { PEER_TOKEN_HEADER, PeerTokenCheck } from './peer-token.js';
import type { TransportLimits, TransportStats } from './transport-options.js';

/** Spare time by which the server keeps a connection longer than its client does. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 10_000;

/** Creates the server; `accept` is given each envelope of a peer that knows the token. */
export function createPeerServer(
  token: string,
  limits: TransportLimits,
  stats: TransportStats,
  accept: (envelope: PeerEnvelope) => void,
): Server {
  const check = new PeerTokenCheck(token);
  const server = createServer(listenerFor(check, limits, stats, accept));
  server.maxConnections = limits.maxConnections;
  server.keepAliveTimeout = limits.idleTimeout + KEEP_ALIVE_MARGIN_MILLISECONDS;
  return server;
}

function listenerFor(
  check: PeerTokenCheck,
  limits: TransportLimits,
  stats: TransportStats,
  accept: (envelope: PeerEnvelope) => void,
): RequestListener {
  return (request, response) => {
    if (!check.accepts(request.headers[PEER_TOKEN_HEADER])) {
      stats.refusedToken += 1;
      refuse(response, HTTP_STATUS.unauthorized);
      return;
    }
    if (request.method !== 'POST' || request.url !== PEER_PATH) {
      refuse(response, HTTP_STATUS.notFound);
      return;
    }
    const body = new BodyCollector(limits, request, response, stats);
    body.onComplete((text, bytes) => {
      const envelope = decodeEnvelope(text);
      if (envelope.isErr) {
        stats.refusedBody += 1;
        refuse(response, HTTP_STATUS.badRequest);
        return;
      }
      stats.batchesReceived += 1;
      stats.messagesReceived += envelope.value.messages.length;
      stats.bytesReceived += bytes;
      response.writeHead(BATCH_ACCEPTED_STATUS).end();
      accept(envelope.value);
    });
  };
}

/** Collects one body within the limits. */
class BodyCollector {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #stats: TransportStats;
  readonly #limits: TransportLimits;
  readonly #chunks: Buffer[] = [];
  readonly #timer: NodeJS.Timeout;
  #bytes = 0;
  #ended = false;

  constructor(
    limits: TransportLimits,
    request: IncomingMessage,
    response: ServerResponse,
    stats: TransportStats,
  ) {
    this.#limits = limits;
    this.#request = request;
    this.#response = response;
    this.#stats = stats;
    this.#timer = setTimeout(() => this.#refuse(HTTP_STATUS.requestTimeout), limits.bodyTimeout);
    request.on('data', (chunk: Buffer) => this.#add(chunk));
    request.on('error', () => undefined);
    request.on('close', () => clearTimeout(this.#timer));
  }

  /** Calls back once with the whole body and its size in bytes; never for a refused one. */
  onComplete(complete: (text: string, bytes: number) => void): void {
    this.#request.on('end', () => {
      if (this.#ended) return;
      this.#ended = true;
      clearTimeout(this.#timer);
      complete(Buffer.concat(this.#chunks).toString('utf8'), this.#bytes);
    });
  }

  #add(chunk: Buffer): void {
    if (this.#ended) return;
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limits.maxBodyBytes) this.#refuse(HTTP_STATUS.contentTooLarge);
    else this.#chunks.push(chunk);
  }

  #refuse(status: number): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#chunks.length = 0;
    this.#stats.refusedBody += 1;
    refuse(this.#response, status);
  }
}

function refuse(response: ServerResponse, status: number): void {
  response.writeHead(status, { connection: 'close' }).end();
}
