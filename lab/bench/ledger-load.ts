/**
 * Load of rollout steps on a fleet: each sample's body is stored, then its entry is appended to
 * a page of the step's delivery log, both by the first living member of the step's group.
 */
import { contentDigest } from '../../src/core/hashing.js';
import { type FleetNode, type LedgerFleet, nodeOf } from './ledger-fleet.js';

/** Characters of one result body. */
const BODY_CHARACTERS = 1_000;
const STEP_SAMPLES = 64;
const OPERATION_TIMEOUT_MILLISECONDS = 5_000;

interface PageEntry {
  readonly sample: string;
  readonly digest: string;
  readonly attempt: number;
}

/** Shape of the load. */
export interface LoadOptions {
  /** Trainers drawing at once. */
  readonly trainers: number;
  /** Samples a second of each trainer. */
  readonly rate: number;
  /** Entries of one page of a delivery log. */
  readonly pageEntries: number;
}

/** One trainer that draws step after step at a steady rate. */
class StepSource {
  readonly #fleet: LedgerFleet;
  readonly #load: LedgerLoad;
  readonly #name: string;
  #samples = 0;

  constructor(fleet: LedgerFleet, load: LedgerLoad, name: string) {
    const interval = 1_000 / load.options.rate;
    this.#fleet = fleet;
    this.#load = load;
    this.#name = name;
    fleet.queue.after(fleet.random.fraction() * interval, () => this.#next(interval));
  }

  #next(interval: number): void {
    this.#fleet.queue.after(interval, () => this.#next(interval));
    const step = `${this.#name}-${Math.floor(this.#samples / STEP_SAMPLES)}`;
    const place = this.#samples % STEP_SAMPLES;
    this.#samples += 1;
    const driver = this.#driverOf(step);
    if (driver === undefined) return;
    const sample = `sample-${place}`;
    const body = `${step} ${sample} `.padEnd(BODY_CHARACTERS, 'word ');
    this.#store(driver, step, place, sample, body);
    if (place === 0) this.#removeBefore(driver, this.#samples);
  }

  #driverOf(step: string): FleetNode | undefined {
    const anyNode = this.#fleet.nodes.find((node) => node.isUp);
    const members = anyNode?.ledger.groupFor(this.#fleet.domain, step)?.members ?? [];
    return members.flatMap((member) => nodeOf(this.#fleet, member) ?? [])[0];
  }

  #store(driver: FleetNode, step: string, place: number, sample: string, body: string): void {
    const { domain, queue } = this.#fleet;
    const startedAt = queue.now;
    const digest = contentDigest(body);
    const deadline = startedAt + OPERATION_TIMEOUT_MILLISECONDS;
    const request = { domain, shardKey: step, deadline };
    this.#fleet.operate(
      driver,
      (operationId, ledger) =>
        ledger.storeBody({ ...request, operationId, body, digest }, startedAt),
      (outcome) => {
        if (outcome.kind !== 'stored') return;
        this.#append(driver, step, place, { sample, digest, attempt: 1 }, startedAt);
      },
    );
  }

  #append(
    driver: FleetNode,
    step: string,
    place: number,
    entry: PageEntry,
    startedAt: number,
  ): void {
    const { domain, queue } = this.#fleet;
    const key = `page/${step}/${Math.floor(place / this.#load.options.pageEntries)}`;
    const deadline = queue.now + OPERATION_TIMEOUT_MILLISECONDS;
    const apply = (current: unknown) => {
      const page = (current ?? []) as readonly PageEntry[];
      if (page.some(({ sample }) => sample === entry.sample)) return { kind: 'keep' } as const;
      return { kind: 'write', value: [...page, entry] } as const;
    };
    const request = { domain, shardKey: step, key, apply, deadline };
    this.#fleet.operate(
      driver,
      (operationId, ledger) => ledger.change({ ...request, operationId }, queue.now),
      (outcome) => {
        if (outcome.kind === 'changed') this.#load.committed(queue.now - startedAt);
      },
    );
  }

  /** Removes what the step before the last one left. */
  #removeBefore(driver: FleetNode, samples: number): void {
    const past = Math.floor((samples - 1) / STEP_SAMPLES) - 2;
    if (past < 0) return;
    const step = `${this.#name}-${past}`;
    const { domain, queue } = this.#fleet;
    const remover = this.#driverOf(step) ?? driver;
    this.#fleet.operate(
      remover,
      (_, ledger) => [
        ...ledger.removeKeys(domain, step, `page/${step}/`, queue.now),
        ...ledger.removeBodies(domain, step, null, queue.now),
      ],
      () => {},
    );
  }
}

/** Steps on a fleet; counts samples that were committed, with their times. */
export class LedgerLoad {
  samples = 0;
  latencies: number[] = [];

  readonly options: LoadOptions;

  constructor(fleet: LedgerFleet, options: LoadOptions) {
    this.options = options;
    for (let trainer = 0; trainer < options.trainers; trainer += 1) {
      new StepSource(fleet, this, `step-${trainer}`);
    }
  }

  /** Notes a committed sample and the milliseconds it took. */
  committed(latency: number): void {
    this.samples += 1;
    this.latencies.push(latency);
  }

  /** Forgets what was counted so far. */
  reset(): void {
    this.samples = 0;
    this.latencies = [];
  }
}
