/** Tracks the concurrent calls for the score of one item. */
import type { Milliseconds } from '../core/units.js';
import { FingerprintedRequest } from '../serving/request-fingerprint.js';
import type { ScoreRequest } from './job-records.js';

/** State of an item's score calls. */
export class ItemScoring {
  /** Ids of the workers already called; untried workers are preferred. */
  readonly tried = new Set<string>();
  /** Number of responses that reported a failed attempt. */
  failedAttempts = 0;
  /** Earliest time of the next call. */
  notBefore: Milliseconds = 0;
  /** The request that the calls send, for crash attribution. */
  readonly fingerprinted: FingerprintedRequest;
  private readonly calls = new Map<AbortController, Milliseconds>();

  constructor({ host, path, body }: ScoreRequest) {
    this.fingerprinted = new FingerprintedRequest(() => ({
      method: 'POST',
      host,
      path,
      tenant: undefined,
      body: Buffer.from(body, 'base64'),
    }));
  }

  /** Number of calls in progress. */
  get callCount(): number {
    return this.calls.size;
  }

  /** When the most recent call in progress was sent; -Infinity if there is none. */
  get lastSentAt(): Milliseconds {
    return Math.max(Number.NEGATIVE_INFINITY, ...this.calls.values());
  }

  /** Registers a call to a worker; aborting the returned controller cancels the call. */
  begin(worker: string, now: Milliseconds): AbortController {
    const call = new AbortController();
    this.calls.set(call, now);
    this.tried.add(worker);
    return call;
  }

  /** Removes a completed call. */
  end(call: AbortController): void {
    this.calls.delete(call);
  }

  /** Cancels all calls; workers drop them when their connections close. */
  cancel(): void {
    for (const call of this.calls.keys()) call.abort();
  }

  /** Cancels calls that were sent before a time. */
  cancelOlderThan(time: Milliseconds): void {
    for (const [call, sentAt] of this.calls) if (sentAt < time) call.abort();
  }
}
