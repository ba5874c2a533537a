/** Usage records in the shared store: final reports, and counts that are not reported yet. */
import * as z from 'zod';
import type { Revision } from '../core/units.js';
import type { SharedStore, StoreCondition, StoreItem } from '../shared-store/shared-store.js';
import { ABSENT } from '../shared-store/shared-store.js';
import type { UsageReport } from './cloud-port.js';
import type { SourceCounts, UsageSource } from './usage-counts.js';
import type { WindowNumber } from './usage-windows.js';

const PREFIX = 'duty/usage/';
const REPORTS = `${PREFIX}report/`;
const COUNTS = `${PREFIX}counts/`;

const REPORT = z.object({ window: z.number(), counts: z.record(z.string(), z.number()) });

/** Counts by source and window; maps are encoded as pairs. */
const COUNTS_RECORD = z.array(
  z.object({
    source: z.string(),
    windows: z.array(z.tuple([z.number(), z.array(z.tuple([z.string(), z.number()]))])),
  }),
);

/** All usage records of the requested windows. */
export interface StoredUsage {
  readonly reports: ReadonlyMap<WindowNumber, UsageReport>;
  /** May contain a source several times. */
  readonly counts: readonly SourceCounts[];
  /** Records that are no longer needed, as they were read; one report removes no more. */
  readonly outdated: readonly StoreCondition[];
}

interface StoredReport {
  readonly item: StoreItem;
  readonly report: UsageReport;
}

/** Outcome of storing a report; carries the report that the store holds. */
export type StoreReportOutcome =
  | { readonly kind: 'kept'; readonly report: UsageReport }
  | { readonly kind: 'unavailable' };

/**
 * Newest reports that are never removed, as a node whose clock is behind may send them again. Older
 * builds remove all outdated records in one commit, which has to stay within the limit of a store.
 */
const RETAINED_REPORTS = 16;

/** Keeps a commit within the 32 entries that stores may allow; each removal has a condition too. */
const MAX_REMOVED_PER_REPORT = 15;

/** The second attempt follows a conflict with an earlier commit whose answer was lost. */
const STORE_COUNTS_ATTEMPTS = 2;

/** Reads and writes usage records. */
export class UsageRecords {
  /** Last known revisions of the counts that this node stored, by key. */
  private readonly countsRevisions = new Map<string, Revision>();
  /** Resolves once the last write of counts has ended. */
  private lastCountsWrite: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly store: SharedStore,
    /** Called with the key of a record that can't be parsed. */
    private readonly onUnreadable: (key: string) => void,
  ) {}

  /** Reads the records of the windows from `oldest` on; `undefined` if the store is unavailable. */
  async read(oldest: WindowNumber): Promise<StoredUsage | undefined> {
    const outcome = await this.store.range(PREFIX);
    if (outcome.kind === 'failed') return undefined;
    const reports = new Map<WindowNumber, UsageReport>();
    const counts: SourceCounts[] = [];
    const outdated: StoreCondition[] = [];
    const storedReports: StoredReport[] = [];
    for (const item of outcome.items) {
      if (!item.key.startsWith(REPORTS)) {
        if (!this.addCounts(item, oldest, counts)) outdated.push(conditionOf(item));
        continue;
      }
      const report = this.parse(item);
      // A report that can't be parsed is not removed, because no other may replace it.
      if (report !== undefined) storedReports.push({ item, report });
    }
    storedReports.sort((a, b) => b.report.window - a.report.window);
    for (const [rank, { item, report }] of storedReports.entries()) {
      if (report.window >= oldest) reports.set(report.window, report);
      else if (rank >= RETAINED_REPORTS) outdated.push(conditionOf(item));
    }
    return { reports, counts, outdated: outdated.slice(0, MAX_REMOVED_PER_REPORT) };
  }

  /**
   * Stores the report of a window before it is first sent. If the store already holds one, returns
   * that one, so that no two different reports of a window are ever sent. Outdated records are
   * removed with it, unless one of them has changed; the caller then reads them again.
   */
  async storeReport(
    report: UsageReport,
    outdated: readonly StoreCondition[],
  ): Promise<StoreReportOutcome> {
    const key = `${REPORTS}${report.window}`;
    const outcome = await this.store.commit({
      expected: [{ key, revision: ABSENT }, ...outdated],
      put: [{ key, value: JSON.stringify(report) }],
      remove: outdated.map((record) => record.key),
    });
    if (outcome.kind === 'committed') {
      for (const removed of outdated) this.countsRevisions.delete(removed.key);
      return { kind: 'kept', report };
    }
    if (outcome.kind !== 'conflict') return { kind: 'unavailable' };
    const read = await this.store.get(key);
    const stored =
      read.kind === 'item' && read.item !== undefined ? this.parse(read.item) : undefined;
    return stored === undefined ? { kind: 'unavailable' } : { kind: 'kept', report: stored };
  }

  /**
   * Stores unreported counts under a key of the writing incarnation, so that no writer replaces the
   * counts of another; returns whether it succeeded. Counts are stored in the order of the calls.
   */
  storeCounts(writer: UsageSource, counts: readonly SourceCounts[]): Promise<boolean> {
    const record = counts.map(({ source, counts: windows }) => ({
      source,
      windows: [...windows].map(([window, totals]) => [window, [...totals]]),
    }));
    const value = JSON.stringify(record);
    const write = this.lastCountsWrite.then(() => this.putCounts(`${COUNTS}${writer}`, value));
    this.lastCountsWrite = write;
    return write;
  }

  /** Replaces counts under their last known revision, as an unanswered commit may still take effect. */
  private async putCounts(key: string, value: string): Promise<boolean> {
    for (let attempt = 0; attempt < STORE_COUNTS_ATTEMPTS; attempt += 1) {
      const revision = this.countsRevisions.get(key) ?? ABSENT;
      const outcome = await this.store.commit({
        expected: [{ key, revision }],
        put: [{ key, value }],
      });
      if (outcome.kind === 'committed') this.countsRevisions.set(key, outcome.revision);
      if (outcome.kind !== 'conflict') return outcome.kind === 'committed';
      const read = await this.store.get(key);
      if (read.kind === 'failed') return false;
      this.countsRevisions.set(key, read.item?.revision ?? ABSENT);
    }
    return false;
  }

  private addCounts(item: StoreItem, oldest: WindowNumber, counts: SourceCounts[]): boolean {
    const record = this.decode(COUNTS_RECORD, item) ?? [];
    const recent = record.map(({ source, windows }) => ({
      source,
      counts: new Map(
        windows
          .filter(([window]) => window >= oldest)
          .map(([window, totals]) => [window, new Map(totals)] as const),
      ),
    }));
    const nonEmpty = recent.filter((entry) => entry.counts.size > 0);
    counts.push(...nonEmpty);
    return nonEmpty.length > 0;
  }

  private parse(item: StoreItem): UsageReport | undefined {
    return this.decode(REPORT, item);
  }

  private decode<Schema extends z.ZodType>(
    schema: Schema,
    { key, value }: StoreItem,
  ): z.infer<Schema> | undefined {
    let json: unknown;
    try {
      json = JSON.parse(value);
    } catch {
      this.onUnreadable(key);
      return undefined;
    }
    const parsed = schema.safeParse(json);
    if (!parsed.success) this.onUnreadable(key);
    return parsed.data;
  }
}

function conditionOf({ key, revision }: StoreItem): StoreCondition {
  return { key, revision };
}
