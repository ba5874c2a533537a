/**
 * A model worker on a socket: streams samples, answers lookups, takes fenced orders, tells its
 * load. What it makes of an item follows from the item's id, the event's number and its weights.
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as z from 'zod';
import { HEADERS, PATHS } from '../../platform/names.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { ColdRequestCounter } from './cold-request-counter.js';
import { sendWithoutEnd } from './endless-answers.js';
import { type PromiseChecker, sampleLine } from './promise-checker.js';
import { type RequestSender, SENDER_HEADER } from './request-sender.js';
import { REGIONAL_PREFIX, UPLOAD_PREFIX } from './soak-call.js';
import { serveUpload } from './upload-service.js';

/** Time for one event, for a lookup, and for loading weights. */
const EVENT_TIME: Milliseconds = 20;
const LOOKUP_TIME: Milliseconds = 20;
const LOAD_TIME: Milliseconds = 600;

/** Requests that a worker runs at a time. */
export const SLOTS = 8;

/** Paths below this ask for scores; each answer is signed anew. */
export const SCORE_PREFIX = '/scores/';

/** Paths below this end the worker that begins to run them. */
export const LETHAL_PREFIX = '/lookups/lethal/';

/** Time for which a worker runs a request that ends it. */
const LETHAL_TIME: Milliseconds = 15;

/** Where a worker tells whether it is sound. */
const HEALTH_PATH = '/health';

/** One in so many first attempts at a score fails with the worker's own error. */
const FAILING_SCORES = 12;

/** Header by which the soak tells a worker how many events an item has. */
export const EVENT_COUNT_HEADER = 'x-soak-events';

const ORDER = z.object({
  version: z.number(),
  holder: z.string(),
  fencing_token: z.number(),
  expected_revision: z.number().optional(),
});

/** What a worker needs of the soak around it. */
export interface WorkerSurroundings {
  readonly checker: PromiseChecker;
  readonly model: string;
  /** The region in which it stands. */
  readonly region: string;
  readonly now: () => Milliseconds;
  /** Whether its service says that it bears few requests while it is cold. */
  readonly bearsLittleWhenCold: boolean;
  /** Whether no fault is going on that excuses late work. */
  readonly isCalm: () => boolean;
  /** The gateway of a name that a request came with. */
  readonly senderNamed: (name: string | undefined) => RequestSender;
  /** Called after a change that the worker's record shows. */
  readonly onChange: (worker: WorkerStandIn) => void;
  /** Called with each request that comes, or with its head alone. */
  readonly requestCame: (request: http.IncomingMessage, body?: Buffer) => void;
  /** Called with the id of each request that comes. */
  readonly onRequest: (request: string, worker: WorkerStandIn) => void;
  /** Called when a request ends the worker. */
  readonly onLethal: (worker: WorkerStandIn) => void;
}

/** One life of a worker. */
export class WorkerStandIn {
  private readonly server: http.Server;
  private version: WeightVersion;
  private running = 0;
  private sequence = 0;
  private highestToken = 0;
  private isLoading = false;
  private isOver = false;
  private leavingSince: Milliseconds | undefined;
  private scoresGiven = 0;
  private endlessAnswer: Parameters<typeof sendWithoutEnd>[1] | undefined;
  private readonly coldRequests: ColdRequestCounter;

  constructor(
    readonly id: string,
    readonly zone: string,
    version: WeightVersion,
    private readonly surroundings: WorkerSurroundings,
  ) {
    this.version = version;
    this.coldRequests = new ColdRequestCounter(surroundings.now);
    this.server = http.createServer((request, response) => void this.serve(request, response));
  }

  /** Weights that it holds. */
  get weightVersion(): WeightVersion {
    return this.version;
  }

  /** How much longer it is cold. */
  get coldFor(): Milliseconds {
    return this.coldRequests.remaining;
  }

  /** Whether it has said that it leaves. */
  get isLeaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /** Requests at the worker. */
  get runningRequests(): number {
    return this.running;
  }

  /** Answers each request so from now on; as it should again without an answer. */
  answerWithoutEnd(answer: Parameters<typeof sendWithoutEnd>[1] | undefined): void {
    this.endlessAnswer = answer;
  }

  /** Listens; resolves with the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Whether its life is over. */
  get hasEnded(): boolean {
    return this.isOver;
  }

