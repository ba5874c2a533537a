/** One run of an item on one worker, from sending the request to the end of its stream. */

import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { EngineAnswer, EnginePort, EngineRequest } from '../serving/engine-port.js';
import { EventStreamReader, type StreamEvent } from '../serving/event-stream.js';
import { readChunks } from '../serving/read-chunks.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import type { ItemProgress } from './item-progress.js';

/** How a run ended. */
export type ItemRunEnd =
  | 'completed'
  /** The worker answered that the attempt failed. */
  | 'attempt-failed'
  /** The worker answered that the item can never be done. */
  | 'impossible'
  /** The worker did not start the run; it is full, or unreachable. */
  | 'full'
  /** Another worker has the address now. */
  | 'gone'
  /** The request was not sent: a send rule excludes the worker, or this machine could not connect. */
  | 'withheld'
  /** The stream broke, idled too long or was malformed; its complete events are kept. */
  | 'interrupted'
  /** The worker's weights are older than the job allows. */
  | 'version-too-old'
  /** This node cancelled the run: it was moved, or its job was cancelled or transferred. */
  | 'cancelled';

/** Idle timeouts after which a run is aborted: before the first byte, and between events. */
export interface IdleTimeouts {
  readonly beforeFirst: Milliseconds;
  readonly betweenEvents: Milliseconds;
}

/**
 * Pauses after which a run counts as stalled. A worker that loads weights pauses its streams for
 * most of a second, while resuming on another worker takes a few milliseconds.
 */
const STALL = { beforeFirst: 600, betweenEvents: 300, intervals: 5 } as const;

/** Dependencies and limits of a run. */
export interface ItemRunContext {
  readonly engine: EnginePort;
  readonly clock: Clock;
  readonly versionField: string;
  readonly idleTimeouts: IdleTimeouts;
}

const OK = 200;
const UNPROCESSABLE = 422;
const SERVER_ERROR = 500;

/** Runs an item once; adds complete events to its progress as they arrive. */
export class ItemRun {
  private readonly abort = new AbortController();
  private readonly context: ItemRunContext;
  private idleTimer: NodeJS.Timeout | undefined;
  private hasTimedOut = false;
  private lastActivityAt: Milliseconds;
  private lastEventAt: Milliseconds | undefined;
  readonly startedAt: Milliseconds;
  /** Whether the connection broke, other than by cancellation from this node. */
  wasBroken = false;
  /** Whether the worker has answered, with any status. */
  wasAnswered = false;
  /** Whether any byte of a response body has arrived. */
  hasBegun = false;

  constructor(
    context: ItemRunContext,
    readonly worker: KnownWorker,
    private readonly progress: ItemProgress,
  ) {
    this.context = context;
    this.startedAt = context.clock.now();
    this.lastActivityAt = this.startedAt;
  }

  /** Cancels the run; the worker drops the request when the connection closes. */
  cancel(): void {
    this.abort.abort();
  }

  /** Whether the stream has paused so long that resuming on another worker would be faster. */
  isStalled(now: Milliseconds): boolean {
    const idle = now - this.lastActivityAt;
    if (!this.hasBegun) return idle > STALL.beforeFirst;
    return idle > Math.max(STALL.betweenEvents, STALL.intervals * (this.worker.eventInterval ?? 0));
  }

  /** Sends the request and reads its stream; never rejects. */
  async perform(request: EngineRequest): Promise<ItemRunEnd> {
    this.restartIdleTimer(this.context.idleTimeouts.beforeFirst);
    const outcome = await this.context.engine.send(request, this.abort.signal);
    const end = outcome.kind === 'answered' ? await this.readAnswer(outcome) : undefined;
    clearTimeout(this.idleTimer);
    if (this.abort.signal.aborted && end !== 'completed') {
      return this.hasTimedOut ? 'interrupted' : 'cancelled';
    }
    if (end !== undefined) return end;
    if (outcome.kind === 'not-run') return outcome.reason;
    if (outcome.kind === 'failed' && outcome.cause === 'local') return 'withheld';
    if (outcome.kind === 'failed' && outcome.cause === 'broken') this.wasBroken = true;
    return 'interrupted';
  }

  private async readAnswer(answer: EngineAnswer): Promise<ItemRunEnd> {
    this.wasAnswered = true;
    this.worker.noteAnswered();
    this.worker.noteLoad(answer.load, this.context.clock.now());
    if (answer.status !== OK) {
      answer.discard();
      if (answer.status === UNPROCESSABLE) return 'impossible';
      return answer.status === SERVER_ERROR ? 'attempt-failed' : 'interrupted';
    }
    this.progress.beginRun(answer.weightVersion);
    const end = await this.readEvents(answer);
    if (end !== 'completed') answer.discard();
    return end;
  }

  private async readEvents(answer: EngineAnswer): Promise<ItemRunEnd> {
    const reader = new EventStreamReader(this.context.versionField);
    let end: ItemRunEnd | undefined;
    const streamEnd = await readChunks(answer.body, (chunk) => {
      this.noteFirstByte();
      end = this.addEvents(reader, chunk);
      return end === undefined;
    });
    if (end !== undefined) return end;
    this.wasBroken = streamEnd === 'broken' && !this.abort.signal.aborted;
    const isComplete = !reader.hasPartialEvent() && this.progress.eventCount > 0;
    return streamEnd === 'ended' && isComplete ? 'completed' : 'interrupted';
  }

  private noteFirstByte(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.noteActivity();
  }

  /** Only events count from the first byte on, since other bytes may come without end. */
  private noteActivity(): void {
    this.restartIdleTimer(this.context.idleTimeouts.betweenEvents);
    this.lastActivityAt = this.context.clock.now();
  }

  /** Adds the events that a chunk completes; returns how the run ends if one is not acceptable. */
  private addEvents(reader: EventStreamReader, chunk: Buffer): ItemRunEnd | undefined {
    let events: readonly StreamEvent[];
    try {
      events = reader.push(chunk);
    } catch {
      // Malformed event stream: the events before the malformed bytes are kept.
      return 'interrupted';
    }
    if (events.length === 0) return undefined;
    this.noteActivity();
    const previous = this.lastEventAt;
    this.lastEventAt = this.lastActivityAt;
    if (previous !== undefined) {
      this.worker.noteEventInterval((this.lastActivityAt - previous) / events.length);
    }
    for (const event of events) {
      const outcome = this.progress.add(event);
      if (outcome === 'version-too-old') return 'version-too-old';
      if (outcome === 'version-mixed' || outcome === 'too-long') this.progress.reset();
      if (outcome !== 'added') return 'interrupted';
    }
    return undefined;
  }

  private restartIdleTimer(limit: Milliseconds): void {
    clearTimeout(this.idleTimer);
    this.idleTimer = setTimeout(() => {
      this.hasTimedOut = true;
      this.abort.abort();
    }, limit);
  }
}
