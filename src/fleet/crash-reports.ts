/**
 * Distributes crash reports, which name the requests that a worker was running when it crashed, so
 * that every gateway rejects a crash-inducing request.
 *
 * Reports are sent directly to all live nodes, which needs no store, and stored as records that all
 * nodes watch, for nodes that start later or did not answer.
 */
import { firstValueFrom, Subject } from 'rxjs';
import * as z from 'zod';
import type { NodeId } from '../core/identity.js';
import { looseRecord } from '../core/open-record.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { EVIDENCE_LIFETIME } from '../serving/crash-evidence.js';
import type { RequestFingerprint } from '../serving/request-fingerprint.js';
import type { CrashReport } from '../serving/request-quarantine.js';
import {
  ABSENT,
  type SharedStore,
  type StoreChange,
  type StoreCommit,
} from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';

/** Crash records are stored under the prefix of the fleet. */
const CRASH_PREFIX = 'fleet/worker-end/';

/** More than one, because the first attempt may hang on a stalled connection. */
const NOTIFY_ATTEMPTS = 3;

/**
 * Delays before a failed commit is retried, doubled up to the maximum; a lease renewal that
 * succeeds ends a delay.
 */
const MIN_RETRY_DELAY: Milliseconds = 250;
const MAX_RETRY_DELAY: Milliseconds = 2_000;

/** Time for which a stopping node tries to store its reports. */
const FLUSH_TIMEOUT: Milliseconds = 1_000;

/** Stores may allow 32 entries in a commit; each key takes a condition and a write. */
const MAX_KEYS_PER_COMMIT = 16;

const CRASH_RECORD = looseRecord({
  /** Fingerprints. */
  requests: z.array(z.string()),
  /** Time of day, in milliseconds. */
  at: z.number(),
});

/** The requests that one node had running on a worker when it crashed. */
type CrashRecord = z.infer<typeof CRASH_RECORD>;

interface StoredRecord extends CrashRecord {
  readonly revision: Revision;
}

export interface CrashReportsOptions {
  readonly store: SharedStore;
  readonly self: NodeId;
  readonly liveNodes: () => readonly NodeId[];
  /** Sends a report to one node; resolves with whether the node acknowledged it. */
  readonly notifyNode: (node: NodeId, report: CrashReport) => Promise<boolean>;
  /** Called with the report of a node and the time of the crash, by this node's steady clock. */
  readonly onReport: (report: CrashReport, at: Milliseconds) => void;
  /** Called with the requests that were removed from a report. */
  readonly onWithdrawal: (report: CrashReport) => void;
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
  readonly metrics: FleetMetrics;
}

/** Sends and stores the reports of this node, and passes those of other nodes on. */
export class CrashReports {
  /** Records in the store, by key. */
  private readonly stored = new Map<string, StoredRecord>();
  /** Own records that the store has not confirmed, without what it already holds, by key. */
  private readonly unsaved = new Map<string, CrashRecord>();
  /** Answered requests that stored records may still name. */
  private readonly withdrawn = new Set<RequestFingerprint>();
  private pendingSave: Promise<void> | undefined;
  /** Fires when a failed commit is to be retried at once. */
  private readonly retries = new Subject<void>();
  private isStopped = false;

  constructor(private readonly options: CrashReportsOptions) {}

  /** Tries for a limited time to store the unsaved reports, then stops. */
  async flush(): Promise<void> {
    this.retryNow();
    await Promise.race([this.pendingSave, this.options.clock.sleep(FLUSH_TIMEOUT)]);
    this.isStopped = true;
    this.retryNow();
  }

  /** Reports a crash to all nodes. */
  report(report: CrashReport): void {
    const { self, liveNodes, clock } = this.options;
    for (const node of liveNodes()) if (node !== self) void this.notify(node, report);
    const key = `${CRASH_PREFIX}${report.worker}/${self}`;
    const previous = this.unsaved.get(key)?.requests ?? [];
    const requests = [...new Set([...previous, ...report.requests])];
    this.unsaved.set(key, { requests, at: clock.wallTime() });
    this.save();
  }

  /** Sends reports that are not stored yet to a node that has just joined. */
  sendUnsavedTo(node: NodeId): void {
    if (node === this.options.self) return;
    for (const [key, { requests }] of this.unsaved) {
      void this.notify(node, { worker: workerOf(key), requests });
    }
  }

  /** Retries a failed commit at once; called when the store answers again. */
  retryNow(): void {
    this.retries.next();
  }

  /** Removes a request from all records, as a worker has answered it. */
  withdraw(request: RequestFingerprint): void {
    this.withdrawn.add(request);
    this.save();
  }

  /** Applies a change under the prefix of the fleet. */
  applyChange({ key, value, revision }: StoreChange): void {
    if (!key.startsWith(CRASH_PREFIX)) return;
    const previous = this.stored.get(key);
    if (previous !== undefined && revision < previous.revision) return;
    const record = value === undefined ? undefined : parseRecord(value);
    if (value !== undefined && record === undefined) {
      this.options.log.state('record-unreadable', { key });
    }
    if (record === undefined) this.stored.delete(key);
    else this.stored.set(key, { ...record, revision });
    const worker = workerOf(key);
    const named = new Set(record?.requests ?? []);
    const removed = previous?.requests.filter((request) => !named.has(request)) ?? [];
    if (removed.length > 0) this.options.onWithdrawal({ worker, requests: removed });
    if (record === undefined) return;
    const { clock, onReport } = this.options;
    const age = Math.max(0, clock.wallTime() - record.at);
    if (age < EVIDENCE_LIFETIME) onReport({ worker, requests: record.requests }, clock.now() - age);
  }

