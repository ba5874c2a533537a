/**
 * Judges what readers of jobs see, knowing nothing of the implementation: accepted jobs stay, a
 * position keeps its result, no item stands twice, and a refusal that promised "not run" is true.
 */
import type { JobResult } from '../../../src/jobs/job-records.js';

interface SeenJob {
  isAccepted: boolean;
  /** Whether a submission got another answer than a promise that nothing runs. */
  mayExist: boolean;
  readonly results: string[];
  readonly items: Set<string>;
}

/** The oracle. */
export class JobOracle {
  readonly violations: string[] = [];
  /** Comparisons made. */
  checked = 0;
  private readonly jobs = new Map<string, SeenJob>();

  /** A submission was answered. */
  submitted(job: string, answer: 'accepted' | 'unknown' | 'refused'): void {
    const seen = this.seen(job);
    if (answer === 'accepted') seen.isAccepted = true;
    if (answer !== 'refused') seen.mayExist = true;
  }

  /** A reader was told that there is no such job. */
  notFound(job: string): void {
    this.expect(!this.seen(job).isAccepted, `${job} was accepted and is not found`);
  }

  /** A reader was given the results from a position on, by a store that answers. */
  read(job: string, from: number, results: readonly JobResult[]): void {
    const seen = this.seen(job);
    this.expect(seen.mayExist, `${job} exists though every submission was promised not to run`);
    // A short answer is none that is missing: the reader asks on from its end.
    const isMissing = results.length === 0 && from < seen.results.length;
    this.expect(!isMissing, `${job} has nothing at a position that was read`);
    for (const [index, result] of results.entries()) this.place(job, from + index, result);
  }

  private place(job: string, position: number, result: JobResult): void {
    const seen = this.seen(job);
    const text = JSON.stringify(result);
    const before = seen.results[position];
    if (before !== undefined) {
      this.expect(before === text, `${job} holds another result at position ${position}`);
      return;
    }
    this.expect(!seen.items.has(result.id), `${job} holds ${result.id} twice`);
    seen.items.add(result.id);
    seen.results[position] = text;
  }

  private expect(holds: boolean, detail: string): void {
    this.checked += 1;
    if (!holds) this.violations.push(detail);
  }

  private seen(job: string): SeenJob {
    const known = this.jobs.get(job);
    if (known !== undefined) return known;
    const fresh = { isAccepted: false, mayExist: false, results: [], items: new Set<string>() };
    this.jobs.set(job, fresh);
    return fresh;
  }
}
