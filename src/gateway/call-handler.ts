/**
 * What the gateway needs of the node behind it.
 */
import type { Observable } from 'rxjs';
import type { Milliseconds } from '../core/units.js';
import type { CallReply, NodeCall, Readiness } from '../node/calls.js';

/** The node as the gateway sees it. */
export interface CallHandler {
  /** Starts a call; replies end with `done` or `failed`. Unsubscribing abandons the call. */
  submit(call: NodeCall): Observable<CallReply>;
  /** The node's own monotonic clock, on which deadlines are given. */
  now(): Milliseconds;
  readiness(): Readiness;
  /** Counters in the Prometheus text format. */
  countersText(): Promise<string>;
}
