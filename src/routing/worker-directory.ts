/**
 * What one node knows of the model workers: which exist, which node is each one's home, which may
 * take new work, and how loaded they are. A node follows a subset of the workers of each model and
 * zone it serves, and polls those whose home it is, so that state and messages do not grow with
 * the fleet.
 */
import type { DrainRecord } from '../config-feed/configuration.js';
import {
  identityKey,
  type ModelName,
  type NodeIdentity,
  type NodeRecord,
  sameIdentity,
  type WorkerId,
  type ZoneName,
} from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { MachineRecord, WorkerRecord, WorkerReport } from '../platform/worker.js';
import { DrainIndex } from './drain-index.js';
import { HomeWorkers } from './home-workers.js';
import { LoadPublisher, type LoadPush } from './load-publisher.js';
import { LoadSubscriptions } from './load-subscriptions.js';
import { type MachineIndex, machineIndexOf } from './machine-index.js';
import type { WorkerLoad, WorkerViewMessage } from './messages.js';
import { OutlierDetector } from './outlier-detector.js';
import type {
  CallOutcome,
  OutstandingCounts,
  WorkerCandidate,
  WorkerStateChange,
} from './worker-candidate.js';
import { WorkerEntries } from './worker-entries.js';
import type { WorkerEntry } from './worker-entry.js';
import { subsetOf } from './worker-subset.js';
import { ZoneHomes } from './zone-homes.js';

/** A model this node routes for, and the zones it may use. */
export interface WantedModel {
  readonly model: ModelName;
  readonly zones: readonly ZoneName[];
}

/** Something the directory asks to be done. */
export type WorkerDirectoryEffect =
  | {
      readonly kind: 'send';
      readonly to: NodeIdentity;
      readonly message: WorkerViewMessage;
    }
  | { readonly kind: 'poll'; readonly worker: WorkerRecord }
  | { readonly kind: 'state-change'; readonly change: WorkerStateChange };

/** Settings of the directory. */
export interface WorkerDirectoryOptions {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  /** Most workers followed of one model and zone; default 32. */
  readonly subsetSize?: number;
  /** Time between two polls of a worker by its home; default 250 ms. */
  readonly pollInterval?: Milliseconds;
  /** Shortest time between two pushes to one subscriber; default 200 ms. */
  readonly pushInterval?: Milliseconds;
  /** Longest time between two renewals of a subscription; default 2,000 ms. */
  readonly renewInterval?: Milliseconds;
  /** Time without news after which a worker's load counts as unknown; default 5,000 ms. */
  readonly staleAfter?: Milliseconds;
  /** Default: a detector with its own defaults. */
  readonly outlierDetector?: OutlierDetector;
}

/** How often states that change by time alone are looked at. */
const SWEEP_INTERVAL: Milliseconds = 250;

/** A subscription lives for this many renewal intervals. */
const SUBSCRIPTION_LIFE_RENEWALS = 3;

/** An own dispatch is counted apart for this many push intervals, then the home knows of it. */
const SENT_COUNT_PUSHES = 2;

/** The node's view of all workers. */
export class WorkerDirectory {
  readonly #self: NodeRecord;
  readonly #subsetSize: number;
  readonly #pushInterval: Milliseconds;
  readonly #detector: OutlierDetector;
  readonly #publisher: LoadPublisher;
  readonly #subscriptions: LoadSubscriptions;
  readonly #homeWorkers: HomeWorkers;
  readonly #entries: WorkerEntries;
  readonly #homes = new Map<ZoneName, ZoneHomes>();
  #index: MachineIndex = machineIndexOf([]);
  #drains = new DrainIndex([]);
  #wanted: readonly WantedModel[] = [];
  #followed = new Map<ModelName, Map<ZoneName, readonly WorkerEntry[]>>();
  #candidateLists = new Map<string, readonly WorkerCandidate[]>();
  #sweepAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #effects: WorkerDirectoryEffect[] = [];

