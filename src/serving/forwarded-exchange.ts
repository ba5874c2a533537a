/**
 * Forwards one caller's request to a worker of its route's service. A request that may be repeated
 * goes to another worker when one fails or is late, within the route's number of attempts; one
 * that may not be repeated goes to another only where the first promised that it did not run.
 */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { type TenantName, tenantNameOf } from '../tenants/tenant.js';
import type { AnswerSink, CallerRequest } from './answer-sink.js';
import { type AttemptEnd, isUsable, noteFailure, readAnswerBody } from './attempt.js';
import type { Clock } from './clock.js';
import type { EngineAnswer, EngineOutcome, EnginePort } from './engine-port.js';
import { StreamRelay } from './stream-relay.js';
import type { Route, ServiceName } from './traffic-configuration.js';
import type { KnownWorker, WorkerRegistry } from './worker-registry.js';

/** Options of a request forwarder. */
export interface RequestForwarderOptions {
  readonly engine: EnginePort;
  readonly versionField: string;
  readonly registry: WorkerRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly zone: ZoneName;
  /** Told when a worker began to run a tenant's request, by steady time. */
  readonly noteBegun?: (tenant: TenantName, steadyTime: Milliseconds) => void;
}

/** A repeatable request goes to a second worker after this share of its wanted latency. */
const HEDGE_SHARE = 0.6;
const LEAST_HEDGE_DELAY: Milliseconds = 50;

/** When to come back after a refusal. */
const RETRY_AFTER: Milliseconds = 100;

/** How a request goes to one worker. */
interface SendOptions {
  /** The answer goes on after this event. */
  readonly lastEventId?: number | undefined;
  readonly wantsNewConnection?: boolean;
}

/** One request under way. */
export class ForwardedExchange {
  private readonly tried = new Set<string>();
  private readonly aborts = new Set<AbortController>();
  private readonly deadline: Milliseconds;
  private readonly timeIsUp = new AbortController();
  private mayHaveRun = false;
  private attempts = 0;
  private hasBegun = false;
  private isAnswered = false;

  constructor(
    private readonly options: RequestForwarderOptions,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly service: ServiceName,
    private readonly sink: AnswerSink,
  ) {
    const patience = Math.min(request.patience ?? Number.POSITIVE_INFINITY, route.timeout);
    this.deadline = request.receivedAt + patience;
  }

  async perform(): Promise<void> {
    const timer = setTimeout(() => this.expire(), Math.max(0, this.remaining()));
    const leave = (): void => this.cancelAll();
    this.request.gone.addEventListener('abort', leave);
    try {
      if (this.route.kind === 'read-only') await this.forwardRepeatable();
      else await this.forwardOnce();
    } finally {
      clearTimeout(timer);
      this.request.gone.removeEventListener('abort', leave);
      this.cancelAll();
    }
  }

  private remaining(): Milliseconds {
    return this.deadline - this.options.clock.now();
  }

  private expire(): void {
    this.timeIsUp.abort();
    this.fail(failure('deadline_exceeded', 'no worker answered in time'));
    this.cancelAll();
  }

  private cancelAll(): void {
    for (const abort of this.aborts) abort.abort();
  }

  private get isOver(): boolean {
    return this.isAnswered || this.request.gone.aborted || this.timeIsUp.signal.aborted;
  }

  private pick(): KnownWorker | undefined {
    if (this.attempts >= this.route.maxAttempts) return undefined;
    const now = this.options.clock.now();
    return this.options.registry.pick(this.service, this.tried, this.options.zone, now);
  }

