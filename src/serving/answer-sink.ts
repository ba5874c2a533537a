/** Where the answer to one caller's request goes; the ingress implements it. */
import type { Failure } from '../errors/error-kinds.js';
import type { CallerIdentity } from '../tenants/tenant.js';
import type { HeaderList } from './engine-port.js';

/** The caller's side of one request. */
export interface AnswerSink {
  /** Sends a whole answer of a worker. */
  sendWhole(status: number, headers: HeaderList, body: Buffer): void;
  /** Begins an answer whose body follows in pieces. */
  begin(status: number, headers: HeaderList): void;
  /** Sends a piece of the body; resolves once the caller can take more. */
  write(chunk: Buffer): Promise<void>;
  /** Ends the answer as complete. */
  end(): void;
  /** Breaks a begun answer off, so that it can't look complete. */
  abort(): void;
  /** Answers with a failure of our own. */
  fail(failure: Failure): void;
}

/** One request of a caller, read whole. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** On whose behalf it comes. */
  readonly caller: CallerIdentity;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Time that the caller will wait from `receivedAt` on; `undefined` where it named none. */
  readonly timeout: number | undefined;
  /** Steady time at which the request began to arrive. */
  readonly receivedAt: number;
  /** The caller has the events up to this one. */
  readonly lastEventId: number | undefined;
  /** Aborted when the caller is gone. */
  readonly disconnectSignal: AbortSignal;
}
