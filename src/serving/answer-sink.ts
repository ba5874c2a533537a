/** The caller's side of one request, implemented by the ingress. */
import type { Failure } from '../errors/error-kinds.js';
import type { MemoryHolding } from '../limits/memory-budget.js';
import type { CallerIdentity } from '../tenants/tenant.js';
import type { HeaderList } from './engine-port.js';

/** Receives the answer to one request. */
export interface AnswerSink {
  /** Sends a complete answer of a worker. */
  sendComplete(status: number, headers: HeaderList, body: Buffer): void;
  /** Sends the head of an answer whose body follows in chunks. */
  begin(status: number, headers: HeaderList): void;
  /** Sends a chunk of the body; resolves once the connection accepts more. */
  write(chunk: Buffer): Promise<void>;
  /** Completes the answer. */
  end(): void;
  /** Closes the connection, so that the caller sees an answer as incomplete. */
  abort(): void;
  /** Answers with a failure of the gateway; closes the connection if an answer has begun. */
  fail(failure: Failure): void;
}

/** One request of a caller, with its whole body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly caller: CallerIdentity;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Time that the caller waits, from `receivedAt`; `undefined` where it sent no limit. */
  readonly timeout: number | undefined;
  /** Start of the request, by the steady clock. */
  readonly receivedAt: number;
  /** Id of the last event that the caller received earlier. */
  readonly lastEventId: number | undefined;
  /** Counts what the request holds; answers that are read for it are added. @default not counted */
  readonly holding?: MemoryHolding;
  /** Aborted when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
}
