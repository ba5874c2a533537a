/** Interactive requests in simulated time: arrivals, routing, and how long each took. */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { EngineEvent } from '../../src/platform/worker.js';
import type { EventQueue } from '../simulation/event-queue.js';
import type { CandidateTable, TableCandidate } from './candidate-table.js';

const RETRY_PAUSE: Milliseconds = 200;

/** Settings of {@link InteractiveLoad}. */
export interface InteractiveLoadOptions {
  readonly name: string;
  readonly model: string;
  readonly table: CandidateTable;
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly requestsPerSecond: number;
  readonly tokens: number;
  /** One-way time from the client to a worker. */
  readonly latency: Milliseconds;
}

interface Lookup {
  readonly request: GenerationRequest;
  readonly arrivedAt: Milliseconds;
  candidate: TableCandidate | undefined;
}

/** A stream of lookups with exponential times between them. */
export class InteractiveLoad {
  /** Time from the client's question to its answer, in milliseconds, by order of completion. */
  readonly durations: Milliseconds[] = [];
  private readonly lookups = new Map<string, Lookup>();
  private count = 0;

  constructor(private readonly options: InteractiveLoadOptions) {
    this.scheduleNext();
  }

  /** Takes in what an engine says; false where the dispatch is not one of these lookups. */
  engineEvent(dispatchId: string, event: EngineEvent): boolean {
    const lookup = this.lookups.get(dispatchId);
    if (lookup === undefined) return false;
    if (event.kind === 'segment') return true;
    this.lookups.delete(dispatchId);
    if (lookup.candidate !== undefined) lookup.candidate.outstanding -= 1;
    if (event.kind === 'failed') this.retry(lookup);
    else this.durations.push(this.options.queue.now - lookup.arrivedAt + this.options.latency);
    return true;
  }

  private scheduleNext(): void {
    const { queue, random, requestsPerSecond } = this.options;
    const pause = (-Math.log(1 - random.fraction()) * 1_000) / requestsPerSecond;
    queue.after(pause, () => {
      this.dispatch({ request: this.newRequest(), arrivedAt: queue.now, candidate: undefined });
      this.scheduleNext();
    });
  }

  private newRequest(): GenerationRequest {
    this.count += 1;
    const { name, model, tokens, random } = this.options;
    const promptGroup = `lookup-${random.integer(50)}`;
    return {
      requestId: `${name}-${this.count}`,
      account: 'clerk',
      intent: name,
      model,
      trafficClass: 'interactive',
      prompt: promptGroup.padEnd(400, ' '),
      maxTokens: tokens,
      samplingSeed: this.count,
      repeatable: true,
      oldestVersion: 0,
      promptGroup,
    };
  }

  private dispatch(lookup: Lookup): void {
    const candidate = this.options.table.choose(lookup.request, () => true);
    if (candidate === undefined) {
      this.retry(lookup);
      return;
    }
    candidate.outstanding += 1;
    lookup.candidate = candidate;
    this.count += 1;
    const dispatchId = `${lookup.request.requestId}/${this.count}`;
    this.lookups.set(dispatchId, lookup);
    this.options.queue.after(this.options.latency, () => {
      if (candidate.host.start(dispatchId, lookup.request, undefined) === 'accepted') return;
      this.lookups.delete(dispatchId);
      candidate.outstanding -= 1;
      this.retry(lookup);
    });
  }

  private retry(lookup: Lookup): void {
    this.options.queue.after(RETRY_PAUSE, () => this.dispatch(lookup));
  }
}
