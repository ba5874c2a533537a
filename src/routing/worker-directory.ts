/**
 * The directory of model workers at one node: their homes, states and loads. The home of a worker is
 * the node that polls it, admits its work and publishes its load. A node subscribes to the load of a
 * subset of workers only, so that its state is bounded in large fleets.
 */
import type { DrainRecord } from '../config-feed/configuration.js';
import {
  type ModelName,
  type NodeIdentity,
  type NodeRecord,
  sameIdentity,
  type WorkerId,
  type ZoneName,
} from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { MachineRecord, WorkerRecord, WorkerReport } from '../platform/worker.js';
import { FollowedWorkers } from './followed-workers.js';
import { HomeLoads } from './home-loads.js';
import type { LoadPush } from './load-publisher.js';
import { LoadSubscriptions } from './load-subscriptions.js';
import type { WorkerLoad, WorkerLoadMessage } from './messages.js';
import { OutlierDetector } from './outlier-detector.js';
import type {
  CallOutcome,
  OutstandingCounts,
  WorkerCandidate,
  WorkerStateChange,
} from './worker-candidate.js';
import type { WorkerDirectoryEffect, WorkerDirectoryOptions } from './worker-directory-types.js';
import { WorkerEntries } from './worker-entries.js';
import type { WorkerEntry } from './worker-entry.js';
import { type RoutedModel, WorkerTopology } from './worker-topology.js';

const DEFAULT_POLL_INTERVAL: Milliseconds = 500;

/** Interval at which states that depend on elapsed time are updated. */
const SWEEP_INTERVAL: Milliseconds = 250;

/** Renewal intervals after which a subscription expires. */
const SUBSCRIPTION_TIMEOUT_RENEWALS = 3;

/** Push intervals after which the counts of the home include the dispatches of this node. */
const SENT_COUNT_TIMEOUT_PUSHES = 2;

export class WorkerDirectory {
  readonly #self: NodeRecord;
  readonly #topology: WorkerTopology;
  readonly #detector: OutlierDetector;
  readonly #subscriptions: LoadSubscriptions;
  readonly #homeLoads: HomeLoads;
  readonly #entries: WorkerEntries;
  #followed = new FollowedWorkers();
  #sweepAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #effects: WorkerDirectoryEffect[] = [];

