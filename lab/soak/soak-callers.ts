/** The callers of the soak: lookups, and a trainer that draws step after step. */

import { setTimeout as sleep } from 'node:timers/promises';
import * as z from 'zod';
import { PATHS } from '../../platform/names.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { PromiseChecker } from './promise-checker.js';
import {
  LOOKUP_LIMIT,
  LOOKUP_PREFIX,
  performCall,
  REGIONAL_PREFIX,
  ROLLOUT_PREFIX,
  SOAK_HOST,
  type SoakAnswer,
} from './soak-call.js';
import type { SoakEvacuations } from './soak-evacuations.js';
import { SoakKeyCallers } from './soak-key-callers.js';
import type { SoakKeys } from './soak-keys.js';
import { SoakLethalCallers } from './soak-lethal-callers.js';
import { EVENT_COUNT_HEADER, SCORE_PREFIX } from './worker-stand-in.js';

const GROUPS = 3;
const GROUP_SIZE = 4;
const MOST_EVENTS = 40;

/** Longest time for a step, and for one call. */
const STEP_LIMIT: Milliseconds = 12_000;
const CALL_LIMIT: Milliseconds = 2_500;

/** Longest time after which a job is handed in once more. */
const LONGEST_REPEAT_PAUSE: Milliseconds = 2_500;

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

/** What callers need of the soak around them. */
export interface CallerSurroundings {
  readonly checker: PromiseChecker;
  readonly keys: SoakKeys;
  readonly evacuations: Pick<SoakEvacuations, 'requestOffered'>;
  /** Whether no fault is going on that excuses a key's late end. */
  readonly isCalm: () => boolean;
  readonly random: RandomSource;
  readonly now: () => Milliseconds;
  /** Front addresses of gateways that nothing has happened to lately, whatever befell others. */
  readonly calmAddresses: () => readonly string[];
  /** Front addresses of the gateways. */
  readonly addresses: () => readonly string[];
  /** Those of the zone that the trainer is in. */
  readonly trainerAddresses: () => readonly string[];
  readonly model: string;
  /** Names a version to the platform. */
  readonly nameVersion: (version: WeightVersion) => void;
}

/** What came of all calls. */
export interface CallerCounts {
  lookups: number;
  lookupsServed: number;
  /** Lookups that were not served, by the status and detail of the answer, or `no answer`. */
  readonly lookupsUnserved: Record<string, number>;
  steps: number;
  stepsWhole: number;
}

/** Asks until told to stop. */
export class SoakCallers {
  readonly counts: CallerCounts = {
    lookups: 0,
    lookupsServed: 0,
    lookupsUnserved: {},
    steps: 0,
    stepsWhole: 0,
  };
  private isStopped = false;
  private readonly keyCallers: SoakKeyCallers;
  private readonly lethalCallers: SoakLethalCallers;
  private loops: Promise<void>[] = [];
  private readonly repeats: Promise<void>[] = [];

  constructor(private readonly surroundings: CallerSurroundings) {
    this.keyCallers = new SoakKeyCallers(surroundings);
    this.lethalCallers = new SoakLethalCallers(surroundings);
  }

  /** Begins to ask. */
  start(): void {
    const lookups = [LOOKUP_PREFIX, LOOKUP_PREFIX, REGIONAL_PREFIX].map((at) => this.lookups(at));
    this.loops = [...lookups, this.trainer()];
    this.keyCallers.start();
    this.lethalCallers.start();
  }

  /** Asks no more; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all([...this.loops, this.keyCallers.stop(), this.lethalCallers.stop()]);
    await Promise.all(this.repeats);
  }

  /** Reads all accepted jobs once more, each at some gateway, until each has answered. */
  async readAllAgain(limit: Milliseconds): Promise<void> {
    const { checker, now } = this.surroundings;
    const giveUpAt = now() + limit;
    for (const { id, read } of checker.acceptedJobs()) {
      let count = -1;
      while (count < read && now() < giveUpAt) {
        count = Math.max(count, await this.countResults(id));
        if (count < read) await sleep(200);
      }
      checker.resultsReadAgain(id, count);
    }
  }

  private async lookups(prefix: string): Promise<void> {
    const { checker, random, keys } = this.surroundings;
    while (!this.isStopped) {
      const id = random.identifier();
      checker.requestOffered(id, 'brokers');
      const answer = await this.call('POST', `${prefix}${id}`, {
        id,
        key: keys.currentKey('brokers'),
        body: `question-${id}`,
        limit: LOOKUP_LIMIT,
      });
      this.counts.lookups += 1;
      if (answer?.status === 200) {
        this.counts.lookupsServed += 1;
        checker.lookupAnswered(id, answer.body, `${id}:question-${id}`);
      } else {
        const outcome = outcomeOf(answer);
        this.counts.lookupsUnserved[outcome] = (this.counts.lookupsUnserved[outcome] ?? 0) + 1;
      }
      await sleep(40);
    }
  }

  private async trainer(): Promise<void> {
    for (let step = 0; !this.isStopped; step += 1) {
      this.counts.steps += 1;
      const isWhole = await this.drawStep(step);
      if (isWhole) this.counts.stepsWhole += 1;
      this.surroundings.nameVersion(step + 2);
    }
  }

