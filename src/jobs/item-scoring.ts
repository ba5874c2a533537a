/** The calls for the score of one item, at one or two workers at a time. */
import type { Milliseconds } from '../core/units.js';
import { FingerprintedRequest } from '../serving/request-fingerprint.js';
import type { ScoreRequest } from './job-records.js';

/** The state of an item's calls for its score. */
export class ItemScoring {
  /** Workers that were asked; another one is asked first where there is one. */
  readonly tried = new Set<string>();
  /** Answers that said the attempt failed. */
  failedAttempts = 0;
  /** Nothing is sent before this time. */
  notBefore: Milliseconds = 0;
  /** What the calls ask of workers. */
  readonly asked: FingerprintedRequest;
  private readonly calls = new Map<AbortController, Milliseconds>();

  constructor({ host, path, body }: ScoreRequest) {
    this.asked = new FingerprintedRequest(() => ({
      method: 'POST',
      host,
      path,
      tenant: undefined,
      body: Buffer.from(body, 'base64'),
    }));
  }

  /** Calls under way. */
  get callsUnderWay(): number {
    return this.calls.size;
  }

  /** When the youngest call under way was sent. */
  get lastSentAt(): Milliseconds {
    return Math.max(Number.NEGATIVE_INFINITY, ...this.calls.values());
  }

  /** Begins a call at a worker; the signal ends it. */
  begin(worker: string, now: Milliseconds): AbortController {
    const call = new AbortController();
    this.calls.set(call, now);
    this.tried.add(worker);
    return call;
  }

  /** A call has ended. */
  end(call: AbortController): void {
    this.calls.delete(call);
  }

  /** Ends all calls from here; the workers drop them as their connections close. */
  cancel(): void {
    for (const call of this.calls.keys()) call.abort();
  }

  /** Ends calls that were sent before a time. */
  cancelOlderThan(time: Milliseconds): void {
    for (const [call, sentAt] of this.calls) if (sentAt < time) call.abort();
  }
}
