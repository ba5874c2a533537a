/**
 * Three nodes with the product's own job modules over one store in memory, and the faults that may
 * meet them: lost and late answers, a store that refuses, nodes that restart without memory or are
 * wrongly taken for gone; and workers that give scores, with faults of their own. Nothing waits for
 * real time.
 */

import type { Failure } from '../../../src/errors/error-kinds.js';
import { ItemDispatcher } from '../../../src/jobs/item-dispatcher.js';
import { JobReader } from '../../../src/jobs/job-reader.js';
import { JobService } from '../../../src/jobs/job-service.js';
import { JobStore } from '../../../src/jobs/job-store.js';
import { OwnedJob } from '../../../src/jobs/owned-job.js';
import type { Clock } from '../../../src/serving/clock.js';
import { RequestQuarantine } from '../../../src/serving/request-quarantine.js';
import type { RouteMatcher } from '../../../src/serving/route-matcher.js';
import { WorkerRegistry } from '../../../src/serving/worker-registry.js';
import type { SharedStore } from '../../../src/shared-store/shared-store.js';
import { DecisionLog } from '../../../src/telemetry/decision-log.js';
import { FleetMetrics } from '../../../src/telemetry/fleet-metrics.js';
import { UNRESTRICTED } from '../../../src/tenants/tenant.js';
import { NO_PEERS } from '../../common/no-peers.js';
import { type LostAnswer, SharedStoreEmulator } from '../../emulator/shared-store-emulator.js';
import { JobOracle, scoreRequestOf } from './job-oracle.js';
import type { JobMechanism } from './mechanisms.js';
import { ScoreDesk, type ScoreTrouble } from './score-desk.js';
import { forgetsWholeTexts, pagesApart, tellsWholeTexts, unconditional } from './store-trials.js';
import { JOBS, jobName, SCORE_WORKER, specificationOf, WORLD_ROUTES } from './world-jobs.js';

/** Nodes of the world. */
export const NODES = 3;

/** Turns of the event loop in which what is under way goes on. */
const SETTLE_TURNS = 24;

/** Time that passes with each step; heads then count as unconfirmed. */
const STEP_TIME = 3_000;

/** Repetitions of a commit that a caller of a refusing store waits for. */
const PATIENCE = 3;

