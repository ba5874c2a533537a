/** Callers of the soak that look at jobs of others, from any position and at gateways of any zone. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { JobCalls } from './job-calls.js';
import type { CallerSurroundings } from './soak-callers.js';

/** Pause between two looks, and the newest jobs among which they choose. */
const LOOK_PAUSE: Milliseconds = 80;
const NEWEST_JOBS = 12;

/** Looks until told to stop. */
export class JobLookers {
  private isStopped = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly surroundings: CallerSurroundings) {}

  /** Begins to look. */
  start(): void {
    this.loop = this.run();
  }

  /** Looks no more; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loop;
  }

  private async run(): Promise<void> {
    const { checker, random } = this.surroundings;
    while (!this.isStopped) {
      await sleep(LOOK_PAUSE);
      const newest = checker.acceptedJobs().slice(-NEWEST_JOBS);
      const job = newest[random.integer(Math.max(1, newest.length))];
      if (job === undefined) continue;
      const calls = new JobCalls(job.tenant, this.surroundings);
      const after = random.integer(2) === 0 ? 0 : random.integer(job.read + 1);
      await calls.read(job.id, after, undefined, 0);
    }
  }
}
