/**
 * Judges what readers of jobs see, knowing nothing of the implementation: accepted jobs stay, a
 * position keeps its result, no item stands twice, a refusal that promised "not run" is true, a score
 * is one that was given to the item's own request after its text, and a text that is kept as whole
 * is not made again.
 */
import type { JobResult } from '../../../src/jobs/job-records.js';

interface SeenJob {
  isAccepted: boolean;
  /** Whether a submission got another answer than a promise that nothing runs. */
  mayExist: boolean;
  readonly results: string[];
  readonly items: Set<string>;
}

/** The score request of an item. */
export function scoreRequestOf(job: string, item: string): string {
  return `score-of-${job}-${item}`;
}

/** The oracle. */
export class JobOracle {
  readonly violations: string[] = [];
  /** Comparisons made. */
  checked = 0;
  private readonly jobs = new Map<string, SeenJob>();
  private readonly wholeTexts = new Set<string>();
  private readonly keptTexts = new Set<string>();
  private readonly signatures = new Map<string, Set<string>>();

  /** A worker is about to make the text of an item. */
  textBegun(job: string, item: string): void {
    const name = scoreRequestOf(job, item);
    this.expect(!this.keptTexts.has(name), `${job} made the kept text of ${item} again`);
  }

  /** A worker made the last event of an item. */
  textWhole(job: string, item: string): void {
    this.wholeTexts.add(scoreRequestOf(job, item));
  }

  /** The store keeps a whole text. */
  textKept(job: string, item: string): void {
    this.keptTexts.add(scoreRequestOf(job, item));
  }

  /** A worker was asked for a score. */
  scoreAsked(request: string): void {
    this.expect(this.wholeTexts.has(request), `${request} was sent before its text was whole`);
  }

  /** A worker gave a score. */
  scoreGiven(request: string, signature: string): void {
    const known = this.signatures.get(request) ?? new Set();
    this.signatures.set(request, known.add(signature));
  }

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
    const given = this.signatures.get(scoreRequestOf(job, result.id));
    const isScored = result.score !== undefined && given?.has(result.score) === true;
    this.expect(isScored || result.state === 'terminated', `${job} lists ${result.id} unscored`);
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
