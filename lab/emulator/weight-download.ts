/**
 * Fetches weight versions from a weight store for an emulated engine. A store that is busy answers
 * 429; the engine waits as long as Retry-After says and a random share longer, so that engines
 * which were turned away together do not come back together.
 */
import http from 'node:http';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { exchangeHttp } from '../../src/platform/http-exchange-client.js';

/** Options of {@link WeightDownloads}. */
export interface WeightDownloadsOptions {
  /** Host and port of the weight store. */
  readonly address: string;
  readonly model: string;
  readonly random: RandomSource;
  /** Time for one version, waiting included. Default 50 s, under the time given to an order. */
  readonly timeLimit?: Milliseconds;
}

const DEFAULT_TIME_LIMIT: Milliseconds = 50_000;
/** Wait where a busy store gives no Retry-After. */
const DEFAULT_WAIT: Milliseconds = 1_000;
const MAXIMUM_BYTES = 65_536;
const TOO_MANY_REQUESTS = 429;

/** Downloads of one engine. */
export class WeightDownloads {
  private readonly waits = new Set<() => void>();
  private agent = new http.Agent();
  /** Grows when all downloads are given up. */
  private life = 0;

  constructor(private readonly options: WeightDownloadsOptions) {}

  /** Fetches one version; `false` where the store refuses it, fails or takes too long. */
  async fetch(version: WeightVersion): Promise<boolean> {
    const { life } = this;
    const end = performance.now() + (this.options.timeLimit ?? DEFAULT_TIME_LIMIT);
    while (life === this.life) {
      const outcome = await this.request(version, end - performance.now());
      if (outcome.kind !== 'answer') return false;
      if (outcome.status !== TOO_MANY_REQUESTS) return outcome.status === 200;
      const wait = this.jittered(outcome.retryAfter);
      if (performance.now() + wait >= end) return false;
      await this.pause(wait);
    }
    return false;
  }

  /** Gives up all downloads; they end as failed. */
  cancelAll(): void {
    this.life += 1;
    this.agent.destroy();
    this.agent = new http.Agent();
    for (const wake of [...this.waits]) wake();
  }

  private request(version: WeightVersion, timeout: Milliseconds): ReturnType<typeof exchangeHttp> {
    const path = `/weights/${encodeURIComponent(this.options.model)}/${version}`;
    return exchangeHttp({
      agent: this.agent,
      address: this.options.address,
      method: 'GET',
      path,
      timeout,
      maximumBytes: MAXIMUM_BYTES,
    });
  }

  /** Between one and two times what the store asked for. */
  private jittered(retryAfter: Milliseconds): Milliseconds {
    const wait = retryAfter > 0 ? retryAfter : DEFAULT_WAIT;
    return wait * (1 + this.options.random.fraction());
  }

  private pause(milliseconds: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waits.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waits.add(wake);
    });
  }
}
