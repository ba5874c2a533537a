/** Commits that the store carries out some time after they came, and whose senders get no answer. */
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { StoreCommit } from '../../src/shared-store/shared-store.js';
import type { SharedStoreEmulator } from '../emulator/shared-store-emulator.js';

/** Time after which such a commit is carried out, if its condition still holds then. */
const SHORTEST_DELAY: Milliseconds = 1_000;
const LONGEST_DELAY: Milliseconds = 6_000;

/** How many commits were late, and what became of them. */
export interface LateCommitCounts {
  held: number;
  carriedOut: number;
  /** Their condition did not hold any more. */
  conflicting: number;
}

/** Holds commits back. */
export class LateCommits {
  readonly counts: LateCommitCounts = { held: 0, carriedOut: 0, conflicting: 0 };
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly store: Pick<SharedStoreEmulator, 'applyLate'>,
    private readonly random: RandomSource,
  ) {}

  /** Holds a commit back with the probability `share`; returns whether it did. */
  takes(commit: StoreCommit, share: number): boolean {
    if (share === 0 || this.random.fraction() >= share) return false;
    const delay = SHORTEST_DELAY + this.random.fraction() * (LONGEST_DELAY - SHORTEST_DELAY);
    this.counts.held += 1;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      this.carryOut(commit);
    }, delay);
    this.timers.add(timer);
    return true;
  }

  /** Whether commits are held back that may still be carried out. */
  get areUnderWay(): boolean {
    return this.timers.size > 0;
  }

  /** Drops the commits that are held back. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private carryOut(commit: StoreCommit): void {
    const isCarriedOut = this.store.applyLate(commit).kind === 'committed';
    if (isCarriedOut) this.counts.carriedOut += 1;
    else this.counts.conflicting += 1;
  }
}
