/**
 * What a zone's journal holds of jobs: that a job was taken in, pages of its results, and its end,
 * each from the moment on at which the shared store did not take it until it has.
 */
import * as z from 'zod';
import { openRecord } from '../core/open-record.js';
import { RESULT, SPECIFICATION } from '../jobs/job-records.js';
import { type DiskId, REPLICA_LOCATION } from './replica-location.js';

const KNOWN_ENTRY = z.discriminatedUnion('kind', [
  /** All of the job is kept from now on. */
  openRecord({
    kind: z.literal('created'),
    spec: SPECIFICATION,
    replicas: z.array(REPLICA_LOCATION),
  }),
  /** Results at successive positions, as the page of this number in the shared store will be. */
  openRecord({ kind: z.literal('page'), number: z.number(), results: z.array(RESULT) }),
  /** The job has ended. */
  openRecord({ kind: z.literal('ended') }),
]);

/** One entry of a job. */
export type JournalEntry = z.infer<typeof KNOWN_ENTRY>;

const KNOWN_KINDS: ReadonlySet<string> = new Set<JournalEntry['kind']>([
  'created',
  'page',
  'ended',
]);

/**
 * An entry of a kind that only a newer build knows. A replica keeps it; an owner passes over it. It
 * tells itself under which key it is kept.
 */
const UNKNOWN_ENTRY = openRecord({ kind: z.string(), key: z.string() }).refine(
  ({ kind }) => !KNOWN_KINDS.has(kind),
);

/** An entry as replicas keep it. The type names the kinds that an owner may act on. */
export const JOURNAL_ENTRY = z.union([KNOWN_ENTRY, UNKNOWN_ENTRY]) as unknown as typeof KNOWN_ENTRY;

/** Who writes a job's entries: one owner in each term, and each owner's term is higher. */
export const JOURNAL_HOLDER = openRecord({
  job: z.string(),
  term: z.number(),
  /** The life of the node that writes. */
  writer: z.string(),
});

/** Who writes a job's entries. */
export type JournalHolder = z.infer<typeof JOURNAL_HOLDER>;

/** What tells the entries of one job apart; an entry under a key that exists takes its place. */
export function keyOfEntry(entry: JournalEntry): string {
  const { kind, key }: { readonly kind: string; readonly key?: string } = entry;
  if (entry.kind === 'page') return `page/${entry.number}`;
  return isKnownEntry(entry) ? kind : (key ?? kind);
}

/** Whether an entry is of a kind that this build knows. */
export function isKnownEntry(entry: JournalEntry): boolean {
  return KNOWN_KINDS.has(entry.kind);
}

/** A replica's answer to a holder. */
export type ReplicaAnswer =
  /** It is on the disk, and no other holder can write from now on but under a higher term. */
  | { readonly kind: 'granted'; readonly entries: readonly JournalEntry[] }
  /** Another holder writes the job. */
  | { readonly kind: 'refused'; readonly holder: JournalHolder }
  /** The disk that was meant is gone. */
  | { readonly kind: 'other-disk' }
  /** The disk takes nothing. */
  | { readonly kind: 'unwritable' };

/** A question to a replica. */
export type JournalRequest =
  /** I write this job's entries from now on: what do you hold of it? */
  | {
      readonly kind: 'journal-claim';
      readonly disk: DiskId;
      readonly holder: JournalHolder;
    }
  /** Keep these entries; without any: am I still the holder? */
  | {
      readonly kind: 'journal-append';
      readonly disk: DiskId;
      readonly holder: JournalHolder;
      readonly entries: readonly JournalEntry[];
    }
  /** The shared store has the entries under these keys: you need not hold them any longer. */
  | {
      readonly kind: 'journal-release';
      readonly disk: DiskId;
      readonly holder: JournalHolder;
      readonly keys: readonly string[];
    }
  /** Do you hold entries of this job? */
  | { readonly kind: 'journal-look'; readonly job: string }
  /** Which jobs do you hold that the shared store may not know? */
  | { readonly kind: 'journal-list' };

/** The answers to the questions, by kind. */
export interface JournalAnswers {
  readonly 'journal-claim': ReplicaAnswer;
  readonly 'journal-append': ReplicaAnswer;
  readonly 'journal-release': ReplicaAnswer;
  readonly 'journal-look': { readonly disk: DiskId; readonly holdsEntries: boolean };
  readonly 'journal-list': { readonly disk: DiskId; readonly jobs: readonly JournalHolder[] };
}
