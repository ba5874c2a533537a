/**
 * Runs one emulated engine inside an event queue, with crashes and freezes. A frozen engine's own
 * clock stands still: it takes work and says nothing until it goes on.
 */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { WorkerOrder, WorkerRecord, WorkerReport } from '../../src/platform/worker.js';
import type { EngineCore, EngineOutput } from '../emulator/engine-core.js';
import type { KeyValueCacheExport } from '../emulator/sequence.js';
import type { EventQueue } from '../simulation/event-queue.js';

/** Added to wake times, so that rounding never wakes an engine just before its event. */
const WAKE_MARGIN: Milliseconds = 0.001;

/** Takes what an engine says. */
export type EngineListener = (output: EngineOutput) => void;

/** One engine in simulated time. */
export class EngineHost {
  /** Set by whoever listens. */
  listener: EngineListener = () => undefined;
  private frozenAt: Milliseconds | undefined;
  /** Time lost to freezes. */
  private lag: Milliseconds = 0;
  private nextWake = Number.POSITIVE_INFINITY;

  constructor(
    readonly record: WorkerRecord,
    private readonly engine: EngineCore,
    private readonly queue: EventQueue,
  ) {}

  /** Version that new tokens are made with. */
  get activeVersion(): WeightVersion {
    return this.engine.activeVersion;
  }

  /** Whether it would answer a request for a report. */
  get answers(): boolean {
    return !this.engine.isCrashed && this.frozenAt === undefined;
  }

  start(
    dispatchId: string,
    request: GenerationRequest,
    resume: KeyValueCacheExport | undefined,
  ): 'accepted' | 'refused' {
    const answer = this.engine.start(dispatchId, request, this.clock(), resume);
    this.schedule();
    return answer;
  }

  cancel(dispatchId: string): void {
    this.engine.cancel(dispatchId, this.clock());
    this.schedule();
  }

  /** Tokens so far with their KV cache; `undefined` while the engine does not answer. */
  exportCache(dispatchId: string): KeyValueCacheExport | undefined {
    return this.answers ? this.engine.exportCache(dispatchId, this.clock()) : undefined;
  }

  order(orderId: string, order: WorkerOrder): void {
    this.engine.order(orderId, order, this.clock());
    this.schedule();
  }

  /** The lagging report; `undefined` while the engine does not answer. */
  report(): WorkerReport | undefined {
    return this.answers ? this.engine.report(this.clock()) : undefined;
  }

  /** Kills the process; it starts again with its first version after a time. */
  crash(downTime: Milliseconds): void {
    if (!this.answers) return;
    this.engine.crash(this.clock());
    this.schedule();
    this.queue.after(downTime, () => this.engine.restart(this.clock()));
  }

  /** Stops the engine's clock for a time. */
  freeze(duration: Milliseconds): void {
    if (!this.answers) return;
    this.frozenAt = this.queue.now;
    this.queue.after(duration, () => {
      this.lag += duration;
      this.frozenAt = undefined;
      this.nextWake = Number.POSITIVE_INFINITY;
      this.schedule();
    });
  }

  private clock(): Milliseconds {
    return (this.frozenAt ?? this.queue.now) - this.lag;
  }

  private schedule(): void {
    const at = this.engine.nextEventAt();
    if (at === undefined || this.frozenAt !== undefined) return;
    const wake = Math.max(this.queue.now, at + this.lag) + WAKE_MARGIN;
    if (wake >= this.nextWake) return;
    this.nextWake = wake;
    this.queue.after(wake - this.queue.now, () => this.wake(wake));
  }

  private wake(wake: Milliseconds): void {
    if (wake !== this.nextWake || this.frozenAt !== undefined) return;
    this.nextWake = Number.POSITIVE_INFINITY;
    for (const output of this.engine.advance(this.clock())) this.listener(output);
    this.schedule();
  }
}
