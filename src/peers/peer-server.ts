/** Takes the questions of other nodes. */
import http from 'node:http';
import { parse, stringify } from 'devalue';
import * as z from 'zod';
import { readWhole } from '../serving/read-chunks.js';
import type { PeerHandler, PeerRequest } from './peer-messages.js';
import { PEER_PATH, PEER_STATUS, wholeQuestion } from './peer-protocol.js';

/** The fields of a question are trusted, as only nodes reach the address. */
const REQUEST = z.looseObject({ kind: z.string() });

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
      response.writeHead(PEER_STATUS.otherPath).end();
      return;
    }
    const question = await readRequest(request);
    if (typeof question === 'number') {
      response.writeHead(question).end();
      return;
    }
    try {
      const answer = await this.handler.answer(wholeQuestion(question));
      if (answer === undefined) response.writeHead(PEER_STATUS.unknownKind).end();
      else {
        const headers = { 'content-type': 'application/json' };
        response.writeHead(PEER_STATUS.answered, headers).end(this.write(answer));
      }
    } catch (error) {
      this.noteFault(error);
      response.writeHead(PEER_STATUS.failed).end();
    }
  }
}

/** The question, or the status that tells why there is none. */
async function readRequest(request: http.IncomingMessage): Promise<PeerRequest | number> {
  const body = await readWhole(request, MAXIMUM_BYTES);
  if (body === undefined) return PEER_STATUS.tooLong;
  try {
    const value: unknown = parse(body.toString('utf8'));
    return REQUEST.safeParse(value).success ? (value as PeerRequest) : PEER_STATUS.malformed;
  } catch {
    return PEER_STATUS.malformed;
  }
}
