/** Takes the questions of other nodes. */
import http from 'node:http';
import { parse, stringify } from 'devalue';
import * as z from 'zod';
import { readWhole } from '../serving/read-chunks.js';
import { PEER_PATH } from './peer-client.js';
import type { PeerHandler, PeerRequest } from './peer-messages.js';

/** Kinds of questions; the fields of each are trusted, as only nodes reach the address. */
const KINDS: Readonly<Record<PeerRequest['kind'], true>> = {
  probe: true,
  'kept-work': true,
  'job-results': true,
  'end-job': true,
  'surrender-job': true,
  'submit-for': true,
  'read-for': true,
  'end-for': true,
  'adopt-job': true,
  'item-body': true,
  'take-job': true,
  'worker-ended': true,
  'usage-counts': true,
  'cold-permits': true,
  'need-weights': true,
  'weights-change': true,
  'resign-coordinator': true,
  'follow-prefix': true,
  'list-prefix': true,
  'journal-claim': true,
  'journal-append': true,
  'journal-release': true,
  'journal-look': true,
  'journal-list': true,
};

const REQUEST = z.looseObject({ kind: z.enum(Object.keys(KINDS)) });

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const FAILED = 500;

/** Largest question in bytes. */
const MAXIMUM_BYTES = 4_194_304;

/** Listens on the node-to-node address. */
export class PeerServer {
  private readonly server: http.Server;
  /**
   * Answers as they go out, by the answer itself: a list of 3,003 workers takes 28 ms of a whole core
   * to write, and a relay gives the same one to all its followers after a restart.
   */
  private readonly written = new WeakMap<object, string>();

  /** `noteFault` is told of questions whose answer failed here; who asked is told of no cause. */
  constructor(
    private readonly handler: PeerHandler,
    private readonly noteFault: (error: unknown) => void = () => {},
  ) {
    this.server = http.createServer((request, response) => void this.serve(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens; resolves with the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  /** Takes no more questions. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private write(answer: object): string {
    const known = this.written.get(answer);
    if (known !== undefined) return known;
    const body = stringify(answer);
    this.written.set(answer, body);
    return body;
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.url !== PEER_PATH) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    const question = await readRequest(request);
    if (question === undefined) {
      response.writeHead(BAD_REQUEST).end();
      return;
    }
    try {
      const body = this.write(await this.handler.answer(question));
      response.writeHead(OK, { 'content-type': 'application/json' }).end(body);
    } catch (error) {
      this.noteFault(error);
      response.writeHead(FAILED).end();
    }
  }
}

async function readRequest(request: http.IncomingMessage): Promise<PeerRequest | undefined> {
  const body = await readWhole(request, MAXIMUM_BYTES);
  if (body === undefined) return undefined;
  try {
    const value: unknown = parse(body.toString('utf8'));
    return REQUEST.safeParse(value).success ? (value as PeerRequest) : undefined;
  } catch {
    return undefined;
  }
}
