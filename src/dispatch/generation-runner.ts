/**
 * Runs one generation to an end: picks a worker, dispatches to its home, and tries again elsewhere
 * as far as that is truthful and within the retry budget. What was refused did not run and may
 * always be tried again; what may have run is only tried again when it is repeatable and none of
 * its answer has been passed on.
 */
import type { GenerationRequest, GenerationResult, TokenSegment } from '../core/generation.js';
import type { NodeIdentity, WorkerId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure, ranStateOf } from '../errors/error-kinds.js';
import type { DispatchClient, OriginOutcome } from './dispatch-client.js';
import { SegmentSequence } from './segment-sequence.js';

/** A worker chosen for a request, or why there is none. */
export type WorkerChoice =
  | { readonly kind: 'worker'; readonly worker: WorkerId; readonly home: NodeIdentity }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** What the runner asks of its node. */
export interface GenerationRunnerOptions {
  readonly client: DispatchClient;
  readonly choose: (
    request: GenerationRequest,
    zones: readonly ZoneName[],
    exclude: ReadonlySet<WorkerId>,
    now: Milliseconds,
  ) => WorkerChoice;
  /** Asks the retry budget for one more attempt. */
  readonly mayRetry: (now: Milliseconds) => boolean;
  /** Tells the retry budget of a first attempt. */
  readonly countFirstAttempt: (now: Milliseconds) => void;
  readonly nextDispatchId: () => string;
  readonly explain: (subject: string, decision: string, reason: string) => void;
  /** Off only in the lab: a lost, not repeatable dispatch is then sent again. */
  readonly singleDispatch: boolean;
  /** Off only in the lab: a lost dispatch is then reported as not run. */
  readonly truthfulUnknown: boolean;
  /** Off only in the lab: a stream that broke off is then taken for the whole answer. */
  readonly wholeAnswer: boolean;
  /** Off only in the lab: segments are then passed on as they come. */
  readonly streamOrder: boolean;
  /** Off only in the lab: the newest version is then named for the whole answer. */
  readonly segmentVersions: boolean;
}

/** How a generation ended. */
export type GenerationOutcome =
  | {
      readonly kind: 'finished';
      readonly result: GenerationResult;
      readonly worker: WorkerId;
    }
  | { readonly kind: 'failed'; readonly failure: Failure; readonly preempted: boolean };

/** One generation to be run. */
export interface GenerationOrder {
  readonly request: GenerationRequest;
  readonly zones: readonly ZoneName[];
  readonly stream: boolean;
  readonly deadline: Milliseconds;
  /** Attempts in all, the first included. */
  readonly maxAttempts: number;
}

/** What the owner of a generation is told. */
export interface GenerationListener {
  /** A home has taken an attempt in. */
  onAccepted?(): void;
  onSegment?(segment: TokenSegment, text: string): void;
  /** Called once, perhaps before `run` returns. */
  onEnd(outcome: GenerationOutcome, now: Milliseconds): void;
}

/** A generation that runs; can be given up. */
export interface RunningGeneration {
  cancel(): void;
}

/** State of one generation over its attempts. */
class Attempts implements RunningGeneration {
  private readonly tried = new Set<WorkerId>();
  private dispatchId: string | null = null;
  private count = 0;
  private mayHaveRun = false;
  private over = false;
  private readonly stream: SegmentSequence;

  constructor(
    private readonly options: GenerationRunnerOptions,
    private readonly order: GenerationOrder,
    private readonly listener: GenerationListener,
    private readonly clock: () => Milliseconds,
  ) {
    this.stream = new SegmentSequence(
      (segment, text) => listener.onSegment?.(segment, text),
      options.streamOrder,
    );
  }

  cancel(): void {
    this.over = true;
    if (this.dispatchId !== null) this.options.client.cancel(this.dispatchId);
  }

  attempt(): void {
    const now = this.clock();
    const { request, zones } = this.order;
    const choice = this.options.choose(request, zones, this.tried, now);
    if (choice.kind === 'refused') {
      this.fail(choice.failure, false);
      return;
    }
    this.count += 1;
    if (this.count === 1) this.options.countFirstAttempt(now);
    this.tried.add(choice.worker);
    this.dispatch(choice.worker, choice.home, now);
  }

