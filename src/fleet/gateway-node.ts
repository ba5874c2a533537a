/**
 * A gateway of the fleet: joins configuration, workers, requests, jobs and, on one node at a time,
 * the coordination of weights. Everything outside it is reached through ports.
 */

import { randomUUID } from 'node:crypto';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { ItemDispatcher } from '../jobs/item-dispatcher.js';
import type { WeightNeed } from '../jobs/job-peers.js';
import { JobReader } from '../jobs/job-reader.js';
import type { JobSpecification } from '../jobs/job-records.js';
import { JobService } from '../jobs/job-service.js';
import { JobStore } from '../jobs/job-store.js';
import type { PeerHandler } from '../peers/peer-messages.js';
import { itemDistanceCost } from '../placement/distance-costs.js';
import { JobResidency } from '../placement/job-residency.js';
import { localitiesOf } from '../placement/locality.js';
import { type DistanceBetween, ZoneTopology } from '../placement/zone-topology.js';
import { ActiveConfiguration } from '../serving/active-configuration.js';
import type { AnswerSink, CallerRequest } from '../serving/answer-sink.js';
import { RequestForwarder } from '../serving/request-forwarder.js';
import { RequestQuarantine } from '../serving/request-quarantine.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import { StartGate } from '../serving/start-gate.js';
import type {
  Route,
  TrafficConfiguration,
  WorkerRecord,
} from '../serving/traffic-configuration.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import { meteredStore } from '../shared-store/metered-store.js';
import { Coordination } from './coordination.js';
import { CrashReports } from './crash-reports.js';
import { type FleetEvent, FleetFeeds } from './fleet-feeds.js';
import { FleetPeers } from './fleet-peers.js';
import { FLEET_PREFIX, FleetRegistry } from './fleet-registry.js';
import type { GatewayNodeOptions } from './gateway-options.js';
import { JobPlacement } from './job-placement.js';
import { JobTakeover } from './job-takeover.js';
import { PeerMonitor, type Suspicion } from './peer-monitor.js';
import { PeerRequestHandler } from './peer-request-handler.js';
import { WatchRelay } from './watch-relay.js';
import { noteWeightChange, type WeightChange } from './weight-changes.js';
import { WorkerGate } from './worker-gate.js';
import { WorkerRoster } from './worker-roster.js';
import { ZoneAutonomy } from './zone-autonomy.js';

/** Time between two rounds of regular work. */
const TICK_INTERVAL: Milliseconds = 50;

/** The same while this node runs no jobs and gives no orders. */
const IDLE_TICK_INTERVAL: Milliseconds = 300;

/** Time between two looks at which duties this node has. */
const DUTY_INTERVAL: Milliseconds = 500;

/** Time by which each watching node lets the one before it take over first. */
const SUSPICION_RANK_DELAY: Milliseconds = 500;

/** Time between two lines with all counters. */
const REPORT_INTERVAL: Milliseconds = 10_000;

/** Time that a stopping node spends on handing its jobs over. */
const RELEASE_LIMIT: Milliseconds = 2_500;

/** Where workers of a service that is no longer configured tell their health. */
const DEFAULT_HEALTH_PATH = '/health';

/** One gateway. */
export class GatewayNode {
  private readonly gate: WorkerGate;
  readonly registry: WorkerRegistry;
  /** The configuration that this node acts on. */
  readonly configuration: ActiveConfiguration;
  readonly jobs: JobService;
  private readonly forwarder: RequestForwarder;
  private readonly dispatcher: ItemDispatcher;
  private readonly quarantine: RequestQuarantine;
  private readonly crashReports: CrashReports;
  private readonly feeds: FleetFeeds;
  private readonly fleet: FleetRegistry;
  private readonly roster: WorkerRoster;
  private readonly takeover: JobTakeover;
  private readonly monitor: PeerMonitor;
  /** Answers the questions of other nodes. */
  readonly peerHandler: PeerHandler;
  private readonly relay: WatchRelay;
  private readonly placement: JobPlacement;
  private readonly autonomy: ZoneAutonomy;
  private readonly coordination: Coordination;
  /** Holds requests that come before this node can serve. */
  readonly startGate = new StartGate();
  private workersListed = false;
  private isStopping = false;
  private nextDutyLookAt: Milliseconds = 0;
  /** Suspensions that were acted on. */
  private knownSuspended: Milliseconds = 0;
  private ticker: NodeJS.Timeout | undefined;
  private reporter: NodeJS.Timeout | undefined;

