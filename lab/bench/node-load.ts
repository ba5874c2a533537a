/**
 * Load of the node bench: small completions at a fixed rate (open loop) or as fast as answers come
 * (closed loop). Open-loop latencies count from the time a request was due, not from when it was
 * sent, so that a stall is charged to every request it delays (no coordinated omission).
 */
import http from 'node:http';
import { build, type Histogram } from 'hdr-histogram-js';

/** What is called: a node's gateway, or an engine itself. */
export type LoadTarget = 'node' | 'node-stream' | 'engine';

/** One run of load. */
export interface LoadOrder {
  readonly target: LoadTarget;
  /** Addresses taken in turn, such as `127.0.0.1:8080`. */
  readonly addresses: readonly string[];
  /** Bearer token; engines ask for none. */
  readonly token: string;
  readonly model: string;
  readonly seconds: number;
  /** Requests per second of the open loop; `null` for a closed loop. */
  readonly rate: number | null;
  /** Requests under way at once in a closed loop. */
  readonly concurrency: number;
  /** Number of the first prompt; the same numbers give the same prompts. */
  readonly firstNumber: number;
}

/** Latencies in milliseconds. */
export interface LatencyFigures {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** What came of a run of load. */
export interface LoadFigures {
  readonly sent: number;
  readonly completed: number;
  readonly failed: number;
  readonly requestsPerSecond: number;
  readonly latency: LatencyFigures;
}

const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_LATENCY_MICROSECONDS = 60_000_000;
const SIGNIFICANT_DIGITS = 3;
const MAX_TOKENS = 8;
const PROMPT_GROUPS = 7;
const STATUS_OK = 200;
/** A timer of one millisecond may fire this late without missing a request that is due. */
const TIMER_REACH_MILLISECONDS = 1.3;
/** Text that marks a whole answer; other answers count as failed. */
const WHOLE_ANSWER: Readonly<Record<LoadTarget, string>> = {
  node: '"finish_reason"',
  'node-stream': 'data: [DONE]',
  engine: 'data: [DONE]',
};

/** Runs a load to its end. */
export async function runLoad(order: LoadOrder): Promise<LoadFigures> {
  const run = new LoadRun(order);
  if (order.rate === null) await run.closedLoop();
  else await run.openLoop(order.rate);
  return run.figures();
}

class LoadRun {
  private readonly agent = new http.Agent({ keepAlive: true });
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  private readonly headers: Record<string, string>;
  private readonly endpoints: readonly { readonly host: string; readonly port: number }[];
  private sent = 0;
  private completed = 0;
  private failed = 0;
  private startedAt = 0;
  private endedAt = 0;

  constructor(private readonly order: LoadOrder) {
    const authorization = order.token === '' ? {} : { authorization: `Bearer ${order.token}` };
    this.headers = { 'content-type': 'application/json', ...authorization };
    this.endpoints = order.addresses.map((address) => {
      const [host = '', port] = address.split(':');
      return { host, port: Number(port) };
    });
  }

  /** Sends each request when it is due, whatever became of those before it. */
  async openLoop(rate: number): Promise<void> {
    const total = Math.round(rate * this.order.seconds);
    const spacing = MILLISECONDS_PER_SECOND / rate;
    const underWay: Promise<void>[] = [];
    this.startedAt = performance.now();
    while (this.sent < total) {
      const due = this.startedAt + this.sent * spacing;
      if (due <= performance.now()) underWay.push(this.request(due));
      else await untilNear(due);
    }
    await Promise.all(underWay);
    this.endedAt = performance.now();
    this.agent.destroy();
  }

  /** Keeps a number of requests under way until the time is over. */
  async closedLoop(): Promise<void> {
    this.startedAt = performance.now();
    const end = this.startedAt + this.order.seconds * MILLISECONDS_PER_SECOND;
    const worker = async (): Promise<void> => {
      while (performance.now() < end) await this.request(performance.now());
    };
    await Promise.all(Array.from({ length: this.order.concurrency }, worker));
    this.endedAt = performance.now();
    this.agent.destroy();
  }

  figures(): LoadFigures {
    const { sent, completed, failed, histogram } = this;
    const at = (percentile: number): number =>
      histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    const seconds = (this.endedAt - this.startedAt) / MILLISECONDS_PER_SECOND;
    const max = histogram.maxValue / MICROSECONDS_PER_MILLISECOND;
    const latency = { p50: at(50), p90: at(90), p99: at(99), p999: at(99.9), max };
    return { sent, completed, failed, requestsPerSecond: completed / seconds, latency };
  }

  private async request(countedFrom: number): Promise<void> {
    const number = this.order.firstNumber + this.sent;
    this.sent += 1;
    const whole = await this.exchange(number);
    const elapsed = performance.now() - countedFrom;
    if (!whole) {
      this.failed += 1;
      return;
    }
    this.completed += 1;
    this.histogram.recordValue(Math.max(1, Math.round(elapsed * MICROSECONDS_PER_MILLISECOND)));
  }

  private exchange(number: number): Promise<boolean> {
    const { agent, headers } = this;
    const text = JSON.stringify(bodyOf(this.order, number));
    const endpoint = this.endpoints[number % this.endpoints.length];
    const path = '/v1/completions';
    return new Promise((resolve) => {
      const request = http.request({ ...endpoint, agent, headers, method: 'POST', path });
      request.on('error', () => resolve(false));
      request.on('response', (response) => {
        let answer = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => {
          answer += part;
        });
        response.on('error', () => resolve(false));
        response.on('end', () => {
          const ok = response.statusCode === STATUS_OK;
          resolve(ok && answer.includes(WHOLE_ANSWER[this.order.target]));
        });
      });
      request.end(text);
    });
  }
}

function bodyOf({ target, model }: LoadOrder, number: number): Readonly<Record<string, unknown>> {
  const prompt = `lookup ${number % PROMPT_GROUPS} of policy ${number}`;
  const fields = { model, prompt, max_tokens: MAX_TOKENS, seed: number };
  if (target !== 'engine') return { ...fields, stream: target === 'node-stream' };
  const requestId = `direct-${number}`;
  const wardwing = { requestId, priority: 'interactive', oldestVersion: 0, promptGroup: '' };
  return { ...fields, stream: true, wardwing };
}

/** Waits by timer while a request is far from due, then by turns, which are finer. */
function untilNear(due: number): Promise<void> {
  if (due - performance.now() > TIMER_REACH_MILLISECONDS) {
    return new Promise((resolve) => setTimeout(resolve, 1));
  }
  return new Promise((resolve) => setImmediate(resolve));
}
