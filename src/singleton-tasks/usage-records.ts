/** What is kept of usage in the shared store: reports as they are sent, and counts not reported yet. */
import * as z from 'zod';
import type { SharedStore, StoreItem } from '../shared-store/shared-store.js';
import { ABSENT } from '../shared-store/shared-store.js';
import type { UsageReport } from './cloud-port.js';
import type { SourceCounts } from './usage-counts.js';
import type { WindowNumber } from './usage-windows.js';

const PREFIX = 'duty/usage/';
const REPORTS = `${PREFIX}report/`;
const COUNTS = `${PREFIX}counts/`;

const REPORT = z.object({ window: z.number(), counts: z.record(z.string(), z.number()) });

/** Counts by source and window, as pairs. */
const COUNTS_RECORD = z.array(
  z.object({
    source: z.string(),
    windows: z.array(z.tuple([z.number(), z.array(z.tuple([z.string(), z.number()]))])),
  }),
);

/** All that is kept. */
export interface KeptUsage {
  readonly reports: ReadonlyMap<WindowNumber, UsageReport>;
  /** A source may stand in several records. */
  readonly counts: readonly SourceCounts[];
  /** Keys of records that are older than asked for. */
  readonly outdated: readonly string[];
}

/** What came of keeping a report. */
export type KeepOutcome =
  | { readonly kind: 'kept'; readonly report: UsageReport }
  | { readonly kind: 'unavailable' };

/** Reads and writes the records of usage. */
export class UsageRecords {
  constructor(
    private readonly store: SharedStore,
    /** Told of a record that can't be read. */
    private readonly noteUnreadable: (key: string) => void,
  ) {}

  /** Reads what is kept of the windows from `oldest` on; `undefined` where the store is away. */
  async read(oldest: WindowNumber): Promise<KeptUsage | undefined> {
    const outcome = await this.store.range(PREFIX);
    if (outcome.kind === 'failed') return undefined;
    const reports = new Map<WindowNumber, UsageReport>();
    const counts: SourceCounts[] = [];
    const outdated: string[] = [];
    for (const item of outcome.items) {
      const isRecent = item.key.startsWith(REPORTS)
        ? this.takeReport(item, oldest, reports)
        : this.takeCounts(item, oldest, counts);
      if (!isRecent) outdated.push(item.key);
    }
    return { reports, counts, outdated };
  }

  /**
   * Keeps the report of a window before it is sent for the first time. Where one is kept already,
   * that one is given back: no two different reports of a window ever leave the fleet.
   */
  async keep(report: UsageReport, outdated: readonly string[]): Promise<KeepOutcome> {
    const key = `${REPORTS}${report.window}`;
    const put = [{ key, value: JSON.stringify(report) }];
    const expected = [{ key, revision: ABSENT }];
    const outcome = await this.store.commit({ expected, put, remove: outdated });
    if (outcome.kind === 'committed') return { kind: 'kept', report };
    if (outcome.kind !== 'conflict') return { kind: 'unavailable' };
    const read = await this.store.get(key);
    const kept =
      read.kind === 'item' && read.item !== undefined ? this.parse(read.item) : undefined;
    return kept === undefined ? { kind: 'unavailable' } : { kind: 'kept', report: kept };
  }

  /** Keeps counts that are not reported yet, under the name of who keeps them; tells whether it did. */
  async keepCounts(keeper: string, counts: readonly SourceCounts[]): Promise<boolean> {
    const record = counts.map(({ source, counts: windows }) => ({
      source,
      windows: [...windows].map(([window, totals]) => [window, [...totals]]),
    }));
    const put = [{ key: `${COUNTS}${keeper}`, value: JSON.stringify(record) }];
    return (await this.store.commit({ expected: [], put })).kind === 'committed';
  }

  private takeReport(
    item: StoreItem,
    oldest: WindowNumber,
    reports: Map<WindowNumber, UsageReport>,
  ): boolean {
    const report = this.parse(item);
    // One that can't be read is left alone: another text must not take its place.
    if (report === undefined) return true;
    if (report.window < oldest) return false;
    reports.set(report.window, report);
    return true;
  }

  private takeCounts(item: StoreItem, oldest: WindowNumber, counts: SourceCounts[]): boolean {
    const record = this.decode(COUNTS_RECORD, item) ?? [];
    const recent = record.map(({ source, windows }) => ({
      source,
      counts: new Map(
        windows
          .filter(([window]) => window >= oldest)
          .map(([window, totals]) => [window, new Map(totals)] as const),
      ),
    }));
    const told = recent.filter((entry) => entry.counts.size > 0);
    counts.push(...told);
    return told.length > 0;
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
      this.noteUnreadable(key);
      return undefined;
    }
    const parsed = schema.safeParse(json);
    if (!parsed.success) this.noteUnreadable(key);
    return parsed.data;
  }
}