  constructor(private readonly options: GatewayNodeOptions) {
    const { clock, log, metrics, peers: port, zone } = options;
    const self = { node: options.node, incarnation: randomUUID(), address: options.peerAddress };
    const { node, areZonesAutonomous: servesAlone = false } = options;
    const topology = new ZoneTopology(zone, options.zoneRegions ?? new Map());
    const localities = localitiesOf(topology, servesAlone);
    const distanceBetween: DistanceBetween = (...zones) => topology.distanceBetween(...zones);
    this.gate = new WorkerGate({
      ...{ node: options, topology },
      services: () => this.configuration.services,
      healthPathOf: (worker) => this.healthPathOf(worker),
      contactAge: () => this.relay.contactAge(options.feeds.operatorPrefix),
      hasPeers: () => this.fleet.liveNodes().some((name) => name !== node),
      isCutOff: () => this.fleet.isStoreUnreachable,
      coordinator: () => this.coordination.holder,
      fencingToken: () => this.coordination.lock.fencingToken(),
      askForPermits: (...question) => peers.requestPermits(...question),
      freed: () => this.dispatcher.schedule(),
    });
    this.registry = this.gate.registry;
    const direct = meteredStore(options.store, metrics, clock, () => this.fleet.renewLeaseSoon());
    const boundPrefixes = [options.feeds.operatorPrefix, options.feeds.workerPrefix];
    const relay = new WatchRelay({
      store: direct,
      peers: port,
      fleet: () => this.fleet,
      self: node,
      zone,
      regionOf: topology.spansRegions ? (name) => topology.regionOf(name) ?? name : undefined,
      changeBound: () => options.timings().changeBound,
      prefixes: [FLEET_PREFIX, ...boundPrefixes],
      boundPrefixes,
      clock,
      log,
      metrics,
    });
    this.relay = relay;
    const store = relay.relayedStore();
    const jobStore = new JobStore(store, clock);
    this.configuration = new ActiveConfiguration({
      ...{ log, metrics },
      isRegionKnown: (region) => topology.hasRegion(region),
    });
    const routes = (): RouteMatcher | undefined => this.configuration.routes;
    const { engine } = this.gate;
    const shared = { ...options, engine, store, self, routes, registry: this.registry };
    this.fleet = new FleetRegistry(shared);
    this.placement = new JobPlacement({
      liveNodes: () => this.fleet.liveNodes(),
      capacityOf: (name) => this.fleet.capacityOf(name),
      localities: localities && { ...localities, zoneOf: (name) => this.fleet.zoneOf(name) },
      clock,
    });
    const residency = new JobResidency({
      ...{ topology, self: node, routes },
      zoneOf: (name) => this.fleet.zoneOf(name),
    });
    this.roster = new WorkerRoster({ ...shared, fleet: this.fleet });
    const autonomy = new ZoneAutonomy({
      ...{ self, zone, fleet: this.fleet, port, clock, metrics },
      isEnabled: servesAlone,
      groupSize: options.journalReplicas ?? 0,
    });
    this.autonomy = autonomy;
    const { journals } = autonomy;
    const asked = {
      ...{ port, self, zone, distanceBetween, clock, metrics },
      ...{ fleet: this.fleet, placement: this.placement },
      lock: () => this.coordination.lock,
      onWeightsNeeded: (need: WeightNeed) => this.coordination.requireWeights(need),
      onWeightChanged: (change: WeightChange) =>
        noteWeightChange(this.registry, change, clock.now()),
      acceptsJobsWithoutStore: () => autonomy.acceptsJobsWithoutStore,
      residency,
    };
    const peers = new FleetPeers(asked);
    this.peerHandler = new PeerRequestHandler({
      ...asked,
      jobs: () => this.jobs,
      relay: () => relay,
      onWorkerCrashed: (report) => this.quarantine.applyReport(report, clock.now()),
      permits: (wishes) => this.gate.answerWishes(wishes),
      onUsageReported: (source, counts) => this.coordination.singletonTasks?.take(source, counts),
    });
    this.crashReports = new CrashReports({
      ...shared,
      self: node,
      liveNodes: () => this.fleet.liveNodes(),
      notifyNode: (...report) => peers.reportWorkerCrash(...report),
      onReport: (report, at) => quarantine.applyReport(report, at),
      onWithdrawal: (report) => quarantine.withdraw(report),
    });
    this.fleet.otherChanges.subscribe((change) => this.crashReports.applyChange(change));
    this.fleet.arrivals.subscribe((arrived) => this.crashReports.sendUnsavedTo(arrived));
    this.fleet.storeReconnected.subscribe(() => this.crashReports.retryNow());
    const quarantine = new RequestQuarantine({
      ...shared,
      probeLiveness: (worker) => options.engine.probeLiveness(worker, this.healthPathOf(worker)),
      reportCrash: (report) => this.crashReports.report(report),
      reportAcquittal: (request) => this.crashReports.withdraw(request),
    });
    this.quarantine = quarantine;
    const sending = { ...shared, quarantine };
    this.forwarder = new RequestForwarder({
      ...sending,
      noteBegun: (tenant, at) => this.coordination.singletonTasks?.meter?.noteBegun(tenant, at),
    });
    this.dispatcher = new ItemDispatcher({
      ...sending,
      isStoreUnreachable: () => this.fleet.isStoreUnreachable,
      distanceCost: itemDistanceCost(topology, servesAlone),
    });
    this.jobs = new JobService({
      ...shared,
      store: jobStore,
      reader: new JobReader(
        jobStore,
        (...question) => peers.ownerListing(...question),
        (job) => peers.likelyOwners(job),
        journals,
        residency,
      ),
      ...{ journals, residency },
      isWriterLive: (writer) => autonomy.isWriterLive(writer),
      canRecover: () => !this.fleet.isStoreUnreachable && this.placement.owners().includes(node),
      peers,
      dispatcher: this.dispatcher,
      retention: () => options.timings().jobRetention,
    });
    this.feeds = new FleetFeeds({ store, translation: options.feeds, log });
    this.feeds.events.subscribe((event) => this.take(event));
    this.fleet.storeReconnected.subscribe(() => this.feeds.restart());
    const { fleet, jobs: service } = this;
    this.takeover = new JobTakeover({
      store: jobStore,
      service,
      fleet,
      self,
      ...{ placement: this.placement, residency },
      peers: port,
      adoptElsewhere: (...adoption) => peers.requestTakeover(...adoption),
    });
    this.monitor = new PeerMonitor({
      ...{ fleet, peers: port, self, clock, log },
      isInSameRegion: (name) => topology.isInOwnRegion(fleet.zoneOf(name) ?? zone),
    });
    this.monitor.suspicions.subscribe((suspicion) => this.takeOverFrom(suspicion));
    this.coordination = new Coordination({
      ...{ node: options, self, store, fleet, peers },
      registry: this.registry,
      configuration: this.configuration,
      isEvacuated: (zoneName) => this.gate.isEvacuated(zoneName),
      localities,
      isStorageEmpty: (name) => autonomy.isStorageEmpty(name),
      takeOverUnownedJobs: () => void this.takeover.sweep(),
      removeExpired: () => {
        void service.removeExpired();
        void this.crashReports.removeExpired();
      },
    });
  }

