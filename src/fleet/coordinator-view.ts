/**
 * This node's view of the coordinator's records in the store: the changes that it received, and the
 * commits that it made. A commit succeeds only if the view was current.
 */
import type { Milliseconds, Revision } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import {
  ABSENT,
  type LeaseId,
  type SharedStore,
  type StoreChange,
  type StoreCommit,
} from '../shared-store/shared-store.js';
import {
  LOCK_KEY,
  type LockRecord,
  lockOf,
  parseLock,
  parseTerm,
  TERM_KEY,
  type TermRecord,
} from './coordinator-records.js';

export class CoordinatorView {
  private currentLock: LockRecord | undefined;
  private currentLockRevision: Revision = ABSENT;
  private lastTerm: TermRecord | undefined;
  private termRevision: Revision = ABSENT;
  private lockFreeSince: Milliseconds = 0;

  constructor(
    private readonly store: SharedStore,
    private readonly clock: Pick<Clock, 'now'>,
  ) {}

  /** The lock; `undefined` if it is free. */
  get lock(): LockRecord | undefined {
    return this.currentLock;
  }

  get lockRevision(): Revision {
    return this.currentLockRevision;
  }

  /** The last term, also after its lock was removed; `undefined` if there is none, or an unreadable one. */
  get term(): TermRecord | undefined {
    return this.lastTerm;
  }

  /** Whether nobody has held the lock yet. */
  get isBeforeFirstTerm(): boolean {
    return this.termRevision === ABSENT;
  }

  /** Steady time at which the lock became free, or at which an attempt to acquire it ended. */
  get freeSince(): Milliseconds {
    return this.lockFreeSince;
  }

  /** Lets the delays of an attempt to acquire the lock begin anew. */
  restartDelays(): void {
    this.lockFreeSince = this.clock.now();
  }

  apply(change: StoreChange): void {
    const { key, value, revision } = change;
    if (key === TERM_KEY && value !== undefined) this.noteTerm(parseTerm(value), revision);
    if (key !== LOCK_KEY || revision < this.currentLockRevision) return;
    if (value === undefined) this.noteFree();
    else this.noteLock(parseLock(value), revision);
  }

  /**
   * Stores a new lock under a lease, together with its term. Returns its revision; `undefined` if the
   * lock was not acquired, may yet be acquired late, or has been replaced since.
   */
  async acquire(lease: LeaseId, term: TermRecord): Promise<Revision | undefined> {
    const lock = lockOf(term);
    const outcome = await this.store.commit({
      expected: this.expectedItems,
      put: [
        { key: LOCK_KEY, value: JSON.stringify(lock), lease },
        { key: TERM_KEY, value: JSON.stringify(term) },
      ],
    });
    const revision =
      outcome.kind === 'committed' ? outcome.revision : await this.resolveUnconfirmed(term.nonce);
    if (revision === undefined || revision < this.currentLockRevision) return undefined;
    this.noteLock(lock, revision);
    this.noteTerm(term, revision);
    return revision;
  }

  /** Replaces the record of the term while the lock stays as it is; never rejects. */
  async replaceTerm(term: TermRecord): Promise<void> {
    const value = JSON.stringify(term);
    const { expectedItems: expected } = this;
    const outcome = await this.store.commit({ expected, put: [{ key: TERM_KEY, value }] });
    if (outcome.kind === 'committed') this.noteTerm(term, outcome.revision);
    else await this.readTerm();
  }

  private get expectedItems(): StoreCommit['expected'] {
    return [
      { key: LOCK_KEY, revision: this.currentLockRevision },
      { key: TERM_KEY, revision: this.termRevision },
    ];
  }

  /**
   * After an unanswered or conflicting commit: the revision of the lock if this attempt acquired it.
   * Both records are read, as a watch may lag behind.
   */
  private async resolveUnconfirmed(nonce: string): Promise<Revision | undefined> {
    const lock = await this.store.get(LOCK_KEY);
    if (lock.kind !== 'item') return undefined;
    const { item } = lock;
    if (item !== undefined && parseLock(item.value)?.nonce === nonce) return item.revision;
    await this.readTerm();
    if (item !== undefined) this.apply(item);
    else if (this.currentLock !== undefined) this.noteFree();
    return undefined;
  }

  private async readTerm(): Promise<void> {
    const term = await this.store.get(TERM_KEY);
    if (term.kind === 'item' && term.item !== undefined) this.apply(term.item);
  }

  private noteLock(lock: LockRecord | undefined, revision: Revision): void {
    this.currentLock = lock;
    this.currentLockRevision = revision;
  }

  private noteTerm(term: TermRecord | undefined, revision: Revision): void {
    if (revision < this.termRevision) return;
    this.lastTerm = term;
    this.termRevision = revision;
  }

  private noteFree(): void {
    this.noteLock(undefined, ABSENT);
    this.restartDelays();
  }
}
