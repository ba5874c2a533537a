/**
 * A gateway of the fleet: connects configuration, workers, requests, jobs and, on the coordinator,
 * weight rollouts and singleton tasks. All I/O goes through ports.
 */

import { randomUUID } from 'node:crypto';
import { TRAINER_RECORD_FORMAT_VERSION } from '../core/format-version.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { ItemDispatcher } from '../jobs/item-dispatcher.js';
import type { WeightNeed } from '../jobs/job-peers.js';
import { JobReader } from '../jobs/job-reader.js';
import type { JobSpecification } from '../jobs/job-records.js';
import { JobService } from '../jobs/job-service.js';
import { JobStore } from '../jobs/job-store.js';
import { TrainerRetention } from '../jobs/trainer-retention.js';
import type { PeerHandler } from '../peers/peer-messages.js';
import { itemDistanceCost } from '../placement/distance-costs.js';
import { JobResidency } from '../placement/job-residency.js';
import { localitiesOf } from '../placement/locality.js';
import { type DistanceBetween, ZoneTopology } from '../placement/zone-topology.js';
import { ActiveConfiguration } from '../serving/active-configuration.js';
import type { AnswerSink, CallerRequest } from '../serving/answer-sink.js';
import { ConfigurationDecisions } from '../serving/configuration-decisions.js';
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
import { ConfigurationRefresh } from './configuration-refresh.js';
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
import { applyWeightChange, type WeightChange } from './weight-changes.js';
import { WorkerGate } from './worker-gate.js';
import { WorkerRoster } from './worker-roster.js';
import { ZoneAutonomy } from './zone-autonomy.js';

const TICK_INTERVAL: Milliseconds = 50;

/** Time between two ticks while this node runs no jobs and is not the coordinator. */
const IDLE_TICK_INTERVAL: Milliseconds = 300;

/** Time between two checks whether this node needs a short lease. */
const LEASE_CHECK_INTERVAL: Milliseconds = 500;

/** Delay per rank among the nodes that suspect the same node, so that takeovers rarely race. */
const TAKEOVER_RANK_DELAY: Milliseconds = 500;

const COUNTER_LOG_INTERVAL: Milliseconds = 10_000;

/** Time limit for releasing jobs at a stop. */
const JOB_RELEASE_TIMEOUT: Milliseconds = 2_500;

/** Health path of workers whose service is no longer configured. */
const DEFAULT_HEALTH_PATH = '/health';

export class GatewayNode {
  private readonly workerGate: WorkerGate;
  readonly registry: WorkerRegistry;
  /** The configuration that this node applies. */
  readonly configuration: ActiveConfiguration;
  /** Decides on callers' requests by {@link configuration}. */
  readonly decisions: ConfigurationDecisions;
  private readonly configurationRefresh: ConfigurationRefresh;
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
  /** Answers requests of other nodes. */
  readonly peerHandler: PeerHandler;
  private readonly relay: WatchRelay;
  private readonly placement: JobPlacement;
  private readonly autonomy: ZoneAutonomy;
  private readonly coordination: Coordination;
  /** Holds requests that arrive before this node can serve them. */
  readonly startGate = new StartGate();
  private areWorkersListed = false;
  private isStopping = false;
  private nextLeaseCheckAt: Milliseconds = 0;
  /** Total suspended time that has been handled. */
  private handledSuspension: Milliseconds = 0;
  private ticker: NodeJS.Timeout | undefined;
  private reporter: NodeJS.Timeout | undefined;

