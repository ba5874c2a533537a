/**
 * Tracks the last step of each trainer that this node accepted. A zone that is partitioned from the
 * store accepts only the next step of such a trainer: any other job may already have been accepted
 * in another zone, because callers retry submissions at any node.
 */
import type { JobSpecification } from './job-records.js';

/** Fields that identify the trainer of a job. */
type TrainerFields = Pick<JobSpecification, 'host' | 'model' | 'tenant'>;

export class TrainerSteps {
  private readonly lastSteps = new Map<string, number>();

  /** Records the step of a job that this node accepted and that no other zone can have accepted. */
  record(spec: JobSpecification): void {
    const key = keyOf(spec);
    this.lastSteps.set(key, Math.max(spec.step, this.lastSteps.get(key) ?? spec.step));
  }

  /** Discards all steps, because callers may have used other zones meanwhile. */
  clear(): void {
    this.lastSteps.clear();
  }

  /** Whether a job follows an accepted step, and so cannot have been submitted elsewhere first. */
  isNext(spec: JobSpecification): boolean {
    const last = this.lastSteps.get(keyOf(spec));
    return last !== undefined && spec.step > last;
  }
}

function keyOf({ host, model, tenant }: TrainerFields): string {
  return JSON.stringify([host, model, tenant ?? null]);
}
