/** Which jobs have ended, and whether what comes to workers of them comes in time. */
import type { Milliseconds } from '../../src/core/units.js';
import type { RequestSender } from './request-sender.js';
import type { SoakLog } from './soak-log.js';

/** Time after the acknowledged end of a job in which its work may still reach a worker. */
const CANCEL_LIMIT: Milliseconds = 3_000;

/** What is wrong with a request; `undefined` where nothing is. */
export type LateWork = string | undefined;

/** Keeps the ends. */
export class EndedJobs {
  private readonly endedAt = new Map<string, Milliseconds>();
  /** Items and scores that came after the end of their job, in time or not. */
  private afterEnd = 0;

  constructor(
    private readonly now: () => Milliseconds,
    private readonly log: Pick<SoakLog, 'note'> | undefined,
  ) {}

  /** How much came to workers after the end of its job. */
  get workAfterEnd(): number {
    return this.afterEnd;
  }

  /** The end of a job was acknowledged to a caller. */
  noteEnded(job: string): void {
    if (this.endedAt.has(job)) return;
    this.endedAt.set(job, this.now());
    this.log?.note('job-ended', { job });
  }

  /** A worker took an item of a job, or the score request of one, from a gateway in touch or not. */
  noteWork(request: string, job: string, { name, isInTouch }: RequestSender): LateWork {
    const endedAt = this.endedAt.get(job);
    if (endedAt === undefined) return undefined;
    const endedFor = Math.round(this.now() - endedAt);
    this.afterEnd += 1;
    this.log?.note('work-after-end', { request, job, sender: name, isInTouch, endedFor });
    if (!isInTouch || endedFor <= CANCEL_LIMIT) return undefined;
    return `${request} of ${job} from ${name} came ${endedFor} ms after the end`;
  }
}
