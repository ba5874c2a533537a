/** An engine that records when items are sent, and completes only chosen ones. */
import type { Milliseconds } from '../../src/core/units.js';
import type { Clock } from '../../src/serving/clock.js';
import type { EngineOutcome, EngineRequest } from '../../src/serving/engine-port.js';
import { answer, events, ScriptedEngine } from '../serving/serving-fixtures.js';

/** One request that was sent to a worker. */
export interface Send {
  readonly id: string;
  readonly at: Milliseconds;
  /** Whether the store renewed the lease of the sending node then. */
  readonly hasLease: boolean;
}

/** Items that are not completed are sent again and again. */
export class SendRecorder extends ScriptedEngine {
  readonly sends: Send[] = [];
  /** Ids of the items that are completed when they are sent next. */
  readonly completing = new Set<string>();

  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly hasLease: () => boolean = () => true,
  ) {
    super();
  }

  override async send(request: EngineRequest): Promise<EngineOutcome> {
    const { requestId: id } = request;
    this.sends.push({ id, at: this.clock.now(), hasLease: this.hasLease() });
    if (this.completing.has(id)) return answer(events(0, 'text'), { isStream: true });
    return { kind: 'not-run', reason: 'withheld', load: undefined };
  }

  /** Requests that were sent after a time. */
  sentAfter(time: Milliseconds): Send[] {
    return this.sends.filter(({ at }) => at > time);
  }

  /** The longest time without a request since a time. */
  longestPauseSince(time: Milliseconds): Milliseconds {
    const times = [time, ...this.sentAfter(time).map(({ at }) => at), this.clock.now()];
    return Math.max(...times.slice(1).map((at, index) => at - (times[index] ?? at)));
  }
}
