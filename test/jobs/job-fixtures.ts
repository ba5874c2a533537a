/** Owners, job specifications and a manual clock for tests. */
import type { JobOwner, JobResult, JobSpecification } from '../../src/jobs/job-records.js';
import type { HeadFields } from '../../src/jobs/job-store.js';
import type { Clock } from '../../src/serving/clock.js';

/** A clock that tests advance. */
export class ManualClock implements Clock {
  time = 1_000;
  now(): number {
    return this.time;
  }
  /** Time for which the machine was suspended, not included in `time`. */
  suspended = 0;
  suspendedTime(): number {
    return this.suspended;
  }
  wallTime(): number {
    return this.time;
  }
  /** Yields to other tasks without advancing the time. */
  sleep(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }
}

export const OWNER: JobOwner = { node: 'node-1', incarnation: 'life-1', address: '127.0.0.1:1' };
export const OTHER: JobOwner = { node: 'node-2', incarnation: 'life-2', address: '127.0.0.1:2' };
export const always = (): boolean => true;
export const never = (): boolean => false;

/** Wall-clock time of all submissions; recent, so that no item has expired. */
const SUBMITTED_AT = Date.now();

/** A job with items `item-0`, `item-1` and so on, two per group. */
export function specification(id: string, items: number, minVersion = 1): JobSpecification {
  return {
    id,
    host: 'trainer.example',
    path: '/rollouts/',
    step: 0,
    model: 'model-a',
    minVersion,
    desiredCount: 1,
    submittedAt: SUBMITTED_AT,
    items: Array.from({ length: items }, (_, index) => ({
      id: `item-${index}`,
      path: `/rollouts/${index}`,
      headers: ['X-Test', String(index)],
      body: Buffer.from(`body ${index}`).toString('base64'),
      tokens: 100,
      group: `group-${Math.floor(index / 2)}`,
      expectedLength: index,
    })),
  };
}

/** The same job with a score request for each item: `score-0`, `score-1` and so on. */
export function scoredSpecification(id: string, items: number): JobSpecification {
  const spec = specification(id, items);
  return {
    ...spec,
    items: spec.items.map((item, index) => ({
      ...item,
      scoreRequest: {
        id: `score-${index}`,
        host: 'scorer.example',
        path: `/score/${index}`,
        body: Buffer.from(`score ${index}`).toString('base64'),
      },
    })),
  };
}

export function headOf(spec: JobSpecification, owner: JobOwner = OWNER): HeadFields {
  return {
    owner,
    total: spec.items.length,
    listed: 0,
    pages: 0,
    ended: false,
    submittedAt: spec.submittedAt,
  };
}

export function result(index: number): JobResult {
  return { id: `item-${index}`, state: 'completed', text: `text ${index}`, versions: [1] };
}
