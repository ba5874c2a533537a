/**
 * Interactive callers over HTTP: lookups that may be repeated, and orders that may run at most
 * once. Every answer is judged with the oracle of generated text.
 */
import type { TokenSegment } from '../../src/core/generation.js';
import type { RandomSource } from '../../src/core/random.js';
import { expectedText } from '../emulator/generated-text.js';
import { type JsonAnswer, requestJson } from './json-client.js';
import { kindOf, RefusalCounts } from './refusal-counts.js';

/** What the callers do. */
export interface InteractiveOptions {
  readonly token: string;
  readonly model: string;
  readonly addresses: () => readonly string[];
  /** Time between two requests, in milliseconds. */
  readonly interval: number;
  /** Every this many requests one is an order. */
  readonly orderEvery: number;
  readonly random: RandomSource;
}

interface CompletionDocument {
  readonly choices: readonly { readonly text: string }[];
  readonly wardwing: {
    readonly versions: readonly {
      readonly version: number;
      readonly first_token: number;
      readonly token_count: number;
    }[];
  };
}

const MAX_TOKENS = 24;
const DEADLINE_MILLISECONDS = 10_000;

/** What the callers received. */
export class InteractiveReport extends RefusalCounts {
  asked = 0;
  answered = 0;
  orders = 0;
  wrongText = 0;
  /** Order repeats whose answer was not the first one. */
  differentRepeats = 0;
  readonly latencies: number[] = [];

  /** Whether all promises held. */
  get holds(): boolean {
    return this.wrongText === 0 && this.differentRepeats === 0 && this.answered > 0;
  }
}

/** Sends requests at a steady rate. */
export class InteractiveClient {
  private timer: NodeJS.Timeout | null = null;
  private readonly inFlight = new Set<Promise<void>>();
  private count = 0;

  constructor(
    private readonly options: InteractiveOptions,
    readonly report: InteractiveReport,
  ) {}

  /** Starts sending. */
  start(): void {
    this.timer = setInterval(() => this.track(this.next()), this.options.interval);
  }

  /** Sends no more; resolves when all answers are in. */
  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    await Promise.all(this.inFlight);
  }

  private track(work: Promise<void>): void {
    this.inFlight.add(work);
    void work.finally(() => this.inFlight.delete(work));
  }

  private async next(): Promise<void> {
    this.count += 1;
    const number = this.count;
    const prompt = `lookup ${number % 7} of policy ${number}`;
    if (number % this.options.orderEvery === 0) await this.order(number, prompt);
    else await this.lookup(number, prompt);
  }

  private async lookup(seed: number, prompt: string): Promise<void> {
    this.report.asked += 1;
    const startedAt = performance.now();
    const answer = await this.complete(prompt, seed, {});
    if (answer?.status !== 200) {
      this.report.refused(answer);
      return;
    }
    this.report.latencies.push(performance.now() - startedAt);
    this.judge(answer, prompt, seed);
  }

  /** An order; the same key is sent once more and must give the first answer. */
  private async order(seed: number, prompt: string): Promise<void> {
    this.report.asked += 1;
    this.report.orders += 1;
    const headers = { 'idempotency-key': `order-${seed}`, 'wardwing-repeatable': 'false' };
    const first = await this.complete(prompt, seed, headers);
    const again = await this.complete(prompt, seed, headers);
    if (first?.status === 200) this.judge(first, prompt, seed);
    else this.report.refused(first);
    const bothAnswered = first?.status === 200 && again?.status === 200;
    if (bothAnswered && textOf(first) !== textOf(again)) this.report.differentRepeats += 1;
    if (first?.status === 200 && again !== undefined && kindOf(again) === 'key_conflict') {
      this.report.differentRepeats += 1;
    }
  }

  private judge(answer: JsonAnswer, prompt: string, seed: number): void {
    this.report.answered += 1;
    const document = answer.document as CompletionDocument;
    const segments: TokenSegment[] = document.wardwing.versions.map((range) => ({
      version: range.version,
      firstToken: range.first_token,
      tokenCount: range.token_count,
    }));
    if (textOf(answer) !== expectedText(prompt, seed, segments)) this.report.wrongText += 1;
  }

  private complete(
    prompt: string,
    seed: number,
    headers: Readonly<Record<string, string>>,
  ): Promise<JsonAnswer | undefined> {
    const { addresses, random, model, token } = this.options;
    const all = addresses();
    return requestJson({
      method: 'POST',
      path: '/v1/completions',
      address: all[random.integer(all.length)] ?? '',
      token,
      headers: { ...headers, 'wardwing-deadline-ms': String(DEADLINE_MILLISECONDS) },
      body: { model, prompt, max_tokens: MAX_TOKENS, seed },
      timeout: DEADLINE_MILLISECONDS + 2_000,
    });
  }
}

function textOf(answer: JsonAnswer): string {
  return (answer.document as CompletionDocument).choices[0]?.text ?? '';
}
