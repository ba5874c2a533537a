/**
 * Drives one step: has its samples generated, and appends each finished one to the delivery log.
 * Every member of the step's replica group can drive it; two drivers at once cost work, never a
 * doubled sample, since the log takes each key once.
 */
import type { Permission } from '../access/permission.js';
import type { GenerationResult, PartialGeneration } from '../core/generation.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import type { GenerationOutcome } from '../dispatch/generation-runner.js';
import { type ErrorKind, executionStateOf, retryAfterOf } from '../errors/error-kinds.js';
import type { SampleRequest } from '../node/calls.js';
import { AcknowledgedBodies } from './acknowledged-bodies.js';
import { DeliveryAppender } from './delivery-appender.js';
import { endStep } from './delivery-log.js';
import { DispatchWindow } from './dispatch-window.js';
import type { DeliveryEntry, StepRecord } from './records.js';
import { ResultKeeper } from './result-keeper.js';
import { type RunningSample, RunningSamples } from './running-samples.js';
import { SampleQueue } from './sample-queue.js';
import { decodeSamples } from './step-bodies.js';
import { StepHedging } from './step-hedging.js';
import type { StepPorts } from './step-ports.js';

/** Time given to one ledger operation before it is tried anew. */
const LEDGER_TIMEOUT: Milliseconds = 2 * SECOND;
/** Pause after a failed ledger operation. */
const RETRY_PAUSE: Milliseconds = 200;

/** Drives one step until it is complete, closed, or given over to another member. */
export class StepDriver {
  private phase: 'loading' | 'running' | 'ending' | 'ended' = 'loading';
  private readonly running = new RunningSamples();
  private readonly window = new DispatchWindow();
  private readonly hedging: StepHedging;
  private queue: SampleQueue | null = null;
  private readonly appender: DeliveryAppender;
  private readonly keeper: ResultKeeper;
  private readonly acknowledgedBodies: AcknowledgedBodies;
  private pausedUntil: Milliseconds = 0;
  private endState: 'complete' | 'closed' = 'complete';

  /**
   * @param key the step record's key, which also picks the shard.
   * @param deadline when this node closes the step, on its own clock.
   */
  constructor(
    private readonly ports: StepPorts,
    readonly key: string,
    readonly record: StepRecord,
    private readonly deadline: Milliseconds,
  ) {
    this.hedging = new StepHedging(record.sampleCount);
    this.acknowledgedBodies = new AcknowledgedBodies(ports.node, key, record);
    this.keeper = new ResultKeeper(ports.node, key, record, {
      stored: (entry, result) => this.appender.add(entry, result),
      full: () => this.makeRoom(),
      refused: () => this.appender.refresh(),
    });
    this.appender = new DeliveryAppender(ports.node, key, record, {
      delivered: (entries) => this.delivered(entries),
      closed: () => this.end('closed'),
      inadmissible: (sampleKey, reason) => this.regenerate(sampleKey, reason),
    });
  }

  private get node(): NodePorts {
    return this.ports.node;
  }

  /** Whether nothing is left to be done here. */
  get isOver(): boolean {
    return this.phase === 'ended';
  }

  /** Loads the step's samples and what was delivered already. */
  start(): void {
    const { intent, samplesDigest } = this.record;
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.fetchBody(intent, this.key, samplesDigest, deadline, (outcome) => {
      if (this.phase !== 'loading') return;
      if (outcome.kind !== 'body') {
        this.pausedUntil = this.node.now() + RETRY_PAUSE;
        return;
      }
      const samples = decodeSamples(outcome.body);
      this.queue = new SampleQueue(samples, this.record.model, this.ports.predictor);
      this.appender.load(() => this.begin());
    });
    this.pausedUntil = Number.POSITIVE_INFINITY;
  }

  /** Goes on with what can be done now. */
  tick(): void {
    const now = this.node.now();
    if (this.phase === 'ended') return;
    if (now >= this.deadline && this.phase !== 'ending') this.close('deadline_exceeded');
    if (now < this.pausedUntil) return;
    if (this.phase === 'loading') this.retryLoading();
    if (this.phase === 'running') this.keeper.tick();
    if (this.phase === 'running') this.dispatchMore();
    if (this.phase === 'ending') this.markEnded();
    this.appender.tick();
  }

  /** Stops driving; what runs is cancelled. Another member goes on. */
  abandon(): void {
    this.keeper.stop();
    this.running.forgetAll();
    this.phase = 'ended';
  }

  private retryLoading(): void {
    if (this.queue === null) this.start();
    else this.appender.load(() => this.begin());
  }

  private begin(): void {
    if (this.phase !== 'loading') return;
    this.phase = 'running';
    this.pausedUntil = 0;
    this.checkComplete();
    if (this.phase === 'running') this.dispatchMore();
  }

  private dispatchMore(): void {
    const queue = this.queue;
    const now = this.node.now();
    if (queue === null || now < this.pausedUntil || this.keeper.isBlocked) return;
    while (this.running.size < this.window.size) {
      const sample = queue.next(now);
      if (sample === undefined) break;
      if (!this.dispatch(sample)) break;
    }
    if (queue.size === 0) this.hedgeLate(now);
  }