  private async send(
    worker: KnownWorker,
    { lastEventId, wantsNewConnection = false }: SendOptions = {},
  ): Promise<EngineOutcome> {
    const { engine, clock } = this.options;
    const abort = new AbortController();
    this.aborts.add(abort);
    this.tried.add(worker.record.id);
    this.attempts += 1;
    worker.inFlight += 1;
    const sentAt = clock.now();
    const resumeAfter = lastEventId ?? this.request.lastEventId;
    const { caller } = this.request;
    const tenant = tenantNameOf(caller);
    const ownPriority = caller.kind === 'tenant' ? caller.tenant.priority : undefined;
    const outcome = await engine.send(
      {
        worker: worker.record,
        requestId: this.request.requestId,
        method: this.request.method,
        path: this.request.path,
        host: this.request.host,
        headers: this.request.headers,
        body: this.request.body,
        remaining: this.request.patience === undefined ? this.routeTime() : this.remaining(),
        priority: ownPriority ?? this.route.priority,
        ...(tenant === undefined ? {} : { tenant }),
        ...(resumeAfter === undefined ? {} : { lastEventId: resumeAfter }),
        ...(wantsNewConnection ? { wantsNewConnection } : {}),
      },
      abort.signal,
    );
    worker.inFlight -= 1;
    if (outcome.kind !== 'failed') worker.noteLoad(outcome.load, clock.now());
    if (outcome.kind === 'failed' && outcome.mayHaveRun) this.mayHaveRun = true;
    this.noteBegun(outcome, sentAt);
    return outcome;
  }

  /**
   * Counts the request once, when its first run began: with the first event of a stream, else when
   * it was sent, as workers begin such requests as they come.
   */
  private noteBegun(outcome: EngineOutcome, sentAt: Milliseconds): void {
    const { noteBegun, clock } = this.options;
    const tenant = tenantNameOf(this.request.caller);
    const hasRun = outcome.kind === 'answered' || (outcome.kind === 'failed' && outcome.mayHaveRun);
    if (this.hasBegun || !hasRun || tenant === undefined) return;
    this.hasBegun = true;
    const isStream = outcome.kind === 'answered' && outcome.isStream;
    noteBegun?.(tenant, isStream ? clock.now() : sentAt);
  }

  private routeTime(): Milliseconds {
    return Math.max(0, this.remaining());
  }