  constructor(private readonly options: GatewayNodeOptions) {
    const { clock, log, metrics, peers: port, zone } = options;
    const self = { node: options.node, incarnation: randomUUID(), address: options.peerAddress };
    const { node, areZonesAutonomous = false } = options;
    const topology = new ZoneTopology(zone, options.zoneRegions ?? new Map());
    const localities = localitiesOf(topology, areZonesAutonomous);
    const distanceBetween: DistanceBetween = (...zones) => topology.distanceBetween(...zones);
    this.workerGate = new WorkerGate({
      ...{ node: options, topology },
      services: () => this.configuration.services,
      healthPathOf: (worker) => this.healthPathOf(worker),
      contactAge: () => this.relay.contactAge(options.feeds.operatorPrefix),
      hasPeers: () => this.fleet.liveNodes().some((name) => name !== node),
      isStoreUnreachable: () => this.fleet.isStoreUnreachable,
      coordinator: () => this.coordination.holder,
      fencingToken: () => this.coordination.lock.fencingToken(),
      requestPermits: (...query) => peers.requestPermits(...query),
      onCapacityFreed: () => this.dispatcher.schedule(),
    });
    this.registry = this.workerGate.registry;
    const directStore = meteredStore(options.store, metrics, clock, () =>
      this.fleet.renewLeaseSoon(),
    );
    const boundPrefixes = [options.feeds.operatorPrefix, options.feeds.workerPrefix];
    const relay = new WatchRelay({
      store: directStore,
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
    const { operatorPrefix, configurationKey, translate } = options.feeds;
    this.configurationRefresh = new ConfigurationRefresh({
      ...{ store: directStore, key: configurationKey, clock },
      feedAge: () => relay.dataAge(operatorPrefix),
      feedSource: () => relay.sourceOf(operatorPrefix),
      changeBound: () => options.timings().changeBound,
      isStoreUnreachable: () => this.fleet.isStoreUnreachable,
      apply: (change) => {
        const event = translate(change);
        if (event !== undefined) this.applyEvent(event);
      },
    });
    this.decisions = new ConfigurationDecisions({
      ...{ configuration: this.configuration, freshness: this.configurationRefresh, log, metrics },
    });
    const routes = (): RouteMatcher | undefined => this.configuration.routes;
    const { engine } = this.workerGate;
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
      ...{ self, zone, fleet: this.fleet, port, store, clock, log, metrics },
      isEnabled: areZonesAutonomous,
      groupSize: options.journalReplicas ?? 0,
    });
    this.autonomy = autonomy;
    const { journals } = autonomy;
    const peerOptions = {
      ...{ port, self, zone, distanceBetween, clock, metrics },
      ...{ fleet: this.fleet, placement: this.placement },
      lock: () => this.coordination.lock,
      onWeightsNeeded: (need: WeightNeed) => this.coordination.requireWeights(need),
      onWeightChanged: (change: WeightChange) =>
        applyWeightChange(this.registry, change, clock.now()),
      acceptsJobsWithoutStore: () => autonomy.acceptsJobsWithoutStore,
      residency,
    };
    const peers = new FleetPeers(peerOptions);
    this.peerHandler = new PeerRequestHandler({
      ...peerOptions,
      jobs: () => this.jobs,
      relay: () => relay,
      onWorkerCrashed: (report) => this.quarantine.applyReport(report, clock.now()),
      decidePermits: (requests) => this.workerGate.answerPermitRequests(requests),
      onUsageReported: (source, counts) =>
        this.coordination.singletonTasks?.applyUsage(source, counts) ?? false,
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
    this.fleet.listed.subscribe(() => this.openStartGateIfReady());
    this.fleet.arrivals.subscribe((arrived) => this.crashReports.sendUnsavedTo(arrived));
    this.fleet.storeReconnected.subscribe(() => this.crashReports.retryNow());
    const quarantine = new RequestQuarantine({
      ...shared,
      probeLiveness: (worker) => options.engine.probeLiveness(worker, this.healthPathOf(worker)),
      reportCrash: (report) => this.crashReports.report(report),
      reportAcquittal: (request) => this.crashReports.withdraw(request),
    });
    this.quarantine = quarantine;
    const sendOptions = { ...shared, quarantine };
    this.forwarder = new RequestForwarder({
      ...sendOptions,
      onRunStarted: (tenant, at) => this.coordination.singletonTasks?.meter?.noteBegun(tenant, at),
    });
    this.dispatcher = new ItemDispatcher({
      ...sendOptions,
      isStoreUnreachable: () => this.fleet.isStoreUnreachable,
      distanceCost: itemDistanceCost(topology, areZonesAutonomous),
    });
    this.jobs = new JobService({
      ...shared,
      store: jobStore,
      reader: new JobReader(
        jobStore,
        (...query) => peers.ownerListing(...query),
        (job) => peers.likelyOwners(job),
        journals,
        residency,
      ),
      ...{ journals, residency },
      isWriterLive: (writer) => autonomy.isWriterLive(writer),
      areTrainerRecordsUsedByAll: () => this.fleet.isReadByAll(TRAINER_RECORD_FORMAT_VERSION),
      canRecover: () => !this.fleet.isStoreUnreachable && this.placement.owners().includes(node),
      peers,
      dispatcher: this.dispatcher,
      retention: () => options.timings().jobRetention,
    });
    this.feeds = new FleetFeeds({ store, translation: options.feeds, log });
    this.feeds.events.subscribe((event) => this.applyEvent(event));
    this.fleet.storeReconnected.subscribe(() => this.feeds.restart());
    const { fleet, jobs: service } = this;
    this.takeover = new JobTakeover({
      store: jobStore,
      service,
      fleet,
      self,
      ...{ placement: this.placement, residency },
      peers: port,
      requestTakeover: (...takeover) => peers.requestTakeover(...takeover),
    });
    this.monitor = new PeerMonitor({
      ...{ fleet, peers: port, self, clock, log },
      isInSameRegion: (name) => topology.isInOwnRegion(fleet.zoneOf(name) ?? zone),
    });
    this.monitor.suspicions.subscribe((suspicion) => this.takeOverFrom(suspicion));
    const trainers = journals && new TrainerRetention({ store, journals, clock, log });
    this.coordination = new Coordination({
      ...{ node: options, self, store, fleet, peers },
      registry: this.registry,
      configuration: this.configuration,
      isEvacuated: (zoneName) => this.workerGate.isEvacuated(zoneName),
      localities,
      isStorageEmpty: (name) => autonomy.isStorageEmpty(name),
      takeOverUnownedJobs: () => void this.takeover.sweep(),
      removeExpired: () => {
        void service.removeExpired();
        void this.crashReports.removeExpired();
        void trainers?.removeExpired();
      },
    });
  }

  start(): void {
    void this.fleet.start().then(() => this.feeds.start());
    this.monitor.start();
    this.coordination.start();
    this.scheduleTick();
    this.reporter = setInterval(() => this.report(), COUNTER_LOG_INTERVAL);
  }

  /**
   * Whether this node accepts callers: it has received all that it needs, is not stopping, and its
   * evacuation state is not stale.
   */
  get isReady(): boolean {
    if (this.isStopping || this.workerGate.isEvacuationStateStale) return false;
    return this.hasStarted;
  }

  /**
   * Whether this node has a configuration, the list of workers, and that of the fleet with the
   * reports of requests that crash workers.
   */
  private get hasStarted(): boolean {
    const hasConfiguration = this.configuration.version !== undefined;
    return hasConfiguration && this.areWorkersListed && this.fleet.isListed;
  }

  /** Count of live nodes, by this node's registry. */
  get liveNodes(): number {
    return this.fleet.liveNodes().length;
  }

  /** Applies a change that the shared store reports. */
  applyEvent(event: FleetEvent): void {
    if (event.kind === 'configuration') this.applyConfiguration(event.configuration);
    else if (event.kind === 'worker') this.applyWorker(event.record);
    else if (event.kind === 'worker-gone') this.roster.handleRemoval(event.worker);
    else if (event.kind === 'worker-unreadable') this.roster.handleUnreadable(event.worker);
    else if (event.kind === 'workers-listed') this.noteWorkersListed();
    else if (event.kind === 'version-named')
      this.coordination.noteNamedVersion(event.model, event.version);
    else if (event.kind === 'storage-drain') this.startStorageDrain(event.node);
    else if (event.kind === 'zone-evacuated') this.workerGate.evacuate(event.zone);
    else if (event.kind === 'zone-returned') this.workerGate.endEvacuation(event.zone);
    else this.options.log.state('record-unreadable', { key: event.key });
  }

  private applyConfiguration(configuration: TrafficConfiguration): void {
    if (this.configuration.apply(configuration)) this.dispatcher.schedule();
    this.openStartGateIfReady();
  }

  private noteWorkersListed(): void {
    this.areWorkersListed = true;
    this.workerGate.noteListed();
    this.openStartGateIfReady();
  }

  private openStartGateIfReady(): void {
    if (this.hasStarted) this.startGate.open();
  }

  /** Starts to drain a storage node: it gets no new jobs, and is reported once it holds none. */
  private startStorageDrain(node: string): void {
    this.autonomy.noteDraining(node);
    this.coordination.drainStorage(node);
  }

  private applyWorker(record: WorkerRecord): void {
    this.roster.put(record);
    this.workerGate.noteRecord(record);
    this.dispatcher.schedule();
  }

  /** Forwards a request to a worker and streams the answer to `sink`. */
  async forward(request: CallerRequest, route: Route, sink: AnswerSink): Promise<void> {
    const service = this.configuration.nextService(route);
    if (service === undefined) return sink.fail(failure('no_worker', 'the route has no service'));
    await this.forwarder.forward(request, route, service, sink);
  }

  private healthPathOf({ service }: WorkerRecord): string {
    const configured = this.configuration.services.find(({ name }) => name === service);
    return configured?.healthPath ?? DEFAULT_HEALTH_PATH;
  }

  /** Accepts a job; `undefined` means that the job is stored. */
  submit(spec: JobSpecification, isStillNeeded: () => boolean): Promise<Failure | undefined> {
    return this.jobs.submit(spec, isStillNeeded);
  }

  /** Reports this node as not ready; running work continues. */
  beginStop(): void {
    this.isStopping = true;
    this.options.log.state('stopping');
  }

  /** Releases the jobs and leaves the fleet. */
  async stop(): Promise<void> {
    this.isStopping = true;
    this.dispatcher.stop();
    this.takeover.stop();
    this.monitor.stop();
    clearTimeout(this.ticker);
    clearInterval(this.reporter);
    this.report();
    const limit = this.options.clock.now() + JOB_RELEASE_TIMEOUT;
    await this.jobs.release(() => this.options.clock.now() < limit);
    await this.fleet.stop();
    this.feeds.stop();
  }

  /**
   * Sends the remaining usage counts and crash reports; called after the last request has ended.
   */
  async finish(): Promise<void> {
    this.quarantine.reportPending();
    await Promise.all([this.coordination.finish(), this.crashReports.flush()]);
  }

  private scheduleTick(): void {
    const interval = this.isBusy ? TICK_INTERVAL : IDLE_TICK_INTERVAL;
    this.ticker = setTimeout(() => {
      this.tick();
      if (!this.isStopping) this.scheduleTick();
    }, interval);
  }

  /** Whether this node runs jobs or is, or may become, the coordinator. */
  private get isBusy(): boolean {
    const { holder } = this.coordination;
    if (holder === undefined || holder === this.options.node) return true;
    return this.jobs.ownedJobs().some((job) => job.isOpen);
  }

  private tick(): void {
    this.handleSuspension();
    this.workerGate.tick();
    this.jobs.tick();
    this.dispatcher.tick();
    if (this.isStopping) return;
    this.shortenLeaseIfNeeded();
    this.coordination.tick();
    // Items and orders follow the configuration without requests of callers.
    if (this.isBusy && !this.configurationRefresh.isCurrent)
      void this.configurationRefresh.refresh();
  }

  /**
   * After a suspension leases may have expired and connections may be dead, while timers still wait
   * for their remaining time: restarts all watches and renews the lease.
   */
  private handleSuspension(): void {
    const { clock, log, metrics } = this.options;
    const suspendedTime = clock.suspendedTime();
    const lengthMs = Math.round(suspendedTime - this.handledSuspension);
    if (lengthMs === 0) return;
    this.handledSuspension = suspendedTime;
    metrics.count('suspensions', {});
    log.state('suspended', { lengthMs, renewalAgeMs: Math.round(this.fleet.renewalAge()) });
    this.fleet.noteSuspended();
    this.jobs.noteSuspended();
    this.feeds.restart();
  }

  /**
   * A node whose failure must be detected at once (it runs jobs, owns jobs or relays) renews a
   * short lease.
   */
  private shortenLeaseIfNeeded(): void {
    const now = this.options.clock.now();
    if (this.fleet.requiresShortLease || now < this.nextLeaseCheckAt) return;
    this.nextLeaseCheckAt = now + LEASE_CHECK_INTERVAL;
    const { node } = this.options;
    const runsJobs = this.jobs.ownedJobs().some((job) => job.isOpen);
    const isOwner = this.placement.owners().includes(node);
    if (runsJobs || isOwner || this.relay.isRelay) this.fleet.requireShortLease();
  }

  /**
   * Delays the takeover by this node's rank, so that the nodes that suspect the same node rarely
   * race.
   */
  private takeOverFrom({ owner, ownerAnswers, rank }: Suspicion): void {
    this.placement.noteUnresponsive(owner.node);
    setTimeout(() => {
      if (this.isStopping || !this.monitor.isSuspected(owner)) return;
      const isStillSuspected = (): boolean => this.monitor.isSuspected(owner);
      void this.takeover.takeOverFrom(owner, ownerAnswers, isStillSuspected);
      void this.coordination.lock.takeOverFrom(owner);
    }, rank * TAKEOVER_RANK_DELAY);
  }

  /** Sets the gauges and logs all counters as one line. */
  private report(): void {
    const { metrics, log } = this.options;
    metrics.set('configuration_version', this.configuration.version ?? 0);
    metrics.set('live_nodes', this.liveNodes);
    metrics.set('known_workers', this.registry.all().length);
    metrics.set('open_jobs', this.jobs.ownedJobs().filter((job) => job.isOpen).length);
    metrics.set('running_items', this.dispatcher.runCount);
    metrics.set('is_coordinator', this.coordination.isActive ? 1 : 0);
    log.state('counters', metrics.snapshot());
    const waiting = this.dispatcher.waitingCounts;
    if (Object.keys(waiting).length > 0) log.state('items-waiting', waiting);
  }
}
