/**
 * Two job nodes over one store, and workers, in simulated time: random faults for a while, then calm
 * with room at the workers. Records each item that is at no worker for too long in the calm.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { RandomSource } from '../../src/core/random.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { JobItem, JobOwner, JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { EngineRequest } from '../../src/serving/engine-port.js';
import { requestFingerprint } from '../../src/serving/request-fingerprint.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import { configuration } from '../serving/serving-fixtures.js';
import { always, scoredSpecification, specification } from './job-fixtures.js';
import { JOB_ROUTE, type JobNode, jobNode, SCORE_ROUTE } from './job-node.js';
import { type SimulatedWorker, SimulatedWorkers, type WorkerMode } from './simulated-workers.js';
import { VirtualClock } from './virtual-clock.js';

const STEP: Milliseconds = 20;
/** Turns of the event loop in which what a step began comes to rest. */
const TURNS_A_STEP = 4;

const FAULT_TIME: Milliseconds = 16_000;
const CALM_TIME: Milliseconds = 20_000;

/** An item that is owed is at a worker at least this often while all is calm. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

const ITEMS_A_JOB = 6;

/** A job is submitted so often while there are faults. */
const SUBMISSION_INTERVAL: Milliseconds = 2_500;
const MIN_EVENTS = 8;
const MAX_EVENTS = 60;
const MODEL_WORKERS = 6;
const SCORE_WORKERS = 3;

/** Time after which a worker that crashed is replaced, and an owner that ended is followed. */
const REPLACEMENT_TIME: Milliseconds = 400;
const TAKEOVER_TIME: Milliseconds = 1_500;
const LOAD_TIME: Milliseconds = 900;

const TEMPORARY_MODES: readonly WorkerMode[] = ['silent', 'full', 'comments', 'endless-event'];
const ODD_MODES: readonly WorkerMode[] = ['uncallable', 'dark', 'unreachable'];

interface Owner {
  readonly self: JobOwner;
  readonly node: JobNode;
  isUp: boolean;
  stalledUntil: Milliseconds;
}

/** An item that was at no worker for too long. */
export interface LeftOut {
  readonly request: string;
  readonly idle: Milliseconds;
  readonly reasons: Readonly<Record<string, number>>;
}

/** One run of the world under one seed. */
export class OwedWorkWorld {
  readonly clock = new VirtualClock();
  readonly leftOut: LeftOut[] = [];
  /** Items without a result at the end of the calm. */
  unfinishedAtEnd: readonly string[] = [];
  readonly faults: string[] = [];
  private readonly random: RandomSource;
  private readonly store = new SharedStoreEmulator();
  private readonly heads = new JobStore(this.store, this.clock);
  private readonly workers: SimulatedWorkers;
  private readonly owners: Owner[] = [];
  private readonly specs: JobSpecification[] = [];
  /** Ids of the items whose results are listed. */
  private readonly listed = new Set<string>();
  private readonly eventCounts = new Map<string, number>();
  private readonly matcher: RouteMatcher;
  private readonly crashes: { readonly worker: string; readonly requests: string[] }[] = [];
  private readonly due: { readonly at: Milliseconds; readonly act: () => void }[] = [];
  private newest: WeightVersion = 1;
  private lives = 0;
  private calmSince = Number.POSITIVE_INFINITY;

  constructor(seed: number) {
    this.random = createRandomSource(seed);
    const singleVersion = this.chance(0.5);
    const job = { ...JOB_ROUTE, singleVersion, maxQueue: 600_000 };
    this.matcher = new RouteMatcher(configuration([job, { ...SCORE_ROUTE, maxQueue: 600_000 }]));
    this.workers = new SimulatedWorkers(
      this.clock,
      ({ requestId }) => this.eventCounts.get(requestId) ?? 0,
    );
  }

  /** Runs faults and calm; afterwards {@link leftOut} and {@link unfinishedAtEnd} tell what was left out. */
  async run(): Promise<void> {
    for (let index = 0; index < MODEL_WORKERS; index += 1) this.workers.add('service', 1);
    for (let index = 0; index < SCORE_WORKERS; index += 1) this.workers.add('scorers', 1);
    this.startOwner('node-1');
    this.startOwner('node-2');
    const faultsEndAt = this.clock.now() + FAULT_TIME;
    let nextFaultAt = this.clock.now() + 200;
    let nextSubmissionAt = this.clock.now();
    while (this.clock.now() < faultsEndAt) {
      if (this.clock.now() >= nextSubmissionAt) {
        this.submitJob();
        nextSubmissionAt += SUBMISSION_INTERVAL;
      }
      if (this.clock.now() >= nextFaultAt) {
        this.bringFault();
        nextFaultAt = this.clock.now() + this.between(50, 700);
      }
      await this.step();
    }
    await this.settleDown();
    const calmEndAt = this.clock.now() + CALM_TIME;
    while (this.clock.now() < calmEndAt && this.unfinished().length > 0) await this.step();
    this.unfinishedAtEnd = this.unfinished();
    for (const { node } of this.owners) node.dispatcher.stop();
  }