  /** Attempts side by side: the first whole answer wins, the others are cancelled. */
  private forwardRepeatable(): Promise<void> {
    const hedgeDelay = Math.max(LEAST_HEDGE_DELAY, HEDGE_SHARE * this.route.targetLatency);
    return new Promise((resolve) => {
      let pending = 0;
      let lastEnd: AttemptEnd | undefined;
      let hedge: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(hedge);
        resolve();
      };
      const startNext = (): void => {
        clearTimeout(hedge);
        if (this.isOver) {
          finish();
          return;
        }
        const worker = this.pick();
        if (worker === undefined) {
          if (pending > 0) return;
          this.giveUp(lastEnd);
          finish();
          return;
        }
        // A call that waits may hang on a kept connection that fell silent with all others.
        const wantsNewConnection = pending > 0;
        pending += 1;
        hedge = setTimeout(startNext, hedgeDelay);
        void this.attemptWhole(worker, wantsNewConnection).then((end) => {
          pending -= 1;
          if (this.isOver) return finish();
          if (isUsable(end)) {
            this.deliver(end);
            return finish();
          }
          lastEnd = end;
          startNext();
        });
      };
      this.timeIsUp.signal.addEventListener('abort', finish);
      this.request.gone.addEventListener('abort', finish);
      startNext();
    });
  }

  private async attemptWhole(
    worker: KnownWorker,
    wantsNewConnection: boolean,
  ): Promise<AttemptEnd> {
    const outcome = await this.send(worker, { wantsNewConnection });
    const now = this.options.clock.now();
    if (outcome.kind !== 'answered') {
      if (!this.isOver) noteFailure(worker, outcome, now);
      return { worker, outcome, body: undefined };
    }
    const body = await readAnswerBody(outcome);
    if (body === undefined) {
      this.mayHaveRun = true;
      if (!this.isOver) worker.noteOutcome('failure', this.options.clock.now());
    } else worker.noteOutcome('success', this.options.clock.now());
    return { worker, outcome, body };
  }

  private deliver(end: AttemptEnd): void {
    if (end.outcome.kind !== 'answered' || end.body === undefined) return;
    this.isAnswered = true;
    this.sink.sendWhole(end.outcome.status, end.outcome.headers, end.body);
    this.logEnd('request-answered', end.worker, end.outcome.status);
  }

  /** One attempt at a time; the next only after a promise that the last one did not run. */
  private async forwardOnce(): Promise<void> {
    while (!this.isOver) {
      const worker = this.pick();
      if (worker === undefined) return this.giveUp(undefined);
      const outcome = await this.send(worker);
      if (this.isOver) return;
      if (outcome.kind === 'answered') return this.relay(worker, outcome);
      noteFailure(worker, outcome, this.options.clock.now());
      if (outcome.kind === 'failed' && outcome.mayHaveRun && !this.route.resumable) {
        return this.giveUp(undefined);
      }
    }
  }

  /** Passes an answer on as it comes; a resumable stream goes on at another worker. */
  private async relay(worker: KnownWorker, answer: EngineAnswer): Promise<void> {
    this.isAnswered = true;
    if (!answer.isStream) return this.relayWhole(worker, answer);
    const relay = new StreamRelay(this.sink, this.options.versionField, this.request.lastEventId);
    this.sink.begin(answer.status, answer.headers);
    let current: EngineAnswer | undefined = answer;
    while (current !== undefined) {
      const isComplete = await relay.follow(current);
      if (isComplete) {
        this.sink.end();
        return this.logEnd('stream-answered', worker, answer.status);
      }
      current.discard();
      current = await this.resumeStream(relay);
    }
    this.sink.breakOff();
    this.logEnd('stream-broken-off', worker, answer.status);
  }

  private async relayWhole(worker: KnownWorker, answer: EngineAnswer): Promise<void> {
    const body = await readAnswerBody(answer);
    if (this.request.gone.aborted || this.timeIsUp.signal.aborted) return;
    if (body === undefined) {
      this.isAnswered = false;
      this.mayHaveRun = true;
      return this.giveUp(undefined);
    }
    this.sink.sendWhole(answer.status, answer.headers, body);
    this.logEnd('request-answered', worker, answer.status);
  }

  private async resumeStream(relay: StreamRelay): Promise<EngineAnswer | undefined> {
    while (this.route.resumable && !this.request.gone.aborted && this.remaining() > 0) {
      const worker = this.pick();
      if (worker === undefined) return undefined;
      const outcome = await this.send(worker, { lastEventId: relay.lastEventId });
      if (outcome.kind === 'answered' && outcome.isStream && outcome.status < 300) return outcome;
      if (outcome.kind === 'answered') outcome.discard();
    }
    return undefined;
  }

  /** Passes a worker's own failure on where there is one; else says what is known. */
  private giveUp(last: AttemptEnd | undefined): void {
    if (last?.outcome.kind === 'answered' && last.body !== undefined) {
      this.deliver(last);
      return;
    }
    if (this.mayHaveRun && this.route.kind !== 'read-only') {
      this.fail(failure('engine_failed', 'the worker broke off; the work may have run'));
      return;
    }
    if (this.mayHaveRun) {
      this.fail(failure('engine_failed', 'no worker gave an answer'));
      return;
    }
    const kind = this.attempts === 0 ? 'no_worker' : 'overloaded';
    this.fail(failure(kind, `${this.attempts} workers were tried`, { retryAfter: RETRY_AFTER }));
  }

  private fail(reason: Failure): void {
    if (this.isAnswered || this.request.gone.aborted) return;
    this.isAnswered = true;
    this.sink.fail(reason);
    this.meter(reason.kind);
    this.options.log.decision('request-refused', {
      request: this.request.requestId,
      route: this.route.name,
      service: this.service,
      kind: reason.kind,
      detail: reason.detail,
      attempts: this.attempts,
      tookMs: this.elapsed(),
    });
  }

  private meter(outcome: string): void {
    const kind = this.route.kind;
    this.options.metrics.count('requests', { kind, outcome });
    this.options.metrics.observe('request_seconds', { kind }, this.elapsed());
  }

  private logEnd(event: string, worker: KnownWorker, status: number): void {
    this.meter(event);
    this.options.log.decision(event, {
      request: this.request.requestId,
      route: this.route.name,
      worker: worker.record.id,
      status,
      attempts: this.attempts,
      tookMs: this.elapsed(),
    });
  }

  private elapsed(): Milliseconds {
    return Math.round(this.options.clock.now() - this.request.receivedAt);
  }
}