  constructor(options: WorkerDirectoryOptions) {
    const { self, random } = options;
    const renewInterval = options.renewInterval ?? 2_000;
    const pushInterval = options.pushInterval ?? 200;
    this.#self = self;
    this.#topology = new WorkerTopology(self, options.subsetSize ?? 32);
    this.#detector = options.outlierDetector ?? new OutlierDetector({ random });
    this.#subscriptions = new LoadSubscriptions({ random, renewInterval });
    this.#entries = new WorkerEntries({
      topology: this.#topology,
      staleAfter: options.staleAfter ?? 5_000,
      sentCountTimeout: SENT_COUNT_TIMEOUT_PUSHES * pushInterval,
      onChange: (change) => this.#onStateChange(change),
    });
    this.#homeLoads = new HomeLoads({
      random,
      entries: this.#entries,
      isHome: (worker) => this.isHome(worker),
      pollInterval: options.pollInterval ?? DEFAULT_POLL_INTERVAL,
      pushInterval,
      subscriptionTimeout: renewInterval * SUBSCRIPTION_TIMEOUT_RENEWALS,
    });
  }

  /** Applies the machine list; does nothing for the same array object. */
  updateMachines(
    machines: readonly MachineRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateMachines(machines) ? this.#rebuild(now) : [];
  }

  /** Applies the live nodes; skips zones with the same array object as before. */
  updateNodes(
    liveInZone: (zone: ZoneName) => readonly NodeRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateNodes(liveInZone) ? this.#rebuild(now) : [];
  }

  /** Applies the operators' drains of workers and zones. */
  updateDrains(
    drains: readonly DrainRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateDrains(drains) ? this.#rebuild(now) : [];
  }

  /** Sets the models this node routes for; call `updateNodes` afterwards for new zones. */
  updateRoutedModels(
    models: readonly RoutedModel[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateRoutedModels(models) ? this.#rebuild(now) : [];
  }

  /** Handles a message from the directory of another node. */
  receive(
    from: NodeIdentity,
    message: WorkerLoadMessage,
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    if (message.kind === 'subscribe') {
      const { workers, lastSequence } = message;
      const push = this.#homeLoads.subscribe(from, workers, lastSequence, now);
      if (push !== undefined) this.#send(push);
      return this.#drainEffects();
    }
    const isEmpty = message.loads.length === 0 && message.notHome.length === 0;
    const { sequence, complete } = message;
    if (!this.#subscriptions.accept(from, { sequence, complete, isEmpty }, now)) return [];
    if (isEmpty) this.#applyKeepAlive(from, now);
    for (const load of message.loads) this.#applyLoad(from, load, now);
    for (const worker of message.notHome) this.#applyNotHome(from, worker, now);
    return this.#drainEffects();
  }

  /** Applies the report of an engine; ignored where this node is not the worker's home. */
  recordReport(report: WorkerReport, now: Milliseconds): readonly WorkerDirectoryEffect[] {
    this.#homeLoads.recordReport(report, now);
    return this.#drainEffects();
  }

  /** Records a failed poll; ignored where this node is not the worker's home. */
  recordFailedPoll(worker: WorkerId, now: Milliseconds): readonly WorkerDirectoryEffect[] {
    this.#homeLoads.recordFailedPoll(worker, now);
    return this.#drainEffects();
  }

  /** Returns due polls, renewals and pushes, and changes of states that depend on elapsed time. */
  tick(now: Milliseconds): readonly WorkerDirectoryEffect[] {
    for (const worker of this.#homeLoads.duePolls(now)) this.#poll(worker);
    for (const push of this.#homeLoads.duePushes(now)) this.#send(push);
    if (now < this.#sweepAt) return this.#drainEffects();
    this.#sweepAt = now + SWEEP_INTERVAL;
    this.#homeLoads.sweep(now);
    for (const renewal of this.#subscriptions.dueRenewals(now)) this.#send(renewal);
    this.#entries.sweep(now);
    return this.#drainEffects();
  }

  /** Records the outcome of a call; may eject the worker. */
  recordOutcome(
    worker: WorkerId,
    outcome: CallOutcome,
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    const entry = this.#entries.get(worker);
    if (entry === undefined) return [];
    const isOutlier = this.#detector.record(entry.outcomes, outcome, now);
    if (!isOutlier || entry.state === 'ejected' || !this.#canEject(entry)) return [];
    this.#detector.eject(entry.outcomes, now);
    this.#entries.refresh(entry, now);
    return this.#drainEffects();
  }

  /** Counts a dispatch of this node until the home next reports the load of the worker. */
  recordDispatch(worker: WorkerId, now: Milliseconds): void {
    this.#entries.get(worker)?.recordDispatch(now);
  }

  /** Applies the counts of this node's admission control for a worker whose home it is. */
  setOutstanding(worker: WorkerId, counts: OutstandingCounts, now: Milliseconds): void {
    this.#homeLoads.recordCounts(worker, counts, now);
  }

  /**
   * Followed workers that are not leaving; callers check the other states. Returns the same array
   * object until its members change.
   */
  candidates(model: ModelName, zones: readonly ZoneName[]): readonly WorkerCandidate[] {
    return this.#followed.candidates(model, zones);
  }

  isHome(worker: WorkerId): boolean {
    return this.#topology.isHome(worker);
  }

  /** The home of a worker; `undefined` for an unknown worker or a zone without live nodes. */
  homeOf(worker: WorkerId): NodeRecord | undefined {
    return this.#topology.homeOf(worker);
  }

  /** Workers whose home is this node. */
  workersAtHome(): readonly WorkerRecord[] {
    return this.#homeLoads.workers;
  }

  /** A worker of the machine list; `undefined` for an unknown one. */
  worker(worker: WorkerId): WorkerRecord | undefined {
    return this.#topology.worker(worker);
  }

  /** The last report of a worker whose home is this node. */
  report(worker: WorkerId): WorkerReport | undefined {
    return this.#homeLoads.reportOf(worker);
  }

  /** Whether machine list, operators, engine or home report that a worker accepts no new work. */
  isLeaving(worker: WorkerId): boolean {
    if (this.#topology.isWithdrawn(worker)) return true;
    return this.#entries.get(worker)?.reportedLeaving ?? false;
  }

  /** Recomputes subsets, homes and subscriptions. */
  #rebuild(now: Milliseconds): readonly WorkerDirectoryEffect[] {
    const ownWorkers = this.#topology.ownWorkers();
    this.#homeLoads.replace(ownWorkers, now);
    const retained = new Set<WorkerId>();
    this.#entries.upsertAll(ownWorkers, retained, now);
    this.#followed = new FollowedWorkers();
    for (const { model, zone, records } of this.#topology.subsets()) {
      this.#followed.set(model, zone, this.#entries.upsertAll(records, retained, now));
    }
    this.#entries.retain(retained);
    const required = this.#followed.byHome(this.#self);
    for (const cancellation of this.#subscriptions.replace(required, now)) this.#send(cancellation);
    this.#sweepAt = now;
    return this.#drainEffects();
  }

  #applyLoad(from: NodeIdentity, load: WorkerLoad, now: Milliseconds): void {
    const entry = this.#entries.get(load.worker);
    if (entry === undefined || !sameIdentity(entry.home, from)) return;
    const isEjection = load.health === 'failing' && entry.health !== 'failing';
    const health = isEjection && !this.#canEject(entry) ? 'healthy' : load.health;
    entry.applyLoad({ ...load, health }, now);
    this.#entries.refresh(entry, now);
  }

  /** The nodes disagree on the home; the load is unknown until they agree. */
  #applyNotHome(from: NodeIdentity, worker: WorkerId, now: Milliseconds): void {
    const entry = this.#entries.get(worker);
    if (entry === undefined || !sameIdentity(entry.home, from)) return;
    entry.discardLoad();
    this.#entries.refresh(entry, now);
  }

  #applyKeepAlive(from: NodeIdentity, now: Milliseconds): void {
    for (const worker of this.#subscriptions.workersAt(from)) {
      const entry = this.#entries.get(worker);
      if (entry === undefined || entry.activeVersion === undefined) continue;
      entry.loadUpdatedAt = now;
      this.#entries.refresh(entry, now);
    }
  }

  /**
   * A home may eject all workers but those of a group of one. Other nodes leave one worker of each
   * zone in service and limit the share of ejected workers of each model.
   */
  #canEject(entry: WorkerEntry): boolean {
    const { model, zone, worker } = entry.record;
    if (this.isHome(worker)) return this.#topology.groupSize(model, zone) > 1;
    const health = this.#followed.health(model, zone);
    const leavesOne = health.zoneEjected + 1 < health.zoneSize;
    return leavesOne && health.modelEjected < this.#detector.ejectionLimit(health.modelSize);
  }

  #onStateChange(change: WorkerStateChange): void {
    if (change.from === 'leaving' || change.to === 'leaving') this.#followed.clearLists();
    this.#effects.push({ kind: 'state-change', change });
    this.#homeLoads.schedulePush(change.worker);
  }

  #poll(worker: WorkerRecord): void {
    this.#effects.push({ kind: 'poll', worker });
  }

  #send(push: LoadPush): void {
    this.#effects.push({ kind: 'send', to: push.to, message: push.message });
  }

  #drainEffects(): readonly WorkerDirectoryEffect[] {
    if (this.#effects.length === 0) return [];
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