  /** Starts one sample; false where no more should be started now. */
  private dispatch(sample: SampleRequest): boolean {
    const answer = this.ports.permission(this.record);
    if (answer.kind === 'refused') {
      this.queue?.putBack(sample);
      this.pausedUntil = this.node.now() + RETRY_PAUSE;
      return false;
    }
    const entry = this.running.start(sample, this.node.now());
    this.generate(entry, answer.permission, this.running.takePartial(sample.key));
    return this.node.now() >= this.pausedUntil;
  }

  private generate(
    entry: RunningSample,
    permission: Permission,
    resume: PartialGeneration | null,
  ): void {
    entry.liveCopies += 1;
    const limits = { deadline: this.deadline, resume };
    const running = this.ports.generate(this.record, permission, entry.sample, limits, {
      onAccepted: () => this.accepted(),
      onEnd: (outcome) => this.generated(entry, outcome),
    });
    entry.generations.push(running);
  }

  private accepted(): void {
    if (this.phase !== 'running') return;
    this.window.accepted(this.running.size);
    this.dispatchMore();
  }

  private generated(entry: RunningSample, outcome: GenerationOutcome): void {
    const { sample } = entry;
    entry.liveCopies -= 1;
    if (this.phase !== 'running' || this.running.get(sample.key) !== entry) return;
    if (outcome.kind === 'finished') {
      this.observe(entry, outcome.result);
      this.keep(entry, outcome.result);
      return;
    }
    this.running.keepPartial(sample.key, outcome.partial);
    if (entry.liveCopies > 0) return;
    this.running.stop(sample.key);
    this.queue?.putBack(sample);
    if (executionStateOf(outcome.failure) === 'no') {
      this.window.refused(this.running.size);
      const pause = Math.min(retryAfterOf(outcome.failure) ?? RETRY_PAUSE, RETRY_PAUSE);
      this.pausedUntil = this.node.now() + pause;
    }
  }

  /** Has a result stored on a majority, then appended. */
  private keep(entry: RunningSample, result: GenerationResult): void {
    for (const other of entry.generations) other.cancel();
    this.keeper.keep(entry.sample.key, result);
  }

  /** The trainer has all samples below the cursor. */
  acknowledged(cursor: number): void {
    this.acknowledgedBodies.raise(cursor);
  }

  private makeRoom(): void {
    if (this.acknowledgedBodies.forget() > 0) return;
    this.node.recordDecision(this.key, 'paused', 'the ledger is full');
  }

  private regenerate(sampleKey: string, reason: string): void {
    const entry = this.running.get(sampleKey);
    if (entry === undefined) return;
    this.running.forget(sampleKey);
    this.node.counters.increment('samples_stale');
    this.node.recordDecision(this.key, `sample ${sampleKey} runs again`, reason);
    this.queue?.putBack(entry.sample);
  }

  private delivered(entries: readonly DeliveryEntry[]): void {
    this.acknowledgedBodies.delivered(entries);
    this.keeper.delivered(new Set(entries.map((entry) => entry.key)));
    for (const { key } of entries) {
      this.running.forget(key);
      this.queue?.remove(key);
    }
    if (this.phase === 'running') this.checkComplete();
    if (this.phase === 'running') this.dispatchMore();
  }

  private checkComplete(): void {
    if (this.appender.deliveredCount < this.record.sampleCount) return;
    this.node.counters.increment('steps_completed');
    this.end('complete');
  }

  private close(kind: ErrorKind): void {
    this.running.forgetAll();
    this.appender.close({ kind, detail: 'the step was not whole when its time was over' });
  }

  private end(state: 'complete' | 'closed'): void {
    if (this.phase === 'ending' || this.phase === 'ended') return;
    this.keeper.stop();
    this.running.forgetAll();
    this.phase = 'ending';
    this.endState = state;
    this.node.recordDecision(
      this.key,
      `ended: ${state}`,
      `${this.appender.deliveredCount} delivered`,
    );
    this.pausedUntil = 0;
    this.markEnded();
  }

  private markEnded(): void {
    const { intent } = this.record;
    const address = { domain: intent, shardKey: this.key, key: this.key };
    const now = this.node.now();
    this.pausedUntil = Number.POSITIVE_INFINITY;
    this.node.ledger.change(address, endStep(this.endState), now + LEDGER_TIMEOUT, (outcome) => {
      if (outcome.kind === 'changed') this.phase = 'ended';
      else this.pausedUntil = this.node.now() + RETRY_PAUSE;
    });
  }

  private observe(entry: RunningSample, result: GenerationResult): void {
    this.queue?.observe(entry.sample, result.tokenCount);
    this.hedging.finished(result.tokenCount, this.node.now() - entry.startedAt);
  }

  /** Starts a second copy of the last few samples that are late. */
  private hedgeLate(now: Milliseconds): void {
    if (!this.ports.hedging || !this.hedging.isTail(this.running.size)) return;
    const candidates = this.running.all().map(({ sample, startedAt, liveCopies }) => {
      const predictedTokens = this.queue?.predict(sample) ?? 0;
      return { key: sample.key, startedAt, liveCopies, predictedTokens };
    });
    for (const key of this.hedging.samplesToHedge(candidates, now)) this.hedge(key);
  }

  private hedge(key: string): void {
    const entry = this.running.get(key);
    const answer = this.ports.permission(this.record);
    if (entry === undefined || answer.kind === 'refused') return;
    this.hedging.hedged();
    this.node.counters.increment('samples_hedged');
    this.generate(entry, answer.permission, null);
  }
}