  /** Draws one step; tells whether all its samples came. */
  private async drawStep(step: number): Promise<boolean> {
    const { checker, random, now } = this.surroundings;
    const id = random.identifier();
    const minVersion = Math.max(1, step);
    const items = Array.from({ length: GROUPS * GROUP_SIZE }, (_, index) => ({
      id: random.identifier(),
      scoreRequest: random.identifier(),
      events: 1 + random.integer(MOST_EVENTS),
      group: `group-${Math.floor(index / GROUP_SIZE)}`,
    }));
    const events = new Map(items.map((item) => [item.id, item.events]));
    const scoreRequests = new Map(items.map((item) => [item.id, item.scoreRequest]));
    checker.requestOffered(id, 'trainers');
    checker.jobOffered({ id, minVersion, events, scoreRequests });
    const deadline = now() + STEP_LIMIT;
    const body = JSON.stringify({
      step,
      model: this.surroundings.model,
      min_version: minVersion,
      desired_count: GROUPS,
      requests: items.map((item) => ({
        id: item.id,
        path: `${ROLLOUT_PREFIX}${item.id}`,
        headers: { [EVENT_COUNT_HEADER]: String(item.events) },
        body: Buffer.from(item.id).toString('base64'),
        tokens: 10 * item.events,
        group: item.group,
        scorer: scorerOf(item.scoreRequest),
      })),
    });
    if (!(await this.submit(id, body, deadline))) return false;
    const isWhole = await this.readUntilWhole(id, items.length, deadline);
    await this.end(id, deadline);
    return isWhole;
  }

  private async submit(id: string, body: string, deadline: Milliseconds): Promise<boolean> {
    const { checker, now } = this.surroundings;
    let isPromise = true;
    while (now() < deadline) {
      const answer = await this.call('POST', `${ROLLOUT_PREFIX}${id}`, {
        id,
        body,
        isOfTrainer: true,
      });
      if (answer?.status === 202) {
        checker.jobAccepted(id);
        this.repeats.push(this.sendOnceMore(id, body));
        return true;
      }
      isPromise &&= answer?.status === 503 || answer?.status === 429;
      await sleep(150);
    }
    if (isPromise) checker.jobRefused(id);
    return false;
  }

  /** Another caller hands in once more, at any gateway, what was taken in a moment ago. */
  private async sendOnceMore(id: string, body: string): Promise<void> {
    const { checker, random } = this.surroundings;
    await sleep(random.integer(LONGEST_REPEAT_PAUSE));
    const answer = await this.call('POST', `${ROLLOUT_PREFIX}${id}`, { id, body });
    if (answer?.status === 404 || answer?.status === 410) checker.jobUnknown(id);
  }

  private async readUntilWhole(
    id: string,
    total: number,
    deadline: Milliseconds,
  ): Promise<boolean> {
    const { random, now } = this.surroundings;
    let position = 0;
    while (position < total && now() < deadline) {
      // Now and then a trainer reads from an earlier position.
      const after = random.integer(6) === 0 ? random.integer(position + 1) : position;
      position = Math.max(position, await this.read(id, after));
      await sleep(100);
    }
    return position >= total;
  }

  /** Reads results from a position on; gives the position after them, 0 where none came. */
  private async read(id: string, after: number): Promise<number> {
    const { checker } = this.surroundings;
    const answer = await this.call('GET', `${PATHS.jobs}${id}?after_revision=${after}`, {
      id,
      wait: 500,
    });
    if (answer?.status === 404) checker.jobUnknown(id);
    if (answer?.status !== 200) return 0;
    const page = RESULTS.parse(JSON.parse(answer.body));
    checker.resultsRead(id, page.total, after, page.results);
    return page.next_page_token;
  }

  private async countResults(id: string): Promise<number> {
    let position = 0;
    for (;;) {
      const next = await this.read(id, position);
      if (next <= position) return position;
      position = next;
    }
  }

  private async end(id: string, deadline: Milliseconds): Promise<void> {
    const { checker, now } = this.surroundings;
    while (now() < deadline + STEP_LIMIT) {
      const answer = await this.call('DELETE', `${PATHS.jobs}${id}`, { id });
      if (answer?.status === 404) checker.jobUnknown(id);
      if (answer?.status === 200) return checker.jobEnded(id);
      await sleep(150);
    }
  }

  private call(
    method: string,
    path: string,
    options: CallOptions,
  ): Promise<SoakAnswer | undefined> {
    const { random, keys, addresses, trainerAddresses, evacuations } = this.surroundings;
    const all = options.isOfTrainer === true ? trainerAddresses() : addresses();
    const { id, body, wait, limit = CALL_LIMIT } = options;
    const key = options.key ?? keys.currentKey('trainers');
    const address = all[random.integer(all.length)] ?? '';
    evacuations.requestOffered(id, address);
    return performCall({ address, method, path, id, key, body, wait, limit });
  }
}

/** Status and body of an answer, which name the kind of a refusal; callers tell them apart by it. */
function outcomeOf(answer: SoakAnswer | undefined): string {
  return answer === undefined ? 'no answer' : `${answer.status} ${answer.body}`.slice(0, 120);
}

function scorerOf(id: string): unknown {
  const body = Buffer.from(`judge ${id}`).toString('base64');
  return { id, host: SOAK_HOST, path: `${SCORE_PREFIX}${id}`, body };
}

interface CallOptions {
  /** Whether it comes from the trainer, to its own zone. @default false */
  readonly isOfTrainer?: boolean;
  /** API key; that of the trainer where none is given. */
  readonly key?: string;
  readonly id: string;
  readonly body?: string;
  readonly wait?: Milliseconds;
  readonly limit?: Milliseconds;
}
