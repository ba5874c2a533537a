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
  /** As `up`, but commits are carried out without an answer. */
  | 'commits-unanswered'
  /** As `up`, but reads fail at once. */
  | 'reads-refusing'
  /** As `up`, but reads fail after a timeout. */
  | 'reads-silent'
  /** As `reads-silent`, and so do commits; leases are renewed. */
  | 'keys-silent'
  /** As `up`, but each answer takes {@link SLOW_ANSWER_TIME}. */
  | 'slow'
  /** The node has ended: no call is sent or ends. */
  | 'ended';

/** Time after which a call without an answer fails. */
const CALL_TIMEOUT: Milliseconds = 900;

/** Time until a slow store answers. */
export const SLOW_ANSWER_TIME: Milliseconds = 400;

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

  get: SharedStore['get'] = (key) => this.read(() => this.store.get(key));
  range: SharedStore['range'] = (prefix, afterKey) =>
    this.read(() => this.store.range(prefix, afterKey));
  watch: SharedStore['watch'] = (...watch) => this.pass(() => this.store.watch(...watch));
  grantLease: SharedStore['grantLease'] = (ttl) => this.pass(() => this.store.grantLease(ttl));
  renewLease: SharedStore['renewLease'] = (lease) => this.pass(() => this.store.renewLease(lease));

  async revokeLease(lease: number): Promise<void> {
    if (this.mode === 'up') await this.store.revokeLease(lease);
  }

  commit(commit: StoreCommit): Promise<StoreCommitOutcome> {
    return this.pass(async () => {
      const isHeldBack = this.mode === 'late-and-unanswered';
      const isUnanswered = isHeldBack || this.mode === 'commits-unanswered';
      if (this.mode === 'keys-silent') return this.timeOut();
      if (isHeldBack) this.lateCommits.push(commit);
      const outcome = isHeldBack ? UNKNOWN : await this.store.commit(commit);
      return isUnanswered ? this.timeOut() : outcome;
    });
  }

  private read<Outcome>(call: () => Promise<Outcome>): Promise<Outcome | StoreFailure> {
    return this.pass(async () => {
      if (this.mode === 'reads-refusing') return NOT_DONE;
      const isSilent = this.mode === 'reads-silent' || this.mode === 'keys-silent';
      return isSilent ? this.timeOut() : call();
    });
  }

  private async timeOut(): Promise<StoreFailure> {
    await this.clock.sleep(CALL_TIMEOUT);
    return UNKNOWN;
  }

  private async pass<Outcome>(call: () => Promise<Outcome>): Promise<Outcome | StoreFailure> {
    if (this.mode === 'refusing') return NOT_DONE;
    if (this.mode === 'silent') return this.timeOut();
    if (this.mode === 'slow') await this.clock.sleep(SLOW_ANSWER_TIME / 2);
    const isSlow = this.isSlow();
    const outcome = this.mode === 'ended' ? NO_END : call();
    const answer = await outcome;
    if (isSlow) await this.clock.sleep(SLOW_ANSWER_TIME / 2);
    return this.isEnded() ? NO_END : answer;
  }

  private isSlow(): boolean {
    return this.mode === 'slow';
  }

  private isEnded(): boolean {
    return this.mode === 'ended';
  }
}
