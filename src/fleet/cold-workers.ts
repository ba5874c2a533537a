/**
 * One node's part in sparing cold workers: it learns which are cold, asks the granter for permits, and grants them
 * while it is the coordinator. The decisions are in `src/placement`; here they meet the fleet.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import { type Milliseconds, type Revision, SECOND } from '../core/units.js';
import { NOT_GRANTER, type PermitAnswer, type PermitRequest } from '../placement/cold-permits.js';
import type { ColdTolerance } from '../placement/cold-tolerance.js';
import { ColdWorkerRule } from '../placement/cold-worker-rule.js';
import { type GranterState, PermitGranter } from '../placement/permit-granter.js';
import { WorkerWarmth } from '../placement/worker-warmth.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { ColdStart, Service, WorkerRecord } from '../serving/traffic-configuration.js';
import { workerIncarnationOf } from '../serving/worker-incarnation.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { FENCING_TOKEN_VALIDITY } from './coordinator-lock.js';

/** Least time between two questions of this node. */
const ASK_INTERVAL: Milliseconds = 100;

/** Least time between two looks at one worker; a look is a health check, which takes the worker's time. */
const LOOK_INTERVAL: Milliseconds = 500;

/** Looks under way at once. */
const MOST_LOOKS = 8;

/**
 * Workers that one question may be about without work for them. A question about 3,000 takes 40 ms to write
 * and as long to answer, which a coordinator cannot do for hundreds of nodes that start together.
 */
const MOST_ASKED_ABOUT = 200;

/** Time between two rounds of counting and forgetting. */
const REVIEW_INTERVAL: Milliseconds = SECOND;

/** A deployment that names no tolerance wants the rate kept in every second. */
const NO_TOLERANCE: ColdTolerance = { factor: 1, requests: 0 };

/** Options of {@link ColdWorkers}. */
export interface ColdWorkersOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly tolerance: ColdTolerance | undefined;
  readonly registry: () => WorkerRegistry;
  readonly services: () => readonly Service[];
  /** The node that coordinates, as far as this one knows. */
  readonly coordinator: () => NodeId | undefined;
  readonly fencingToken: () => Revision | undefined;
  /** Asks another node; `undefined` where no answer came in time. */
  readonly ask: (
    node: NodeId,
    wishes: readonly PermitRequest[],
  ) => Promise<PermitAnswer | undefined>;
  /** Asks a worker how long it stays cold. */
  readonly coldTimeOf: (worker: WorkerRecord) => Promise<Milliseconds | undefined>;
  /** Whether this node is out of touch with the store, and may miss what the operator does. */
  readonly isCutOff: () => boolean;
  /** Called when some worker may be sent more than before. */
  readonly freed: () => void;
}

/** Knows cold workers, and gets and grants permits for them. */
export class ColdWorkers {
  /** Holds for all that this node sends. */
  readonly rule: ColdWorkerRule;
  private readonly warmth: WorkerWarmth;
  private readonly granter: PermitGranter;
  private granterState: GranterState = 'none';
  private askTimer: NodeJS.Timeout | undefined;
  private isAsking = false;
  private isListed = false;
  /** Whether a granter has told of the workers that were there before this node. */
  private isInformed = false;
  /** Place of the worker that the next question without work begins with. */
  private nextAskedAbout = 0;
  private nextAskAt: Milliseconds = 0;
  private nextReviewAt: Milliseconds = 0;
  private looksUnderWay = 0;
  private readonly nextLookAt = new Map<string, Milliseconds>();

  constructor(private readonly options: ColdWorkersOptions) {
    const { clock, metrics, tolerance = NO_TOLERANCE, fencingToken, registry } = options;
    this.warmth = new WorkerWarmth(clock);
    const coldStartOf = (name: string): ColdStart | undefined => this.coldStartOf(name);
    const shared = { clock, metrics, warmth: this.warmth, coldStartOf };
    this.rule = new ColdWorkerRule({ ...shared, onPermitsNeeded: () => this.askSoon() });
    this.granter = new PermitGranter({
      ...shared,
      tolerance,
      fencingToken,
      tokenValidity: FENCING_TOKEN_VALIDITY,
      workerOf: (id) => registry().get(id)?.record,
      probe: (worker) => this.lookSoon(worker),
    });
  }

