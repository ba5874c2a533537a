/**
 * A worker that reads its connections byte by byte: it answers before, while and after it reads a
 * body, and compares all that arrives with what clients sent.
 */
import net from 'node:net';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';

/** A request as its client sent it. */
export interface UploadedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  /** Values of {@link DESCRIBING_HEADERS}, in this order. */
  readonly described: readonly string[];
  /** Whether the client sent it to its end, in a form that the gateway accepts. */
  readonly isValid: boolean;
}

/** Headers by which a request names its model, its size and its prompt, in lower case. */
export const DESCRIBING_HEADERS = [
  'x-wardwing-model',
  'x-wardwing-token-counts',
  'x-wardwing-prompt-prefix',
] as const;

/** Requests of the gateway itself. */
const OWN_PATHS = new Set(['/health', '/wardwing/report']);

/** What a worker does with a request; shares are equal. */
const REACTIONS = [
  'answer',
  'answer',
  'answer late',
  'answer before the body',
  'answer before the body',
  'answer in the middle of the body',
  'answer in parts before the body',
  'answer before the body and close',
  'reject before the body',
  'answer twice',
  'reset in the middle of the body',
  'never answer',
] as const;

const EARLY_STATUSES = ['200 OK', '413 Payload Too Large', '500 Internal Server Error'];
const REJECTIONS = ['429 Too Many Requests', '503 Service Unavailable'];

const LONGEST_DELAY: Milliseconds = 30;
const LONGEST_LATE_DELAY: Milliseconds = 400;
const LONGEST_READING_PAUSE: Milliseconds = 80;

export type Reaction = (typeof REACTIONS)[number];

/** What the workers of one test share. */
export interface UploadRecords {
  readonly random: RandomSource;
  readonly sent: ReadonlyMap<string, UploadedRequest>;
  readonly violations: string[];
  /** Requests that arrived, by the reaction to them. */
  readonly arrived: Map<Reaction, number>;
  /** Requests that followed an early answer on its connection. */
  followedEarlyAnswer: number;
}

export class UploadWorker {
  private readonly sockets = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(
    readonly id: string,
    private readonly records: UploadRecords,
  ) {
    this.server = net.createServer((socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('error', () => {});
      new UploadConnection(socket, this.id, this.records);
    });
  }

  /** Listens; resolves with the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** The request that a connection is reading. */
interface Reading {
  readonly request: UploadedRequest;
  readonly reaction: Reaction;
  readonly length: number;
  bytes: number;
  isAnswered: boolean;
}

class UploadConnection {
  private head = Buffer.alloc(0);
  private reading: Reading | undefined;
  private wasAnsweredEarly = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly worker: string,
    private readonly records: UploadRecords,
  ) {
    socket.on('data', (chunk: Buffer) => this.take(chunk));
  }

