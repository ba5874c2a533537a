/**
 * A trainer of the soak: it draws step after step, mostly in its own zone. While a submission is
 * under way, the same one may come to gateways of another zone too, again and again.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { JobCalls } from './job-calls.js';
import { describingHeaders } from './offered-requests.js';
import { OverlappingSubmission } from './overlapping-submission.js';
import { ROLLOUT_PREFIX, SOAK_HOST } from './soak-call.js';
import type { CallerSurroundings } from './soak-callers.js';
import type { SoakTenant } from './soak-keys.js';
import { EVENT_COUNT_HEADER, SCORE_PREFIX } from './worker-stand-in.js';

const GROUPS = 3;
const GROUP_SIZE = 4;
const MOST_EVENTS = 40;

/**
 * Share of the steps that are abandoned some time after their 202, mostly while gateways lack a part of
 * the store or the other region. They are larger than the workers can run by then, so that items wait
 * when the end comes.
 */
const ABANDONED_SHARE = 0.1;
const ABANDONED_SHARE_PARTLY_SERVED = 0.7;
const ABANDONED_GROUPS = 40;
const FEWEST_ABANDONED_EVENTS = 100;
const MOST_ABANDONED_EVENTS = 200;
const SHORTEST_ABANDONED: Milliseconds = 1_000;
const LONGEST_ABANDONED: Milliseconds = 3_000;

/** Share of the ends that come to a gateway of another zone than the job's; others come to any. */
const END_ELSEWHERE_SHARE = 0.6;

/** Longest time for a step. */
const STEP_LIMIT: Milliseconds = 12_000;

/** Longest time after which a job is handed in once more. */
const LONGEST_REPEAT_PAUSE: Milliseconds = 2_500;

/** Share of the steps at which a trainer begins to use all zones, and for how many steps. */
const ROAMING_SHARE = 0.2;
const MOST_ROAMING_STEPS = 4;

/** Age of a 202 up to which a job is handed in again after a loss of power, and for how long. */
const RECENT: Milliseconds = 5_000;
const RECENT_REPEAT_LIMIT: Milliseconds = 8_000;
const RECENT_REPEAT_PAUSE: Milliseconds = 250;

/** Who the trainer is. */
export interface TrainerIdentity {
  readonly tenant: SoakTenant;
  readonly zone: string;
  /** Whether it names a version after each step. */
  readonly namesVersions: boolean;
}

/** What came of a trainer's calls. */
export interface TrainerCounts {
  steps: number;
  stepsWhole: number;
  /** Steps whose end was acknowledged before they were whole. */
  stepsAbandoned: number;
  /** Submissions to another zone while the trainer's own call was under way. */
  overlappingSubmissions: number;
  /** Those of them that were sent while the store did not answer some gateways. */
  overlapsWhileStoreAway: number;
  /** Jobs whose first 202 came from a gateway of another zone than the trainer's. */
  acceptedInOtherZone: number;
}

/** One trainer. */
export class SoakTrainer {
  private readonly calls: JobCalls;
  private isStopped = false;
  private roamingSteps = 0;
  private loop: Promise<void> = Promise.resolve();
  private readonly repeats: Promise<void>[] = [];
  private recent: { readonly id: string; readonly body: string; readonly at: Milliseconds }[] = [];

  constructor(
    private readonly identity: TrainerIdentity,
    private readonly surroundings: CallerSurroundings,
    private readonly counts: TrainerCounts,
  ) {
    this.calls = new JobCalls(identity.tenant, surroundings);
  }

  /** Begins to draw. */
  start(): void {
    this.loop = this.run();
  }

  /** Draws no further step; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loop;
    await Promise.all(this.repeats);
  }

  /** Hands in once more, in zones that are drawn, what was accepted a moment ago. */
  async repeatRecent(): Promise<void> {
    const { random, now, zones, addressesIn } = this.surroundings;
    const limit = now() + RECENT_REPEAT_LIMIT;
    const repeat = async (id: string, body: string): Promise<void> => {
      while (now() < limit) {
        const zone = zones[random.integer(zones.length)] ?? '';
        const answer = await this.calls.submit(id, body, addressesIn(zone));
        if (answer?.status === 202) return;
        await sleep(RECENT_REPEAT_PAUSE);
      }
    };
    const recent = this.recent.filter(({ at }) => now() - at < RECENT);
    await Promise.all(recent.map(({ id, body }) => repeat(id, body)));
  }

  private async run(): Promise<void> {
    for (let step = 0; !this.isStopped; step += 1) {
      this.counts.steps += 1;
      const isWhole = await this.drawStep(step);
      if (isWhole) this.counts.stepsWhole += 1;
      if (this.identity.namesVersions) this.surroundings.nameVersion(step + 2);
    }
  }