  /** Begins to take part in the fleet. */
  start(): void {
    void this.fleet.start().then(() => this.feeds.start());
    this.monitor.start();
    this.coordination.start();
    this.scheduleTick();
    this.reporter = setInterval(() => this.report(), REPORT_INTERVAL);
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    if (this.isStopping || this.gate.isOutdated) return false;
    return this.configuration.version !== undefined && this.workersListed;
  }

  /** Nodes that live, as far as this one knows. */
  get liveNodes(): number {
    return this.fleet.liveNodes().length;
  }

  /** Takes in what changed outside the fleet. */
  take(event: FleetEvent): void {
    if (event.kind === 'configuration') this.takeConfiguration(event.configuration);
    else if (event.kind === 'worker') this.takeWorker(event.record);
    else if (event.kind === 'worker-gone') this.roster.noteGone(event.worker);
    else if (event.kind === 'worker-unreadable') this.roster.noteUnreadable(event.worker);
    else if (event.kind === 'workers-listed') this.noteWorkersListed();
    else if (event.kind === 'version-named')
      this.coordination.noteNamedVersion(event.model, event.version);
    else if (event.kind === 'storage-drain') this.takeStorageDrain(event.node);
    else if (event.kind === 'zone-evacuated') this.gate.evacuate(event.zone);
    else if (event.kind === 'zone-returned') this.gate.endEvacuation(event.zone);
    else this.options.log.state('record-unreadable', { key: event.key });
  }

  private takeConfiguration(configuration: TrafficConfiguration): void {
    if (this.configuration.apply(configuration)) this.dispatcher.schedule();
    this.openWhenKnown();
  }

  private noteWorkersListed(): void {
    this.workersListed = true;
    this.gate.noteListed();
    this.openWhenKnown();
  }

  private openWhenKnown(): void {
    if (this.configuration.version !== undefined && this.workersListed) this.startGate.open();
  }

  /** A storage machine is to be emptied: it gets no new jobs, and is reported once it holds none. */
  private takeStorageDrain(node: string): void {
    this.autonomy.noteDraining(node);
    this.coordination.drainStorage(node);
  }

  private takeWorker(record: WorkerRecord): void {
    this.roster.put(record);
    this.gate.noteRecord(record);
    this.dispatcher.schedule();
  }

