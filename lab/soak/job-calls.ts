/** Calls about jobs to the gateways, under the key of one tenant. */
import * as z from 'zod';
import { PATHS } from '../../platform/names.js';
import type { Milliseconds } from '../../src/core/units.js';
import { performCall, ROLLOUT_PREFIX, type SoakAnswer } from './soak-call.js';
import type { CallerSurroundings } from './soak-callers.js';

/** Longest time for one call, and for which a read may be held. */
const CALL_LIMIT: Milliseconds = 2_500;
const READ_WAIT: Milliseconds = 500;

const RESULTS = z.object({
  total: z.number(),
  next_page_token: z.number(),
  results: z.array(
    z.object({
      id: z.string(),
      state: z.string(),
      text: z.string(),
      versions: z.array(z.number()),
      score: z.string().optional(),
    }),
  ),
});

/** What calls need of the callers' surroundings. */
export type JobCallSurroundings = Pick<
  CallerSurroundings,
  'checker' | 'keys' | 'random' | 'evacuations' | 'addresses'
>;

/** Makes the calls, each at a gateway that is drawn. */
export class JobCalls {
  constructor(
    private readonly tenant: string,
    private readonly surroundings: JobCallSurroundings,
  ) {}

  /** Hands a job in at one of some gateways. */
  submit(
    id: string,
    body: string,
    addresses: readonly string[] = this.surroundings.addresses(),
  ): Promise<SoakAnswer | undefined> {
    return this.call('POST', `${ROLLOUT_PREFIX}${id}`, { id, body, addresses });
  }

  /** Ends a job at one of some gateways. */
  end(
    id: string,
    addresses: readonly string[] = this.surroundings.addresses(),
  ): Promise<SoakAnswer | undefined> {
    return this.call('DELETE', `${PATHS.jobs}${id}`, { id, addresses });
  }

  /**
   * Reads results from a position on and has them checked; gives the position after them, and
   * `undefined` where the answer was no success.
   */
  async read(
    id: string,
    after: number,
    addresses: readonly string[] = this.surroundings.addresses(),
    wait: Milliseconds = READ_WAIT,
  ): Promise<number | undefined> {
    const { checker } = this.surroundings;
    const path = `${PATHS.jobs}${id}?after_revision=${after}`;
    const answer = await this.call('GET', path, { id, wait, addresses });
    if (answer?.status === 404) checker.jobUnknown(id);
    if (answer?.status !== 200) return undefined;
    const page = RESULTS.parse(JSON.parse(answer.body));
    checker.resultsRead(id, page.total, after, page.results);
    return page.next_page_token;
  }

  private call(
    method: string,
    path: string,
    { id, body, wait, addresses }: CallOptions,
  ): Promise<SoakAnswer | undefined> {
    const { random, keys, evacuations } = this.surroundings;
    const address = addresses[random.integer(addresses.length)] ?? '';
    evacuations.requestOffered(id, address);
    const key = keys.currentKey(this.tenant);
    return performCall({ address, method, path, id, key, body, wait, limit: CALL_LIMIT });
  }
}

interface CallOptions {
  readonly id: string;
  readonly body?: string;
  readonly wait?: Milliseconds;
  readonly addresses: readonly string[];
}
