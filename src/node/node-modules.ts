/**
 * The modules of one node and the seams between them: which module's effects become another's
 * events, and which become the node's own effects.
 */
import { PermissionCheck, type PermissionView } from '../access/permission.js';
import type { DrainRecord } from '../config-feed/configuration.js';
import { ConfigurationFeed } from '../config-feed/configuration-feed.js';
import { type NodeIdentity, type NodeRecord, sameIdentity } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { IntentService } from '../intents/intent-service.js';
import { Ledger } from '../ledger/ledger.js';
import { Membership, type MemberView } from '../membership/membership.js';
import type { KeyValueResult } from '../platform/key-value.js';
import type { MachineRecord, WorkerReport } from '../platform/worker.js';
import type { LedgerRecord } from '../rollouts/records.js';
import { WorkerDirectory } from '../routing/worker-directory.js';
import { ExplainLog } from '../telemetry/explain-log.js';
import { WeightController } from '../weights/weight-controller.js';
import type { NodeCall } from './calls.js';
import { DiskResidency } from './disk-residency.js';
import {
  EffectAdapter,
  FEED_REQUEST_PREFIX,
  INTENTS_REQUEST_PREFIX,
  WEIGHTS_REQUEST_PREFIX,
} from './effect-adapter.js';
import { LEDGER_REQUEST_PREFIX, LedgerAdapter } from './ledger-adapter.js';
import { MachineFeedAdapter } from './machine-feed-adapter.js';
import { NodeContext } from './node-context.js';
import { type NodeCoreOptions, type NodeSettings, resolveNodeOptions } from './node-options.js';
import { NodeReport } from './node-report.js';
import { StatusService } from './status-service.js';
import { ViewRefresher } from './view-refresher.js';
import { WorkModules } from './work-modules.js';

/** All modules of one node. */
export class NodeModules {
  readonly settings: NodeSettings;
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly feed: ConfigurationFeed;
  readonly machineFeed: MachineFeedAdapter;
  readonly ledger: Ledger<LedgerRecord>;
  readonly ledgerAdapter: LedgerAdapter;
  readonly directory: WorkerDirectory;
  readonly weights: WeightController;
  readonly intents: IntentService;
  readonly status: StatusService;
  readonly permission: PermissionCheck;
  readonly work: WorkModules;
  private readonly explainLog = new ExplainLog();
  readonly effects: EffectAdapter;
  readonly report: NodeReport;
  readonly views: ViewRefresher;
  machines: readonly MachineRecord[] = [];
  /** Without it a node cannot tell being alone from not having been told of others. */
  private machineListSeen = false;
  private lastId = 0;

  constructor(
    options: NodeCoreOptions,
    private readonly isStopping: () => boolean,
  ) {
    const settings = resolveNodeOptions(options);
    const { self, random } = settings;
    this.settings = settings;
    this.context = new NodeContext(self, random, (to) => this.addressOf(to), this.explainLog);
    this.membership = new Membership({ self, random, initialMembers: settings.initialMembers });
    const { mechanisms } = settings;
    this.feed = new ConfigurationFeed({ self, random, ordered: mechanisms['revision-order'] });
    const takeMachines = (machines: readonly MachineRecord[]) => this.machineList(machines);
    const { context, membership } = this;
    this.machineFeed = new MachineFeedAdapter(settings, context, membership, takeMachines);
    this.ledger = new Ledger<LedgerRecord>({
      self,
      random,
      replicaCount: settings.replicaCount,
      shardsPerDomain: settings.shardsPerDomain,
      bodyBytesLimit: settings.maxResultBytes,
      diskBodies: settings.diskBodies,
      catchUpBeforeVoting: mechanisms['group-catch-up'],
      bodyMajority: mechanisms['body-replication'],
    });
    this.ledgerAdapter = new LedgerAdapter(this.ledger, this.context);
    this.directory = new WorkerDirectory({ self, random });
    this.weights = new WeightController({ self, random });
    const zones = settings.zones.map((zone) => zone.name);
    this.intents = new IntentService({ self, random, zones, operators: settings.operators });
    this.permission = new PermissionCheck({
      zone: self.zone,
      freshnessBound: settings.freshnessBound,
      freshnessRule: settings.mechanisms['freshness-rule'],
      residencyAtGateway: settings.mechanisms['residency-gateway'],
    });
    this.effects = new EffectAdapter(this.context, {
      memberChanged: (member) => this.memberChanged(member),
      configurationApplied: (revision, changedKeys) =>
        this.configurationApplied(revision, changedKeys),
      isHome: (worker) => this.directory.isHome(worker),
    });
    this.report = new NodeReport(this, isStopping);
    const hasDisk = settings.diskBodies !== null;
    this.views = new ViewRefresher(this, hasDisk ? new DiskResidency() : null);
    this.status = this.createStatusService();
    this.work = new WorkModules(this, this.createPorts());
  }

