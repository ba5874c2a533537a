/**
 * Interactive callers over HTTP: lookups that may be repeated, and orders that may run at most
 * once. An oracle is told of every answer.
 */
import type { RandomSource } from '../../src/core/random.js';
import { type ClientEventSink, eventTime } from './client-events.js';
import type { InteractiveReport } from './interactive-report.js';
import { type JsonAnswer, requestJson } from './json-client.js';
import { kindOf, NO_ANSWER } from './refusal-counts.js';
import { type VersionRangeDocument, versionRanges } from './trainer-client.js';

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
  /** Is told of every answer. */
  readonly events: ClientEventSink;
}

interface CompletionDocument {
  readonly choices: readonly { readonly text: string }[];
  readonly wardwing: { readonly versions: readonly VersionRangeDocument[] };
}

/** A request in the making. */
interface InteractiveRequest {
  readonly order: boolean;
  readonly prompt: string;
  readonly seed: number;
}

const MAX_TOKENS = 24;
const DEADLINE_MILLISECONDS = 10_000;

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
    const order = number % this.options.orderEvery === 0;
    const request = { order, prompt, seed: number };
    this.report.asked += 1;
    if (order) await this.order(request);
    else await this.lookup(request);
  }

  private async lookup(request: InteractiveRequest): Promise<void> {
    const startedAt = performance.now();
    const answer = await this.send(request, {});
    if (answer?.status === 200) this.report.latencies.push(performance.now() - startedAt);
    else this.report.refused(answer);
  }

  /** An order; the same key is sent once more and must give the first answer. */
  private async order(request: InteractiveRequest): Promise<void> {
    this.report.orders += 1;
    const key = `order-${request.seed}`;
    const headers = { 'idempotency-key': key, 'wardwing-repeatable': 'false' };
    const first = await this.send(request, headers);
    if (first?.status !== 200) this.report.refused(first);
    await this.send(request, headers);
  }

  private async send(
    request: InteractiveRequest,
    headers: Readonly<Record<string, string>>,
  ): Promise<JsonAnswer | undefined> {
    const answer = await this.complete(request.prompt, request.seed, headers);
    this.options.events({ kind: 'answer', at: eventTime(), ...request, ...receivedOf(answer) });
    return answer;
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

/** What an answer says; a call that got no whole answer may have run. */
function receivedOf(answer: JsonAnswer | undefined) {
  const nothing = { text: '', versions: [] };
  if (answer === undefined) {
    return { ...nothing, status: 0, problem: NO_ANSWER, ran: 'unknown' as const };
  }
  const { status } = answer;
  if (status !== 200) {
    const { ran } = (answer.document ?? {}) as { readonly ran?: 'no' | 'yes' | 'unknown' };
    return { ...nothing, status, problem: kindOf(answer), ran: ran ?? ('unknown' as const) };
  }
  const document = answer.document as CompletionDocument;
  const text = document.choices[0]?.text ?? '';
  const versions = versionRanges(document.wardwing.versions);
  return { status, problem: null, ran: 'yes' as const, text, versions };
}
