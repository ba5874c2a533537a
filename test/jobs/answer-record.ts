/** The answers that readers of jobs got, to compare each position with every earlier answer. */
import type { ReadTexts, ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** Time for which a reader retries while the fleet answers that results may be missing. */
const MAX_READS = 8;
const READ_RETRY_DELAY = 500;

/** A result that a reader got at a position. */
interface ToldResult {
  readonly job: string;
  readonly position: number;
  readonly text: string;
  readonly by: string;
}

/** Records what nodes told about the positions of jobs. */
export class AnswerRecord {
  private readonly results: ToldResult[] = [];

  constructor(private readonly zones: ZonesWithStore) {}

  /** Positions that were told so far, of all jobs. */
  get told(): readonly ToldResult[] {
    return this.results;
  }

  /** Reads a job at a node and records the results. */
  async read(node: ZoneNode, job: string): Promise<ReadTexts> {
    const texts = await this.zones.read(node, job);
    if ('failure' in texts) return texts;
    const by = `${node.self.node} of ${node.zone}`;
    for (const [position, text] of texts.entries()) this.results.push({ job, position, text, by });
    return texts;
  }

  /**
   * Reads all jobs that anyone told results of at the given nodes, once all faults have ended.
   * Returns a line for each position whose answers differ, and for each that is no longer read.
   */
  async contradictionsAt(nodes: readonly ZoneNode[]): Promise<string[]> {
    const contradictions: string[] = [];
    for (const job of new Set(this.results.map((result) => result.job))) {
      const expected = this.lengthOf(job);
      for (const node of nodes) {
        const texts = await this.readUntil(node, job, expected);
        const reader = `${node.self.node} of ${node.zone}`;
        if ('failure' in texts) contradictions.push(`${job}: ${texts.failure} at ${reader}`);
        else if (texts.length < expected) {
          contradictions.push(`${job}: ${texts.length} of ${expected} results at ${reader}`);
        }
      }
    }
    return [...contradictions, ...this.differences()];
  }

  /** A line for each position at which readers got different results. */
  differences(): string[] {
    const answers = new Map<string, Map<string, string>>();
    for (const { job, position, text, by } of this.results) {
      const place = `${job}[${position}]`;
      const texts = answers.get(place) ?? new Map<string, string>();
      answers.set(place, texts);
      if (!texts.has(text)) texts.set(text, by);
    }
    return [...answers]
      .filter(([, texts]) => texts.size > 1)
      .map(([place, texts]) => {
        const each = [...texts].map(([text, by]) => `${JSON.stringify(text)} from ${by}`);
        return `${place}: ${each.join(', ')}`;
      });
  }

  private lengthOf(job: string): number {
    const positions = this.results.filter((result) => result.job === job);
    return Math.max(0, ...positions.map(({ position }) => position + 1));
  }

  private async readUntil(node: ZoneNode, job: string, length: number): Promise<ReadTexts> {
    for (let read = 1; ; read += 1) {
      const texts = await this.read(node, job);
      const isComplete = !('failure' in texts) && texts.length >= length;
      if (isComplete || read === MAX_READS) return texts;
      await this.zones.run(READ_RETRY_DELAY);
    }
  }
}
