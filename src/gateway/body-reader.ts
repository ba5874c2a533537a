/**
 * Reads request bodies within bounds of size and time, for one body and for all together.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Result } from 'true-myth';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { GatewayLimits } from './gateway-options.js';

type BodyOutcome = Result<Buffer, Failure | 'gone'>;

/** Reads bodies. */
export class BodyReader {
  readonly #limits: GatewayLimits;
  #bytesTogether = 0;

  constructor(limits: GatewayLimits) {
    this.#limits = limits;
  }

  /** Bytes of bodies that are being received now. */
  get bytesTogether(): number {
    return this.#bytesTogether;
  }

  /** Reads one body; fails at once where it is too large, and with `gone` where its sender left. */
  read(request: IncomingMessage, response: ServerResponse, maxBytes: number): Promise<BodyOutcome> {
    const announced = Number(request.headers['content-length'] ?? 0);
    if (announced > maxBytes) return Promise.resolve(Result.err(tooLarge(maxBytes)));
    if (request.headers.expect !== undefined) response.writeContinue();
    return new Promise((resolve) => this.#collect(request, maxBytes, resolve));
  }

  #collect(
    request: IncomingMessage,
    maxBytes: number,
    resolve: (outcome: BodyOutcome) => void,
  ): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const finish = (outcome: BodyOutcome): void => {
      clearTimeout(timer);
      request.off('data', onData).off('end', onEnd).off('close', onClose);
      this.#bytesTogether -= bytes;
      bytes = 0;
      resolve(outcome);
    };
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length;
      this.#bytesTogether += chunk.length;
      chunks.push(chunk);
      if (bytes > maxBytes) finish(Result.err(tooLarge(maxBytes)));
      else if (this.#bytesTogether > this.#limits.maxBodyBytesTogether) finish(Result.err(busy()));
    };
    const onEnd = (): void => finish(Result.ok(Buffer.concat(chunks)));
    const onClose = (): void => finish(Result.err('gone'));
    const onTimeout = (): void =>
      finish(Result.err(failure('sender_too_slow', 'body: not whole in time')));
    const timer = setTimeout(onTimeout, this.#limits.bodyTimeout);
    request.on('data', onData).on('end', onEnd).on('close', onClose);
  }
}

function tooLarge(maxBytes: number): Failure {
  return failure('body_too_large', `the limit is ${maxBytes} bytes`);
}

function busy(): Failure {
  return failure('overloaded', 'the node receives too many bodies at once');
}
