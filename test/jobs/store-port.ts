/** The connection of one node to the shared store, with faults that other nodes do not have. */
import type { Milliseconds } from '../../src/core/units.js';
import type { Clock } from '../../src/serving/clock.js';
import type {
  SharedStore,
  StoreCommit,
  StoreCommitOutcome,
  StoreFailure,
} from '../../src/shared-store/shared-store.js';

/** How the store serves one node. */
export type StorePortMode =
  | 'up'
  /** Calls fail at once; nothing is done. */
  | 'refusing'
  /** Calls fail after a timeout; nothing is done. */
  | 'silent'
  /** As `up`, but commits are held back until {@link StorePort.applyLateCommits}. */
  | 'late-and-unanswered'
  /** The node has ended: no call is sent or ends. */
  | 'ended';

/** Time after which a call without an answer fails. */
const CALL_TIMEOUT: Milliseconds = 900;

const NOT_DONE: StoreFailure = { kind: 'failed', effect: 'not-done' };
const UNKNOWN: StoreFailure = { kind: 'failed', effect: 'unknown' };
const NO_END = new Promise<never>(() => {});

/** Passes the calls of one node to the store. */
export class StorePort implements SharedStore {
  mode: StorePortMode = 'up';
  private lateCommits: StoreCommit[] = [];

  constructor(
    private readonly store: SharedStore,
    private readonly clock: Pick<Clock, 'sleep'>,
  ) {}

  /** Carries out the commits that were held back, each only if its conditions still hold. */
  async applyLateCommits(): Promise<void> {
    for (const commit of this.lateCommits.splice(0)) await this.store.commit(commit);
  }

  get: SharedStore['get'] = (key) => this.pass(() => this.store.get(key));
  range: SharedStore['range'] = (prefix, afterKey) =>
    this.pass(() => this.store.range(prefix, afterKey));
  watch: SharedStore['watch'] = (...watch) => this.pass(() => this.store.watch(...watch));
  grantLease: SharedStore['grantLease'] = (ttl) => this.pass(() => this.store.grantLease(ttl));
  renewLease: SharedStore['renewLease'] = (lease) => this.pass(() => this.store.renewLease(lease));

  async revokeLease(lease: number): Promise<void> {
    if (this.mode === 'up') await this.store.revokeLease(lease);
  }

  commit(commit: StoreCommit): Promise<StoreCommitOutcome> {
    return this.pass(async () => {
      if (this.mode !== 'late-and-unanswered') return this.store.commit(commit);
      this.lateCommits.push(commit);
      await this.clock.sleep(CALL_TIMEOUT);
      return UNKNOWN;
    });
  }

  private async pass<Outcome>(call: () => Promise<Outcome>): Promise<Outcome | StoreFailure> {
    if (this.mode === 'refusing') return NOT_DONE;
    if (this.mode === 'silent') {
      await this.clock.sleep(CALL_TIMEOUT);
      return UNKNOWN;
    }
    const outcome = this.mode === 'ended' ? NO_END : call();
    const answer = await outcome;
    return this.isEnded() ? NO_END : answer;
  }

  private isEnded(): boolean {
    return this.mode === 'ended';
  }
}
