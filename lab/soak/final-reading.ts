/**
 * Reads all accepted jobs from their start at gateways that no caller has asked before, and has each
 * answer compared with those that were given before.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { type JobCallSurroundings, JobCalls } from './job-calls.js';
import type { PromiseChecker } from './promise-checker.js';
import type { KnownJobReads } from './promise-records.js';

/** Pause before a job is asked for again. */
const RETRY_PAUSE: Milliseconds = 200;

/** Jobs that are read at a time at one gateway. */
const READERS_A_GATEWAY = 6;

/** What reading needs of the soak around it. */
export interface ReadingSurroundings extends Omit<JobCallSurroundings, 'checker' | 'addresses'> {
  readonly checker: PromiseChecker;
  readonly now: () => Milliseconds;
}

/** Reads until each job was read whole at each gateway, or a time comes. */
export async function readAllJobs(
  addresses: readonly string[],
  giveUpAt: Milliseconds,
  surroundings: ReadingSurroundings,
): Promise<void> {
  await Promise.all(
    addresses.flatMap((address) => {
      const left = [...surroundings.checker.acceptedJobs()];
      const reader = async (): Promise<void> => {
        for (let job = left.shift(); job !== undefined; job = left.shift()) {
          await new FinalReader(job, address, giveUpAt, surroundings).read();
        }
      };
      return Array.from({ length: READERS_A_GATEWAY }, reader);
    }),
  );
}

/** Reads one job at one gateway. */
class FinalReader {
  private readonly calls: JobCalls;

  constructor(
    private readonly job: KnownJobReads,
    private readonly address: string,
    private readonly giveUpAt: Milliseconds,
    private readonly surroundings: ReadingSurroundings,
  ) {
    const addresses = (): string[] => [address];
    this.calls = new JobCalls(job.tenant, { ...surroundings, addresses });
  }

  async read(): Promise<void> {
    const { checker, now } = this.surroundings;
    let count = -1;
    for (;;) {
      count = Math.max(count, await this.countResults());
      const isWhole = count >= 0 && count >= this.job.read;
      if (isWhole || now() >= this.giveUpAt) break;
      await sleep(RETRY_PAUSE);
    }
    checker.resultsReadAgain(this.job.id, count, this.address, this.job.read);
  }

  /** Results read from the start on; below 0 where no answer was a success. */
  private async countResults(): Promise<number> {
    let position = -1;
    for (;;) {
      const next = await this.calls.read(this.job.id, Math.max(0, position), [this.address], 0);
      if (next === undefined || next <= position) return position;
      position = next;
      if (position >= this.job.total) return position;
    }
  }
}
