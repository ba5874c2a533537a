/**
 * An emulated model engine without any I/O, used by the emulator process and by the simulator:
 * continuous batching, priorities with preemption, a prefix cache, fenced orders, lagging load
 * reports. Event-driven: time is skipped up to the next chunk, load or order.
 *
 * Calls must come with `now` that never goes back. Outputs wait until `advance` takes them.
 * The engine doesn't look at a request's `oldestVersion`: the bound is the caller's to check.
 */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { EngineOrder, EngineRole, WorkerReport } from '../../src/platform/worker.js';
import { Batch } from './batch.js';
import { type EngineOutput, EngineOutputs } from './engine-outputs.js';
import type { EngineSettings } from './engine-settings.js';
import { ImportedCaches } from './imported-caches.js';
import { LoadReports } from './load-reports.js';
import { MadeTokens } from './made-tokens.js';
import { type ExternalLoad, OrderProcessing } from './order-processing.js';
import { type CacheEvent, PrefixCache } from './prefix-cache.js';
import { type KeyValueCacheExport, Sequence } from './sequence.js';
import { WaitingSequences } from './waiting-sequences.js';
import type { WeightMemory } from './weight-memory.js';

export type { EngineOutput } from './engine-outputs.js';

/** One emulated engine. */
export class EngineCore {
  readonly made = new MadeTokens();
  private batch: Batch;
  private cache: PrefixCache;
  private imported = new ImportedCaches();
  private readonly orders: OrderProcessing;
  private waiting = new WaitingSequences();
  private readonly outputs = new EngineOutputs();
  /** Latest `now` any call gave. */
  private clock: Milliseconds = 0;
  private leaving = false;
  private crashed = false;
  private readonly reports: LoadReports;

  constructor(
    private readonly settings: EngineSettings,
    private readonly random: RandomSource,
    /** Whether weight versions come from outside: see `takeExternalLoads`. */
    externalLoads = false,
  ) {
    this.batch = new Batch(settings);
    this.cache = new PrefixCache(settings, random);
    this.orders = new OrderProcessing({
      settings,
      random,
      outputs: this.outputs,
      externalLoads,
      beforeActivation: (now) => this.streamAll(now),
    });
    this.reports = new LoadReports(settings.reportLag, () => this.currentReport());
  }

  /** Whether the process is down: it refuses connections. */
  get isCrashed(): boolean {
    return this.crashed;
  }

  /** The truth behind the lagging report: version that new tokens are made with. */
  get activeVersion(): WeightVersion {
    return this.weights.active;
  }

  /** Work the engine takes; running work goes on after a change. */
  get role(): EngineRole {
    return this.weights.role;
  }

  /** Adapters in memory. */
  get adapters(): readonly string[] {
    return this.weights.adapters;
  }

  /**
   * Accepts a generation, or refuses it: crashed, known already, the queue is full, or the engine
   * only reads prompts.
   */
  start(
    dispatchId: string,
    request: GenerationRequest,
    now: Milliseconds,
    resume?: KeyValueCacheExport,
  ): 'accepted' | 'refused' {
    this.process(now);
    if (this.crashed || this.role === 'prefill') return 'refused';
    if (this.find(dispatchId) !== undefined) return 'refused';
    const sequence = new Sequence(dispatchId, request, this.settings);
    const mayRunNow = this.batch.hasRoom || this.preemptionVictim(request) !== undefined;
    const waiting = this.waiting.sizeOf(request.trafficClass);
    if (!mayRunNow && waiting >= this.settings.queueLimit) return 'refused';
    const source = resume ?? this.imported.take(sequence);
    for (const event of sequence.takeOver(source)) this.outputs.stream(dispatchId, event, now);
    this.waiting.add(sequence);
    this.preempt(request, now);
    this.fillSlots(now);
    return 'accepted';
  }

