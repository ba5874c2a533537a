/**
 * An emulated model engine without any I/O, used by the emulator process and by the simulator:
 * continuous batching, priorities with preemption, a prefix cache, fenced orders, lagging load
 * reports. Event-driven: time is skipped up to the next chunk, load or order.
 *
 * Calls must come with `now` that never goes back. Outputs wait until `advance` takes them.
 * The engine doesn't look at a request's `oldestVersion`: the bound is the caller's to check.
 */
import type { GenerationRequest, TrafficClass } from '../../src/core/generation.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { WorkerOrder, WorkerOrderResult, WorkerReport } from '../../src/platform/worker.js';
import { Batch } from './batch.js';
import { type EngineOutput, EngineOutputs } from './engine-outputs.js';
import type { EngineSettings } from './engine-settings.js';
import { MadeTokens } from './made-tokens.js';
import { type CacheEvent, PrefixCache } from './prefix-cache.js';
import { type KeyValueCacheExport, Sequence } from './sequence.js';
import { WeightMemory } from './weight-memory.js';

export type { EngineOutput } from './engine-outputs.js';

/** One emulated engine. */
export class EngineCore {
  readonly made = new MadeTokens();
  private batch: Batch;
  private cache: PrefixCache;
  private weights: WeightMemory;
  private waiting: Record<TrafficClass, Sequence[]> = { interactive: [], training: [] };
  private readonly outputs = new EngineOutputs();
  /** Latest `now` any call gave. */
  private clock: Milliseconds = 0;
  private loadFailureRate: number;
  private leaving = false;
  private crashed = false;
  private published: WorkerReport;
  private publishedPeriod = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: EngineSettings,
    private readonly random: RandomSource,
  ) {
    this.loadFailureRate = settings.loadFailureRate;
    this.batch = new Batch(settings);
    this.cache = new PrefixCache(settings, random);
    this.weights = new WeightMemory(settings);
    this.published = this.currentReport();
  }

  /** Whether the process is down: it refuses connections. */
  get isCrashed(): boolean {
    return this.crashed;
  }

  /** The truth behind the lagging report: version that new tokens are made with. */
  get activeVersion(): WeightVersion {
    return this.weights.active;
  }

  /** Accepts a generation, or refuses it: crashed, known already, or the queue is full. */
  start(
    dispatchId: string,
    request: GenerationRequest,
    now: Milliseconds,
    resume?: KeyValueCacheExport,
  ): 'accepted' | 'refused' {
    this.process(now);
    if (this.crashed || this.find(dispatchId) !== undefined) return 'refused';
    const sequence = new Sequence(dispatchId, request, this.settings);
    const mayRunNow = this.batch.hasRoom || this.preemptionVictim(request) !== undefined;
    const queue = this.waiting[request.trafficClass];
    if (!mayRunNow && queue.length >= this.settings.queueLimit) return 'refused';
    for (const event of sequence.takeOver(resume)) this.outputs.stream(dispatchId, event, now);
    queue.push(sequence);
    this.preempt(request, now);
    this.fillSlots(now);
    return 'accepted';
  }

  /** Stops a generation; nothing more is said of it. */
  cancel(dispatchId: string, now: Milliseconds): void {
    this.process(now);
    this.outputs.dropStream(dispatchId);
    this.made.count(this.batch.remove(dispatchId));
    for (const kind of ['interactive', 'training'] as const) {
      this.waiting[kind] = this.waiting[kind].filter((held) => held.dispatchId !== dispatchId);
    }
    this.fillSlots(now);
  }

  /** Hands out what a generation has streamed so far, to be resumed on another engine. */
  exportCache(dispatchId: string, now: Milliseconds): KeyValueCacheExport | undefined {
    this.process(now);
    return this.find(dispatchId)?.export();
  }

  /** Carries out a fenced order; its result is an output. */
  order(orderId: string, order: WorkerOrder, now: Milliseconds): void {
    this.process(now);
    if (this.crashed) {
      this.outputs.order(orderId, { kind: 'failed', reason: 'connection refused' }, now);
      return;
    }
    const refusal = this.weights.fence(order);
    if (refusal !== undefined) this.outputs.order(orderId, refusal, now);
    else if (order.action.kind === 'load') this.load(orderId, order.action.version, now);
    else this.activate(orderId, order.action.version, now);
  }

  /** Lets time pass and takes everything said up to `now`. */
  advance(now: Milliseconds): readonly EngineOutput[] {
    this.process(now);
    return this.outputs.take();
  }

  /** When the engine has something to say next; `undefined` while it is idle. */
  nextEventAt(): Milliseconds | undefined {
    const at = this.outputs.oldestAt ?? this.nextChangeAt();
    return at === undefined ? undefined : Math.max(at, this.clock);
  }

  /** Load report, up to `reportLag` old. Not to be asked of a crashed engine. */
  report(now: Milliseconds): WorkerReport {
    this.process(now);
    return this.settings.reportLag > 0 ? this.published : this.currentReport();
  }

  /** Cache events that are due; late, and with gaps. */
  cacheEvents(now: Milliseconds): CacheEvent[] {
    return this.cache.takeEvents(now);
  }

  /** Kills the process: streams and orders underway fail, all memory is lost. */
  crash(now: Milliseconds): void {
    if (this.crashed) return;
    this.process(now);
    const { interactive, training } = this.waiting;
    for (const sequence of this.batch.all()) this.made.count(sequence);
    for (const { dispatchId } of [...this.batch.all(), ...interactive, ...training]) {
      const reason = 'connection reset';
      this.outputs.stream(dispatchId, { kind: 'failed', ran: 'unknown', reason }, now);
    }
    for (const { orderId } of this.weights.pending) {
      this.outputs.order(orderId, { kind: 'failed', reason: 'connection reset' }, now);
    }
    this.forget();
    this.crashed = true;
  }

  /** Starts the process again with its initial version, epoch 0 and an empty cache. */
  restart(now: Milliseconds): void {
    if (!this.crashed) return;
    this.crashed = false;
    this.leaving = false;
    this.publishedPeriod = Number.NEGATIVE_INFINITY;
    this.publishDue(now);
  }

  /** Makes the engine's report say that it is on its way out; it still accepts work. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Share of later loads that fail, in `[0, 1]`. */
  setLoadFailureRate(rate: number): void {
    this.loadFailureRate = rate;
  }

  private forget(): void {
    this.batch = new Batch(this.settings);
    this.cache = new PrefixCache(this.settings, this.random);
    this.weights = new WeightMemory(this.settings);
    this.waiting = { interactive: [], training: [] };
  }

  private find(dispatchId: string): Sequence | undefined {
    const { interactive, training } = this.waiting;
    const isWanted = (sequence: Sequence): boolean => sequence.dispatchId === dispatchId;
    return this.batch.get(dispatchId) ?? interactive.find(isWanted) ?? training.find(isWanted);
  }

  private nextChangeAt(): Milliseconds | undefined {
    const stream = this.batch.nextStreamAt();
    const load = this.weights.nextFinishAt();
    if (stream === undefined || load === undefined) return stream ?? load;
    return Math.min(stream, load);
  }

  private process(now: Milliseconds): void {
    this.clock = Math.max(this.clock, now);
    for (let at = this.nextChangeAt(); at !== undefined && at <= now; at = this.nextChangeAt()) {
      this.publishDue(at);
      this.batch.settle(at);
      this.streamReady(at);
      this.finishLoads(at);
    }
    this.publishDue(now);
    this.batch.settle(now);
  }

  private streamReady(at: Milliseconds): void {
    for (const sequence of this.batch.ready()) {
      this.streamTokens(sequence, at);
      if (sequence.tokens < sequence.target) continue;
      this.batch.remove(sequence.dispatchId);
      const result = sequence.result();
      this.outputs.stream(sequence.dispatchId, { kind: 'finished', result }, at);
    }
    this.batch.refreshBoundary();
    this.fillSlots(at);
  }

  private streamTokens(sequence: Sequence, at: Milliseconds): void {
    this.made.count(sequence);
    const event = sequence.stream(this.weights.active);
    if (event !== undefined) this.outputs.stream(sequence.dispatchId, event, at);
  }

  private fillSlots(now: Milliseconds): void {
    while (this.batch.hasRoom) {
      const next = this.waiting.interactive.shift() ?? this.waiting.training.shift();
      if (next === undefined) return;
      const unreadPrompt = next.prefilled ? 0 : this.cache.read(next.request.prompt, now);
      const unread = unreadPrompt + next.unreadTokens;
      next.prefilled = true;
      next.unreadTokens = 0;
      this.batch.add(next, unread * this.settings.prefillTimePerToken, now);
    }
  }

  /** The training sequence that lost least by waiting; none for training requests. */
  private preemptionVictim(request: GenerationRequest): Sequence | undefined {
    if (request.trafficClass !== 'interactive' || this.batch.hasRoom) return undefined;
    return this.batch.all().findLast((held) => held.request.trafficClass === 'training');
  }

  /** The victim goes to the head of the queue and keeps its tokens. */
  private preempt(request: GenerationRequest, now: Milliseconds): void {
    const victim = this.preemptionVictim(request);
    if (victim === undefined) return;
    this.batch.remove(victim.dispatchId);
    this.streamTokens(victim, now);
    this.waiting.training.unshift(victim);
  }

  private load(orderId: string, version: WeightVersion, now: Milliseconds): void {
    if (this.weights.has(version)) {
      this.outputs.order(orderId, { kind: 'done' }, now);
      return;
    }
    const fails = this.random.fraction() < this.loadFailureRate;
    const finishAt = now + this.settings.loadTime;
    this.weights.startLoad({ orderId, version, finishAt, fails });
  }

  private finishLoads(at: Milliseconds): void {
    for (let load = this.weights.finishLoad(at); load; load = this.weights.finishLoad(at)) {
      const result: WorkerOrderResult = load.fails
        ? { kind: 'failed', reason: 'the weights could not be loaded' }
        : { kind: 'done' };
      this.outputs.order(load.orderId, result, at);
    }
  }

  private activate(orderId: string, version: WeightVersion, now: Milliseconds): void {
    if (!this.weights.has(version)) {
      this.outputs.order(orderId, { kind: 'failed', reason: 'the version is not loaded' }, now);
      return;
    }
    for (const sequence of this.batch.all()) this.streamTokens(sequence, now);
    this.batch.refreshBoundary();
    this.weights.active = version;
    this.outputs.order(orderId, { kind: 'done' }, now);
  }

  /** Publishes the state before a change when a report period has ended since. */
  private publishDue(now: Milliseconds): void {
    if (this.settings.reportLag <= 0) return;
    const period = Math.floor(now / this.settings.reportLag);
    if (period <= this.publishedPeriod) return;
    this.publishedPeriod = period;
    this.published = this.currentReport();
  }

  private currentReport(): WorkerReport {
    return {
      worker: this.settings.worker,
      running: this.batch.size,
      waiting: this.waiting.interactive.length + this.waiting.training.length,
      activeVersion: this.weights.active,
      loadedVersions: [...this.weights.loaded],
      epoch: this.weights.epoch,
      leaving: this.leaving,
    };
  }
}
