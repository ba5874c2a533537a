/**
 * Stores the results of a step on a majority of its replicas. Where one is refused, because the
 * ledger is full or out of reach, the others wait: one is tried again at a time, and twice as many
 * after each success, so that a full ledger isn't flooded by all that is finished.
 */
import type { GenerationResult } from '../core/generation.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import type { DeliveryEntry, StepRecord } from './records.js';
import { encodeResult } from './step-bodies.js';

/** What the owner of the keeper is told. */
export interface ResultListener {
  /** A result is stored on a majority. */
  stored(entry: DeliveryEntry, result: GenerationResult): void;
  /** The ledger has no room. */
  full(): void;
  /** A result was refused for another reason: perhaps its sample was delivered and forgotten. */
  refused(): void;
}

interface FinishedSample {
  readonly key: string;
  readonly result: GenerationResult;
}

/** Time given to one store. */
const STORE_TIMEOUT: Milliseconds = 2 * SECOND;
/** Pause after a store that was refused. */
const RETRY_PAUSE: Milliseconds = 200;

/** Results of one step on their way into the ledger. */
export class ResultKeeper {
  private waiting: FinishedSample[] = [];
  private inFlight = 0;
  private limit = Number.POSITIVE_INFINITY;
  private pausedUntil: Milliseconds = 0;
  private isFull = false;
  private over = false;

  constructor(
    private readonly node: NodePorts,
    private readonly stepKey: string,
    private readonly record: StepRecord,
    private readonly listener: ResultListener,
  ) {}

  /** Whether results wait for room, so that no further ones should be made. */
  get isBlocked(): boolean {
    return this.isFull && this.waiting.length > 0;
  }

  /** Takes in a result. */
  keep(key: string, result: GenerationResult): void {
    this.waiting.push({ key, result });
    this.storeMore();
  }

  /** These samples are in the log, whoever put them there. */
  delivered(keys: ReadonlySet<string>): void {
    if (this.waiting.length === 0) return;
    this.waiting = this.waiting.filter((sample) => !keys.has(sample.key));
  }

  /** Goes on after a pause. */
  tick(): void {
    this.storeMore();
  }

  /** Stores nothing any more, and tells of nothing. */
  stop(): void {
    this.over = true;
    this.waiting = [];
  }

  private storeMore(): void {
    while (this.mayStore()) {
      const next = this.waiting.shift();
      if (next === undefined) break;
      this.store(next);
    }
    if (this.waiting.length === 0 && this.inFlight === 0) this.limit = Number.POSITIVE_INFINITY;
  }

  private mayStore(): boolean {
    const isPaused = this.over || this.node.now() < this.pausedUntil;
    return !isPaused && this.inFlight < this.limit;
  }

  private store(sample: FinishedSample): void {
    const { key, result } = sample;
    const body = encodeResult(key, result);
    const deadline = this.node.now() + STORE_TIMEOUT;
    this.inFlight += 1;
    const { intent } = this.record;
    this.node.ledger.storeBody(intent, this.stepKey, body, deadline, (digest, outcome) => {
      this.inFlight -= 1;
      if (this.over) return;
      if (outcome.kind === 'stored') this.stored({ key, digest }, result);
      else this.refused(sample, outcome.kind === 'full');
    });
  }

  private stored(entry: DeliveryEntry, result: GenerationResult): void {
    this.limit *= 2;
    this.listener.stored(entry, result);
    this.storeMore();
  }

  private refused(sample: FinishedSample, isFull: boolean): void {
    this.waiting.push(sample);
    this.limit = 1;
    this.isFull = isFull;
    this.pausedUntil = this.node.now() + RETRY_PAUSE;
    if (isFull) this.listener.full();
    else this.listener.refused();
  }
}
