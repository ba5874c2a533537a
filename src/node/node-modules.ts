/**
 * The modules of one node and the seams between them: which module's effects become another's
 * events, and which become the node's own effects.
 */
import { PermissionCheck, type PermissionView } from '../access/permission.js';
import {
  ConfigurationFeed,
  type ConfigurationFeedEffect,
} from '../config-feed/configuration-feed.js';
import { type NodeIdentity, type NodeRecord, sameIdentity } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { IntentService, type IntentServiceEffect } from '../intents/intent-service.js';
import { Ledger } from '../ledger/ledger.js';
import { Membership, type MembershipEffect } from '../membership/membership.js';
import type { KeyValueResult } from '../platform/key-value.js';
import type { MachineRecord, WorkerRecord, WorkerReport } from '../platform/worker.js';
import type { LedgerRecord } from '../rollouts/records.js';
import { WorkerDirectory } from '../routing/worker-directory.js';
import type { WorkerDirectoryEffect } from '../routing/worker-directory-types.js';
import { ExplainLog } from '../telemetry/explain-log.js';
import type { NodeGauges } from '../telemetry/node-metrics.js';
import { WeightController } from '../weights/weight-controller.js';
import type { WeightControllerEffect } from '../weights/weight-controller-types.js';
import type { NodeCall, Readiness } from './calls.js';
import { LEDGER_REQUEST_PREFIX, LedgerAdapter } from './ledger-adapter.js';
import { NodeContext } from './node-context.js';
import { type NodeCoreOptions, type NodeSettings, resolveNodeOptions } from './node-options.js';
import type { NodeStatus } from './status-messages.js';
import { StatusService } from './status-service.js';
import { WorkModules } from './work-modules.js';

/** State of a machine that stays; stands for every machine where the lab ignores the signal. */
const LIVE: MachineRecord['state'] = 'live';

const FEED_REQUEST_PREFIX = 'feed:';
const INTENTS_REQUEST_PREFIX = 'intents:';
const WEIGHTS_REQUEST_PREFIX = 'weights:';

/** All modules of one node. */
export class NodeModules {
  readonly settings: NodeSettings;
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly feed: ConfigurationFeed;
  readonly ledger: Ledger<LedgerRecord>;
  readonly ledgerAdapter: LedgerAdapter;
  readonly directory: WorkerDirectory;
  readonly weights: WeightController;
  readonly intents: IntentService;
  readonly status: StatusService;
  readonly permission: PermissionCheck;
  readonly work: WorkModules;
  private readonly explainLog = new ExplainLog();
  private machines: readonly MachineRecord[] = [];
  /** Without it a node cannot tell being alone from not having been told of others. */
  private machineListSeen = false;
  private zoneWorkers: readonly WorkerRecord[] = [];
  /** The machine list that `zoneWorkers` was made from. */
  private zoneWorkersOf: readonly MachineRecord[] = [];
  private membershipVersion = -1;
  /** The view of members that the ledger has. */
  private ledgerMembersVersion = -1;
  /** The configuration that the ledger's domains were made from. */
  private ledgerConfiguration: unknown = null;
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
    this.feed = new ConfigurationFeed({ self, random });
    this.ledger = new Ledger<LedgerRecord>({
      self,
      random,
      replicaCount: settings.replicaCount,
      shardsPerDomain: settings.shardsPerDomain,
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
    this.status = this.createStatusService();
    this.work = new WorkModules(this, this.createPorts());
  }

  /** Whether the node can take calls. */
  readiness(now: Milliseconds): Readiness {
    if (this.isStopping()) return { ready: false, reason: 'stopping' };
    const age = this.feed.freshnessAge(now);
    if (age === Number.POSITIVE_INFINITY) return { ready: false, reason: 'no configuration yet' };
    if (!this.permission.isFresh(age)) return { ready: false, reason: 'configuration not fresh' };
    if (!this.isConfirmed(now)) return { ready: false, reason: 'not confirmed by a peer' };
    return { ready: true, reason: 'ready' };
  }

  /** The state of the node at this moment, for its metrics. */
  gauges(now: Milliseconds): NodeGauges {
    const age = this.feed.freshnessAge(now);
    const membersByState = new Map<string, number>();
    for (const { state } of this.membership.members()) {
      membersByState.set(state, (membersByState.get(state) ?? 0) + 1);
    }
    return {
      revision: this.feed.completeRevision(),
      configurationAge: age,
      configurationFresh: this.permission.isFresh(age),
      membersByState,
      callsOpen: this.work.requests.openCount,
      dispatchesActive: this.work.home.activeCount,
      stepsDriven: this.work.supervisor.drivenSteps().length,
      ledgerBytes: this.ledger.usage.bodyBytes,
      ledgerRegisters: this.ledger.usage.registers,
      groupsUnderStrength: this.groupsUnderStrength().length,
    };
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
        this.applyIntents(this.intents.call(callId, call, this.feed.configuration(), now));
        return;
    }
  }

