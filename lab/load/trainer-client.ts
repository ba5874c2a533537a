/**
 * A trainer over HTTP: submits steps, reads them by cursor, tells its oracle of every sample,
 * acknowledges, and goes on. Nodes that do not answer are left for others.
 */
import type { RandomSource } from '../../src/core/random.js';
import { type ClientEventSink, eventTime } from './client-events.js';
import { type JsonAnswer, requestJson } from './json-client.js';
import type { TrainerReport } from './trainer-report.js';

/** What a trainer does. */
export interface TrainerOptions {
  readonly name: string;
  readonly token: string;
  readonly model: string;
  readonly addresses: () => readonly string[];
  readonly samplesPerStep: number;
  /** How long a step is trained on before the next is drawn, in milliseconds. */
  readonly trainingTime: number;
  /** Whether the next step is drawn while one is trained on. Default false. */
  readonly drawsAhead?: boolean;
  readonly stepTimeout: number;
  readonly random: RandomSource;
  /** Is told of everything that comes of the steps. */
  readonly events: ClientEventSink;
}

interface SampleDocument {
  readonly position: number;
  readonly key: string;
  readonly text: string;
  readonly versions: readonly VersionRangeDocument[];
}

/** A weight version and the tokens it made, as answers write it. */
export interface VersionRangeDocument {
  readonly version: number;
  readonly first_token: number;
  readonly token_count: number;
}

interface PageDocument {
  readonly state: 'open' | 'complete' | 'closed';
  readonly next_cursor: number;
  readonly samples: readonly SampleDocument[];
}

interface StepSample {
  readonly key: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly seed: number;
}

const MAX_TOKENS = 400;
/** Samples that share a prompt. */
const GROUP_SIZE = 8;
const READ_WAIT_MILLISECONDS = 2_000;
const READ_LIMIT = 64;
const REQUEST_TIMEOUT_MILLISECONDS = 8_000;
const RETRY_PAUSE_MILLISECONDS = 200;

/** Draws steps until it is stopped. */
export class TrainerClient {
  private stopped = false;
  private stepNumber = 0;

  constructor(
    private readonly options: TrainerOptions,
    readonly report: TrainerReport,
  ) {}

  /** Lets the step in progress end and draws no further one. */
  stop(): void {
    this.stopped = true;
  }

  /** Draws steps; resolves once stopped and the last step has ended. */
  async run(): Promise<void> {
    const startedAt = performance.now();
    let ahead: Promise<void> | undefined;
    while (!this.stopped) {
      const waitedFrom = performance.now();
      await (ahead ?? this.drawNextStep());
      this.report.idleMilliseconds += performance.now() - waitedFrom;
      const draws = this.options.drawsAhead === true && !this.stopped;
      ahead = draws ? this.drawNextStep() : undefined;
      await pause(this.options.trainingTime);
    }
    this.report.totalMilliseconds += performance.now() - startedAt;
    await ahead;
  }

  /** Tries to submit one step once; the answer shows whether an intent allows it. */
  async trySubmit(stepId: string): Promise<JsonAnswer | undefined> {
    return this.submit(stepId, this.makeSamples(stepId), this.pickAddress());
  }

  private drawNextStep(): Promise<void> {
    this.stepNumber += 1;
    return this.drawStep(`${this.options.name}-${this.stepNumber}`);
  }

  private async drawStep(stepId: string): Promise<void> {
    const samples = this.makeSamples(stepId);
    await this.submitUntilAccepted(stepId, samples);
    this.options.events({ kind: 'step-accepted', at: eventTime(), stepId, samples: [...samples] });
    let cursor = 0;
    let state: PageDocument['state'] = 'open';
    while (state === 'open') {
      const page = await this.read(stepId, cursor);
      if (page === undefined) {
        await pause(RETRY_PAUSE_MILLISECONDS);
        continue;
      }
      for (const sample of page.samples) this.tell('sample', stepId, sample);
      state = page.state;
      if (page.next_cursor > cursor) {
        cursor = page.next_cursor;
        await this.acknowledge(stepId, cursor);
      }
    }
    this.options.events({ kind: 'step-over', at: eventTime(), stepId, state });
    if (cursor > 0) await this.readAgain(stepId);
  }

  private makeSamples(stepId: string): readonly StepSample[] {
    return Array.from({ length: this.options.samplesPerStep }, (_unused, index) => {
      const group = Math.floor(index / GROUP_SIZE);
      return {
        key: `s${index}`,
        prompt: `step ${stepId} clause ${group}: summarize for the guidance`,
        max_tokens: MAX_TOKENS,
        seed: index,
      };
    });
  }

  private async submitUntilAccepted(stepId: string, samples: readonly StepSample[]): Promise<void> {
    for (;;) {
      const answer = await this.submit(stepId, samples, this.pickAddress());
      if (answer?.status === 202) return;
      this.report.refused(answer);
      await pause(RETRY_PAUSE_MILLISECONDS);
    }
  }

  private submit(
    stepId: string,
    samples: readonly StepSample[],
    address: string,
  ): Promise<JsonAnswer | undefined> {
    const { model, token, stepTimeout } = this.options;
    const body = { step_id: stepId, model, timeout_ms: stepTimeout, samples };
    return this.request('POST', '/v1/rollouts', address, token, body);
  }

  private async read(stepId: string, cursor: number): Promise<PageDocument | undefined> {
    const query = `cursor=${cursor}&limit=${READ_LIMIT}&wait_ms=${READ_WAIT_MILLISECONDS}`;
    const path = `/v1/rollouts/${stepId}?${query}`;
    const answer = await this.request('GET', path, this.pickAddress(), this.options.token);
    if (answer?.status === 200) return answer.document as PageDocument;
    this.report.refused(answer);
    return undefined;
  }

  private async acknowledge(stepId: string, cursor: number): Promise<void> {
    const path = `/v1/rollouts/${stepId}/acknowledge`;
    const answer = await this.request('POST', path, this.pickAddress(), this.options.token, {
      cursor,
    });
    if (answer?.status !== 200) this.report.refused(answer);
  }

  /** Reads the first page once more: positions and texts must be the same. */
  private async readAgain(stepId: string): Promise<void> {
    const page = await this.read(stepId, 0);
    for (const sample of page?.samples ?? []) this.tell('sample-again', stepId, sample);
  }

  private tell(kind: 'sample' | 'sample-again', stepId: string, sample: SampleDocument): void {
    const { key, position, text } = sample;
    const versions = versionRanges(sample.versions);
    this.options.events({ kind, at: eventTime(), stepId, key, position, text, versions });
  }

  private pickAddress(): string {
    const addresses = this.options.addresses();
    return addresses[this.options.random.integer(addresses.length)] ?? '';
  }

  private request(
    method: 'GET' | 'POST',
    path: string,
    address: string,
    token: string,
    body?: unknown,
  ): Promise<JsonAnswer | undefined> {
    const timeout = REQUEST_TIMEOUT_MILLISECONDS;
    return requestJson({ method, path, address, token, body, timeout });
  }
}

/** Version ranges of an answer in the lab's own form. */
export function versionRanges(
  documents: readonly VersionRangeDocument[],
): { version: number; firstToken: number; tokenCount: number }[] {
  return documents.map((range) => ({
    version: range.version,
    firstToken: range.first_token,
    tokenCount: range.token_count,
  }));
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
