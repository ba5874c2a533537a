/** One run of an item at one worker, from sending the request to the end of its stream. */

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
  /** The worker did not begin; it is full, or gone. */
  | 'full'
  | 'gone'
  /** It was not sent: a rule keeps work from the worker. */
  | 'withheld'
  /** It broke off, fell silent or sent wrong bytes; what came whole is kept. */
  | 'interrupted'
  /** Its weights are older than the job allows. */
  | 'version-too-old'
  /** Ended from here: moved, cancelled or handed over. */
  | 'cancelled';

/** Silence after which a run is given up: before the first event, and between two. */
export interface SilenceLimits {
  readonly beforeFirst: Milliseconds;
  readonly betweenEvents: Milliseconds;
}

/**
 * Pauses after which a run counts as stalled: a worker that loads weights holds its streams up
 * for most of a second, while going on elsewhere costs some milliseconds.
 */
const STALL = { beforeFirst: 600, betweenEvents: 300, paces: 5 } as const;

/** What a run works with. */
export interface ItemRunContext {
  readonly engine: EnginePort;
  readonly clock: Clock;
  readonly versionField: string;
  readonly silence: SilenceLimits;
}

const OK = 200;
const UNPROCESSABLE = 422;
const SERVER_ERROR = 500;

/** Runs an item once; adds whole events to its progress as they come. */
export class ItemRun {
  private readonly abort = new AbortController();
  private readonly context: ItemRunContext;
  private silenceTimer: NodeJS.Timeout | undefined;
  private isSilent = false;
  private heardAt: Milliseconds;
  private lastEventAt: Milliseconds | undefined;
  readonly startedAt: Milliseconds;
  /** Whether its connection broke, from whichever side but this one. */
  wasBroken = false;
  /** Whether a byte of an answer has come. */
  hasBegun = false;

  constructor(
    context: ItemRunContext,
    readonly worker: KnownWorker,
    private readonly progress: ItemProgress,
  ) {
    this.context = context;
    this.startedAt = context.clock.now();
    this.heardAt = this.startedAt;
  }

  /** Ends the run from here; the worker drops the request as its connection closes. */
  cancel(): void {
    this.abort.abort();
  }

  /** Whether its stream has paused for so long that another worker would go on sooner. */
  isStalled(now: Milliseconds): boolean {
    const silence = now - this.heardAt;
    if (!this.hasBegun) return silence > STALL.beforeFirst;
    return silence > Math.max(STALL.betweenEvents, STALL.paces * (this.worker.eventInterval ?? 0));
  }

  /** Sends the request and follows its stream; never rejects. */
  async perform(request: EngineRequest): Promise<ItemRunEnd> {
    this.watchSilence(this.context.silence.beforeFirst);
    const outcome = await this.context.engine.send(request, this.abort.signal);
    const end = outcome.kind === 'answered' ? await this.follow(outcome) : undefined;
    clearTimeout(this.silenceTimer);
    if (this.abort.signal.aborted && end !== 'completed') {
      return this.isSilent ? 'interrupted' : 'cancelled';
    }
    if (end !== undefined) return end;
    if (outcome.kind === 'not-run') return outcome.reason;
    if (outcome.kind === 'failed' && outcome.cause === 'broken') this.wasBroken = true;
    return 'interrupted';
  }

  private async follow(answer: EngineAnswer): Promise<ItemRunEnd> {
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
      this.noteHeard();
      end = this.takeEvents(reader, chunk);
      return end === undefined;
    });
    if (end !== undefined) return end;
    this.wasBroken = streamEnd === 'broken' && !this.abort.signal.aborted;
    const isWhole = !reader.hasPartialEvent() && this.progress.eventCount > 0;
    return streamEnd === 'ended' && isWhole ? 'completed' : 'interrupted';
  }

  private noteHeard(): void {
    this.watchSilence(this.context.silence.betweenEvents);
    this.hasBegun = true;
    this.heardAt = this.context.clock.now();
  }

  /** Adds the events that a chunk completes; tells how the run ends where one does not fit. */
  private takeEvents(reader: EventStreamReader, chunk: Buffer): ItemRunEnd | undefined {
    let events: readonly StreamEvent[];
    try {
      events = reader.push(chunk);
    } catch {
      // Bytes that are no event stream: what came before them is kept.
      return 'interrupted';
    }
    if (events.length === 0) return undefined;
    const previous = this.lastEventAt;
    this.lastEventAt = this.heardAt;
    if (previous !== undefined) {
      this.worker.noteEventInterval((this.heardAt - previous) / events.length);
    }
    for (const event of events) {
      const verdict = this.progress.add(event);
      if (verdict === 'version-too-old') return 'version-too-old';
      if (verdict === 'version-mixed') this.progress.reset();
      if (verdict !== 'added') return 'interrupted';
    }
    return undefined;
  }

  private watchSilence(limit: Milliseconds): void {
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => {
      this.isSilent = true;
      this.abort.abort();
    }, limit);
  }
}