  private dispatch(worker: WorkerId, home: NodeIdentity, now: Milliseconds): void {
    const dispatchId = this.options.nextDispatchId();
    this.dispatchId = dispatchId;
    this.options.explain(this.order.request.requestId, `sent to ${worker}`, `home ${home.node}`);
    this.options.client.start(
      { dispatchId, home, worker, request: this.order.request, stream: this.order.stream },
      {
        onAccepted: () => this.accepted(),
        onSegment: (segment, text) => this.pass(segment, text),
        onEnd: (outcome) => this.ended(worker, outcome),
      },
      now,
    );
  }

  private accepted(): void {
    if (!this.over) this.listener.onAccepted?.();
  }

  private pass(segment: TokenSegment, text: string): void {
    if (!this.over) this.stream.accept(segment, text);
  }

  private ended(worker: WorkerId, outcome: OriginOutcome): void {
    this.dispatchId = null;
    if (this.over) return;
    if (outcome.kind === 'finished') {
      this.over = true;
      if (this.order.stream) this.stream.complete(outcome.result);
      this.finish(worker, outcome.result);
      return;
    }
    if (this.stream.hasPassed && !this.options.wholeAnswer) {
      this.over = true;
      this.finish(worker, this.stream.passed);
      return;
    }
    const reason = this.reasonOf(outcome);
    if (ranStateOf(reason) !== 'no') this.mayHaveRun = true;
    if (this.mayTryAgain(reason)) this.attempt();
    else this.fail(reason, outcome.kind === 'preempted');
  }

  private finish(worker: WorkerId, result: GenerationResult): void {
    const named = this.options.segmentVersions ? result : withNewestVersion(result);
    this.listener.onEnd({ kind: 'finished', result: named, worker }, this.clock());
  }

  private reasonOf(outcome: Exclude<OriginOutcome, { kind: 'finished' }>): Failure {
    if (outcome.kind === 'refused' || outcome.kind === 'failed') return outcome.failure;
    if (outcome.kind === 'preempted') {
      return failure('overloaded', 'interactive work took the place', { ran: 'yes' });
    }
    const ran = this.options.truthfulUnknown ? 'unknown' : 'no';
    return failure('outcome_unknown', 'the home node of the worker fell silent', { ran });
  }

  private mayTryAgain(reason: Failure): boolean {
    if (this.count >= this.order.maxAttempts) return false;
    const now = this.clock();
    if (now >= this.order.deadline) return false;
    if (this.stream.hasPassed) return false;
    const repeatable = this.order.request.repeatable || !this.options.singleDispatch;
    if (ranStateOf(reason) !== 'no' && !repeatable) return false;
    return this.options.mayRetry(now);
  }

  /** Whatever the last attempt says, an earlier one that may have run is not forgotten. */
  private fail(reason: Failure, preempted: boolean): void {
    this.over = true;
    const ran = ranStateOf(reason);
    const hidden = this.mayHaveRun && ran === 'no';
    const told: Failure =
      hidden && this.options.truthfulUnknown ? { ...reason, ran: 'unknown' } : reason;
    this.options.explain(this.order.request.requestId, `gave up: ${told.kind}`, told.detail);
    this.listener.onEnd({ kind: 'failed', failure: told, preempted }, this.clock());
  }
}

/** The answer with its newest version named for all of it. */
function withNewestVersion(result: GenerationResult): GenerationResult {
  const version = Math.max(...result.segments.map((segment) => segment.version));
  return { ...result, segments: [{ version, firstToken: 0, tokenCount: result.tokenCount }] };
}

/** Runs generations for the step drivers and request runners of one node. */
export class GenerationRunner {
  constructor(
    private readonly options: GenerationRunnerOptions,
    private readonly clock: () => Milliseconds,
  ) {}

  /** Starts a generation. */
  run(order: GenerationOrder, listener: GenerationListener): RunningGeneration {
    const attempts = new Attempts(this.options, order, listener, this.clock);
    attempts.attempt();
    return attempts;
  }
}