  /** The caller went away. */
  abandonCall(callId: string): void {
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
      this.applyFeed(this.feed.keyValueResult(rest, result, now));
    } else if (requestId.startsWith(INTENTS_REQUEST_PREFIX)) {
      this.applyIntents(this.intents.keyValueResult(rest, result, now));
    } else if (requestId.startsWith(WEIGHTS_REQUEST_PREFIX)) {
      this.applyWeights(this.weights.keyValueResult(rest, result, now));
    }
  }

  /** Takes in the machine list. */
  machineList(machines: readonly MachineRecord[]): void {
    const now = this.context.now();
    this.machines = machines;
    this.machineListSeen = true;
    const signalled = this.settings.mechanisms['leaving-signal'];
    const listed = signalled ? machines : machines.map((machine) => ({ ...machine, state: LIVE }));
    this.applyMembership(this.membership.machineList(listed, now));
    this.applyDirectory(this.directory.updateMachines(listed, now));
  }

  /** Takes in an engine's report of itself. */
  workerReport(report: WorkerReport): void {
    const now = this.context.now();
    const leaving = report.leaving && this.settings.mechanisms['leaving-signal'];
    this.applyDirectory(this.directory.workerReport({ ...report, leaving }, now));
    this.applyWeights(this.weights.workerReport(report, now));
  }

  /** Time passes for the modules that keep the node part of the fleet. */
  tickFoundation(now: Milliseconds): void {
    if (this.machineListSeen) this.applyMembership(this.membership.tick(now));
    this.applyFeed(this.feed.tick(now));
    this.ledgerAdapter.apply(this.ledger.tick(now));
    this.applyDirectory(this.directory.tick(now));
    this.applyWeights(this.weights.tick(now));
    this.applyIntents(this.intents.tick(now));
    this.status.tick();
  }

  /** Passes on what the modules know of each other's views. */
  refreshViews(now: Milliseconds): void {
    const configuration = this.feed.configuration();
    if (this.membershipVersion !== this.membership.version) {
      this.membershipVersion = this.membership.version;
      this.applyFeed(this.feed.membersChanged(this.membership.members(), now));
    }
    this.refreshLedger(now);
    this.applyDirectory(this.directory.updateDrains(this.effectiveDrains(), now));
    const wanted = [...configuration.intents.values()]
      .filter((intent) => intent.zones.includes(this.settings.self.zone))
      .map(({ model, zones }) => ({ model, zones }));
    this.applyDirectory(this.directory.updateWanted(this.wantedOrAll(wanted), now));
    const liveInZone = (zone: string): readonly NodeRecord[] => this.membership.liveInZone(zone);
    this.applyDirectory(this.directory.updateNodes(liveInZone, now));
    this.refreshWeights(now);
    this.work.refresh(configuration);
  }

  /** Starts an orderly stop. */
  beginStop(now: Milliseconds): void {
    const { self } = this.settings;
    this.context.stateChange('node', 'stopping', { node: self.node });
    this.applyMembership(this.membership.leave(now));
    if (this.settings.mechanisms['hand-over-on-stop']) this.work.supervisor.abandonAll();
  }

  /** Whether nothing is in progress any more. */
  isIdle(): boolean {
    return this.work.isIdle() && this.ledgerAdapter.openCount === 0;
  }

  /** The failure that refuses calls on a stopping node. */
  stoppingFailure(): Failure {
    return failure('stopping', `${this.settings.self.node} is stopping`);
  }

  /** Passes on what the membership wants. */
  applyMembership(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send': {
          const { to, address, message } = effect;
          this.context.sendToAddress(to, address, { module: 'membership', body: message });
          break;
        }
        case 'member-changed':
          this.memberChanged(effect);
          break;
        case 'declared-dead':
          this.context.stateChange('membership', 'declared dead while frozen', {});
          break;
        case 'state-change':
          this.context.stateChange('membership', effect.change, effect.details);
          break;
      }
    }
  }

  /** Passes on what the configuration feed wants. */
  applyFeed(effects: readonly ConfigurationFeedEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send': {
          const { to, address, message } = effect;
          this.context.sendToAddress(to, address, { module: 'config-feed', body: message });
          break;
        }
        case 'key-value': {
          const requestId = FEED_REQUEST_PREFIX + effect.requestId;
          this.context.emit({ kind: 'key-value', requestId, operation: effect.operation });
          break;
        }
        case 'watch-start':
        case 'watch-stop':
          this.context.emit(effect);
          break;
        case 'applied':
          this.configurationApplied(effect.configuration.revision, effect.changedKeys.length);
          break;
        case 'state-change':
          this.context.stateChange('config-feed', effect.change, effect.details);
          break;
      }
    }
  }

  /** Passes on what the worker directory wants. */
  applyDirectory(effects: readonly WorkerDirectoryEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'send':
          this.context.send(effect.to, { module: 'routing', body: effect.message });
          break;
        case 'poll':
          this.context.emit({ kind: 'worker-poll', worker: effect.worker });
          break;
        case 'state-change': {
          const { worker, from, to } = effect.change;
          this.context.stateChange('routing', 'worker state', { worker, from, to });
          this.context.explain(worker, `${from} -> ${to}`, 'reports, outcomes or a drain');
          break;
        }
      }
    }
  }

  /** Passes on what the weight controller wants. */
  applyWeights(effects: readonly WeightControllerEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'worker-order':
          this.context.emit(effect);
          break;
        case 'key-value': {
          const requestId = WEIGHTS_REQUEST_PREFIX + effect.requestId;
          this.context.emit({ kind: 'key-value', requestId, operation: effect.operation });
          break;
        }
        case 'poll':
          this.context.emit({ kind: 'worker-poll', worker: effect.worker });
          break;
        case 'state-change':
          this.context.stateChange('weights', effect.change, effect.details);
          break;
      }
    }
  }

  private applyIntents(effects: readonly IntentServiceEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'reply':
          this.context.reply(effect.callId, effect.reply);
          break;
        case 'key-value': {
          const requestId = INTENTS_REQUEST_PREFIX + effect.requestId;
          this.context.emit({ kind: 'key-value', requestId, operation: effect.operation });
          break;
        }
        case 'state-change':
          this.context.stateChange('intents', effect.change, effect.details);
          break;
      }
    }
  }

  private memberChanged(effect: Extract<MembershipEffect, { kind: 'member-changed' }>): void {
    const { record, state } = effect.member;
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

  /** Does nothing while neither members nor records changed, as it costs time for each member. */
  private refreshLedger(now: Milliseconds): void {
    const configuration = this.feed.configuration();
    const { version } = this.membership;
    const isSameConfiguration = configuration === this.ledgerConfiguration;
    if (isSameConfiguration && version === this.ledgerMembersVersion) return;
    this.ledgerMembersVersion = version;
    this.ledgerConfiguration = configuration;
    const domains = [...configuration.intents.values()].map(({ name, zones }) => {
      return { name, zones: this.residentZones(zones) };
    });
    const members = this.membership.members().map(({ record, state }) => {
      return { record, alive: state === 'alive' || state === 'suspect' };
    });
    this.ledgerAdapter.apply(this.ledger.updateMembers(members, domains, now));
    this.ledgerAdapter.apply(this.ledger.updateGroups(configuration.groups.values(), now));
  }

  /** Zones that may hold an intent's ledger replicas. */
  private residentZones(zones: readonly string[]): readonly string[] {
    if (this.settings.mechanisms['residency-replicas']) return zones;
    return this.settings.zones.map((zone) => zone.name);
  }

  private effectiveDrains(): ReturnType<ConfigurationFeed['configuration']>['drains'] {
    return this.settings.mechanisms['drain-refusal'] ? this.feed.configuration().drains : [];
  }

  private wantedOrAll(
    wanted: readonly { readonly model: string; readonly zones: readonly string[] }[],
  ): readonly { readonly model: string; readonly zones: readonly string[] }[] {
    if (this.settings.mechanisms['residency-routing']) return wanted;
    const zones = this.settings.zones.map((zone) => zone.name);
    return wanted.map(({ model }) => ({ model, zones }));
  }

  private refreshWeights(now: Milliseconds): void {
    const { zone } = this.settings.self;
    const view = {
      configuration: this.feed.configuration(),
      configurationFresh: this.permission.isFresh(this.feed.freshnessAge(now)),
      liveInZone: this.membership.liveInZone(zone),
      workers: this.workersOfZone(),
    };
    this.applyWeights(this.weights.update(view, now));
  }

  private workersOfZone(): readonly WorkerRecord[] {
    if (this.zoneWorkersOf !== this.machines) {
      this.zoneWorkersOf = this.machines;
      this.zoneWorkers = this.machines
        .flatMap((machine) => machine.workers)
        .filter((worker) => worker.zone === this.settings.self.zone);
    }
    return this.zoneWorkers;
  }

  private addressOf(identity: NodeIdentity): string | undefined {
    const record = this.membership.find(identity.node)?.record;
    return record !== undefined && sameIdentity(record, identity) ? record.address : undefined;
  }

  private isConfirmed(now: Milliseconds): boolean {
    return this.membership.isConfirmed(now);
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
      isConfirmed: () => this.isConfirmed(context.now()),
      isAlive: (identity) => this.isAlive(identity),
      isStopping: () => this.isStopping(),
      later: (delay, callback) => context.later(delay, callback),
      send: (to, message) => context.send(to, message),
      reply: (callId, reply) => context.reply(callId, reply),
      explain: (subject, decision, reason) => context.explain(subject, decision, reason),
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
      ownStatus: () => this.ownStatus(),
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

  private ownStatus(): NodeStatus {
    const now = this.context.now();
    const { node, incarnation, zone } = this.settings.self;
    const age = this.feed.freshnessAge(now);
    return {
      node,
      incarnation,
      zone,
      revision: this.feed.completeRevision(),
      freshnessAgeMilliseconds: Number.isFinite(age) ? Math.round(age) : -1,
      ...this.readiness(now),
      stopping: this.isStopping(),
      drivenSteps: this.work.supervisor.drivenSteps().length,
      openCalls: this.work.requests.openCount,
      activeDispatches: this.work.home.activeCount,
      workersAtHome: this.directory.workersAtHome().map((worker) => worker.worker),
      groupsUnderStrength: this.groupsUnderStrength(),
    };
  }

  private groupsUnderStrength(): NodeStatus['groupsUnderStrength'] {
    return this.ledger
      .health()
      .filter((group) => group.underStrength)
      .map(({ domain, shard, epoch, aliveCount, memberCount }) => {
        return { intent: domain, shard, epoch, alive: aliveCount, members: memberCount };
      });
  }

  /** An id that no other life of any node has used. */
  nextId(): string {
    this.lastId += 1;
    const { node, incarnation } = this.settings.self;
    return `${node}.${incarnation}.${this.lastId}`;
  }
}