  /** Ends at once, in the middle of everything. */
  crash(): void {
    this.isOver = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Says that it leaves; it goes on serving until {@link crash}. */
  leave(): void {
    this.leavingSince ??= this.surroundings.now();
    this.surroundings.onChange(this);
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.url?.startsWith(UPLOAD_PREFIX)) {
      return serveUpload(request, response, this.id, this.surroundings);
    }
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const expected = request.headers[HEADERS.expectInstance];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { [HEADERS.instance]: this.id }).end();
      return;
    }
    const content = Buffer.concat(chunks);
    const body = content.toString();
    if (request.url === PATHS.report) this.report(response);
    else if (request.url === HEALTH_PATH) {
      const coldFor = String(this.coldFor);
      const headers = { [HEADERS.instance]: this.id, [HEADERS.coldMs]: coldFor };
      response.writeHead(200, headers).end();
    } else if (request.url === PATHS.order) this.order(body, response);
    else {
      this.surroundings.requestCame(request, content);
      this.work(request, body, response);
    }
  }

  private report(response: http.ServerResponse): void {
    const models = [{ name: this.surroundings.model, version: this.version, adapters: [] }];
    const { sequence, running } = this;
    const report = { stage: 'both', models, busy: this.isLoading, sequence, waiting: 0, running };
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(report));
  }

  private order(body: string, response: http.ServerResponse): void {
    const order = ORDER.parse(JSON.parse(body));
    this.surroundings.checker.orderCame(this.id, order.holder);
    if (order.fencing_token < this.highestToken) return void response.writeHead(412).end();
    const { checker } = this.surroundings;
    checker.orderTaken(order.holder, order.fencing_token, this.highestToken);
    this.highestToken = order.fencing_token;
    if (order.version === this.version) return void response.writeHead(200).end();
    const isExpected = (order.expected_revision ?? this.sequence) === this.sequence;
    if (this.isLoading || !isExpected) return void response.writeHead(409).end();
    this.sequence += 1;
    this.isLoading = true;
    response.writeHead(202).end();
    setTimeout(() => {
      this.isLoading = false;
      this.version = order.version;
      this.surroundings.onChange(this);
    }, LOAD_TIME);
  }

  private work(request: http.IncomingMessage, body: string, response: http.ServerResponse): void {
    if (this.surroundings.bearsLittleWhenCold) this.countWhileCold();
    const id = String(request.headers[HEADERS.requestId] ?? '');
    this.surroundings.onRequest(id, this);
    const events = Number(request.headers[EVENT_COUNT_HEADER] ?? 0);
    const base = { [HEADERS.requestId]: id, [HEADERS.load]: `${this.running},0,${SLOTS}` };
    if (this.running >= SLOTS || (events > 0 && this.isLoading)) {
      response.writeHead(503, { ...base, [HEADERS.notRun]: '1' }).end();
      return;
    }
    const stamped = { ...base, [HEADERS.stamp]: `stamp-${this.id}` };
    const { checker, region } = this.surroundings;
    if (request.url?.startsWith(REGIONAL_PREFIX)) checker.regionalLookupCame(id, region);
    // Score requests come without a tenant.
    if (!request.url?.startsWith(SCORE_PREFIX)) {
      const tenant = request.headers[HEADERS.tenant];
      checker.tenantTold(id, typeof tenant === 'string' ? tenant : undefined, request.rawHeaders);
    }
    this.running += 1;
    checker.workBegan(id);
    response.once('close', () => {
      this.running -= 1;
      checker.workLeft(id);
    });
    if (this.endlessAnswer !== undefined) {
      if (request.url?.startsWith(SCORE_PREFIX)) checker.scoreHeadSent(id, `stamp-${this.id}`);
      sendWithoutEnd(response, this.endlessAnswer, stamped);
      return;
    }
    if (request.url?.startsWith(LETHAL_PREFIX)) this.endUnder(request.url);
    else if (events > 0) this.stream(request, id, events, stamped, response);
    else if (request.url?.startsWith(SCORE_PREFIX)) this.score(request, id, base, response);
    else setTimeout(() => response.writeHead(200, stamped).end(`${id}:${body}`), LOOKUP_TIME);
  }

  private countWhileCold(): void {
    if (this.coldFor === 0) return;
    const excess = this.coldRequests.noteRequest();
    this.surroundings.checker.coldRequestCame(this.id, excess);
  }

  private endUnder(path: string): void {
    this.surroundings.checker.lethalBegun(path, this.id);
    setTimeout(() => this.surroundings.onLethal(this), LETHAL_TIME);
  }

  private senderOf(request: http.IncomingMessage): RequestSender {
    const name = request.headers[SENDER_HEADER];
    return this.surroundings.senderNamed(typeof name === 'string' ? name : undefined);
  }

  private score(
    request: http.IncomingMessage,
    id: string,
    headers: http.OutgoingHttpHeaders,
    response: http.ServerResponse,
  ): void {
    const { checker } = this.surroundings;
    checker.scoreAsked(id, this.senderOf(request));
    this.scoresGiven += 1;
    const signature = `score-${this.id}-${this.scoresGiven}`;
    const isFailing = this.scoresGiven % FAILING_SCORES === 0;
    setTimeout(() => {
      if (!isFailing) checker.scoreGiven(id, signature);
      const stamped = { ...headers, [HEADERS.stamp]: signature };
      response.writeHead(isFailing ? 500 : 200, stamped).end(id);
    }, LOOKUP_TIME);
  }

  private stream(
    request: http.IncomingMessage,
    id: string,
    events: number,
    headers: http.OutgoingHttpHeaders,
    response: http.ServerResponse,
  ): void {
    const { checker, isCalm } = this.surroundings;
    checker.itemStarted(id, this.senderOf(request), this.leavingSince, isCalm());
    const last = request.headers[HEADERS.lastEventId];
    let index = last === undefined ? 0 : Number(last) + 1;
    let told = this.version;
    response.writeHead(200, {
      ...headers,
      'content-type': 'text/event-stream',
      [HEADERS.versions]: String(told),
    });
    const timer = setInterval(() => {
      if (this.isLoading) return;
      if (index >= events) {
        clearInterval(timer);
        checker.textEnded(id);
        response.end();
        return;
      }
      const change = told === this.version ? '' : `${HEADERS.versions}: ${this.version}\n`;
      told = this.version;
      response.write(`${change}id: ${index}\ndata: ${sampleLine(id, index, told)}\n\n`);
      index += 1;
    }, EVENT_TIME);
    response.once('close', () => clearInterval(timer));
  }
}
