/** Measures for how long a service did not complete writes, from the times it completed some. */

/** Completion times of writes made one after the other. */
export class ServiceProbe {
  readonly #completions: number[] = [];

  /** Notes a completed write. */
  completed(now: number): void {
    this.#completions.push(now);
  }

  /** Number of writes completed. */
  get count(): number {
    return this.#completions.length;
  }

  /** Longest time in milliseconds without a completion that overlaps the span. */
  longestGap(from: number, to: number): number {
    return Math.max(...this.#gaps(from, to));
  }

  /** Sum in milliseconds of all gaps longer than the threshold. */
  timeWithoutService(from: number, to: number, threshold: number): number {
    const long = this.#gaps(from, to).filter((gap) => gap > threshold);
    return long.reduce((sum, gap) => sum + gap, 0);
  }

  #gaps(from: number, to: number): number[] {
    const inside = this.#completions.filter((time) => time > from && time < to);
    const before = this.#completions.filter((time) => time <= from).at(-1) ?? from;
    const times = [before, ...inside, to];
    return times.slice(1).map((time, index) => time - (times[index] as number));
  }
}