  /** What permission checks rest on. */
  permissionView(): PermissionView {
    const freshnessAge = this.feed.freshnessAge(this.context.now());
    return { configuration: this.feed.configuration(), freshnessAge };
  }

  /** Starts a call. */
  startCall(callId: string, call: NodeCall): void {
    const now = this.context.now();
    switch (call.kind) {
      case 'generate':
        this.work.requests.call(callId, call);
        return;
      case 'step-submit':
      case 'step-read':
      case 'step-acknowledge':
      case 'step-close':
        this.work.steps.call(callId, call);
        return;
      case 'status':
        this.status.status(callId);
        return;
      case 'explain':
        this.status.explain(callId, call.subject);
        return;
      default:
        this.effects.intents(this.intents.call(callId, call, this.feed.configuration(), now));
        return;
    }
  }

  /** The caller went away. */
  abandonCall(callId: string): void {
    this.context.abandonCall(callId);
    this.work.requests.abandon(callId);
    this.work.steps.abandon(callId);
    this.intents.abandon(callId);
  }

  /** Takes in the answer of the key-value service. */
  keyValueResult(requestId: string, result: KeyValueResult): void {
    const now = this.context.now();
    const rest = requestId.slice(requestId.indexOf(':') + 1);
    if (requestId.startsWith(LEDGER_REQUEST_PREFIX)) {
      this.ledgerAdapter.apply(this.ledger.keyValueResult(rest, result, now));
    } else if (requestId.startsWith(FEED_REQUEST_PREFIX)) {
      this.effects.feed(this.feed.keyValueResult(rest, result, now));
    } else if (requestId.startsWith(INTENTS_REQUEST_PREFIX)) {
      this.effects.intents(this.intents.keyValueResult(rest, result, now));
    } else if (requestId.startsWith(WEIGHTS_REQUEST_PREFIX)) {
      this.effects.weights(this.weights.keyValueResult(rest, result, now));
    }
  }

  /** Takes in a changed machine list. */
  private machineList(machines: readonly MachineRecord[]): void {
    const now = this.context.now();
    this.machines = machines;
    this.machineListSeen = true;
    this.effects.membership(this.membership.machineList(machines, now));
    this.effects.directory(this.directory.updateMachines(machines, now));
  }

  /** Takes in an engine's report of itself. */
  workerReport(report: WorkerReport): void {
    const now = this.context.now();
    const leaving = report.leaving && this.settings.mechanisms['leaving-signal'];
    this.effects.directory(this.directory.recordReport({ ...report, leaving }, now));
    this.effects.weights(this.weights.workerReport(report, now));
  }

  /** Time passes for the modules that keep the node part of the fleet. */
  tickFoundation(now: Milliseconds): void {
    this.machineFeed.tick(now);
    if (this.machineListSeen) this.effects.membership(this.membership.tick(now));
    this.effects.feed(this.feed.tick(now));
    this.ledgerAdapter.apply(this.ledger.tick(now));
    this.effects.directory(this.directory.tick(now));
    this.effects.weights(this.weights.tick(now));
    this.effects.intents(this.intents.tick(now));
    this.status.tick();
  }

