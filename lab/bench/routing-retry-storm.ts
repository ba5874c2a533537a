/**
 * The retry storm experiment: a zone's engines fail for 20 s while the others are nearly full.
 * Attempts over requests with a retry budget and without, on the project's own router, admission,
 * backoff and health by outcome.
 */
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import { backoffDelay } from '../../src/routing/backoff.js';
import { HomeAdmission } from '../../src/routing/home-admission.js';
import { RetryBudget } from '../../src/routing/retry-budget.js';
import { Router } from '../../src/routing/router.js';
import { createRoutingPolicies } from '../../src/routing/routing-policies.js';
import type { WorkerDirectory } from '../../src/routing/worker-directory.js';
import { Fleet, MODEL, makeNode, makeRequest, makeWorker } from './routing-fixtures.js';

/** What was measured in one run, over the time of the failure. */
export interface RetryStormFigure {
  readonly budget: boolean;
  readonly requests: number;
  readonly attempts: number;
  readonly attemptsPerRequest: number;
  readonly peakAttemptsPerRequest: number;
  readonly succeeded: number;
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const STEP = 50;
const FAILURE_START = 10_000;
const FAILURE_END = 30_000;
const SERVICE_TIME = 1_000;
const FAILING_TIME = 100;
const REQUESTS_PER_STEP = 4;
const MAXIMUM_ATTEMPTS = 8;

/** One request on its way; `attempt` counts the attempts made. */
interface Call {
  readonly id: number;
  attempt: number;
}

interface Timed {
  readonly at: number;
  readonly act: () => void;
}

class RetryStorm {
  readonly #random: RandomSource;
  readonly #admission = new HomeAdmission();
  readonly #budget: RetryBudget | undefined;
  readonly #router: Router;
  readonly #fleet: Fleet;
  readonly #directory: WorkerDirectory;
  readonly #starting = new Map<string, () => void>();
  readonly #requestsBySecond = new Map<number, number>();
  readonly #attemptsBySecond = new Map<number, number>();
  #timed: Timed[] = [];
  #succeeded = 0;
  #nextCall = 0;

  constructor(
    seed: number,
    readonly withBudget: boolean,
  ) {
    this.#random = createRandomSource(seed);
    this.#budget = withBudget ? new RetryBudget({}, 0) : undefined;
    const policy = createRoutingPolicies().create('home-counting', this.#random);
    this.#router = new Router({ policy, random: this.#random });
    const workers = ZONES.flatMap((zone) =>
      Array.from({ length: 4 }, (_, at) => makeWorker(`${zone}-${at}`, zone)),
    );
    const nodes = ZONES.map((zone) => makeNode(`${zone}-node`, zone));
    this.#fleet = new Fleet(nodes, workers);
    this.#directory = this.#fleet.directory('zone-b-node');
  }

  run(): RetryStormFigure {
    const start = this.#fleet.now;
    while (this.#fleet.now < FAILURE_END) {
      this.#fleet.run(STEP);
      const due = this.#timed.filter((entry) => entry.at <= this.#fleet.now);
      this.#timed = this.#timed.filter((entry) => entry.at > this.#fleet.now);
      for (const entry of due) entry.act();
      if (this.#fleet.now > start) this.#arrive();
    }
    return this.#figure();
  }

  get #isFailing(): boolean {
    return this.#fleet.now >= FAILURE_START;
  }

  #arrive(): void {
    for (let at = 0; at < REQUESTS_PER_STEP; at += 1) {
      this.#nextCall += 1;
      this.#budget?.recordFirstAttempt(this.#fleet.now);
      this.#count(this.#requestsBySecond);
      this.#attempt({ id: this.#nextCall, attempt: 0 });
    }
  }

  #attempt(call: Call): void {
    const now = this.#fleet.now;
    call.attempt += 1;
    this.#count(this.#attemptsBySecond);
    const request = makeRequest({ promptGroup: `group-${call.id % 64}` });
    const candidates = this.#directory.candidates(MODEL, ZONES);
    const context = { zones: ZONES, candidates, newestVersion: 1, exclude: new Set<string>(), now };
    const decision = this.#router.choose(request, context);
    if (decision.kind === 'refused') {
      this.#retry(call);
      return;
    }
    this.#directory.recordDispatch(decision.candidate.record.worker, now);
    const { record } = decision.candidate;
    const dispatchId = `${call.id}/${call.attempt}`;
    const result = this.#admission.admit({ dispatchId, request, worker: record }, now);
    this.#tellCounts(record.worker);
    const start = (): void => this.#serve(call, dispatchId, record.worker, record.zone);
    if (result.kind === 'refused') this.#retry(call);
    else if (result.kind === 'queued') this.#starting.set(dispatchId, start);
    else start();
  }

  #serve(call: Call, dispatchId: string, worker: string, zone: string): void {
    const fails = this.#isFailing && zone === 'zone-a';
    this.#after(fails ? FAILING_TIME : SERVICE_TIME, () => {
      const now = this.#fleet.now;
      const outcome = fails ? 'failed' : 'succeeded';
      for (const one of this.#fleet.directories.values()) one.recordOutcome(worker, outcome, now);
      for (const started of this.#admission.release(dispatchId, now)) {
        this.#starting.get(started)?.();
        this.#starting.delete(started);
      }
      this.#tellCounts(worker);
      if (fails) this.#retry(call);
      else if (this.#isFailing) this.#succeeded += 1;
    });
  }

  #retry(call: Call): void {
    if (call.attempt >= MAXIMUM_ATTEMPTS) return;
    if (this.#budget !== undefined && !this.#budget.tryRetry(this.#fleet.now)) return;
    this.#after(backoffDelay(call.attempt - 1, this.#random), () => this.#attempt(call));
  }

  #after(delay: number, act: () => void): void {
    this.#timed.push({ at: this.#fleet.now + delay, act });
  }

  #tellCounts(worker: string): void {
    const record = this.#directory.worker(worker);
    const home = this.#directory.homeOf(worker);
    if (record === undefined || home === undefined) return;
    const counts = this.#admission.counts(record);
    this.#fleet.directory(home.node).setOutstanding(worker, counts, this.#fleet.now);
  }

  #count(counts: Map<number, number>): void {
    const second = Math.floor(this.#fleet.now / 1_000);
    counts.set(second, (counts.get(second) ?? 0) + 1);
  }

  #figure(): RetryStormFigure {
    const seconds = [...this.#requestsBySecond.keys()].filter((at) => at * 1_000 >= FAILURE_START);
    const sum = (counts: ReadonlyMap<number, number>): number =>
      seconds.reduce((total, second) => total + (counts.get(second) ?? 0), 0);
    const ratioAt = (second: number): number =>
      (this.#attemptsBySecond.get(second) ?? 0) / (this.#requestsBySecond.get(second) ?? 1);
    const requests = sum(this.#requestsBySecond);
    const attempts = sum(this.#attemptsBySecond);
    return {
      budget: this.withBudget,
      requests,
      attempts,
      attemptsPerRequest: Number((attempts / requests).toFixed(3)),
      peakAttemptsPerRequest: Number(Math.max(...seconds.map(ratioAt)).toFixed(3)),
      succeeded: this.#succeeded,
    };
  }
}

/** Runs the experiment once. */
export function measureRetryStorm(seed: number, withBudget: boolean): RetryStormFigure {
  return new RetryStorm(seed, withBudget).run();
}