  /** Stops a generation; nothing more is said of it. */
  cancel(dispatchId: string, now: Milliseconds): void {
    this.process(now);
    this.outputs.dropStream(dispatchId);
    this.made.count(this.batch.remove(dispatchId));
    this.waiting.remove(dispatchId);
    this.fillSlots(now);
  }

  /** Hands out what a generation has streamed so far, to be resumed on another engine. */
  exportCache(dispatchId: string, now: Milliseconds): KeyValueCacheExport | undefined {
    this.process(now);
    return this.find(dispatchId)?.export();
  }

  /** Keeps tokens made elsewhere until their request is started here without `resume`. */
  importCache(source: KeyValueCacheExport): void {
    this.imported.add(source);
  }

  /** Carries out a fenced order; its result is an output. */
  order(orderId: string, order: EngineOrder, now: Milliseconds): void {
    this.process(now);
    if (this.crashed) {
      this.outputs.order(orderId, { kind: 'failed', reason: 'connection refused' }, now);
      return;
    }
    this.orders.carryOut(orderId, order, now);
  }

  /** Takes the weight versions that are to be fetched outside; each ends by `endExternalLoad`. */
  takeExternalLoads(): readonly ExternalLoad[] {
    return this.orders.takeExternalLoads();
  }

  /** A weight version was fetched outside, or could not be. */
  endExternalLoad(orderId: string, succeeded: boolean, now: Milliseconds): void {
    this.process(now);
    this.orders.endExternalLoad(orderId, succeeded, now);
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
    return this.reports.read();
  }

  /** Cache events that are due; late, and with gaps. */
  cacheEvents(now: Milliseconds): CacheEvent[] {
    return this.cache.takeEvents(now);
  }

  /** Kills the process: streams and orders underway fail, all memory is lost. */
  crash(now: Milliseconds): void {
    if (this.crashed) return;
    this.process(now);
    for (const sequence of this.batch.all()) this.made.count(sequence);
    for (const { dispatchId } of [...this.batch.all(), ...this.waiting.all()]) {
      const reason = 'connection reset';
      this.outputs.stream(dispatchId, { kind: 'failed', ran: 'unknown', reason }, now);
    }
    this.orders.reset(now);
    this.forget();
    this.crashed = true;
  }

  /** Starts the process again with its initial version, epoch 0 and an empty cache. */
  restart(now: Milliseconds): void {
    if (!this.crashed) return;
    this.crashed = false;
    this.leaving = false;
    this.reports.restart(now);
  }

  /** Makes the engine's report say that it is on its way out; it still accepts work. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Share of later loads that fail, in `[0, 1]`. */
  setLoadFailureRate(rate: number): void {
    this.orders.setLoadFailureRate(rate);
  }

  private get weights(): WeightMemory {
    return this.orders.memory;
  }

  private forget(): void {
    this.batch = new Batch(this.settings);
    this.cache = new PrefixCache(this.settings, this.random);
    this.imported = new ImportedCaches();
    this.waiting = new WaitingSequences();
  }

  private find(dispatchId: string): Sequence | undefined {
    return this.batch.get(dispatchId) ?? this.waiting.find(dispatchId);
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
      this.reports.publishDue(at);
      this.batch.settle(at);
      this.streamReady(at);
      this.orders.finishDue(at);
    }
    this.reports.publishDue(now);
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
      const next = this.waiting.takeNext();
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
    this.waiting.addFirst(victim);
  }

  /** Streams what the active version has made, before another one goes on. */
  private streamAll(now: Milliseconds): void {
    for (const sequence of this.batch.all()) this.streamTokens(sequence, now);
    this.batch.refreshBoundary();
  }

  private currentReport(): WorkerReport {
    return {
      worker: this.settings.worker,
      running: this.batch.size,
      waiting: this.waiting.size,
      activeVersion: this.weights.active,
      loadedVersions: [...this.weights.loaded],
      epoch: this.weights.epoch,
      leaving: this.leaving,
    };
  }
}
