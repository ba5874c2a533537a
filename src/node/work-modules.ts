/**
 * The modules of one node that carry work: dispatches on both sides, steps and requests, and the
 * choice of workers.
 */
import type { PermissionAnswer } from '../access/permission.js';
import type { Configuration } from '../config-feed/configuration.js';
import type { GenerationRequest } from '../core/generation.js';
import type { NodeIdentity } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { DispatchClient } from '../dispatch/dispatch-client.js';
import { GenerationRunner } from '../dispatch/generation-runner.js';
import { HomeDispatcher } from '../dispatch/home-dispatcher.js';
import type { DispatchMessage, DispatchOutcome } from '../dispatch/messages.js';
import { executionStateOf } from '../errors/error-kinds.js';
import type { EngineEvent, WorkerRecord } from '../platform/worker.js';
import { RequestCalls } from '../requests/request-calls.js';
import { RetentionSweeper } from '../retention/retention-sweeper.js';
import { StepCalls } from '../rollouts/step-calls.js';
import type { StepPorts } from '../rollouts/step-ports.js';
import { StepSupervisor } from '../rollouts/step-supervisor.js';
import { HomeAdmission } from '../routing/home-admission.js';
import { LengthPredictor } from '../routing/length-predictor.js';
import { RetryBudget } from '../routing/retry-budget.js';
import { Router } from '../routing/router.js';
import { createRoutingPolicies } from '../routing/routing-policies.js';
import type { CallOutcome } from '../routing/worker-candidate.js';
import type { NodeModules } from './node-modules.js';
import { PeriodicTask } from './periodic-task.js';
import { sampleGeneration } from './sample-generation.js';
import { SampleGuard } from './sample-guard.js';
import { WorkPlacement } from './work-placement.js';

/** How often running work is checked against the permissions of the moment. */
const WITHDRAWAL_INTERVAL: Milliseconds = 500;

/** Modules that carry work. */
export class WorkModules {
  readonly client: DispatchClient;
  readonly home: HomeDispatcher;
  readonly requests: RequestCalls;
  readonly steps: StepCalls;
  readonly supervisor: StepSupervisor;
  private readonly retention: RetentionSweeper;
  private readonly admission: HomeAdmission;
  private readonly placement: WorkPlacement;
  private readonly guard: SampleGuard;
  private readonly runner: GenerationRunner;
  private readonly retryBudget = new RetryBudget({}, 0);
  private readonly withdrawal = new PeriodicTask(WITHDRAWAL_INTERVAL);
  private limitsOf: Configuration | null = null;

  constructor(
    private readonly modules: NodeModules,
    private readonly ports: NodePorts,
  ) {
    const { directory, settings } = modules;
    const policy = createRoutingPolicies().create(settings.routingPolicy, settings.random);
    const router = new Router({ policy, random: settings.random });
    const zones = settings.zones.map((zone) => zone.name);
    this.placement = new WorkPlacement(ports, directory, router, zones, (request) =>
      this.permissionOf(request.intent, request.trafficClass === 'training'),
    );
    const reported = (worker: string) => directory.report(worker)?.activeVersion;
    this.guard = new SampleGuard(ports, reported, settings.resumeRoom);
    this.admission = new HomeAdmission({
      isLeaving: (worker) => ports.mechanisms['drain-refusal'] && directory.isLeaving(worker),
    });
    this.client = new DispatchClient({
      send: (to, message) => this.sendDispatch(to, message),
      matchIdentity: ports.mechanisms['request-identity'],
      onLost: () => ports.counters.increment('dispatches_lost'),
    });
    this.home = this.createHome();
    this.runner = this.createRunner();
    this.requests = new RequestCalls(ports, this.runner, (account, model) =>
      modules.permission.check({ kind: 'interactive', account, model }, modules.permissionView()),
    );
    this.steps = new StepCalls(ports, {
      permissionToSubmit: (account, model) =>
        modules.permission.check({ kind: 'training', account, model }, modules.permissionView()),
      readableIntents: (account) =>
        modules.permission.readableIntents(account, modules.permissionView()),
    });
    this.supervisor = new StepSupervisor(this.createStepPorts());
    this.retention = new RetentionSweeper(ports, modules.settings.retention);
  }

  /** Time passes for the work in progress. */
  tick(now: Milliseconds): void {
    this.client.tick(now);
    this.home.tick(now);
    this.requests.tick();
    this.steps.tick();
    if (this.ports.isConfirmed()) {
      this.supervisor.tick();
      this.retention.tick();
    }
    if (this.withdrawal.isDue(now)) this.withdrawForbidden();
  }

  /** Takes over limits from a configuration. */
  refresh(configuration: Configuration): void {
    if (this.limitsOf === configuration) return;
    this.limitsOf = configuration;
    const reservedShares = new Map<string, number>();
    for (const { model, interactive } of configuration.intents.values()) {
      const share = Math.max(reservedShares.get(model) ?? 0, interactive.reservedShare);
      reservedShares.set(model, share);
    }
    this.admission.updateLimits({ reservedShares, accountWeights: new Map() });
  }

  /** Ends what runs here although its intent no longer allows it. */
  withdrawForbidden(): void {
    if (!this.ports.mechanisms['withdraw-on-change']) return;
    const { resume } = this.modules.settings;
    const withdraw = (request: GenerationRequest, { worker }: WorkerRecord) =>
      this.placement.withdrawal(request) ??
      (resume ? this.placement.moveAway(request, worker) : null);
    const count = this.home.withdraw(withdraw, this.ports.now());
    if (count > 0) this.ports.counters.increment('dispatches_withdrawn', count);
  }

