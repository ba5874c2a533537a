/**
 * Forwards one request to workers of its route's service. A repeatable request is retried and
 * hedged at other workers, up to the route's number of attempts; any other is retried only if it
 * certainly did not run or the route is resumable. At its deadline the caller has an answer, or its
 * connection is closed.
 */
import type { Milliseconds } from '../core/units.js';
import { failure } from '../errors/error-kinds.js';
import type { AnswerSink, CallerRequest } from './answer-sink.js';
import { type AttemptResult, isUsable, noteFailure, readAnswerBody } from './attempt.js';
import { CallerAnswer } from './caller-answer.js';
import type { EngineAnswer } from './engine-port.js';
import { ExchangeReport } from './exchange-report.js';
import type { RequestForwarderOptions } from './forwarding-options.js';
import { StreamRelay } from './stream-relay.js';
import type { Route, ServiceName } from './traffic-configuration.js';
import type { KnownWorker } from './worker-registry.js';
import { WorkerSender } from './worker-sender.js';

/** Share of the route's target latency after which a repeatable request is hedged. */
const HEDGE_SHARE = 0.6;
const MIN_HEDGE_DELAY: Milliseconds = 50;

/** Retry hint for rejected callers. */
const RETRY_AFTER: Milliseconds = 100;

interface StartedStream {
  readonly worker: KnownWorker;
  readonly answer: EngineAnswer;
}

/** One forwarded request. */
export class ForwardedExchange {
  private readonly sender: WorkerSender;
  private readonly callerAnswer: CallerAnswer;
  private readonly deadline: Milliseconds;
  private readonly expiry = new AbortController();

  constructor(
    private readonly options: RequestForwarderOptions,
    private readonly request: CallerRequest,
    private readonly route: Route,
    service: ServiceName,
    private readonly sink: AnswerSink,
  ) {
    const timeout = Math.min(request.timeout ?? Number.POSITIVE_INFINITY, route.timeout);
    this.deadline = request.receivedAt + timeout;
    const parts = { ...options, request, route, service };
    this.sender = new WorkerSender({ ...parts, remaining: () => this.remaining() });
    this.callerAnswer = new CallerAnswer({
      sink,
      report: new ExchangeReport(parts),
      log: options.log,
      disconnectSignal: request.disconnectSignal,
      attempts: () => this.sender.attempts,
    });
  }

  /** Answers the caller; never rejects. */
  async perform(): Promise<void> {
    const timer = setTimeout(() => this.expire(), Math.max(0, this.remaining()));
    const cancelAttempts = (): void => this.sender.cancelAll();
    this.request.disconnectSignal.addEventListener('abort', cancelAttempts);
    try {
      const refusal = this.sender.refusal();
      if (refusal !== undefined) this.callerAnswer.fail(refusal);
      else if (this.route.kind === 'read-only') await this.forwardRepeatable();
      else await this.forwardNonRepeatable();
    } catch (error) {
      this.options.log.fault('exchange-failed', error);
    } finally {
      this.callerAnswer.fail(failure('internal', 'the request ended without an answer'));
      clearTimeout(timer);
      this.request.disconnectSignal.removeEventListener('abort', cancelAttempts);
      this.sender.cancelAll();
    }
  }

  private remaining(): Milliseconds {
    return this.deadline - this.options.clock.now();
  }

  private expire(): void {
    this.expiry.abort();
    this.callerAnswer.fail(failure('deadline_exceeded', 'no worker answered in time'));
    this.sender.cancelAll();
  }

  private get isFinished(): boolean {
    return !this.callerAnswer.isAwaited || this.expiry.signal.aborted;
  }

  /** Whether nothing more may be sent for the caller. */
  private get isCancelled(): boolean {
    return this.request.disconnectSignal.aborted || this.expiry.signal.aborted;
  }

