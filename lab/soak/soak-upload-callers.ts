/** Callers of the soak that send bodies in pieces, with a length or in chunks, and break some off. */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { headersOf, LOOKUP_LIMIT, readAnswer, UPLOAD_PREFIX } from './soak-call.js';
import type { CallerSurroundings } from './soak-callers.js';

/** Bytes of a body at most; the largest do not fit into the buffers of a connection. */
const SIZES = [2_000, 60_000, 400_000, 400_000, 7_000_000];

const MOST_PIECES = 4;
const LONGEST_PIECE_PAUSE: Milliseconds = 20;
const UPLOAD_PAUSE: Milliseconds = 150;

const BROKEN_OFF_SHARE = 0.3;
const HALF_CLOSED_SHARE = 0.5;
/** Share of the callers that leave when they have sent all, before an answer. */
const LEAVING_SHARE = 0.15;
const CHUNKED_SHARE = 0.5;

/** What came of the uploads. */
export interface UploadCounts {
  uploads: number;
  uploadsServed: number;
  uploadsBrokenOff: number;
}

/** Uploads until told to stop. */
export class SoakUploadCallers {
  private isStopped = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(
    private readonly surroundings: CallerSurroundings,
    private readonly counts: UploadCounts,
  ) {}

  /** Begins to upload. */
  start(): void {
    this.loop = this.run();
  }

  /** Uploads no more; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loop;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      await this.upload();
      await sleep(UPLOAD_PAUSE);
    }
  }

  private async upload(): Promise<void> {
    const { checker, offered, random, keys, addresses } = this.surroundings;
    const id = random.identifier();
    const path = `${UPLOAD_PREFIX}${id}?part=${random.integer(9)}`;
    const size = 1 + random.integer(SIZES[random.integer(SIZES.length)] ?? 1);
    const body = Buffer.alloc(size, `${id} POST ${UPLOAD_PREFIX}x HTTP/1.1\r\n\r\n`);
    const isBrokenOff = random.fraction() < BROKEN_OFF_SHARE;
    const isLeaving = random.fraction() < LEAVING_SHARE;
    const all = addresses();
    const address = all[random.integer(all.length)] ?? '';
    offered.note({ id, method: 'POST', path, body, isBrokenOff });
    this.counts.uploads += 1;
    const key = keys.currentKey('brokers');
    const [host, port] = address.split(':');
    const headers = {
      ...headersOf({ id, key, wait: undefined, limit: LOOKUP_LIMIT }),
      ...(random.fraction() < CHUNKED_SHARE ? {} : { 'content-length': String(size) }),
    };
    const options = { agent: false as const, host, port, method: 'POST', path, headers };
    const request = http.request(options);
    const answered = readAnswer(request, LOOKUP_LIMIT);
    const end = isBrokenOff ? random.integer(size) : size;
    await this.sendPieces(request, body.subarray(0, end));
    if (isBrokenOff) {
      this.counts.uploadsBrokenOff += 1;
      // Some half-close their connection and await an answer.
      if (random.fraction() < HALF_CLOSED_SHARE) request.socket?.end();
      else request.destroy();
    } else {
      const sent = new Promise<void>((resolve) => request.end(resolve));
      if (isLeaving) await Promise.race([sent, answered]);
      if (isLeaving) request.destroy();
    }
    const answer = await answered;
    if (answer?.status !== 200) return;
    this.counts.uploadsServed += 1;
    checker.lookupAnswered(id, answer.body, `uploaded ${id}`);
  }

  private async sendPieces(request: http.ClientRequest, body: Buffer): Promise<void> {
    const { random } = this.surroundings;
    const length = Math.ceil(body.length / (1 + random.integer(MOST_PIECES)));
    for (let start = 0; start < body.length && !request.destroyed; start += length) {
      request.write(body.subarray(start, start + length));
      await sleep(random.integer(LONGEST_PIECE_PAUSE));
    }
  }
}