  /**
   * Submits the next job. The items of all jobs ask for the same, so that what happened to workers
   * under one of them counts for its successors.
   */
  private submitJob(): void {
    const id = `job-${this.specs.length}`;
    const isScored = this.chance(0.5);
    const spec = isScored ? scoredSpecification(id, ITEMS_A_JOB) : specification(id, ITEMS_A_JOB);
    const items = spec.items.map((item) => {
      const { scoreRequest } = item;
      const ownScore = scoreRequest && { ...scoreRequest, id: `${id}-${scoreRequest.id}` };
      const score = ownScore === undefined ? {} : { scoreRequest: ownScore };
      return { ...item, id: `${id}-${item.id}`, ...score };
    });
    for (const item of items) this.eventCounts.set(item.id, this.between(MIN_EVENTS, MAX_EVENTS));
    // Trainers allow the newest weights and those before them.
    const minVersion = this.chance(0.5) ? Math.max(1, this.newest - 1) : 1;
    const submitted = { ...spec, items, minVersion, submittedAt: this.clock.wallTime() };
    this.specs.push(submitted);
    void this.anyOwner()?.node.service.submit(submitted, always);
  }

  private anyOwner(): Owner | undefined {
    const up = this.owners.filter(({ isUp }) => isUp);
    return up[this.between(0, Math.max(0, up.length - 1))];
  }

  private items(): JobItem[] {
    return this.specs.flatMap(({ items }) => items);
  }

  /** Items whose results no owner has listed. */
  private unfinished(): string[] {
    for (const { isUp, node } of this.owners) {
      const jobs = isUp ? node.service.ownedJobs() : [];
      for (const { results } of jobs) for (const { id } of results) this.listed.add(id);
    }
    return this.items()
      .map(({ id }) => id)
      .filter((id) => !this.listed.has(id));
  }

  /** All faults end but for odd entries, which stay for good. */
  private async settleDown(): Promise<void> {
    for (const worker of this.workers.workers.values()) {
      if (!ODD_MODES.includes(worker.mode)) worker.mode = 'sound';
    }
    const settledAt = this.clock.now() + TAKEOVER_TIME + REPLACEMENT_TIME + LOAD_TIME;
    while (this.clock.now() < settledAt) await this.step();
    this.calmSince = this.clock.now();
  }

  private async step(): Promise<void> {
    this.clock.advanceTo(this.clock.now() + STEP);
    const now = this.clock.now();
    for (const entry of [...this.due]) {
      if (entry.at > now) continue;
      this.due.splice(this.due.indexOf(entry), 1);
      entry.act();
    }
    this.workers.step();
    for (const owner of this.owners) {
      if (!owner.isUp || owner.stalledUntil > now) continue;
      owner.node.service.tick();
      owner.node.dispatcher.tick();
    }
    for (let turn = 0; turn < TURNS_A_STEP; turn += 1) await nextTurn();
    this.checkIdle();
  }

  private checkIdle(): void {
    const now = this.clock.now();
    for (const id of this.unfinished()) {
      const { scoreRequest } = this.items().find((item) => item.id === id) ?? {};
      const isMade = this.workers.finished.has(id);
      const work = isMade ? scoreRequest?.id : id;
      if (work === undefined || this.workers.finished.has(work)) continue;
      const place = this.workers.places.get(work);
      if ((place?.running ?? 0) > 0) continue;
      const madeAt = isMade ? (this.workers.places.get(id)?.leftAt ?? 0) : 0;
      const idle = now - Math.max(this.calmSince, place?.leftAt ?? 0, madeAt);
      if (idle > MAX_IDLE_TIME && this.leftOut.every(({ request }) => request !== work)) {
        this.leftOut.push({ request: work, idle, reasons: this.waitingCounts() });
      }
    }
  }

  private waitingCounts(): Record<string, number> {
    return Object.assign({}, ...this.owners.map(({ node }) => node.dispatcher.waitingCounts));
  }

  private bringFault(): void {
    const faults: readonly (readonly [string, () => void])[] = [
      ['crashes', () => this.crashSeries()],
      ['crashes', () => this.crashSeries()],
      ['version', () => this.nameVersion()],
      ['mode', () => this.disturbWorker()],
      ['mode', () => this.disturbWorker()],
      ['odd entry', () => this.addOddEntry()],
      ['wrong version', () => this.advertiseWrongly()],
      ['owner ends', () => this.endOwner()],
      ['owner stalls', () => this.stallOwner()],
    ];
    const [name, bring] = faults[this.between(0, faults.length - 1)] ?? ['none', () => {}];
    this.faults.push(`${this.clock.now()} ${name}`);
    bring();
  }

  /** Several workers at once, again and again; their successors may be among the next. */
  private crashSeries(): void {
    const service = this.chance(0.7) ? 'service' : 'scorers';
    const share = 0.2 + 0.8 * this.random.fraction();
    for (let index = 0; index < this.between(1, 5); index += 1) {
      this.later(index * (REPLACEMENT_TIME + STEP), () => this.crashShare(service, share));
    }
  }