  /** Starts an orderly stop. */
  beginStop(now: Milliseconds): void {
    const { self } = this.settings;
    this.context.stateChange('node', 'stopping', { node: self.node });
    this.effects.membership(this.membership.leave(now));
    if (this.settings.mechanisms['hand-over-on-stop']) this.work.supervisor.abandonAll();
  }

  /** Whether nothing is in progress any more. */
  isIdle(): boolean {
    const open = this.context.openCallCount + this.ledgerAdapter.openCount;
    return open === 0 && this.work.isIdle();
  }

  /** The failure that refuses calls on a stopping node. */
  stoppingFailure(): Failure {
    return failure('stopping', `${this.settings.self.node} is stopping`);
  }

  private memberChanged({ record, state }: MemberView): void {
    const { node, incarnation } = record;
    this.context.stateChange('membership', `member ${state}`, { member: node, incarnation });
    const survivor = state === 'dead' ? null : record;
    this.work.client.homeGone(node, survivor);
    this.work.home.originGone(node, survivor, this.context.now());
  }

  private configurationApplied(revision: number, changedKeys: number): void {
    this.context.stateChange('config-feed', 'configuration in force', { revision, changedKeys });
    this.work.withdrawForbidden();
    const { node } = this.settings.self;
    const drained = this.effectiveDrains().some(
      ({ target }) => target.kind === 'node' && target.name === node,
    );
    if (drained) this.context.localStop = true;
  }

  /** Operators' drains that count here. */
  effectiveDrains(): readonly DrainRecord[] {
    return this.settings.mechanisms['drain-refusal'] ? this.feed.configuration().drains : [];
  }

  private addressOf(identity: NodeIdentity): string | undefined {
    const record = this.membership.find(identity.node)?.record;
    return record !== undefined && sameIdentity(record, identity) ? record.address : undefined;
  }

  private createPorts(): NodePorts {
    const { context, settings } = this;
    return {
      self: settings.self,
      random: settings.random,
      counters: context.counters,
      mechanisms: settings.mechanisms,
      ledger: this.ledgerAdapter,
      now: () => context.now(),
      configuration: () => this.feed.configuration(),
      freshnessAge: () => this.feed.freshnessAge(context.now()),
      isFresh: () => this.permission.isFresh(this.feed.freshnessAge(context.now())),
      isConfirmed: () => this.membership.isConfirmed(context.now()),
      isAlive: (identity) => this.isAlive(identity),
      isStopping: () => this.isStopping(),
      schedule: (delay, callback) => context.later(delay, callback),
      send: (to, message) => context.send(to, message),
      reply: (callId, reply) => context.reply(callId, reply),
      recordDecision: (subject, decision, reason) => context.explain(subject, decision, reason),
      stateChange: (module, change, details) => context.stateChange(module, change, details),
    };
  }

  private isAlive(identity: NodeIdentity): boolean {
    const member = this.membership.find(identity.node);
    if (member === undefined || !sameIdentity(member.record, identity)) return false;
    return member.state !== 'dead';
  }

  private createStatusService(): StatusService {
    const { self } = this.settings;
    return new StatusService({
      self,
      now: () => this.context.now(),
      ownStatus: () => this.report.status(this.context.now()),
      explain: (subject) => this.explainLog.recordsOf(subject),
      members: () => this.otherMembers(),
      send: (to, message) => this.context.send(to, { module: 'status', body: message }),
      reply: (callId, reply) => this.context.reply(callId, reply),
      nextId: () => this.nextId(),
    });
  }

  private otherMembers(): readonly NodeRecord[] {
    const { node } = this.settings.self;
    return this.membership
      .members()
      .filter((member) => member.state !== 'dead' && member.record.node !== node)
      .map((member) => member.record);
  }

  /** An id that no other life of any node has used. */
  nextId(): string {
    this.lastId += 1;
    const { node, incarnation } = this.settings.self;
    return `${node}.${incarnation}.${this.lastId}`;
  }
}