  /** Takes in a worker's record, new or changed. */
  noteRecord(record: WorkerRecord): void {
    this.warmth.noteRecord(record);
  }

  /** All workers that were there before this node have been told. */
  noteListed(): void {
    this.isListed = true;
    this.warmth.noteListed();
  }

  /** A zone is sent work again; its workers may have turned cold meanwhile. */
  noteReturned(zone: ZoneName): void {
    const workers = this.coldStarters().filter((worker) => worker.zone === zone);
    for (const worker of workers) this.warmth.markUnconfirmed(worker);
    if (workers.length === 0) return;
    this.options.log.state('workers-doubted', { workerZone: zone, workers: workers.length });
  }

  /** Answers another node's wishes. */
  answer(wishes: readonly PermitRequest[]): PermitAnswer {
    const answer = this.granter.answer(wishes);
    if (answer.term === undefined) return NOT_GRANTER;
    const wanted = wishes.reduce((sum, { permits }) => sum + permits, 0);
    const granted = answer.grants.reduce((sum, { permits }) => sum + permits, 0);
    const { metrics } = this.options;
    metrics.count('cold_permits', { state: 'granted' }, granted);
    metrics.count('cold_permits', { state: 'refused' }, wanted - granted);
    return answer;
  }

  /** Regular work. */
  tick(): void {
    const now = this.options.clock.now();
    const isReviewDue = now >= this.nextReviewAt;
    if (isReviewDue) this.review(now);
    if (!this.options.services().some(({ coldStart }) => coldStart !== undefined)) return;
    this.followGranter();
    // Before callers come, if possible: what is not known to be warm is not sent their requests.
    const isNew = this.isListed && !this.isInformed && now >= this.nextAskAt;
    const asksAtStart = isNew && this.isFleetSmall;
    if (asksAtStart || (isReviewDue && this.options.isCutOff())) void this.askAboutSome();
  }

  private followGranter(): void {
    const { log, metrics } = this.options;
    const state = this.granter.observe();
    if (state === this.granterState) return;
    this.granterState = state;
    log.state('cold-permits-granter', { state });
    metrics.set('grants_cold_permits', state === 'open' ? 1 : 0);
  }

  /** Forgets what is over, and counts; also where no service has a cold start, as one may get it. */
  private review(now: Milliseconds): void {
    const { registry, metrics } = this.options;
    this.nextReviewAt = now + REVIEW_INTERVAL;
    const isKnown = (id: string): boolean => registry().get(id) !== undefined;
    this.warmth.retain(isKnown);
    this.granter.prune();
    this.rule.prune();
    for (const [id, at] of this.nextLookAt) if (at < now) this.nextLookAt.delete(id);
    metrics.set('cold_workers', this.coldStarters().filter((one) => this.needsPermit(one)).length);
  }

  private needsPermit(worker: WorkerRecord): boolean {
    const coldStart = this.coldStartOf(worker.service);
    return coldStart !== undefined && this.warmth.of(worker, coldStart).kind !== 'warm';
  }

  private isDoubtful(worker: WorkerRecord): boolean {
    const coldStart = this.coldStartOf(worker.service);
    return coldStart !== undefined && this.warmth.of(worker, coldStart).kind === 'doubtful';
  }

  private coldStartOf(service: string): ColdStart | undefined {
    return this.options.services().find(({ name }) => name === service)?.coldStart;
  }

  /** Workers of services that have a cold start. */
  private coldStarters(): WorkerRecord[] {
    const workers = this.options.registry().all();
    const isStarter = ({ service }: WorkerRecord): boolean =>
      this.coldStartOf(service) !== undefined;
    return workers.map(({ record }) => record).filter(isStarter);
  }

