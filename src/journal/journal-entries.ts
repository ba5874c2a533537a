/**
 * Entries of a zone's journal, and the requests to its replicas. The journal holds what the shared
 * store could not accept yet: that a job was created, pages of its results, and that it ended.
 */
import * as z from 'zod';
import { looseRecord } from '../core/open-record.js';
import { HOUR, type Milliseconds } from '../core/units.js';
import { RESULT, SPECIFICATION } from '../jobs/job-records.js';
import { type DiskId, REPLICA_LOCATION } from './replica-location.js';

/** Term of the owner that wrote an entry; absent in entries of older builds. */
const TERM = z.number().optional();

const KNOWN_ENTRY = z.discriminatedUnion('kind', [
  /** The job was accepted. */
  looseRecord({
    kind: z.literal('created'),
    spec: SPECIFICATION,
    replicas: z.array(REPLICA_LOCATION),
    /**
     * Fencing token under which the zone accepted the trainer's jobs; absent from builds without
     * trainer records.
     */
    trainerTerm: z.number().optional(),
    term: TERM,
  }),
  /** Results at successive positions; becomes the page with this number in the shared store. */
  looseRecord({
    kind: z.literal('page'),
    number: z.number(),
    results: z.array(RESULT),
    term: TERM,
  }),
  looseRecord({ kind: z.literal('ended'), term: TERM }),
]);

export type JournalEntry = z.infer<typeof KNOWN_ENTRY>;

const KNOWN_KINDS: ReadonlySet<string> = new Set<JournalEntry['kind']>([
  'created',
  'page',
  'ended',
]);

/**
 * An entry whose kind only a newer build knows. Replicas store it and owners ignore it. It carries
 * its own key, because this build can't derive one.
 */
const UNKNOWN_ENTRY = looseRecord({ kind: z.string(), key: z.string() }).refine(
  ({ kind }) => !KNOWN_KINDS.has(kind),
);

/** An entry as replicas store it; the static type covers only the kinds that this build knows. */
export const JOURNAL_ENTRY = z.union([KNOWN_ENTRY, UNKNOWN_ENTRY]) as unknown as typeof KNOWN_ENTRY;

/** What became of a job before its claim was released. */
const CLAIM_RELEASE = looseRecord({
  /** Whether the shared store may still create the job for an earlier claimant. */
  mayBeStored: z.boolean(),
  /** Whether items of the job may have run, so that it must not be reported as not run. */
  mayHaveRun: z.boolean(),
});

/** A claim that its node gave up without accepting the job. */
export type ClaimRelease = z.infer<typeof CLAIM_RELEASE>;

/** The owner that writes a job's entries. Each term has one owner, and terms only rise. */
export const JOURNAL_HOLDER = looseRecord({
  job: z.string(),
  term: z.number(),
  /** Incarnation of the node that writes. */
  writer: z.string(),
  /** Set if the writer has released its claim; nobody writes under the term then. */
  release: CLAIM_RELEASE.optional(),
});

/** Prefix of the writer of a released claim, so that older builds take the writer for terminated. */
const RELEASED_WRITER_PREFIX = 'released/';

/**
 * Prefix of the holders' keys that stand for the rights of zones to accept the jobs of a trainer, in
 * place of a job.
 */
export const TRAINER_KEY_PREFIX = 'job/trainer/';

/**
 * Time for which the right of a zone to accept a trainer's jobs outlasts its last change. A zone that
 * lost its right uses its cached copy for a shorter time.
 */
export const RIGHT_RETENTION: Milliseconds = 24 * HOUR;

export type JournalHolder = z.infer<typeof JOURNAL_HOLDER>;

/** The holder that replaces one whose claim is released. */
export function releasedHolder(holder: JournalHolder, release: ClaimRelease): JournalHolder {
  const { job, term, writer } = holder;
  return { job, term, writer: `${RELEASED_WRITER_PREFIX}${writer}`, release };
}