class WorldClock implements Clock {
  time = 1_000_000;
  now(): number {
    return this.time;
  }
  suspendedTime(): number {
    return 0;
  }
  wallTime(): number {
    return this.time;
  }
  sleep(): Promise<void> {
    return nextTurn();
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

interface WorldNode {
  readonly name: string;
  life: number;
  service: JobService;
  dispatcher: ItemDispatcher;
}

/** The world of one run. */
export class JobWorld {
  readonly oracle = new JobOracle();
  private readonly emulator = new SharedStoreEmulator();
  private readonly clock = new WorldClock();
  private readonly nodes: WorldNode[] = [];
  private readonly store: SharedStore;
  private readonly scoreDesk: ScoreDesk;
  private isUp = true;
  private runs = 0;
  private readonly frozen = new Set<number>();
  /** Jobs that lost owners go on with, where that is on trial. */
  private readonly revived = new Map<string, OwnedJob>();

  constructor(private readonly without: ReadonlySet<JobMechanism>) {
    this.store = without.has('conditional-commit') ? unconditional(this.emulator) : this.emulator;
    if (without.has('one-commit-a-page')) this.store = pagesApart(this.store);
    if (without.has('whole-texts-kept')) this.store = forgetsWholeTexts(this.store);
    this.store = tellsWholeTexts(this.store, (job, item) => this.oracle.textKept(job, item));
    this.scoreDesk = new ScoreDesk(this.oracle, !without.has('answers-matched-by-id'));
    for (let index = 0; index < NODES; index += 1) {
      const name = `node-${index}`;
      this.nodes.push({ name, life: 1, ...this.makeService(name, 1) });
    }
  }

  /** Hands a job in at a node; the answer is judged when it comes. */
  submit(node: number, job: number): void {
    if (this.frozen.has(node)) return;
    const spec = specificationOf(job, this.clock.time);
    const { service } = this.node(node);
    if (this.without.has('stored-before-accepted')) this.oracle.submitted(spec.id, 'accepted');
    let tries = 0;
    const wanted = (): boolean => ++tries <= PATIENCE;
    void service.submit(spec, wanted).then((reason) => this.judgeSubmission(spec.id, reason));
  }

  /** The text of an item is made at the node that runs its job; each run makes another one. */
  finish(node: number, job: number, item: number): void {
    if (this.frozen.has(node)) return;
    const owned = this.ownedBy(node, job);
    const entry = owned?.isOpen === true ? owned.items.get(`item-${item}`) : undefined;
    if (owned === undefined || entry === undefined) return;
    if (entry.state !== 'waiting') return;
    this.runs += 1;
    const { id } = entry.item;
    this.oracle.textBegun(owned.spec.id, id);
    if (this.without.has('score-after-text')) this.askEarly(scoreRequestOf(owned.spec.id, id));
    entry.progress.reset();
    entry.progress.beginRun(1);
    const data = `run ${this.runs}`;
    entry.progress.add({ id: 0, data, weightVersion: 1, raw: Buffer.from(data) });
    this.oracle.textWhole(owned.spec.id, id);
    owned.completeText(entry);
  }

  /** Something happens to the next request for a score. */
  troubleScore(kind: ScoreTrouble): void {
    this.scoreDesk.trouble(kind);
  }

  private askEarly(requestId: string): void {
    void this.scoreDesk.send({ requestId });
  }

  /** A node stands still: it does nothing and learns nothing until it wakes. */
  freeze(node: number): void {
    this.frozen.add(node);
  }

  /** A node goes on as if no time had passed. */
  wake(node: number): void {
    this.frozen.delete(node);
  }

  /**
   * A node is frozen while another takes its job over and lists a result that is read; it wakes, and
   * a trainer goes on reading there.
   */
  async overtake(node: number, job: number, item: number): Promise<void> {
    const other = (node + 1) % NODES;
    const position = this.ownedBy(node, job)?.results.length ?? 0;
    this.freeze(node);
    await this.adopt(other, job);
    await this.settle();
    this.finish(other, job, item);
    this.work(other);
    await this.settle();
    await this.read(other, job, 0);
    this.wake(node);
    await this.read(node, job, position);
  }

  /** A node does its regular work. */
  work(node: number): void {
    if (this.frozen.has(node)) return;
    this.node(node).service.tick();
    this.node(node).dispatcher.tick();
    for (const job of this.revived.values()) job.listOrVerify();
  }

  /** A node takes a job for its owner's being gone, rightly or not. */
  async adopt(node: number, job: number): Promise<void> {
    if (this.frozen.has(node)) return;
    const store = new JobStore(this.store, this.clock);
    const read = await store.head(jobName(job));
    if (read.kind !== 'found' || read.value.head.ended) return;
    if (read.value.head.listed >= read.value.head.total) return;
    void this.node(node).service.takeOver(jobName(job), read.value);
  }

  /** A trainer ends a job at a node. */
  end(node: number, job: number): void {
    if (this.frozen.has(node)) return;
    void this.node(node).service.cancel(jobName(job), UNRESTRICTED, () => false);
  }

  /** A trainer reads a job at a node; judged only while the store answers. */
  async read(node: number, job: number, from: number): Promise<void> {
    if (!this.isUp || this.frozen.has(node)) return;
    const owned = this.ownedBy(node, job);
    const isBlind = this.without.has('read-verification') && owned?.isOpen === true;
    const answer = isBlind
      ? { results: owned.results.slice(from) }
      : await this.node(node).service.read(jobName(job), from, 0, UNRESTRICTED);
    if ('results' in answer) this.oracle.read(jobName(job), from, answer.results);
    else if (answer.kind === 'not_found') this.oracle.notFound(jobName(job));
  }

  /** A node dies and comes back without memory. */
  restart(node: number): void {
    const dead = this.node(node);
    for (const job of dead.service.ownedJobs()) job.abandon();
    dead.life += 1;
    dead.dispatcher.stop();
    Object.assign(dead, this.makeService(dead.name, dead.life));
  }

  /** The store refuses everything, or answers again. */
  setStore(isUp: boolean): void {
    this.isUp = isUp;
    this.emulator.setAvailability(isUp ? 'up' : 'refusing');
  }

  /** The next commit's answer is lost. */
  loseAnswer(kind: LostAnswer): void {
    this.emulator.loseAnswers(kind);
  }

  /** What was held back is carried out. */
  applyLate(): void {
    this.emulator.applyLateCommits();
  }

  /** What is under way goes on, and time passes. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await nextTurn();
    this.clock.time += STEP_TIME;
    if (this.without.has('superseded-owner-stops')) this.reviveSuperseded();
  }

  /** The last look: everything is up, and every job is read whole at every node. */
  async close(): Promise<void> {
    this.setStore(true);
    this.frozen.clear();
    this.applyLate();
    for (let node = 0; node < NODES; node += 1) this.work(node);
    await this.settle();
    for (let node = 0; node < NODES; node += 1) {
      for (let job = 0; job < JOBS; job += 1) await this.read(node, job, 0);
    }
    for (let node = 0; node < NODES; node += 1) this.restart(node);
  }

  private judgeSubmission(job: string, reason: Failure | undefined): void {
    if (reason === undefined) this.oracle.submitted(job, 'accepted');
    else this.oracle.submitted(job, reason.kind === 'outcome_unknown' ? 'unknown' : 'refused');
  }

  /** Without the mechanism, an owner that lost its job goes on from the newer head. */
  private reviveSuperseded(): void {
    for (const { name, life, service } of this.nodes) {
      for (const lost of [...service.ownedJobs(), ...this.revived.values()]) {
        if (lost.closeReason !== 'superseded' || lost.head === undefined) continue;
        const rule = { minVersion: 1, singleVersion: false };
        const self = { node: name, incarnation: `life-${life}`, address: name };
        const store = new JobStore(this.store, this.clock);
        const { spec, head, results } = lost;
        const job = new OwnedJob(spec, head, results, rule, self, store, this.clock);
        this.revived.set(`${name}/${spec.id}`, job);
      }
    }
  }

  private ownedBy(node: number, job: number): OwnedJob | undefined {
    const { name, service } = this.node(node);
    const revived = this.revived.get(`${name}/${jobName(job)}`);
    if (revived !== undefined) return revived;
    return service.ownedJobs().find((owned) => owned.spec.id === jobName(job));
  }

  private node(index: number): WorldNode {
    const node = this.nodes[index % NODES];
    if (node === undefined) throw new Error('no such node');
    return node;
  }

  private makeService(name: string, life: number): Pick<WorldNode, 'service' | 'dispatcher'> {
    const { clock } = this;
    const log = new DecisionLog({ node: name, zone: 'zone', clock, destination: { write() {} } });
    const metrics = new FleetMetrics();
    const routes = (): RouteMatcher => WORLD_ROUTES;
    const registry = new WorkerRegistry();
    registry.put(SCORE_WORKER);
    const store = new JobStore(this.store, clock);
    const dispatcher = new ItemDispatcher({
      engine: this.scoreDesk,
      versionField: 'version',
      registry,
      quarantine: new RequestQuarantine({
        probeLiveness: () => this.scoreDesk.probeLiveness(),
        reportCrash: () => {},
        reportAcquittal: () => {},
        ...{ clock, log, metrics },
      }),
      isStoreUnreachable: () => false,
      zone: 'zone',
      clock,
      log,
      metrics,
      routes,
    });
    const service = new JobService({
      store,
      reader: new JobReader(store, NO_PEERS.ownerListing),
      peers: NO_PEERS,
      dispatcher,
      zone: 'zone',
      clock,
      log,
      metrics,
      self: { node: name, incarnation: `life-${life}`, address: name },
      routes,
      retention: () => 1e9,
    });
    return { service, dispatcher };
  }
}
