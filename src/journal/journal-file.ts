/**
 * Keeps changes of a journal in a file that only grows, one line for each with a checksum before it.
 * A change is kept once the file has been synced. After a loss of power lines behind the last sync
 * may be missing or torn; reading ends at the first that is not whole, as nothing behind it was
 * confirmed. A start writes what is left into a new file, which lasts with its own sync, and only
 * then removes the old ones; a torn end is thereby never written behind.
 *
 * A line that is whole and that this build can't read is one of a newer build, which ran here before:
 * it is passed over, and written again as it is, for that build to find.
 */
import { randomUUID } from 'node:crypto';
import { type FileHandle, mkdir, open, readdir, readFile, rm } from 'node:fs/promises';
import path from 'node:path';
import * as z from 'zod';
import { FORMAT_FIELD, OWN_FORMAT } from '../core/format-version.js';
import { placementHash } from '../core/hashing.js';
import { openRecord } from '../core/open-record.js';
import { JOURNAL_ENTRY, JOURNAL_HOLDER } from './journal-entries.js';
import type { JournalChange } from './journal-state.js';
import type { DiskId } from './replica-location.js';

const FILE_PATTERN = /^journal-(\d+)\.log$/;

/** Digits of a file's number in its name, so that names sort as numbers do. */
const NUMBER_DIGITS = 8;

const LINE = z.discriminatedUnion('kind', [
  openRecord({ kind: z.literal('disk'), disk: z.string(), format: FORMAT_FIELD }),
  openRecord({
    kind: z.literal('held'),
    holder: JOURNAL_HOLDER,
    entries: z.array(JOURNAL_ENTRY),
    at: z.number(),
  }),
  openRecord({
    kind: z.literal('released'),
    holder: JOURNAL_HOLDER,
    keys: z.array(z.string()),
    at: z.number(),
  }),
]);

/** A line of a newer build, as it stands in the file. */
interface UnreadLine {
  readonly kind: 'unread';
  readonly text: string;
}

type Line = z.infer<typeof LINE> | UnreadLine;

/** What was found in the files of a folder. */
export interface JournalContent {
  readonly disk: DiskId;
  /** In the order in which they were made. */
  readonly changes: readonly JournalChange[];
  /** Lines of a newer build. */
  readonly unread: readonly UnreadLine[];
}

/** The files of one replica. */
export class JournalFile {
  private handle: FileHandle | undefined;
  private number = 0;
  private size = 0;

  private constructor(
    private readonly folder: string,
    /** The life of the disk that the folder is on. */
    readonly disk: DiskId,
    private readonly unread: readonly UnreadLine[],
  ) {}

  /**
   * Reads a folder and begins a new file in it with what is still of use; an empty folder is a new
   * disk. Rejects where the disk takes nothing.
   */
  static async open(
    folder: string,
    select: (content: JournalContent) => readonly JournalChange[],
  ): Promise<JournalFile> {
    await mkdir(folder, { recursive: true });
    const names = await journalNames(folder);
    const content = await readAll(folder, names);
    const file = new JournalFile(folder, content.disk, content.unread);
    file.number = numberOf(names.at(-1));
    await file.startAnew(select(content));
    return file;
  }

  /** Lines of a newer build, which are kept and not read. */
  get unreadLines(): number {
    return this.unread.length;
  }

  /** Bytes of the file that is written to. */
  get bytes(): number {
    return this.size;
  }

  /** Keeps changes; resolves once they are on the disk, and rejects where they may not be. */
  async append(changes: readonly JournalChange[]): Promise<void> {
    if (this.handle === undefined) throw new Error('the journal has no file to write to');
    try {
      await this.writeLines(this.handle, changes);
    } catch (error) {
      // What stands at the end of the file now is not known: nothing is written behind it.
      await this.handle.close().catch(() => undefined);
      this.handle = undefined;
      throw error;
    }
  }

  /** Whether a write has failed, so that only a new file takes more. */
  get isBroken(): boolean {
    return this.handle === undefined;
  }

  /** Begins a new file with the given changes in place of all before, and removes the old ones. */
  async startAnew(changes: readonly JournalChange[]): Promise<void> {
    const old = await journalNames(this.folder);
    this.number += 1;
    const name = `journal-${String(this.number).padStart(NUMBER_DIGITS, '0')}.log`;
    const handle = await open(path.join(this.folder, name), 'w');
    this.size = 0;
    try {
      const first = { kind: 'disk', disk: this.disk, format: OWN_FORMAT } as const;
      await this.writeLines(handle, [first, ...this.unread, ...changes]);
    } catch (error) {
      await handle.close().catch(() => undefined);
      await rm(path.join(this.folder, name), { force: true });
      throw error;
    }
    await this.handle?.close().catch(() => undefined);
    this.handle = handle;
    for (const before of old) await rm(path.join(this.folder, before), { force: true });
  }

  /** Writes no more. */
  async close(): Promise<void> {
    await this.handle?.close();
    this.handle = undefined;
  }

  private async writeLines(handle: FileHandle, lines: readonly (Line | JournalChange)[]) {
    const text = lines.map(encodeLine).join('');
    await handle.appendFile(text);
    await handle.datasync();
    this.size += Buffer.byteLength(text);
  }
}

function encodeLine(line: Line | JournalChange): string {
  const text = line.kind === 'unread' ? line.text : JSON.stringify(line);
  return `${placementHash(text)} ${text}\n`;
}

/** A line; `undefined` where it is not whole. */
function decodeLine(text: string): Line | undefined {
  const space = text.indexOf(' ');
  const body = text.slice(space + 1);
  if (space < 0 || Number(text.slice(0, space)) !== placementHash(body)) return undefined;
  return LINE.safeParse(JSON.parse(body)).data ?? { kind: 'unread', text: body };
}

async function journalNames(folder: string): Promise<string[]> {
  const names = await readdir(folder);
  return names.filter((name) => FILE_PATTERN.test(name)).sort();
}

function numberOf(name: string | undefined): number {
  return Number(FILE_PATTERN.exec(name ?? '')?.[1] ?? 0);
}

async function readAll(folder: string, names: readonly string[]): Promise<JournalContent> {
  let disk: DiskId | undefined;
  const changes: JournalChange[] = [];
  const unread: UnreadLine[] = [];
  for (const name of names) {
    const text = await readFile(path.join(folder, name), 'utf8');
    for (const line of wholeLines(text)) {
      if (line.kind === 'disk') disk ??= line.disk;
      else if (line.kind === 'unread') unread.push(line);
      else changes.push(line);
    }
  }
  // A process that ended while it began a file left some of them in two.
  const texts = new Set(unread.map(({ text }) => text));
  const kept = [...texts].map((text) => ({ kind: 'unread', text }) as const);
  return { disk: disk ?? randomUUID(), changes, unread: kept };
}

/** Lines up to the first that is not whole; an end without a line feed was torn. */
function wholeLines(text: string): Line[] {
  const lines: Line[] = [];
  for (const part of text.split('\n').slice(0, -1)) {
    const line = decodeLine(part);
    if (line === undefined) return lines;
    lines.push(line);
  }
  return lines;
}
