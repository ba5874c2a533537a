/** Reads the bodies of requests within the limits of one body and of all of them together. */
import type http from 'node:http';
import { type Milliseconds, SECOND } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { GrowingBuffer } from './growing-buffer.js';
import type { MemoryHolding } from './memory-budget.js';

/**
 * Time for which the rest of a rejected body is read and dropped. A connection that closes before the
 * client has stopped sending is reset, and the client may not read the answer.
 */
const LINGER_TIMEOUT: Milliseconds = 5 * SECOND;

export interface BodyLimit {
  readonly maxBytes: number;
}

export interface BodyReaderOptions {
  readonly request: http.IncomingMessage;
  /** Largest body by the configuration at the beginning. */
  readonly maxBytes: number;
  /** Decides on a body that has so many bytes, which exceed the limit. */
  readonly raiseLimit: (bytes: number) => Promise<BodyLimit | Failure>;
  /** Counts the body until the request is over. */
  readonly holding: MemoryHolding;
  /** Time without a byte after which the body is rejected. */
  readonly idleTimeout: Milliseconds;
}

/**
 * Reads a body. Resolves to the failure with which to reject it, while its rest is read and dropped, or
 * to `undefined` if the caller disconnects before the end.
 */
export function readBody(options: BodyReaderOptions): Promise<Buffer | Failure | undefined> {
  return new Promise((resolve) => new BodyReader(options, resolve));
}

/** Reads and drops the rest of a rejected body, and closes the connection if it takes too long. */
export function dropRest(request: http.IncomingMessage): void {
  const timer = setTimeout(() => request.socket.destroy(), LINGER_TIMEOUT);
  request.once('end', () => clearTimeout(timer));
  request.once('close', () => clearTimeout(timer));
  request.resume();
}

/** The reading of one body. */
class BodyReader {
  private readonly content: GrowingBuffer;
  private maxBytes: number;
  private isDeciding = false;
  private isComplete = false;
  private isSettled = false;
  private hasMoved = false;
  private readonly idleTimer: NodeJS.Timeout;

  constructor(
    private readonly options: BodyReaderOptions,
    private readonly resolve: (outcome: Buffer | Failure | undefined) => void,
  ) {
    const { request, holding, idleTimeout } = options;
    const announced = Number(request.headers['content-length'] ?? 0);
    this.content = new GrowingBuffer(options.maxBytes, announced);
    this.maxBytes = options.maxBytes;
    this.idleTimer = setInterval(() => this.checkProgress(), idleTimeout);
    holding.onEvict = () => this.reject(failure('node_overloaded', 'bodies that move came first'));
    request.on('data', (chunk: Buffer) => this.take(chunk));
    request.on('end', () => this.finish());
    request.on('close', () => {
      if (!this.isComplete) this.settle(undefined);
    });
  }

  private take(chunk: Buffer): void {
    if (this.isSettled) return;
    const { holding } = this.options;
    this.hasMoved = true;
    holding.noteMoved(chunk.length);
    const growth = this.content.capacityWith(chunk.length) - this.content.capacity;
    if (!holding.grow(growth)) {
      this.reject(failure('node_overloaded', 'no room for the body'));
      return;
    }
    this.content.append(chunk);
    if (this.content.length > this.maxBytes && !this.isDeciding) void this.decide();
  }

  private async decide(): Promise<void> {
    this.isDeciding = true;
    const decision = await this.options.raiseLimit(this.content.length);
    this.isDeciding = false;
    if ('detail' in decision) {
      this.reject(decision);
      return;
    }
    this.maxBytes = decision.maxBytes;
    // More may have come meanwhile.
    if (this.content.length > this.maxBytes) void this.decide();
    else if (this.isComplete) this.finish();
  }

  /** The body is complete; a pending decision on its length comes first. */
  private finish(): void {
    this.isComplete = true;
    if (!this.isDeciding) this.settle(this.content.toBuffer());
  }

  private checkProgress(): void {
    if (this.hasMoved) this.hasMoved = false;
    else this.reject(failure('sender_too_slow', 'no byte of the body came in time'));
  }

  private reject(reason: Failure): void {
    if (this.isSettled) return;
    this.settle(reason);
    this.content.clear();
    this.options.holding.release();
    if (!this.isComplete) dropRest(this.options.request);
  }

  private settle(outcome: Buffer | Failure | undefined): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearInterval(this.idleTimer);
    this.options.holding.onEvict = undefined;
    this.resolve(outcome);
  }
}