  /** Draws one step; tells whether all its samples came. */
  private async drawStep(step: number): Promise<boolean> {
    const { checker, random, now, newestVersion } = this.surroundings;
    const { tenant, namesVersions } = this.identity;
    const id = random.identifier();
    const minVersion: WeightVersion = Math.max(1, namesVersions ? step : newestVersion() - 1);
    const isAbandoned = random.fraction() < this.abandonedShare();
    const groups = isAbandoned ? ABANDONED_GROUPS : GROUPS;
    const [fewest, most] = isAbandoned
      ? [FEWEST_ABANDONED_EVENTS, MOST_ABANDONED_EVENTS]
      : [1, MOST_EVENTS];
    const items = Array.from({ length: groups * GROUP_SIZE }, (_, index) => ({
      id: random.identifier(),
      scoreRequest: random.identifier(),
      events: fewest + random.integer(most - fewest + 1),
      group: `group-${Math.floor(index / GROUP_SIZE)}`,
    }));
    const events = new Map(items.map((item) => [item.id, item.events]));
    const scoreRequests = new Map(items.map((item) => [item.id, item.scoreRequest]));
    checker.requestOffered(id, tenant);
    checker.jobOffered({ id, minVersion, events, scoreRequests });
    for (const item of items) this.noteRequests(item.id, item.scoreRequest);
    const deadline = now() + STEP_LIMIT;
    const body = JSON.stringify({
      step,
      model: this.surroundings.model,
      min_version: minVersion,
      desired_count: groups,
      requests: items.map((item) => ({
        id: item.id,
        path: `${ROLLOUT_PREFIX}${item.id}`,
        headers: { [EVENT_COUNT_HEADER]: String(item.events), ...describingHeaders(item.id) },
        body: Buffer.from(item.id).toString('base64'),
        tokens: 10 * item.events,
        group: item.group,
        scorer: scorerOf(item.scoreRequest),
      })),
    });
    const zone = await this.submit(id, body, deadline);
    if (zone === undefined) return false;
    const end = (): Promise<boolean> => this.end(id, zone, deadline);
    if (isAbandoned) return this.abandon(id, items.length, end);
    const isWhole = await this.readUntilWhole(id, items.length, deadline);
    await end();
    return isWhole;
  }

  private noteRequests(item: string, scoreRequest: string): void {
    const { offered } = this.surroundings;
    const path = `${ROLLOUT_PREFIX}${item}`;
    offered.note({ id: item, method: 'POST', path, body: Buffer.from(item) });
    const { id, path: scorePath, body } = scorerOf(scoreRequest);
    const score = { id, method: 'POST', path: scorePath, body: Buffer.from(body, 'base64') };
    offered.note({ ...score, isDescribed: false });
  }

  private abandonedShare(): number {
    const { arePartlyServed } = this.surroundings;
    return arePartlyServed() ? ABANDONED_SHARE_PARTLY_SERVED : ABANDONED_SHARE;
  }

  /** Hands a job in; returns the zone that accepted it, if any. */
  private async submit(
    id: string,
    body: string,
    deadline: Milliseconds,
  ): Promise<string | undefined> {
    const { surroundings, calls, counts } = this;
    const zone = this.zoneOfStep();
    const submission = new OverlappingSubmission({ id, body, zone, deadline, calls }, surroundings);
    const isAccepted = await submission.untilAccepted();
    counts.overlappingSubmissions += submission.overlapping;
    counts.overlapsWhileStoreAway += submission.overlappingWhileStoreAway;
    if (!isAccepted) {
      if (submission.wasAlwaysRefused) surroundings.checker.jobRefused(id);
      return undefined;
    }
    if (submission.acceptingZone !== zone) counts.acceptedInOtherZone += 1;
    const now = surroundings.now();
    this.recent = [...this.recent.filter(({ at }) => now - at < RECENT), { id, body, at: now }];
    this.repeats.push(submission.finished(), this.sendOnceMore(id, body));
    return submission.acceptingZone;
  }

  /** Mostly the trainer's own; for some steps now and then, any. */
  private zoneOfStep(): string {
    const { random, zones } = this.surroundings;
    if (this.roamingSteps > 0) {
      this.roamingSteps -= 1;
      return zones[random.integer(zones.length)] ?? this.identity.zone;
    }
    if (random.fraction() < ROAMING_SHARE) {
      this.roamingSteps = 1 + random.integer(MOST_ROAMING_STEPS);
    }
    return this.identity.zone;
  }

  /** Another caller hands in once more, at any gateway, what was taken in a moment ago. */
  private async sendOnceMore(id: string, body: string): Promise<void> {
    const { checker, random } = this.surroundings;
    await sleep(random.integer(LONGEST_REPEAT_PAUSE));
    const answer = await this.calls.submit(id, body);
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
      position = Math.max(position, (await this.calls.read(id, after)) ?? 0);
      await sleep(100);
    }
    return position >= total;
  }

  /** Reads a job for a while and ends it meanwhile; tells whether it was whole by then. */
  private async abandon(id: string, total: number, end: () => Promise<boolean>): Promise<boolean> {
    const { random, now } = this.surroundings;
    const duration = SHORTEST_ABANDONED + random.integer(LONGEST_ABANDONED - SHORTEST_ABANDONED);
    const ending = sleep(duration).then(end);
    const isWhole = await this.readUntilWhole(id, total, now() + duration);
    if ((await ending) && !isWhole) this.counts.stepsAbandoned += 1;
    return isWhole;
  }

  /** Ends a job; tells whether that was acknowledged. */
  private async end(id: string, zone: string, deadline: Milliseconds): Promise<boolean> {
    const { checker, now } = this.surroundings;
    checker.endRequested(id);
    while (now() < deadline + STEP_LIMIT) {
      const answer = await this.calls.end(id, this.addressesForEnd(zone));
      if (answer?.status === 404) checker.jobUnknown(id);
      if (answer?.status === 200) {
        checker.jobEnded(id);
        return true;
      }
      await sleep(150);
    }
    return false;
  }

  private addressesForEnd(jobZone: string): readonly string[] {
    const { random, zones, addresses, addressesIn } = this.surroundings;
    if (random.fraction() >= END_ELSEWHERE_SHARE) return addresses();
    return zones.filter((zone) => zone !== jobZone).flatMap(addressesIn);
  }
}

function scorerOf(id: string) {
  const body = Buffer.from(`judge ${id}`).toString('base64');
  return { id, host: SOAK_HOST, path: `${SCORE_PREFIX}${id}`, body };
}