  /** Removes expired records; only the coordinator calls this. */
  async removeExpired(): Promise<void> {
    const { store, clock } = this.options;
    const oldest = clock.wallTime() - EVIDENCE_LIFETIME;
    const expired = [...this.stored]
      .filter(([, { at }]) => at < oldest)
      .slice(0, MAX_KEYS_PER_COMMIT)
      .map(([key, { revision }]) => ({ key, revision }));
    if (expired.length === 0) return;
    await store.commit({ expected: expired, remove: expired.map(({ key }) => key) });
  }

  private async notify(node: NodeId, report: CrashReport): Promise<void> {
    const { notifyNode, metrics } = this.options;
    let isNotified = false;
    for (let attempt = 0; attempt < NOTIFY_ATTEMPTS && !isNotified; attempt += 1) {
      isNotified = await notifyNode(node, report);
    }
    metrics.count('crash_reports', { way: 'peer', outcome: isNotified ? 'told' : 'silent' });
  }

  private save(): void {
    this.pendingSave ??= this.saveAll();
  }

  private async saveAll(): Promise<void> {
    // `save` sets `pendingSave` before the loop starts, so that it does not overwrite the reset at
    // the end.
    await Promise.resolve();
    let delay = MIN_RETRY_DELAY;
    for (let next = this.nextCommit(); next !== undefined; next = this.nextCommit()) {
      const isCommitted = await this.commit(next);
      if (isCommitted) delay = MIN_RETRY_DELAY;
      else {
        await Promise.race([
          this.options.clock.sleep(delay),
          firstValueFrom(this.retries, { defaultValue: undefined }),
        ]);
        delay = Math.min(2 * delay, MAX_RETRY_DELAY);
      }
    }
    this.pendingSave = undefined;
  }

  /** The next commit: unsaved reports first, then records without withdrawn requests. */
  private nextCommit(): StoreCommit | undefined {
    if (this.isStopped) return undefined;
    const unsaved = [...this.unsaved].slice(0, MAX_KEYS_PER_COMMIT);
    if (unsaved.length > 0) {
      return {
        expected: unsaved.map(([key]) => ({ key, revision: this.revisionOf(key) })),
        put: unsaved.map(([key, record]) => ({
          key,
          value: JSON.stringify(this.addedToStored(key, record)),
        })),
      };
    }
    const named = [...this.stored].filter(([, record]) => this.namesWithdrawn(record));
    if (named.length === 0) {
      this.withdrawn.clear();
      return undefined;
    }
    return this.commitWithoutWithdrawn(named.slice(0, MAX_KEYS_PER_COMMIT));
  }

  private revisionOf(key: string): Revision {
    return this.stored.get(key)?.revision ?? ABSENT;
  }

  /** The stored record with the requests of an unsaved one. */
  private addedToStored(key: string, { requests, at }: CrashRecord): CrashRecord {
    const stored = this.stored.get(key);
    if (stored === undefined) return { requests, at };
    const { revision: _, ...record } = stored;
    return { ...record, requests: [...new Set([...record.requests, ...requests])], at };
  }

  private namesWithdrawn({ requests }: CrashRecord): boolean {
    return this.withdrawn.size > 0 && requests.some((request) => this.withdrawn.has(request));
  }

  private commitWithoutWithdrawn(
    records: readonly (readonly [string, StoredRecord])[],
  ): StoreCommit {
    const put: { key: string; value: string }[] = [];
    const remove: string[] = [];
    for (const [key, { revision: _, ...record }] of records) {
      const requests = record.requests.filter((request) => !this.withdrawn.has(request));
      if (requests.length === 0) remove.push(key);
      else put.push({ key, value: JSON.stringify({ ...record, requests }) });
    }
    const expected = records.map(([key, { revision }]) => ({ key, revision }));
    return { expected, put, remove };
  }

  /** Whether the next commit may follow without a delay. */
  private async commit(commit: StoreCommit): Promise<boolean> {
    const { store, metrics } = this.options;
    const sent = new Map(this.unsaved);
    const outcome = await store.commit(commit);
    metrics.count('crash_reports', { way: 'store', outcome: outcome.kind });
    if (outcome.kind !== 'committed') return false;
    for (const { key, value } of commit.put ?? []) {
      if (this.unsaved.get(key) === sent.get(key)) this.unsaved.delete(key);
      this.applyChange({ key, value, revision: outcome.revision });
    }
    for (const key of commit.remove ?? []) {
      this.applyChange({ key, value: undefined, revision: outcome.revision });
    }
    return true;
  }
}

/** Worker ids may contain slashes, node names may not. */
function workerOf(key: string): string {
  return key.slice(CRASH_PREFIX.length, key.lastIndexOf('/'));
}

function parseRecord(text: string): CrashRecord | undefined {
  try {
    return CRASH_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