  /** Forwards a request and answers it. */
  async forward(request: CallerRequest, route: Route, sink: AnswerSink): Promise<void> {
    const service = this.configuration.nextService(route);
    if (service === undefined) return sink.fail(failure('no_worker', 'the route has no service'));
    await this.forwarder.forward(request, route, service, sink);
  }

  private healthPathOf({ service }: WorkerRecord): string {
    const known = this.configuration.services.find(({ name }) => name === service);
    return known?.healthPath ?? DEFAULT_HEALTH_PATH;
  }

  /** Takes a job in; `undefined` means that it is kept. */
  submit(spec: JobSpecification, wanted: () => boolean): Promise<Failure | undefined> {
    return this.jobs.submit(spec, wanted);
  }

  /** Says at once that no more callers are wanted; what runs goes on. */
  beginStop(): void {
    this.isStopping = true;
    this.options.log.state('stopping');
  }

  /** Hands jobs over and leaves the fleet. */
  async stop(): Promise<void> {
    this.isStopping = true;
    this.dispatcher.stop();
    this.takeover.stop();
    this.monitor.stop();
    clearTimeout(this.ticker);
    clearInterval(this.reporter);
    this.report();
    const limit = this.options.clock.now() + RELEASE_LIMIT;
    await this.jobs.release(() => this.options.clock.now() < limit);
    await this.fleet.stop();
    this.feeds.stop();
  }

  /** After the last request has ended: nothing that was counted is lost. */
  async finish(): Promise<void> {
    this.quarantine.settle();
    await Promise.all([this.coordination.finish(), this.crashReports.flush()]);
  }

  private scheduleTick(): void {
    const interval = this.isBusy ? TICK_INTERVAL : IDLE_TICK_INTERVAL;
    this.ticker = setTimeout(() => {
      this.tick();
      if (!this.isStopping) this.scheduleTick();
    }, interval);
  }

  /** Whether this node has work that is due at any moment. */
  private get isBusy(): boolean {
    const { holder } = this.coordination;
    if (holder === undefined || holder === this.options.node) return true;
    return this.jobs.ownedJobs().some((job) => job.isOpen);
  }

  private tick(): void {
    this.lookForSuspension();
    this.gate.tick();
    this.jobs.tick();
    this.dispatcher.tick();
    if (this.isStopping) return;
    this.lookAtDuties();
    this.coordination.tick();
  }

  /**
   * After a suspension leases may be over and connections dead, while timers still wait for what was
   * left of them: all watches begin anew, and the lease is renewed.
   */
  private lookForSuspension(): void {
    const { clock, log, metrics } = this.options;
    const suspended = clock.suspendedTime();
    const lengthMs = Math.round(suspended - this.knownSuspended);
    if (lengthMs === 0) return;
    this.knownSuspended = suspended;
    metrics.count('suspensions', {});
    log.state('suspended', { lengthMs, renewalAgeMs: Math.round(this.fleet.renewalAge()) });
    this.fleet.noteSuspended();
    this.jobs.noteSuspended();
    this.feeds.restart();
  }

  /** A node that would be missed at once keeps a lease that lapses soon. */
  private lookAtDuties(): void {
    const now = this.options.clock.now();
    if (this.fleet.requiresShortLease || now < this.nextDutyLookAt) return;
    this.nextDutyLookAt = now + DUTY_INTERVAL;
    const { node } = this.options;
    const runsJobs = this.jobs.ownedJobs().some((job) => job.isOpen);
    const isOwner = this.placement.owners().includes(node);
    if (runsJobs || isOwner || this.relay.isRelay) this.fleet.requireShortLease();
  }

  /** The nodes that watch a suspected one act in turn, so that they rarely race. */
  private takeOverFrom({ owner, ownerAnswers, rank }: Suspicion): void {
    this.placement.noteUnresponsive(owner.node);
    setTimeout(() => {
      if (this.isStopping || !this.monitor.isSuspected(owner)) return;
      const isStillSuspected = (): boolean => this.monitor.isSuspected(owner);
      void this.takeover.takeFrom(owner, ownerAnswers, isStillSuspected);
      void this.coordination.lock.takeOverFrom(owner);
    }, rank * SUSPICION_RANK_DELAY);
  }

  /** Sets the gauges and writes the counters as one line. */
  private report(): void {
    const { metrics, log } = this.options;
    metrics.set('configuration_version', this.configuration.version ?? 0);
    metrics.set('live_nodes', this.liveNodes);
    metrics.set('known_workers', this.registry.all().length);
    metrics.set('open_jobs', this.jobs.ownedJobs().filter((job) => job.isOpen).length);
    metrics.set('running_items', this.dispatcher.runCount);
    metrics.set('is_coordinator', this.coordination.isActive ? 1 : 0);
    log.state('counters', metrics.snapshot());
  }
}