  private crashShare(service: string, share: number): void {
    for (const worker of this.ordinaryWorkers(service)) {
      if (!this.chance(share)) continue;
      const requests = this.workers.crash(worker);
      this.everyRegistry((node) => node.registry.remove(worker.id));
      this.reportCrash(worker, requests);
      this.later(REPLACEMENT_TIME, () => this.register(this.workers.add(service, this.newest)));
    }
  }

  /** All nodes learn what was at the worker, as they do from each other's reports. */
  private reportCrash({ id }: SimulatedWorker, requests: readonly EngineRequest[]): void {
    const fingerprints = requests.map((request) =>
      requestFingerprint({ ...request, tenant: undefined }),
    );
    const report = { worker: id, requests: fingerprints };
    this.crashes.push(report);
    this.everyRegistry((node) => node.quarantine.applyReport(report, this.clock.now()));
  }

  private nameVersion(): void {
    this.newest += 1;
    const version = this.newest;
    for (const worker of this.ordinaryWorkers('service')) {
      this.later(this.between(0, 2_000), () => {
        if (worker.hasEnded || worker.version >= version) return;
        this.workers.load(worker, version, LOAD_TIME);
        this.later(LOAD_TIME, () => this.register(worker));
      });
    }
  }

  private disturbWorker(): void {
    const workers = [...this.workers.workers.values()].filter(({ mode }) => mode === 'sound');
    const worker = workers[this.between(0, Math.max(0, workers.length - 1))];
    if (worker === undefined) return;
    worker.mode = TEMPORARY_MODES[this.between(0, TEMPORARY_MODES.length - 1)] ?? 'sound';
    this.later(this.between(300, 3_000), () => {
      worker.mode = 'sound';
    });
  }

  private addOddEntry(): void {
    const odd = [...this.workers.workers.values()].filter(({ mode }) => ODD_MODES.includes(mode));
    if (odd.length >= MODEL_WORKERS) return;
    const mode = ODD_MODES[this.between(0, ODD_MODES.length - 1)] ?? 'uncallable';
    this.register(this.workers.add(this.chance(0.7) ? 'service' : 'scorers', 1, mode));
  }

  /** A worker's entry names another version than it has, until the next change of its weights. */
  private advertiseWrongly(): void {
    const workers = this.ordinaryWorkers('service');
    const worker = workers[this.between(0, Math.max(0, workers.length - 1))];
    if (worker === undefined) return;
    worker.namedVersion = this.newest + this.between(1, 3);
    this.register(worker);
    worker.namedVersion = undefined;
  }

  private endOwner(): void {
    const ended = this.anyOwner();
    if (ended === undefined || this.owners.filter(({ isUp }) => isUp).length < 2) return;
    ended.isUp = false;
    ended.node.dispatcher.stop();
    for (const job of ended.node.service.ownedJobs()) job.abandon();
    this.later(TAKEOVER_TIME, () => void this.takeOver());
    this.later(this.between(500, 3_000), () => this.startOwner(ended.self.node));
  }

  private async takeOver(): Promise<void> {
    const heads = await this.heads.heads();
    if (heads.kind !== 'found') return;
    for (const [job, found] of heads.value) {
      const { owner } = found.head;
      const isRun = this.owners.some(
        ({ isUp, self }) => isUp && self.incarnation === owner?.incarnation,
      );
      const next = this.owners.find(({ isUp }) => isUp);
      if (!isRun && next !== undefined) void next.node.service.takeOver(job, found);
    }
  }

  private stallOwner(): void {
    for (const owner of this.owners) {
      if (this.chance(0.5)) owner.stalledUntil = this.clock.now() + this.between(500, 3_000);
    }
  }

  private startOwner(name: string): void {
    this.lives += 1;
    const self = { node: name, incarnation: `life-${this.lives}`, address: '127.0.0.1:1' };
    const port = this.workers.portOf(() => owner.isUp);
    const node = jobNode(this.store, self, port, undefined, {
      clock: this.clock,
      isStoreUnreachable: () => false,
      routes: () => this.matcher,
    });
    const owner: Owner = { self, node, isUp: true, stalledUntil: 0 };
    for (const { record } of this.workers.workers.values()) node.registry.put(record);
    for (const crash of this.crashes) node.quarantine.applyReport(crash, this.clock.now());
    this.owners.push(owner);
  }

  private register(worker: SimulatedWorker): void {
    if (!worker.hasEnded) this.everyRegistry((node) => node.registry.put(worker.record));
  }

  private everyRegistry(act: (node: JobNode) => void): void {
    for (const { node, isUp } of this.owners) if (isUp) act(node);
  }

  private ordinaryWorkers(service: string): SimulatedWorker[] {
    return [...this.workers.workers.values()].filter(
      (worker) => worker.service === service && !ODD_MODES.includes(worker.mode),
    );
  }

  private later(delay: Milliseconds, act: () => void): void {
    this.due.push({ at: this.clock.now() + delay, act });
  }

  private chance(probability: number): boolean {
    return this.random.fraction() < probability;
  }

  private between(low: number, high: number): number {
    return low + Math.floor(this.random.fraction() * (high - low + 1));
  }
}