  /** Runs attempts in parallel: the first usable answer wins, the others are cancelled. */
  private forwardRepeatable(): Promise<void> {
    const hedgeDelay = Math.max(MIN_HEDGE_DELAY, HEDGE_SHARE * this.route.targetLatency);
    return new Promise((resolve, reject) => {
      let pending = 0;
      let lastResult: AttemptResult | undefined;
      let hedge: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(hedge);
        resolve();
      };
      const startNext = (): void => {
        clearTimeout(hedge);
        if (this.isFinished) {
          finish();
          return;
        }
        const worker = this.sender.pick();
        if (worker === undefined) {
          if (pending > 0) return;
          this.giveUp(lastResult);
          finish();
          return;
        }
        // The pending attempt may hang on a dead pooled connection, and so would a hedge.
        const wantsNewConnection = pending > 0;
        pending += 1;
        hedge = setTimeout(startNext, hedgeDelay);
        this.attemptWhole(worker, wantsNewConnection)
          .then((result) => {
            pending -= 1;
            if (this.isFinished) return finish();
            if (isUsable(result)) {
              this.deliver(result);
              return finish();
            }
            lastResult = result;
            startNext();
          })
          .catch(reject);
      };
      this.expiry.signal.addEventListener('abort', finish);
      this.request.disconnectSignal.addEventListener('abort', finish);
      startNext();
    });
  }

  private async attemptWhole(
    worker: KnownWorker,
    wantsNewConnection: boolean,
  ): Promise<AttemptResult> {
    const outcome = await this.sender.send(worker, { wantsNewConnection });
    const now = this.options.clock.now();
    if (outcome.kind !== 'answered') {
      if (!this.isFinished) noteFailure(worker, outcome, now);
      return { worker, outcome, body: undefined };
    }
    const body = await readAnswerBody(outcome, this.request.holding);
    if (body === undefined) {
      this.sender.mayHaveRun = true;
      if (this.wasAnswerDropped) this.dropAnswer();
      else if (!this.isFinished) {
        worker.noteOutcome('failure', this.options.clock.now());
        this.sender.noteConnectionBroken(worker);
      }
    } else {
      worker.noteOutcome('success', this.options.clock.now());
      this.sender.noteAnswered(outcome.status);
    }
    return { worker, outcome, body };
  }

  private deliver(result: AttemptResult): void {
    if (result.outcome.kind !== 'answered' || result.body === undefined) return;
    this.callerAnswer.sendComplete(result.worker, result.outcome, result.body);
  }

  /** Runs one attempt at a time; the next only after a worker that did not run the request. */
  private async forwardNonRepeatable(): Promise<void> {
    while (!this.isFinished) {
      const worker = this.sender.pick();
      if (worker === undefined) return this.giveUp(undefined);
      const outcome = await this.sender.send(worker);
      if (this.isFinished) return;
      if (outcome.kind === 'answered') return this.relay(worker, outcome);
      noteFailure(worker, outcome, this.options.clock.now());
      if (outcome.kind === 'failed' && outcome.mayHaveRun && !this.route.resumable) {
        return this.giveUp(undefined);
      }
    }
  }

  /** Relays an answer; a broken resumable stream is resumed at another worker. */
  private async relay(worker: KnownWorker, answer: EngineAnswer): Promise<void> {
    if (!answer.isStream) return this.relayWhole(worker, answer);
    const { callerAnswer } = this;
    const relay = new StreamRelay(this.sink, this.options.versionField, this.request.lastEventId);
    if (!callerAnswer.begin(worker, answer)) {
      answer.discard();
      return;
    }
    let current: StartedStream | undefined = { worker, answer };
    while (current !== undefined) {
      const isComplete = await relay.follow(current.answer);
      if (isComplete) {
        callerAnswer.end();
        this.sender.noteAnswered(answer.status);
        return;
      }
      current.answer.discard();
      if (!this.request.disconnectSignal.aborted) this.sender.noteConnectionBroken(current.worker);
      current = await this.resumeStream(relay);
    }
    callerAnswer.breakOff();
  }

  private async relayWhole(worker: KnownWorker, answer: EngineAnswer): Promise<void> {
    const body = await readAnswerBody(answer, this.request.holding);
    if (this.isFinished) return;
    if (body === undefined && this.wasAnswerDropped) return this.dropAnswer();
    if (body === undefined) {
      this.sender.mayHaveRun = true;
      this.sender.noteConnectionBroken(worker);
      return this.giveUp(undefined);
    }
    this.sender.noteAnswered(answer.status);
    this.callerAnswer.sendComplete(worker, answer, body);
  }

  /** Whether this node had no room for an answer, which says nothing about its worker. */
  private get wasAnswerDropped(): boolean {
    return this.request.holding?.wasDenied === true;
  }

  private dropAnswer(): void {
    this.callerAnswer.fail(failure('answer_dropped', 'answers that are read came first'));
  }

  private async resumeStream(relay: StreamRelay): Promise<StartedStream | undefined> {
    while (this.route.resumable && !this.isCancelled) {
      const worker = this.sender.pick();
      if (worker === undefined) return undefined;
      const outcome = await this.sender.send(worker, { lastEventId: relay.lastEventId });
      if (outcome.kind === 'answered' && outcome.isStream && outcome.status < 300) {
        return { worker, answer: outcome };
      }
      if (outcome.kind === 'answered') outcome.discard();
    }
    return undefined;
  }

  /** Answers with the worker's own failure if there is one, else with the gateway's. */
  private giveUp(last: AttemptResult | undefined): void {
    if (last?.outcome.kind === 'answered' && last.body !== undefined) {
      this.deliver(last);
      return;
    }
    if (this.sender.mayHaveRun && this.route.kind !== 'read-only') {
      this.callerAnswer.fail(
        failure('engine_failed', 'the worker broke off; the work may have run'),
      );
      return;
    }
    if (this.sender.mayHaveRun) {
      this.callerAnswer.fail(failure('engine_failed', 'no worker gave an answer'));
      return;
    }
    const kind = this.sender.attempts === 0 ? 'no_worker' : 'overloaded';
    this.callerAnswer.fail(
      failure(kind, `${this.sender.attempts} workers were tried`, { retryAfter: RETRY_AFTER }),
    );
  }
}