/** Whether a holder stands for the release of another one's claim. */
export function isReleaseOf(holder: JournalHolder, { term, writer }: JournalHolder): boolean {
  const isReleased = holder.release !== undefined && holder.term === term;
  return isReleased && holder.writer === `${RELEASED_WRITER_PREFIX}${writer}`;
}

/** Key of an entry within its job; an entry replaces the one stored under the same key. */
export function keyOfEntry(entry: JournalEntry): string {
  const { kind, key }: { readonly kind: string; readonly key?: string } = entry;
  if (entry.kind === 'page') return `page/${entry.number}`;
  return isKnownEntry(entry) ? kind : (key ?? kind);
}

/** The same entry as written by the owner of a term. */
export function withTerm(entry: JournalEntry, term: number): JournalEntry {
  return { ...entry, term };
}

/** The same entry without the term of its writer. */
function withoutTerm(entry: JournalEntry): JournalEntry {
  const { term: _, ...content } = entry;
  return content as JournalEntry;
}

/**
 * Merges the entries of several replicas, without their terms. Of different entries under one key,
 * the one of the latest owner is taken: that owner had found or replaced the others.
 */
export function latestEntries(entries: readonly JournalEntry[]): JournalEntry[] {
  const latest = new Map<string, JournalEntry>();
  for (const entry of entries) {
    const key = keyOfEntry(entry);
    const other = latest.get(key);
    if (other === undefined || termOf(entry) > termOf(other)) latest.set(key, entry);
  }
  return [...latest.values()].map(withoutTerm);
}

function termOf({ term = 0 }: JournalEntry): number {
  return term;
}

/** Whether this build knows the kind of an entry. */
export function isKnownEntry(entry: JournalEntry): boolean {
  return KNOWN_KINDS.has(entry.kind);
}

/** Answer of a replica to a claim, append or release. */
export type ReplicaAnswer =
  /** The change is synced; from now on only a holder with a higher term can replace this one. */
  | { readonly kind: 'granted'; readonly entries: readonly JournalEntry[] }
  /** Another holder writes the job. */
  | { readonly kind: 'refused'; readonly holder: JournalHolder }
  /** The replica no longer has the disk that the request names. */
  | { readonly kind: 'other-disk' }
  /** The disk rejected the write, or the replica is being drained. */
  | { readonly kind: 'unwritable' };

export type JournalRequest =
  /** Makes the sender the holder of the job; answered with the job's entries. */
  | {
      readonly kind: 'journal-claim';
      readonly disk: DiskId;
      readonly holder: JournalHolder;
    }
  /** Stores entries; without entries, checks that the sender is still the holder. */
  | {
      readonly kind: 'journal-append';
      readonly disk: DiskId;
      readonly holder: JournalHolder;
      readonly entries: readonly JournalEntry[];
    }
  /**
   * Removes the entries under these keys, which are now in the shared store. With `release`, also
   * releases the claim if the sender holds it; older builds ignore that field.
   */
  | {
      readonly kind: 'journal-release';
      readonly disk: DiskId;
      readonly holder: JournalHolder;
      readonly keys: readonly string[];
      readonly release?: ClaimRelease;
    }
  /** Whether the replica holds entries of a job. */
  | { readonly kind: 'journal-look'; readonly job: string }
  /** Lists the jobs with entries, which the shared store may lack. */
  | { readonly kind: 'journal-list' }
  /** Like `journal-list`; before it answers, the replica stops storing entries until it restarts. */
  | { readonly kind: 'journal-drain' };

/** The jobs with entries on the disk of a replica. */
export interface JournalList {
  readonly disk: DiskId;
  readonly jobs: readonly JournalHolder[];
}

/** Answers by the kind of the request. */
export interface JournalAnswers {
  readonly 'journal-claim': ReplicaAnswer;
  readonly 'journal-append': ReplicaAnswer;
  readonly 'journal-release': ReplicaAnswer;
  readonly 'journal-look': { readonly disk: DiskId; readonly holdsEntries: boolean };
  readonly 'journal-list': JournalList;
  readonly 'journal-drain': JournalList;
}
