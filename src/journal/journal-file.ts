/**
 * Append-only log of journal changes: one line per change, prefixed with a checksum and confirmed by
 * a sync. Reading stops at the first torn line, because nothing after it was confirmed. Each start
 * writes the remaining changes to a new file before it removes the old ones. Intact lines of unknown
 * kinds come from a newer build and are copied unchanged.
 */
import { randomUUID } from 'node:crypto';
import { type FileHandle, open, readdir, readFile, rm } from 'node:fs/promises';
import path from 'node:path';
import * as z from 'zod';
import { CURRENT_FORMAT_VERSION, FORMAT_VERSION_FIELD } from '../core/format-version.js';
import { placementHash } from '../core/hashing.js';
import { looseRecord } from '../core/open-record.js';
import { JOURNAL_ENTRY, JOURNAL_HOLDER } from './journal-entries.js';
import { createFolder, type FolderSync, syncFolder } from './journal-folder.js';
import type { JournalChange } from './journal-state.js';
import type { DiskId } from './replica-location.js';

const FILE_PATTERN = /^journal-(\d+)\.log$/;

/** Pads the number in a file name, so that names sort in numerical order. */
const NUMBER_DIGITS = 8;

const LINE = z.discriminatedUnion('kind', [
  looseRecord({ kind: z.literal('disk'), disk: z.string(), format: FORMAT_VERSION_FIELD }),
  looseRecord({
    kind: z.literal('held'),
    holder: JOURNAL_HOLDER,
    entries: z.array(JOURNAL_ENTRY),
    at: z.number(),
  }),
  looseRecord({
    kind: z.literal('released'),
    holder: JOURNAL_HOLDER,
    keys: z.array(z.string()),
    at: z.number(),
  }),
]);

/** An intact line of a newer build, without its checksum. */
interface UnreadLine {
  readonly kind: 'unread';
  readonly text: string;
}

type Line = z.infer<typeof LINE> | UnreadLine;

/** Content of all journal files in a folder. */
export interface JournalContent {
  readonly disk: DiskId;
  /** In the order in which they were written. */
  readonly changes: readonly JournalChange[];
  readonly unread: readonly UnreadLine[];
}

/** The journal files of one replica. */
export class JournalFile {
  private handle: FileHandle | undefined;
  private fileNumber = 0;
  private size = 0;

  private constructor(
    private readonly folder: string,
    /** Identity of the disk that holds the folder. */
    readonly disk: DiskId,
    private readonly unread: readonly UnreadLine[],
    private readonly sync: FolderSync,
  ) {}

  /**
   * Reads a folder and starts a new file with the changes that `select` returns. An empty folder
   * gets a new disk identity. Rejects if the disk can't be read or written.
   */
  static async open(
    folder: string,
    select: (content: JournalContent) => readonly JournalChange[],
    sync: FolderSync = syncFolder,
  ): Promise<JournalFile> {
    await createFolder(folder, sync);
    const names = await journalNames(folder);
    const content = await readAll(folder, names);
    const file = new JournalFile(folder, content.disk, content.unread, sync);
    file.fileNumber = numberOf(names.at(-1));
    await file.rewrite(select(content));
    return file;
  }

  /** Number of lines of a newer build, which are preserved but not interpreted. */
  get unreadLines(): number {
    return this.unread.length;
  }

  /** Size of the current file. */
  get bytes(): number {
    return this.size;
  }

  /** Resolves once the changes are synced; rejects if they may not be on the disk. */
  async append(changes: readonly JournalChange[]): Promise<void> {
    if (this.handle === undefined) throw new Error('journal file is closed or failed earlier');
    try {
      await this.writeLines(this.handle, changes);
    } catch (error) {
      // The end of the file may be torn, so nothing may be appended to it.
      await this.handle.close().catch(() => undefined);
      this.handle = undefined;
      throw error;
    }
  }

  /** Whether appends fail until {@link rewrite} starts a new file. */
  get isBroken(): boolean {
    return this.handle === undefined;
  }

  /**
   * Starts a new file with these changes only, and then removes the old files. The folder is synced
   * in between: a power failure could otherwise keep the removals and lose the new file.
   */
  async rewrite(changes: readonly JournalChange[]): Promise<void> {
    const previousFiles = await journalNames(this.folder);
    this.fileNumber += 1;
    const name = `journal-${String(this.fileNumber).padStart(NUMBER_DIGITS, '0')}.log`;
    const handle = await open(path.join(this.folder, name), 'w');
    this.size = 0;
    try {
      const diskLine = { kind: 'disk', disk: this.disk, format: CURRENT_FORMAT_VERSION } as const;
      await this.writeLines(handle, [diskLine, ...this.unread, ...changes]);
      await this.sync(this.folder);
    } catch (error) {
      await handle.close().catch(() => undefined);
      await rm(path.join(this.folder, name), { force: true });
      throw error;
    }
    await this.handle?.close().catch(() => undefined);
    this.handle = handle;
    for (const previousFile of previousFiles)
      await rm(path.join(this.folder, previousFile), { force: true });
  }

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

/** Returns `undefined` if the line is torn. */
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
    for (const line of intactLines(text)) {
      if (line.kind === 'disk') disk ??= line.disk;
      else if (line.kind === 'unread') unread.push(line);
      else changes.push(line);
    }
  }
  // A process that terminated during a rewrite leaves the same lines in two files.
  const texts = new Set(unread.map(({ text }) => text));
  const distinctUnread = [...texts].map((text) => ({ kind: 'unread', text }) as const);
  return { disk: disk ?? randomUUID(), changes, unread: distinctUnread };
}

/** Decodes lines up to the first torn one; text after the last line feed counts as torn. */
function intactLines(text: string): Line[] {
  const lines: Line[] = [];
  for (const part of text.split('\n').slice(0, -1)) {
    const line = decodeLine(part);
    if (line === undefined) return lines;
    lines.push(line);
  }
  return lines;
}
