/**
 * What one node knows of the model workers: which exist, which node is each one's home, which may
 * take new work, and how loaded they are. A node follows a subset of the workers of each model and
 * zone it serves, and polls those whose home it is, so that state and messages do not grow with
 * the fleet.
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
import type { WorkerLoad, WorkerViewMessage } from './messages.js';
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
import { type WantedModel, WorkerTopology } from './worker-topology.js';

/** A home counts its own dispatches; reports add the version, `leaving` and ill health. */
const DEFAULT_POLL_INTERVAL: Milliseconds = 500;

/** How often states that change by time alone are looked at. */
const SWEEP_INTERVAL: Milliseconds = 250;

/** A subscription lives for this many renewal intervals. */
const SUBSCRIPTION_LIFE_RENEWALS = 3;

/** An own dispatch is counted apart for this many push intervals, then the home knows of it. */
const SENT_COUNT_PUSHES = 2;

/** The node's view of all workers. */
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
      sentLife: SENT_COUNT_PUSHES * pushInterval,
      onChange: (change) => this.#stateChanged(change),
    });
    this.#homeLoads = new HomeLoads({
      random,
      entries: this.#entries,
      isHome: (worker) => this.isHome(worker),
      pollInterval: options.pollInterval ?? DEFAULT_POLL_INTERVAL,
      pushInterval,
      subscriptionLife: renewInterval * SUBSCRIPTION_LIFE_RENEWALS,
    });
  }

  /** Takes in the machine list. The same array object again costs nothing. */
  updateMachines(
    machines: readonly MachineRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateMachines(machines) ? this.#rebuild(now) : [];
  }

  /** Takes in the live nodes. A zone whose array object is the same as before costs nothing. */
  updateNodes(
    liveInZone: (zone: ZoneName) => readonly NodeRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateNodes(liveInZone) ? this.#rebuild(now) : [];
  }

  /** Takes in the operators' drains of workers and zones. */
  updateDrains(
    drains: readonly DrainRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateDrains(drains) ? this.#rebuild(now) : [];
  }

  /** Sets the models this node routes for; call `updateNodes` after it for zones not seen yet. */
  updateWanted(
    models: readonly WantedModel[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    return this.#topology.updateWanted(models) ? this.#rebuild(now) : [];
  }

  /** Takes in a message of another node's directory. */
  receive(
    from: NodeIdentity,
    message: WorkerViewMessage,
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    if (message.kind === 'subscribe') {
      const { workers, lastSequence } = message;
      const push = this.#homeLoads.subscribe(from, workers, lastSequence, now);
      if (push !== undefined) this.#send(push);
      return this.#takeEffects();
    }
    const isEmpty = message.loads.length === 0 && message.notHome.length === 0;
    const { sequence, complete } = message;
    if (!this.#subscriptions.accept(from, { sequence, complete, isEmpty }, now)) return [];
    if (isEmpty) this.#keepAlive(from, now);
    for (const load of message.loads) this.#takeLoad(from, load, now);
    for (const worker of message.notHome) this.#takeNotHome(from, worker, now);
    return this.#takeEffects();
  }

  /** Takes in an engine's report of itself; counts where this node is its home. */
  workerReport(report: WorkerReport, now: Milliseconds): readonly WorkerDirectoryEffect[] {
    this.#homeLoads.takeReport(report, now);
    return this.#takeEffects();
  }

  /** Takes in that a poll of a worker failed. */
  workerUnreachable(worker: WorkerId, now: Milliseconds): readonly WorkerDirectoryEffect[] {
    this.#homeLoads.takeFailedPoll(worker, now);
    return this.#takeEffects();
  }

  /** Polls, renewals and pushes that are due, and states that change by time alone. */
  tick(now: Milliseconds): readonly WorkerDirectoryEffect[] {
    for (const worker of this.#homeLoads.duePolls(now)) this.#poll(worker);
    for (const push of this.#homeLoads.duePushes(now)) this.#send(push);
    if (now < this.#sweepAt) return this.#takeEffects();
    this.#sweepAt = now + SWEEP_INTERVAL;
    this.#homeLoads.sweep(now);
    for (const renewal of this.#subscriptions.tick(now)) this.#send(renewal);
    this.#entries.sweep(now);
    return this.#takeEffects();
  }

  /** Takes in how a call to a worker ended. */
  recordOutcome(
    worker: WorkerId,
    outcome: CallOutcome,
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    const entry = this.#entries.get(worker);
    if (entry === undefined) return [];
    const isOutlier = this.#detector.record(entry.outcomes, outcome, now);
    if (!isOutlier || entry.state === 'ejected' || !this.#mayEject(entry)) return [];
    this.#detector.eject(entry.outcomes, now);
    this.#entries.refresh(entry, now);
    return this.#takeEffects();
  }

  /** Notes a dispatch of this node, counted until the home's next word on the worker. */
  noteSent(worker: WorkerId, now: Milliseconds): void {
    this.#entries.get(worker)?.noteSent(now);
  }

  /** Takes in the counts of this home's admission for one of its workers. */
  setOutstanding(worker: WorkerId, counts: OutstandingCounts, now: Milliseconds): void {
    this.#homeLoads.takeCounts(worker, counts, now);
  }

  /**
   * Workers of this node's subsets that no source calls leaving; their states still count. The
   * same array object is returned until its members change.
   */
  candidates(model: ModelName, zones: readonly ZoneName[]): readonly WorkerCandidate[] {
    return this.#followed.candidates(model, zones);
  }

  /** Whether this node is a worker's home. */
  isHome(worker: WorkerId): boolean {
    return this.#topology.isHome(worker);
  }

  /** A worker's home; `undefined` for an unknown worker or a zone without live nodes. */
  homeOf(worker: WorkerId): NodeRecord | undefined {
    return this.#topology.homeOf(worker);
  }

  /** Workers whose home this node is. */
  workersAtHome(): readonly WorkerRecord[] {
    return this.#homeLoads.workers;
  }

  /** A worker of the machine list. */
  worker(worker: WorkerId): WorkerRecord | undefined {
    return this.#topology.worker(worker);
  }

  /** The last report of a worker whose home this node is. */
  report(worker: WorkerId): WorkerReport | undefined {
    return this.#homeLoads.reportOf(worker);
  }

  /** Whether any source known here says that a worker takes no new work. */
  isLeaving(worker: WorkerId): boolean {
    if (this.#topology.isWithdrawn(worker)) return true;
    return this.#entries.get(worker)?.saysLeaving ?? false;
  }

  /** Works out subsets, homes and subscriptions anew after a change of what they rest on. */
  #rebuild(now: Milliseconds): readonly WorkerDirectoryEffect[] {
    const own = this.#topology.ownWorkers();
    this.#homeLoads.replace(own, now);
    const kept = new Set<WorkerId>();
    this.#entries.keepAll(own, kept, now);
    this.#followed = new FollowedWorkers();
    for (const { model, zone, records } of this.#topology.subsets()) {
      this.#followed.set(model, zone, this.#entries.keepAll(records, kept, now));
    }
    this.#entries.retain(kept);
    const wanted = this.#followed.byHome(this.#self);
    for (const end of this.#subscriptions.replace(wanted, now)) this.#send(end);
    this.#sweepAt = now;
    return this.#takeEffects();
  }

  #takeLoad(from: NodeIdentity, load: WorkerLoad, now: Milliseconds): void {
    const entry = this.#entries.get(load.worker);
    if (entry === undefined || !sameIdentity(entry.home, from)) return;
    const ejects = load.health === 'failing' && entry.health !== 'failing';
    const health = ejects && !this.#mayEject(entry) ? 'healthy' : load.health;
    entry.takeLoad({ ...load, health }, now);
    this.#entries.refresh(entry, now);
  }

  /** The sender does not think that it is the home: nothing is known until one of us changes. */
  #takeNotHome(from: NodeIdentity, worker: WorkerId, now: Milliseconds): void {
    const entry = this.#entries.get(worker);
    if (entry === undefined || !sameIdentity(entry.home, from)) return;
    entry.forgetLoad();
    this.#entries.refresh(entry, now);
  }

  #keepAlive(from: NodeIdentity, now: Milliseconds): void {
    for (const worker of this.#subscriptions.workersAt(from)) {
      const entry = this.#entries.get(worker);
      if (entry === undefined || entry.activeVersion === undefined) continue;
      entry.heardAt = now;
      this.#entries.refresh(entry, now);
    }
  }

  /**
   * A home judges alone. Other nodes, whatever homes say, keep one worker of each zone and most
   * of each model in service, yet may eject nearly all of a zone that fails.
   */
  #mayEject(entry: WorkerEntry): boolean {
    const { model, zone, worker } = entry.record;
    if (this.isHome(worker)) return this.#topology.groupSize(model, zone) > 1;
    const health = this.#followed.health(model, zone);
    const leavesOne = health.zoneEjected + 1 < health.zoneSize;
    return leavesOne && health.modelEjected < this.#detector.ejectionLimit(health.modelSize);
  }

  #stateChanged(change: WorkerStateChange): void {
    if (change.from === 'leaving' || change.to === 'leaving') this.#followed.clearLists();
    this.#effects.push({ kind: 'state-change', change });
    this.#homeLoads.noteStateChange(change.worker);
  }

  #poll(worker: WorkerRecord): void {
    this.#effects.push({ kind: 'poll', worker });
  }

  #send(push: LoadPush): void {
    this.#effects.push({ kind: 'send', to: push.to, message: push.message });
  }

  #takeEffects(): readonly WorkerDirectoryEffect[] {
    if (this.#effects.length === 0) return [];
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