  constructor(options: WorkerDirectoryOptions) {
    const { self, random } = options;
    const renewInterval = options.renewInterval ?? 2_000;
    this.#self = self;
    this.#subsetSize = options.subsetSize ?? 32;
    this.#pushInterval = options.pushInterval ?? 200;
    this.#detector = options.outlierDetector ?? new OutlierDetector({ random });
    this.#publisher = new LoadPublisher({
      pushInterval: this.#pushInterval,
      subscriptionLife: renewInterval * SUBSCRIPTION_LIFE_RENEWALS,
      loadOf: (worker, now) => this.#loadOf(worker, now),
    });
    this.#subscriptions = new LoadSubscriptions({ random, renewInterval });
    this.#homeWorkers = new HomeWorkers({ random, pollInterval: options.pollInterval ?? 250 });
    this.#entries = new WorkerEntries({
      staleAfter: options.staleAfter ?? 5_000,
      onChange: (entry, change) => this.#stateChanged(entry, change),
    });
  }

  /** Takes in the machine list. The same array object again costs nothing. */
  updateMachines(
    machines: readonly MachineRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    const index = machineIndexOf(machines);
    if (index === this.#index) return [];
    this.#index = index;
    for (const homes of this.#homes.values()) homes.retain((worker) => this.#exists(worker));
    return this.#rebuild(now);
  }

  /** Takes in the live nodes. A zone whose array object is the same as before costs nothing. */
  updateNodes(
    liveInZone: (zone: ZoneName) => readonly NodeRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    const zones = new Set([this.#self.zone, ...this.#homes.keys()]);
    for (const { zones: wantedZones } of this.#wanted)
      for (const zone of wantedZones) zones.add(zone);
    let changed = false;
    for (const zone of zones) changed = this.#homesOf(zone).update(liveInZone(zone)) || changed;
    return changed ? this.#rebuild(now) : [];
  }

  /** Takes in the operators' drains of workers and zones. */
  updateDrains(
    drains: readonly DrainRecord[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    if (this.#drains.isFor(drains)) return [];
    this.#drains = new DrainIndex(drains);
    return this.#rebuild(now);
  }

  /** Sets the models this node routes for; call `updateNodes` after it for zones not seen yet. */
  updateWanted(
    models: readonly WantedModel[],
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    if (isSameWanted(models, this.#wanted)) return [];
    this.#wanted = models;
    return this.#rebuild(now);
  }

  /** Takes in a message of another node's directory. */
  receive(
    from: NodeIdentity,
    message: WorkerViewMessage,
    now: Milliseconds,
  ): readonly WorkerDirectoryEffect[] {
    if (message.kind === 'subscribe') {
      const push = this.#publisher.subscribe(from, message.workers, message.lastSequence, now);
      if (push !== undefined) this.#send(push);
      return this.#takeEffects();
    }
    const isEmpty = message.loads.length === 0 && message.notHome.length === 0;
    const { sequence, complete } = message;
    if (!this.#subscriptions.accept(from, { sequence, complete, isEmpty }, now)) return [];
    if (isEmpty) this.#keepAlive(from, now);
    for (const load of message.loads) this.#takeLoad(from, load, now);
    return this.#takeEffects();
  }

  /** Takes in an engine's report of itself; counts where this node is its home. */
  workerReport(report: WorkerReport, now: Milliseconds): readonly WorkerDirectoryEffect[] {
    const entry = this.#entries.get(report.worker);
    if (entry === undefined || !this.isHome(report.worker)) return [];
    this.#homeWorkers.answered(report);
    entry.health = 'healthy';
    entry.takeReport(report, now);
    this.#entries.refresh(entry, now);
    this.#publishIfChanged(entry, now);
    return this.#takeEffects();
  }

  /** Takes in that a poll of a worker failed. */
  workerUnreachable(worker: WorkerId, now: Milliseconds): readonly WorkerDirectoryEffect[] {
    const entry = this.#entries.get(worker);
    if (entry === undefined || !this.isHome(worker)) return [];
    if (!this.#homeWorkers.failed(worker)) return [];
    entry.health = 'unreachable';
    this.#entries.refresh(entry, now);
    this.#publishIfChanged(entry, now);
    return this.#takeEffects();
  }

  /** Polls, renewals and pushes that are due, and states that change by time alone. */
  tick(now: Milliseconds): readonly WorkerDirectoryEffect[] {
    for (const worker of this.#homeWorkers.duePolls(now))
      this.#effects.push({ kind: 'poll', worker });
    for (const push of this.#publisher.tick(now)) this.#send(push);
    if (now < this.#sweepAt) return this.#takeEffects();
    this.#sweepAt = now + SWEEP_INTERVAL;
    this.#publisher.expire(now);
    for (const renewal of this.#subscriptions.tick(now)) this.#send(renewal);
    this.#sweepEntries(now);
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
    if (this.isHome(worker)) this.#publishIfChanged(entry, now);
    return this.#takeEffects();
  }

  /** Notes a dispatch of this node, counted until the home's next word on the worker. */
  noteSent(worker: WorkerId, now: Milliseconds): void {
    const entry = this.#entries.get(worker);
    if (entry === undefined) return;
    if (entry.sentSinceUpdate === 0) entry.sentAt = now;
    entry.sentSinceUpdate += 1;
  }

  /** Takes in the counts of this home's admission for one of its workers. */
  setOutstanding(worker: WorkerId, counts: OutstandingCounts, now: Milliseconds): void {
    const entry = this.#entries.get(worker);
    if (entry === undefined || !this.isHome(worker)) return;
    entry.takeCounts(counts);
    this.#publishIfChanged(entry, now);
  }

  /**
   * Workers of this node's subsets that no source calls leaving; their states still count. The
   * same array object is returned until its members change.
   */
  candidates(model: ModelName, zones: readonly ZoneName[]): readonly WorkerCandidate[] {
    const key = `${model}\n${zones.join('\n')}`;
    const known = this.#candidateLists.get(key);
    if (known !== undefined) return known;
    const followed = this.#followed.get(model);
    const lists = [...new Set(zones)].map((zone) => followed?.get(zone) ?? []);
    const list = lists.flat().filter((entry) => !entry.isLeaving);
    this.#candidateLists.set(key, list);
    return list;
  }

  /** Whether this node is a worker's home. */
  isHome(worker: WorkerId): boolean {
    return this.homeOf(worker)?.node === this.#self.node;
  }

  /** A worker's home; `undefined` for an unknown worker or a zone without live nodes. */
  homeOf(worker: WorkerId): NodeRecord | undefined {
    const indexed = this.#index.worker(worker);
    if (indexed === undefined) return undefined;
    return this.#homes.get(indexed.record.zone)?.homeOf(worker);
  }

  /** Workers whose home this node is. */
  workersAtHome(): readonly WorkerRecord[] {
    return this.#homeWorkers.workers;
  }

  /** A worker of the machine list. */
  worker(worker: WorkerId): WorkerRecord | undefined {
    return this.#index.worker(worker)?.record;
  }

  /** The last report of a worker whose home this node is. */
  report(worker: WorkerId): WorkerReport | undefined {
    return this.#homeWorkers.report(worker);
  }

  /** Whether any source known here says that a worker takes no new work. */
  isLeaving(worker: WorkerId): boolean {
    const indexed = this.#index.worker(worker);
    if (indexed === undefined || this.#isWithdrawn(indexed.record)) return true;
    return this.#entries.get(worker)?.saysLeaving ?? false;
  }

  #exists(worker: WorkerId): boolean {
    return this.#index.worker(worker) !== undefined;
  }

  #isWithdrawn(record: WorkerRecord): boolean {
    const leaving = this.#index.worker(record.worker)?.machineLeaving ?? true;
    return leaving || this.#drains.covers(record);
  }

  #homesOf(zone: ZoneName): ZoneHomes {
    const known = this.#homes.get(zone);
    if (known !== undefined) return known;
    const homes = new ZoneHomes();
    this.#homes.set(zone, homes);
    return homes;
  }

  /** Works out subsets, homes and subscriptions anew after a change of what they rest on. */
  #rebuild(now: Milliseconds): readonly WorkerDirectoryEffect[] {
    this.#candidateLists.clear();
    const own = this.#index.inZone(this.#self.zone).filter((record) => this.isHome(record.worker));
    this.#homeWorkers.replace(own, now);
    const kept = new Set<WorkerId>();
    for (const record of own) this.#keep(record, kept, now);
    this.#followed = new Map();
    for (const { model, zones } of this.#wanted) this.#follow(model, zones, kept, now);
    this.#entries.retain(kept);
    this.#subscribe(now);
    this.#sweepAt = now;
    return this.#takeEffects();
  }

  #follow(
    model: ModelName,
    zones: readonly ZoneName[],
    kept: Set<WorkerId>,
    now: Milliseconds,
  ): void {
    const followed = this.#followed.get(model) ?? new Map<ZoneName, readonly WorkerEntry[]>();
    this.#followed.set(model, followed);
    for (const zone of zones) {
      const usable = this.#drains.usable(this.#index.inService(model, zone));
      const subset = this.#subsetOf(usable);
      const entries = subset.map((record) => this.#keep(record, kept, now));
      followed.set(
        zone,
        entries.filter((entry) => entry !== undefined),
      );
    }
  }

  /** Clients of the ring are the nodes of this node's own zone. */
  #subsetOf(records: readonly WorkerRecord[]): readonly WorkerRecord[] {
    const homes = this.#homesOf(this.#self.zone);
    const rank = homes.rankOf(this.#self.node);
    if (rank !== undefined) return subsetOf(records, rank, homes.nodeCount, this.#subsetSize);
    return subsetOf(records, homes.nodeCount, homes.nodeCount + 1, this.#subsetSize);
  }

  #keep(record: WorkerRecord, kept: Set<WorkerId>, now: Milliseconds): WorkerEntry | undefined {
    const home = this.homeOf(record.worker);
    if (home === undefined) return undefined;
    kept.add(record.worker);
    return this.#entries.keep(record, home, this.#isWithdrawn(record), now);
  }

  #subscribe(now: Milliseconds): void {
    const wanted = new Map<string, { readonly home: NodeIdentity; readonly workers: WorkerId[] }>();
    for (const zones of this.#followed.values()) {
      for (const entry of [...zones.values()].flat()) {
        if (entry.home.node === this.#self.node) continue;
        const key = identityKey(entry.home);
        const subscription = wanted.get(key) ?? { home: entry.home, workers: [] };
        wanted.set(key, subscription);
        subscription.workers.push(entry.record.worker);
      }
    }
    for (const end of this.#subscriptions.replace(wanted, now)) this.#send(end);
  }

  #takeLoad(from: NodeIdentity, load: WorkerLoad, now: Milliseconds): void {
    const entry = this.#entries.get(load.worker);
    if (entry === undefined || !sameIdentity(entry.home, from)) return;
    const ejects = load.health === 'failing' && entry.health !== 'failing';
    const health = ejects && !this.#mayEject(entry) ? 'healthy' : load.health;
    entry.takeLoad({ ...load, health }, now);
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

  /** A home judges alone; other nodes keep most of a group in service whatever homes say. */
  #mayEject(entry: WorkerEntry): boolean {
    const { model, zone } = entry.record;
    if (this.isHome(entry.record.worker)) return this.#index.inService(model, zone).length > 1;
    const group = this.#followed.get(model)?.get(zone) ?? [];
    const ejected = group.filter((member) => member.state === 'ejected').length;
    return ejected < this.#detector.ejectionLimit(group.length);
  }

  #loadOf(worker: WorkerId, now: Milliseconds): WorkerLoad | undefined {
    const entry = this.#entries.get(worker);
    if (entry === undefined || !this.isHome(worker)) return undefined;
    return entry.toLoad(now);
  }

  #publishIfChanged(entry: WorkerEntry, now: Milliseconds): void {
    if (this.#homeWorkers.noteLoad(entry.toLoad(now), entry.slots)) {
      this.#publisher.markChanged(entry.record.worker);
    }
  }

  #sweepEntries(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      const sentLife = SENT_COUNT_PUSHES * this.#pushInterval;
      if (entry.sentSinceUpdate > 0 && now - entry.sentAt > sentLife) entry.sentSinceUpdate = 0;
      this.#entries.refresh(entry, now);
    }
  }

  #stateChanged(entry: WorkerEntry, change: WorkerStateChange): void {
    if (change.from === 'leaving' || change.to === 'leaving') this.#candidateLists.clear();
    this.#effects.push({ kind: 'state-change', change });
    if (this.isHome(entry.record.worker)) this.#publisher.markChanged(entry.record.worker);
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

function isSameWanted(left: readonly WantedModel[], right: readonly WantedModel[]): boolean {
  if (left === right) return true;
  const textOf = (model: WantedModel): string => `${model.model}\n${model.zones.join('\n')}`;
  return (
    left.length === right.length &&
    left.every((model, at) => {
      const other = right[at];
      return other !== undefined && textOf(model) === textOf(other);
    })
  );
}
