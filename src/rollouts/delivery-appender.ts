/**
 * Appends finished samples to a step's delivery log, several at a time, and keeps track of what
 * the log holds. The versions that made a sample are checked here once more, at the moment of the
 * change, with the newest version known then.
 */
import type { GenerationResult } from '../core/generation.js';
import type { NodePorts, RegisterAddress } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import { checkHandOver, type HandOverVerdict } from '../weights/staleness-bound.js';
import { appendEntries, closeLog, isSealed, pageOf } from './delivery-log.js';
import { readPages } from './delivery-log-reader.js';
import {
  type ClosingMark,
  type DeliveryEntry,
  type DeliveryPage,
  pageKey,
  type StepRecord,
} from './records.js';

/** What the owner of the appender is told. */
export interface DeliveryListener {
  /** These entries are in the log now, whoever put them there; in the order of the log. */
  delivered(entries: readonly DeliveryEntry[]): void;
  /** The log is closed. */
  closed(): void;
  /** A result was dropped: the versions that made it may not be handed over. */
  inadmissible(sampleKey: string, reason: string): void;
}

/** What the checks at hand-over need of an answer. */
type SampleVersions = Pick<GenerationResult, 'segments' | 'tokenCount'>;

/** No intent allows the step here any more. */
type SampleVerdict = HandOverVerdict | { readonly kind: 'intent-ended' };

interface PendingEntry {
  readonly entry: DeliveryEntry;
  readonly answer: SampleVersions;
}

/** Time given to one ledger operation. */
const LEDGER_TIMEOUT: Milliseconds = 2 * SECOND;
/** Pause after a failed ledger operation. */
const RETRY_PAUSE: Milliseconds = 200;

/** The delivery log of one step as its driver sees it. */
export class DeliveryAppender {
  private readonly deliveredKeys = new Set<string>();
  private readonly pending = new Map<string, PendingEntry>();
  private page = 0;
  private busy = false;
  private loaded = false;
  private over = false;
  private closing: ClosingMark | null = null;
  private pausedUntil: Milliseconds = 0;

  constructor(
    private readonly node: NodePorts,
    private readonly stepKey: string,
    private readonly record: StepRecord,
    private readonly listener: DeliveryListener,
  ) {}

  /** How many samples the log is known to hold. */
  get deliveredCount(): number {
    return this.deliveredKeys.size;
  }

  /** Reads the log from its first page; calls back once the last page is known. */
  load(done: () => void): void {
    if (this.busy || this.loaded) return;
    this.busy = true;
    readPages(this.node, this.record.intent, this.stepKey, this.page, (pages) => {
      this.busy = false;
      if (pages === null) {
        this.node.schedule(RETRY_PAUSE, () => this.load(done));
        return;
      }
      for (const page of pages) this.absorb(page);
      if (this.over) return;
      if (pages.every(isSealed)) {
        this.load(done);
        return;
      }
      this.loaded = true;
      done();
    });
  }

  /** Reads what another driver may have appended meanwhile. */
  refresh(): void {
    if (!this.loaded || this.busy || this.over) return;
    this.loaded = false;
    this.load(() => this.append());
  }

  /** Takes in a finished sample whose body is stored. */
  add(entry: DeliveryEntry, result: GenerationResult): void {
    if (this.over || this.deliveredKeys.has(entry.key)) {
      this.node.counters.increment('samples_late');
      return;
    }
    const { segments, tokenCount } = result;
    this.pending.set(entry.key, { entry, answer: { segments, tokenCount } });
    this.append();
  }

  /** Closes the log as soon as the operation in flight is over. */
  close(mark: ClosingMark): void {
    this.closing ??= mark;
    this.append();
  }

  /** Goes on after a pause. */
  tick(): void {
    if (this.pending.size > 0 || this.closing !== null) this.append();
  }

  private append(): void {
    const now = this.node.now();
    if (this.busy || this.over || now < this.pausedUntil) return;
    const change = this.nextChange();
    if (change === null) return;
    if (this.closing === null && !this.node.isFresh()) return;
    this.busy = true;
    this.node.ledger.change(this.addressOf(this.page), change, now + LEDGER_TIMEOUT, (outcome) => {
      this.busy = false;
      if (outcome.kind !== 'changed') {
        this.pausedUntil = this.node.now() + RETRY_PAUSE;
        return;
      }
      this.absorb(pageOf(outcome.value, this.page));
      this.dropInadmissible();
      this.append();
    });
  }

  private nextChange(): ReturnType<typeof appendEntries> | null {
    if (this.closing !== null) return closeLog(this.page, this.closing);
    if (this.pending.size === 0) return null;
    const entries = [...this.pending.values()].map((pending) => pending.entry);
    const unique = this.node.mechanisms['result-claim'];
    return appendEntries(this.page, entries, (entry) => this.verdict(entry.key) === null, unique);
  }

  private absorb(page: DeliveryPage): void {
    const fresh = page.entries.filter((entry) => !this.deliveredKeys.has(entry.key));
    for (const entry of fresh) this.absorbEntry(entry);
    if (fresh.length > 0) this.listener.delivered(fresh);
    if (page.closed !== null) {
      this.finish();
      return;
    }
    if (isSealed(page)) this.page += 1;
  }

  private absorbEntry(entry: DeliveryEntry): void {
    this.deliveredKeys.add(entry.key);
    const own = this.pending.get(entry.key);
    if (own === undefined) return;
    this.pending.delete(entry.key);
    const counter = own.entry.digest === entry.digest ? 'samples_delivered' : 'samples_late';
    this.node.counters.increment(counter);
  }

  private finish(): void {
    if (this.over) return;
    this.over = true;
    this.node.counters.increment('samples_late', this.pending.size);
    this.node.counters.increment('steps_closed');
    this.pending.clear();
    this.listener.closed();
  }

  private dropInadmissible(): void {
    for (const key of [...this.pending.keys()]) {
      const verdict = this.verdict(key);
      if (verdict === null || verdict.kind === 'hold') continue;
      this.pending.delete(key);
      this.listener.inadmissible(key, `its versions may not be handed over: ${verdict.kind}`);
    }
  }

  /** Why a sample may not be handed over with what is known now; `null` where it may. */
  private verdict(key: string): SampleVerdict | null {
    const answer = this.pending.get(key)?.answer;
    if (answer === undefined) return null;
    if (!this.node.mechanisms['staleness-check-at-hand-over']) return null;
    const configuration = this.node.configuration();
    const intent = configuration.intents.get(this.record.intent);
    if (intent === undefined) return { kind: 'intent-ended' };
    const view = { configuration, configurationFresh: this.node.isFresh() };
    const verdict = checkHandOver(view, intent, answer);
    return verdict.kind === 'allowed' ? null : verdict;
  }

  private addressOf(page: number): RegisterAddress {
    const key = pageKey(this.stepKey, page);
    return { domain: this.record.intent, shardKey: this.stepKey, key };
  }
}
