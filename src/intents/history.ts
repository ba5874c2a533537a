/**
 * The history of operators' changes: one record a change, written in the same transaction as the
 * change itself, so that a record exists exactly when the change took effect.
 */
import type { DrainTarget } from '../config-feed/configuration.js';
import type { IntentName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import type { KeyValueEntry } from '../platform/key-value.js';
import type { FieldChange, PlanUse } from './plan.js';

/** History records live below this prefix; they do not reach nodes through the feed. */
export const HISTORY_PREFIX = '/wardwing/history/';

/** Digits of a revision in a key, so that keys sort as numbers do. */
const REVISION_DIGITS = 16;

/** One confirmed change of an intent. */
export interface IntentChangeRecord extends PlanUse {
  readonly kind: 'intent';
  readonly planId: string;
  readonly intent: IntentName;
  readonly diff: readonly FieldChange[];
}

/** One drain set or taken back. */
export interface DrainChangeRecord extends PlanUse {
  readonly kind: 'drain';
  readonly target: DrainTarget;
  readonly reason: string;
  readonly drained: boolean;
}

/** One change an operator made. */
export type HistoryRecord = IntentChangeRecord | DrainChangeRecord;

/** A record together with the revision at which it took effect. */
export interface DatedHistoryRecord {
  readonly revision: Revision;
  readonly record: HistoryRecord;
}

/**
 * Key of a record. The revision is the one read before the change was written, which orders the
 * records of one intent; the exact order over all intents is that of the records' own revisions.
 */
export function historyKey(readAtRevision: Revision, changeId: string): string {
  const digits = String(readAtRevision).padStart(REVISION_DIGITS, '0');
  return `${HISTORY_PREFIX}${digits}-${changeId}`;
}

/** Reads the records of a range over {@link HISTORY_PREFIX}, oldest first. */
export function readHistory(entries: readonly KeyValueEntry[]): DatedHistoryRecord[] {
  return entries
    .map((entry) => ({
      revision: entry.modRevision,
      record: JSON.parse(entry.value) as HistoryRecord,
    }))
    .sort((left, right) => left.revision - right.revision);
}

/** The change that gave an intent its present revision; both have the same revision. */
export function intentChangeAt(
  records: readonly DatedHistoryRecord[],
  intent: IntentName,
  revision: Revision,
): IntentChangeRecord | undefined {
  return records
    .filter((dated) => dated.revision === revision)
    .map((dated) => dated.record)
    .find((record): record is IntentChangeRecord => {
      return record.kind === 'intent' && record.intent === intent;
    });
}

/** The history as operators see it. */
export function historyDocument(
  records: readonly DatedHistoryRecord[],
): Readonly<Record<string, unknown>> {
  return { changes: records.map(({ revision, record }) => changeDocument(revision, record)) };
}

function changeDocument(
  revision: Revision,
  record: HistoryRecord,
): Readonly<Record<string, unknown>> {
  const { kind, account, changeId } = record;
  const common = { revision, kind, account, change_id: changeId };
  if (record.kind === 'intent') {
    return { ...common, intent: record.intent, plan_id: record.planId, diff: record.diff };
  }
  const { target, reason, drained } = record;
  return { ...common, target, reason, drained };
}