  /** Takes in a dispatch message, meant for this node as origin or as home. */
  receive(from: NodeIdentity, message: DispatchMessage): void {
    const now = this.ports.now();
    switch (message.kind) {
      case 'dispatch-accepted':
      case 'dispatch-segment':
      case 'dispatch-ended':
        this.client.receive(from, message, now);
        return;
      default:
        this.home.receive(from, message, now);
        return;
    }
  }

  /** Takes in an engine's event. */
  engineEvent(dispatchId: string, event: EngineEvent): void {
    this.home.engineEvent(dispatchId, event, this.ports.now());
  }

  /** Whether no work is in progress. */
  isIdle(): boolean {
    const calls = this.requests.openCount + this.client.openCount;
    return calls + this.home.activeCount + this.home.unacknowledgedCount === 0;
  }

  private createHome(): HomeDispatcher {
    const { context, directory } = this.modules;
    return new HomeDispatcher({
      self: this.ports.self,
      send: (to, message) => this.sendDispatch(to, message),
      startEngine: (dispatchId, worker, request) => {
        context.counters.increment('dispatches_admitted');
        context.explain(request.requestId, `started on ${worker.worker}`, 'admitted at its home');
        context.emit({ kind: 'engine-start', dispatchId, worker, request });
      },
      cancelEngine: (dispatchId, worker) =>
        context.emit({ kind: 'engine-cancel', dispatchId, worker }),
      admission: {
        admit: (dispatchId, request, worker, now) => {
          const decision = this.admission.admit({ dispatchId, request, worker }, now);
          directory.setOutstanding(worker.worker, this.admission.counts(worker), now);
          return decision;
        },
        release: (dispatchId, now) => this.admission.release(dispatchId, now),
      },
      acceptable: (worker, request) => this.placement.acceptable(worker, request),
      outcomeSeen: (worker, outcome, now) => this.outcomeSeen(worker, outcome, now),
      segmentFault: (request, previous, segment, oldest) =>
        this.guard.segmentFault(request, previous, segment, oldest),
      resume: this.modules.settings.resume,
      deduplicate: this.ports.mechanisms['dispatch-deduplication'],
      barUnknown: this.ports.mechanisms['barred-dispatch'],
    });
  }

  private outcomeSeen(worker: string, outcome: DispatchOutcome, now: Milliseconds): void {
    const { counters } = this.ports;
    if (outcome.kind === 'refused') counters.increment('dispatches_refused');
    if (outcome.kind === 'preempted') counters.increment('dispatches_preempted');
    const { directory } = this.modules;
    this.modules.effects.directory(directory.recordOutcome(worker, callOutcomeOf(outcome), now));
    const record = directory.worker(worker);
    if (record !== undefined) {
      directory.setOutstanding(worker, this.admission.counts(record), now);
    }
  }

  private createRunner(): GenerationRunner {
    const { mechanisms } = this.ports;
    return new GenerationRunner(
      {
        client: this.client,
        choose: (request, zones, exclude, now) =>
          this.placement.choose(request, zones, exclude, now),
        mayRetry: (now) => this.retryBudget.tryRetry(now),
        countFirstAttempt: (now) => this.retryBudget.recordFirstAttempt(now),
        nextDispatchId: () => this.modules.nextId(),
        explain: (subject, decision, reason) =>
          this.ports.recordDecision(subject, decision, reason),
        mayResume: (request, partial, worker) =>
          this.modules.settings.resume && this.guard.mayResume(request, partial, worker),
        onResumed: (tokens) => {
          this.ports.counters.increment('samples_resumed');
          this.ports.counters.increment('tokens_resumed', tokens);
        },
        singleDispatch: mechanisms['single-dispatch'],
        truthfulUnknown: mechanisms['unknown-outcome'],
        rememberAttempts: mechanisms['attempt-memory'],
        wholeAnswer: mechanisms['whole-answer'],
        streamOrder: mechanisms['stream-order'],
        segmentVersions: mechanisms['segment-versions'],
      },
      () => this.ports.now(),
    );
  }

  private createStepPorts(): StepPorts {
    return {
      node: this.ports,
      hedging: this.modules.settings.hedging,
      predictor: new LengthPredictor(),
      permission: (record) => this.permissionOf(record.intent, true),
      generate: (record, permission, sample, { deadline, resume }, listener) => {
        const request = sampleGeneration(record, permission, sample);
        const { zones } = permission;
        const order = { request, zones, stream: false, deadline, maxAttempts: 2, resume };
        return this.runner.run(order, listener);
      },
    };
  }

  private permissionOf(intent: string, training: boolean): PermissionAnswer {
    const question = { kind: 'intent', intent, training } as const;
    return this.modules.permission.check(question, this.modules.permissionView());
  }

  private sendDispatch(to: NodeIdentity, body: DispatchMessage): void {
    if (body.kind === 'dispatch') this.ports.counters.increment('dispatches_started');
    this.ports.send(to, { module: 'dispatch', body });
  }
}

/** What an outcome says of the worker's health; work that was withdrawn says nothing. */
function callOutcomeOf(outcome: DispatchOutcome): CallOutcome {
  if (outcome.kind === 'finished' || outcome.kind === 'preempted') return 'succeeded';
  if (outcome.kind === 'refused' || outcome.failure.kind !== 'engine_failed') return 'refused';
  return executionStateOf(outcome.failure) === 'no' ? 'refused' : 'failed';
}