  private take(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0 && !this.socket.destroyed) {
      rest = this.reading === undefined ? this.takeHead(rest) : this.takeBody(this.reading, rest);
    }
  }

  /** Takes bytes up to the end of a head; returns the bytes after it. */
  private takeHead(chunk: Buffer): Buffer {
    const before = this.head.length;
    this.head = Buffer.concat([this.head, chunk]);
    const end = this.head.indexOf('\r\n\r\n');
    if (end < 0) return Buffer.alloc(0);
    const text = this.head.subarray(0, end).toString('latin1');
    this.head = Buffer.alloc(0);
    this.begin(text);
    return chunk.subarray(end + 4 - before);
  }

  private begin(text: string): void {
    const [start = '', ...lines] = text.split('\r\n');
    const [method = '', path = '', version] = start.split(' ');
    const headers = new Map(lines.map(headerOf));
    const id = headers.get('x-wardwing-request-id');
    if (id === undefined && method === 'GET' && OWN_PATHS.has(path)) return void this.answerOwn();
    const request = this.records.sent.get(id ?? '');
    if (version !== 'HTTP/1.1' || request === undefined) {
      return void this.report(
        `nobody sent "${start.slice(0, 80)}" with the id ${id?.slice(0, 40)}`,
      );
    }
    if (!request.isValid)
      return void this.report(`${id} of ${request.body.length} bytes, not sent whole, came`);
    if (method !== request.method || path !== request.path) {
      return void this.report(`${id} came as ${method} ${path}`);
    }
    const described = DESCRIBING_HEADERS.map((name) => headers.get(name));
    if (described.some((value, index) => value !== request.described[index])) {
      return void this.report(`${id} came with ${described.join(' | ')}`);
    }
    const length = Number(headers.get('content-length') ?? 0);
    if (headers.has('transfer-encoding') || length !== request.body.length) {
      return void this.report(`${id} came with ${length} of ${request.body.length} bytes`);
    }
    this.react(request, length);
  }

  private react(request: UploadedRequest, length: number): void {
    const { random, arrived } = this.records;
    if (this.wasAnsweredEarly) this.records.followedEarlyAnswer += 1;
    this.wasAnsweredEarly = false;
    const reaction = REACTIONS[random.integer(REACTIONS.length)] ?? 'answer';
    arrived.set(reaction, (arrived.get(reaction) ?? 0) + 1);
    const reading = { request, reaction, length, bytes: 0, isAnswered: false };
    this.reading = reading;
    const isBeforeBody = reaction.includes('before the body');
    if (isBeforeBody && length > 0) this.answerEarly(reading);
    if (length === 0) this.finishReading(reading);
  }

  private answerEarly(reading: Reading): void {
    const { random } = this.records;
    reading.isAnswered = true;
    this.wasAnsweredEarly = true;
    const { id } = reading.request;
    this.socket.pause();
    setTimeout(() => this.socket.resume(), random.integer(LONGEST_READING_PAUSE));
    if (reading.reaction === 'reject before the body') {
      const status = REJECTIONS[random.integer(REJECTIONS.length)] ?? '';
      return void this.write(answerTo(id, status, ['X-Wardwing-Not-Run: 1']));
    }
    const closes = reading.reaction === 'answer before the body and close';
    const status = EARLY_STATUSES[random.integer(EARLY_STATUSES.length)] ?? '';
    const answer = answerTo(id, status, closes ? ['Connection: close'] : []);
    if (reading.reaction !== 'answer in parts before the body') return void this.write(answer);
    this.write(answer.slice(0, -2));
    setTimeout(() => this.write(answer.slice(-2)), random.integer(LONGEST_DELAY));
  }

  /** Compares bytes of a body; returns the bytes after it. */
  private takeBody(reading: Reading, chunk: Buffer): Buffer {
    const { request, reaction, length, bytes } = reading;
    const part = chunk.subarray(0, length - bytes);
    reading.bytes += part.length;
    if (!part.equals(request.body.subarray(bytes, reading.bytes))) {
      this.report(`${request.id} came with other bytes from ${bytes} to ${reading.bytes}`);
      return Buffer.alloc(0);
    }
    const isPastMiddle = reading.bytes >= length / 2;
    if (isPastMiddle && reaction === 'reset in the middle of the body') {
      this.socket.resetAndDestroy();
    } else if (isPastMiddle && reaction === 'answer in the middle of the body') {
      if (!reading.isAnswered) this.answerEarly(reading);
    }
    if (reading.bytes === length) this.finishReading(reading);
    return chunk.subarray(part.length);
  }

  private finishReading({ request, reaction, isAnswered }: Reading): void {
    this.reading = undefined;
    if (isAnswered || reaction === 'never answer') return;
    const { random } = this.records;
    const limit = reaction === 'answer late' ? LONGEST_LATE_DELAY : LONGEST_DELAY;
    const answer = answerTo(request.id, '200 OK', []);
    setTimeout(
      () => this.write(reaction === 'answer twice' ? answer + answer : answer),
      random.integer(limit),
    );
  }

  private answerOwn(): void {
    this.write(`HTTP/1.1 200 OK\r\nX-Wardwing-Instance-Id: ${this.worker}\r\n`);
    this.write('Content-Length: 0\r\n\r\n');
  }

  private write(text: string): void {
    if (!this.socket.destroyed) this.socket.write(text);
  }

  private report(violation: string): void {
    this.records.violations.push(violation);
    this.socket.destroy();
  }
}

function headerOf(line: string): [string, string] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}

function answerTo(id: string, status: string, extra: readonly string[]): string {
  const body = 'id: 0\ndata: answer\n\n';
  const headers = [
    `X-Wardwing-Request-Id: ${id}`,
    'X-Wardwing-Server-Stamp: s',
    'X-Wardwing-Weight-Versions: 1',
    'Content-Type: text/event-stream',
    `Content-Length: ${body.length}`,
    ...extra,
  ];
  return `HTTP/1.1 ${status}\r\n${headers.join('\r\n')}\r\n\r\n${body}`;
}