  /** All that one turn wishes for goes in one question. */
  private askSoon(): void {
    if (this.askTimer !== undefined || this.isAsking) return;
    const pause = Math.max(0, this.nextAskAt - this.options.clock.now());
    this.askTimer = setTimeout(() => {
      this.askTimer = undefined;
      void this.ask(this.rule.takeRequests());
    }, pause);
    this.askTimer.unref();
  }

  /**
   * Whether one question may be about all workers; in a larger fleet work for them brings the questions.
   * Looked at in each tick, so workers are counted without a look at their services.
   */
  private get isFleetSmall(): boolean {
    return this.options.registry().all().length <= MOST_ASKED_ABOUT;
  }

  /**
   * Without permits: what a node that has just started, or is out of touch with the store, may have missed.
   * All workers take their turn, so many in each question.
   */
  private askAboutSome(): Promise<void> {
    const workers = this.coldStarters();
    if (this.isAsking || workers.length === 0) return Promise.resolve();
    const first = this.nextAskedAbout % workers.length;
    const inTurn = [...workers.slice(first), ...workers.slice(0, first)];
    this.nextAskedAbout = first + MOST_ASKED_ABOUT;
    const wishes = inTurn.slice(0, MOST_ASKED_ABOUT).map((worker) => ({
      worker: worker.id,
      life: workerIncarnationOf(worker),
      permits: 0,
      doubtAge: undefined,
    }));
    return this.ask(wishes);
  }

  private async ask(wishes: readonly PermitRequest[]): Promise<void> {
    const { clock, registry, freed } = this.options;
    if (wishes.length === 0 || this.isAsking) return;
    this.isAsking = true;
    this.nextAskAt = clock.now() + ASK_INTERVAL;
    const sentAt = suspendAwareTime(clock);
    const answer = await this.answerOfGranter(wishes);
    this.isAsking = false;
    // What was wished for meanwhile found no timer to wait for.
    if (this.rule.hasRequests) this.askSoon();
    if (answer?.term === undefined) this.lookWithoutGranter(wishes);
    if (answer === undefined) return;
    this.isInformed ||= answer.term !== undefined;
    const isAnyFree = this.rule.applyAnswer(answer, sentAt, (id) => registry().get(id)?.record);
    if (isAnyFree) freed();
  }

  private async answerOfGranter(
    wishes: readonly PermitRequest[],
  ): Promise<PermitAnswer | undefined> {
    const { self, coordinator, ask } = this.options;
    const granter = coordinator();
    if (granter === undefined) return undefined;
    return granter === self ? this.answer(wishes) : ask(granter, wishes);
  }

  /**
   * Without a granter nobody tells that a doubtful worker is warm, as after a start of all gateways: this
   * node looks itself at those that it would send work to.
   */
  private lookWithoutGranter(wishes: readonly PermitRequest[]): void {
    for (const { worker, permits } of wishes) {
      const record = this.options.registry().get(worker)?.record;
      if (permits > 0 && record !== undefined && this.isDoubtful(record)) this.lookSoon(record);
    }
  }

  private lookSoon(worker: WorkerRecord): void {
    const now = this.options.clock.now();
    if (this.looksUnderWay >= MOST_LOOKS || now < (this.nextLookAt.get(worker.id) ?? 0)) return;
    this.nextLookAt.set(worker.id, now + LOOK_INTERVAL);
    this.looksUnderWay += 1;
    void this.look(worker).finally(() => {
      this.looksUnderWay -= 1;
    });
  }

  private async look(worker: WorkerRecord): Promise<void> {
    const { clock, log, metrics, coldTimeOf } = this.options;
    const askedAt = clock.now();
    const coldFor = await coldTimeOf(worker);
    const found = coldFor === undefined ? 'unknown' : coldFor > 0 ? 'cold' : 'warm';
    metrics.count('warmth_looks', { found });
    if (coldFor === undefined) return;
    this.warmth.noteReported(worker, coldFor, askedAt);
    if (coldFor === 0) this.options.freed();
    log.state('worker-warmth-told', { worker: worker.id, workerZone: worker.zone, coldFor });
  }
}
