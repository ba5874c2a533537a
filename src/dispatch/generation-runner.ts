/**
 * Runs one generation to an end: picks a worker, dispatches to its home, and tries again elsewhere
 * as far as that is truthful and within the retry budget. What was refused did not run and may
 * always be tried again; what may have run is only tried again when it is repeatable and none of
 * its answer has been passed on. A training generation that ended early goes on on the next worker
 * from the tokens made already, where these may still be handed over.
 */
import type {
  GenerationRequest,
  GenerationResult,
  PartialGeneration,
  TokenSegment,
} from '../core/generation.js';
import type { NodeIdentity, WorkerId, ZoneName } from '../core/identity.js';
import type { Milliseconds, TokenCount } from '../core/units.js';
import { executionStateOf, type Failure, failure } from '../errors/error-kinds.js';
import type { DispatchClient, OriginOutcome } from './dispatch-client.js';
import { longerPartial, PartialAnswer, tokensOf } from './partial-answer.js';
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
  /** Whether a worker may go on from these tokens now. */
  readonly mayResume: (
    request: GenerationRequest,
    partial: PartialGeneration,
    worker: WorkerId,
  ) => boolean;
  /** Told of each attempt that goes on from tokens made already. */
  readonly onResumed?: (tokens: TokenCount) => void;
  /** Off only in the lab: a lost, not repeatable dispatch is then sent again. */
  readonly singleDispatch: boolean;
  /** Off only in the lab: a lost dispatch is then reported as not run. */
  readonly truthfulUnknown: boolean;
  /** Off only in the lab: an attempt that may have run is then forgotten by a later refusal. */
  readonly rememberAttempts: boolean;
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
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly preempted: boolean;
      /** What was made of a training answer, for a later generation to go on from. */
      readonly partial: PartialGeneration | null;
    };

/** One generation to be run. */
export interface GenerationOrder {
  readonly request: GenerationRequest;
  readonly zones: readonly ZoneName[];
  readonly stream: boolean;
  readonly deadline: Milliseconds;
  /** Attempts in all, the first included. */
  readonly maxAttempts: number;
  /** What an earlier generation made of the answer. @default nothing */
  readonly resume?: PartialGeneration | null;
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
  /** What the running attempt's home has passed on of a training answer. */
  private progress: PartialAnswer;
  /** The longest beginning of a training answer that any attempt has made. */
  private partial: PartialGeneration | null;

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
    this.progress = new PartialAnswer(clock());
    this.partial = order.resume ?? null;
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
    this.progress = new PartialAnswer(now);
    const request = this.requestFor(worker);
    const { stream } = this.order;
    this.options.explain(request.requestId, `sent to ${worker}`, `home ${home.node}`);
    this.options.client.start(
      { dispatchId, home, worker, request, stream },
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

  /** The request as a worker gets it: with the tokens made already, where it may go on from them. */
  private requestFor(worker: WorkerId): GenerationRequest {
    const { request } = this.order;
    const { partial } = this;
    if (partial === null || !this.options.mayResume(request, partial, worker)) return request;
    this.options.onResumed?.(tokensOf(partial));
    this.options.explain(request.requestId, `resumed on ${worker}`, `${tokensOf(partial)} tokens`);
    return { ...request, resume: partial };
  }

  private pass(segment: TokenSegment, text: string): void {
    if (this.over) return;
    if (this.order.stream) this.stream.accept(segment, text);
    else this.progress.append(segment, text);
  }

  /** Keeps what the ended attempt has made, as far as its home or the progress tells. */
  private keepPartial(outcome: OriginOutcome): void {
    const { trafficClass, repeatable } = this.order.request;
    if (trafficClass !== 'training' || !repeatable) return;
    this.partial = longerPartial(this.partial, this.progress.partial());
    if (outcome.kind !== 'preempted' && outcome.kind !== 'failed') return;
    this.partial = longerPartial(this.partial, outcome.partial);
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
    this.keepPartial(outcome);
    const reason = this.reasonOf(outcome);
    if (executionStateOf(reason) !== 'no') this.mayHaveRun = true;
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
    if (executionStateOf(reason) !== 'no' && !repeatable) return false;
    return this.options.mayRetry(now);
  }

  /** Whatever the last attempt says, an earlier one that may have run is not forgotten. */
  private fail(reason: Failure, preempted: boolean): void {
    this.over = true;
    const ran = executionStateOf(reason);
    const hidden = this.mayHaveRun && ran === 'no';
    const told: Failure =
      hidden && this.options.rememberAttempts ? { ...reason, ran: 'unknown' } : reason;
    this.options.explain(this.order.request.requestId, `gave up: ${told.kind}`, told.detail);
    const { partial } = this;
    this.listener.onEnd({ kind: 'failed', failure: told, preempted, partial }, this.clock());
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
