/**
 * One submission of a trainer: its calls to its own zone follow each other, and while one is under
 * way the same submission may come to gateways of other zones. Each 202 accepts the job.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobCalls } from './job-calls.js';
import type { CallerSurroundings } from './soak-callers.js';

/**
 * Share of the submissions that come to another zone too, mostly while the store does not answer some
 * gateways, and of these, share that come at once.
 */
const OVERLAP_SHARE = 0.4;
const OVERLAP_SHARE_STORE_AWAY = 0.85;
const AT_ONCE_SHARE = 0.3;
const LONGEST_OVERLAP_DELAY: Milliseconds = 800;

/** Pause after a call of the trainer, and after one to another zone. */
const OWN_PAUSE: Milliseconds = 150;
const LONGEST_OTHER_PAUSE: Milliseconds = 400;

/** Time for which calls to other zones go on after the job was accepted somewhere. */
const REPEAT_LIMIT: Milliseconds = 3_000;

const REFUSALS: readonly number[] = [429, 503];

/** What is handed in. */
export interface SubmissionOptions {
  readonly id: string;
  readonly body: string;
  /** The zone that the trainer uses. */
  readonly zone: string;
  readonly deadline: Milliseconds;
  readonly calls: Pick<JobCalls, 'submit'>;
}

/** What a submission needs of the callers' surroundings. */
export type SubmissionSurroundings = Pick<
  CallerSurroundings,
  'checker' | 'random' | 'now' | 'zones' | 'addressesIn' | 'isStoreAway'
>;

/** Hands one job in. */
export class OverlappingSubmission {
  /** Calls to other zones while one of the trainer's was under way. */
  overlapping = 0;
  overlappingWhileStoreAway = 0;
  /** Whether each call so far was refused with a promise that nothing of it runs. */
  wasAlwaysRefused = true;
  /** The zone of the first 202. */
  acceptingZone: string | undefined;
  private acceptedAt = Number.POSITIVE_INFINITY;
  private ownCalls = 0;
  private elsewhere: Promise<void> = Promise.resolve();

  constructor(
    private readonly options: SubmissionOptions,
    private readonly surroundings: SubmissionSurroundings,
  ) {}

  /** Resolves with whether the job was accepted, with false only when no call is under way. */
  async untilAccepted(): Promise<boolean> {
    const { random, now, isStoreAway } = this.surroundings;
    const { zone, deadline } = this.options;
    const share = isStoreAway() ? OVERLAP_SHARE_STORE_AWAY : OVERLAP_SHARE;
    if (random.fraction() < share) this.elsewhere = this.sendElsewhere();
    while (!this.isAccepted && now() < deadline) {
      this.ownCalls += 1;
      await this.sendTo(zone);
      this.ownCalls -= 1;
      if (!this.isAccepted) await sleep(OWN_PAUSE);
    }
    if (!this.isAccepted) await this.elsewhere;
    return this.isAccepted;
  }

  /** Resolves when no call is under way. */
  finished(): Promise<void> {
    return this.elsewhere;
  }

  private get isAccepted(): boolean {
    return this.acceptingZone !== undefined;
  }

  /** Begins while the trainer's call is under way, and goes on until it is accepted there too. */
  private async sendElsewhere(): Promise<void> {
    const { random, now, zones, isStoreAway } = this.surroundings;
    const others = zones.filter((zone) => zone !== this.options.zone);
    const zone = others[random.integer(others.length)];
    if (zone === undefined) return;
    const isAtOnce = random.fraction() < AT_ONCE_SHARE;
    await sleep(isAtOnce ? 0 : random.integer(LONGEST_OVERLAP_DELAY));
    if (this.isAccepted) return;
    let isAcceptedThere = false;
    while (!isAcceptedThere && !this.isOver(now())) {
      if (this.ownCalls > 0) {
        this.overlapping += 1;
        if (isStoreAway()) this.overlappingWhileStoreAway += 1;
      }
      isAcceptedThere = await this.sendTo(zone);
      if (!isAcceptedThere) await sleep(random.integer(LONGEST_OTHER_PAUSE));
    }
  }

  private isOver(now: Milliseconds): boolean {
    return now >= this.options.deadline || now - this.acceptedAt >= REPEAT_LIMIT;
  }

  /** Calls a gateway of a zone; returns whether it accepted the job. */
  private async sendTo(zone: string): Promise<boolean> {
    const { checker, addressesIn, now } = this.surroundings;
    const { id, body, calls } = this.options;
    const answer = await calls.submit(id, body, addressesIn(zone));
    if (answer?.status !== 202) {
      this.wasAlwaysRefused &&= answer !== undefined && REFUSALS.includes(answer.status);
      return false;
    }
    checker.jobAccepted(id);
    if (!this.isAccepted) {
      this.acceptingZone = zone;
      this.acceptedAt = now();
    }
    return true;
  }
}
