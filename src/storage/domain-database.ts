/**
 * The bodies of one residency domain in a LevelDB database of their own. Writes are not synced:
 * a body lost with the machine's power is fetched from peers. What is read is checked against
 * its digest.
 */
import { ClassicLevel } from 'classic-level';
import { contentDigest } from '../core/hashing.js';
import { MEBIBYTE } from '../core/units.js';
import type { BodyName } from '../ledger/messages.js';
import {
  BODY_RANGE,
  type BodyEntry,
  type BodyFacts,
  bodyKeyOf,
  decodeEntry,
  encodeFacts,
  FORMAT_KEY,
  FORMAT_VERSION,
  NAME_RANGE,
  nameKeyOf,
} from './body-record.js';

/** Bytes of blocks that one database caches; bodies are rarely read twice. */
const CACHE_BYTES = MEBIBYTE;

/** What a scan of the names found. */
export interface NameScan {
  readonly entries: readonly BodyEntry[];
  /** Damaged entries and those beyond the limit; they have been deleted. */
  readonly dropped: number;
}

/** How a read ended. */
export type ReadResult =
  | { readonly kind: 'body'; readonly body: string }
  | { readonly kind: 'missing' }
  /** The body does not match its digest. */
  | { readonly kind: 'damaged' };

/** The code of an error of the library, e.g. `LEVEL_CORRUPTION` or `LEVEL_LOCKED`. */
export function levelErrorCode(error: unknown): string {
  const { code, cause } = (error ?? {}) as { code?: unknown; cause?: unknown };
  if (cause !== undefined) return levelErrorCode(cause);
  return typeof code === 'string' ? code : 'UNKNOWN';
}

/** The format version of a database is not the one this program writes. */
class WrongFormatError extends Error {
  readonly code = 'WRONG_FORMAT';
}

/** One open database. */
export class DomainDatabase {
  private constructor(private readonly level: ClassicLevel) {}

  /** Opens or creates a database; rejects where it is damaged or of another format. */
  static async open(folder: string): Promise<DomainDatabase> {
    const level = new ClassicLevel(folder, { cacheSize: CACHE_BYTES });
    await level.open();
    const database = new DomainDatabase(level);
    try {
      await database.checkFormat();
    } catch (error) {
      await level.close();
      throw error;
    }
    return database;
  }

  /** Reads the names of all bodies, at most `limit`; deletes what is damaged or beyond. */
  async scan(limit: number): Promise<NameScan> {
    const entries: BodyEntry[] = [];
    const bad: string[] = [];
    for await (const [key, value] of this.level.iterator(NAME_RANGE)) {
      const entry = entries.length < limit ? decodeEntry(key, value) : undefined;
      if (entry === undefined) bad.push(key);
      else entries.push(entry);
    }
    const keys = bad.flatMap((key) => [key, key.replace(NAME_RANGE.gte, BODY_RANGE.gte)]);
    await this.level.batch(keys.map((key) => ({ type: 'del', key })));
    return { entries, dropped: bad.length };
  }

  /** Writes a body and its naming entry. */
  write(name: BodyName, body: string, facts: BodyFacts): Promise<void> {
    return this.level.batch([
      { type: 'put', key: nameKeyOf(name), value: encodeFacts(name, facts) },
      { type: 'put', key: bodyKeyOf(name), value: body },
    ]);
  }

  /** Deletes a body. */
  remove(name: BodyName): Promise<void> {
    return this.level.batch([
      { type: 'del', key: nameKeyOf(name) },
      { type: 'del', key: bodyKeyOf(name) },
    ]);
  }

  /** Reads a body; rejects where the database is damaged. */
  async read(name: BodyName): Promise<ReadResult> {
    const body = await this.level.get(bodyKeyOf(name));
    if (body === undefined) return { kind: 'missing' };
    if (contentDigest(body) !== name.digest) return { kind: 'damaged' };
    return { kind: 'body', body };
  }

  /** Gives the room of deleted bodies back to the file system. */
  compact(): Promise<void> {
    return this.level.compactRange(BODY_RANGE.gte, BODY_RANGE.lt);
  }

  /** Closes the database. */
  close(): Promise<void> {
    return this.level.close();
  }

  private async checkFormat(): Promise<void> {
    const format = await this.level.get(FORMAT_KEY);
    if (format === FORMAT_VERSION) return;
    const isEmpty = (await this.level.keys({ limit: 1 }).all()).length === 0;
    if (!isEmpty) throw new WrongFormatError(`format ${format ?? 'missing'}`);
    await this.level.put(FORMAT_KEY, FORMAT_VERSION, { sync: true });
  }
}
