/**
 * The bodies of one domain on disk: the database, an index of its names in memory, and what
 * happens when the database turns out damaged. Its calls must not overlap.
 */
import { existsSync } from 'node:fs';
import { mkdir, rename, rm } from 'node:fs/promises';
import path from 'node:path';
import type { ChangeDetails } from '../core/state-change.js';
import { MEBIBYTE } from '../core/units.js';
import type { BodyName } from '../ledger/messages.js';
import { type BodyFacts, nameKeyOf } from './body-record.js';
import type { DiskBudget, DiskStats } from './disk-stats.js';
import { DomainDatabase, levelErrorCode } from './domain-database.js';

/** What the domains of one folder share. */
export interface FolderState {
  readonly budget: DiskBudget;
  readonly stats: DiskStats;
  readonly logChange: (change: string, details: ChangeDetails) => void;
}

/** Where the files of one domain are. */
export interface DomainPlace {
  readonly domain: string;
  /** Folder of the database. */
  readonly folder: string;
  /** Where a damaged database is moved; the one before it is deleted. */
  readonly asideFolder: string;
}

interface IndexedBody extends BodyFacts {
  readonly name: BodyName;
}

/** Bytes of deleted bodies after which a database is compacted. */
const COMPACTION_BYTES = 16 * MEBIBYTE;

/** The bodies of one domain. */
export class DomainBodies {
  private readonly index = new Map<string, IndexedBody>();
  private deletedBytes = 0;

  private constructor(
    private readonly place: DomainPlace,
    private readonly state: FolderState,
    private database: DomainDatabase,
  ) {}

  /** Opens the domain's database; a damaged one is set aside and an empty one opened. */
  static async open(place: DomainPlace, state: FolderState): Promise<DomainBodies> {
    try {
      return await DomainBodies.openStored(place, state);
    } catch (error) {
      await setAside(place, state, error);
    }
    return DomainBodies.openStored(place, state);
  }

  private static async openStored(place: DomainPlace, state: FolderState): Promise<DomainBodies> {
    const bodies = new DomainBodies(place, state, await DomainDatabase.open(place.folder));
    try {
      await bodies.readNames();
    } catch (error) {
      await bodies.abandon();
      throw error;
    }
    return bodies;
  }

  /** Names of all bodies. */
  names(): BodyName[] {
    return [...this.index.values()].map((body) => body.name);
  }

  /** Writes a body if it is not there yet; the caller has checked that it has room. */
  async persist(name: BodyName, body: string, facts: BodyFacts): Promise<void> {
    if (this.index.has(nameKeyOf(name))) return;
    await this.guard('write', () => this.database.write(name, body, facts));
    this.add({ name, ...facts });
    this.state.stats.bodiesPersisted += 1;
  }

  /** Whether a body is named here. */
  has(name: BodyName): boolean {
    return this.index.has(nameKeyOf(name));
  }

  /** Deletes a body. */
  async forget(name: BodyName): Promise<void> {
    const known = this.index.get(nameKeyOf(name));
    if (known === undefined) return;
    await this.guard('write', () => this.database.remove(name));
    this.drop(known);
    this.state.stats.bodiesForgotten += 1;
    this.deletedBytes += known.bytes;
    if (this.deletedBytes < COMPACTION_BYTES) return;
    this.deletedBytes = 0;
    await this.guard('write', () => this.database.compact());
  }

  /** Reads a body; `null` where it is missing or damaged, which deletes it. */
  async load(name: BodyName): Promise<string | null> {
    const { stats } = this.state;
    if (!this.has(name)) {
      stats.bodiesMissing += 1;
      return null;
    }
    const result = await this.guard('read', () => this.database.read(name));
    if (result.kind === 'body') {
      stats.bodiesLoaded += 1;
      return result.body;
    }
    if (result.kind === 'missing') stats.bodiesMissing += 1;
    else stats.bodiesDamaged += 1;
    await this.forget(name);
    return null;
  }

  /** Deletes bodies written before a time. */
  async expire(before: number): Promise<void> {
    for (const { name, writtenAt } of [...this.index.values()]) {
      if (writtenAt < before) await this.forget(name);
    }
  }

  /** Closes the database. */
  close(): Promise<void> {
    return this.database.close();
  }

  /** Closes the database and gives its room back; the caller deletes the files. */
  async abandon(): Promise<void> {
    for (const body of [...this.index.values()]) this.drop(body);
    await this.database.close();
  }

  private async readNames(): Promise<void> {
    const { budget, stats } = this.state;
    const scan = await this.database.scan(budget.bodiesLimit - budget.bodies);
    stats.bodiesDamaged += scan.dropped;
    for (const entry of scan.entries) {
      this.add(entry);
      if (budget.bytes > budget.bytesLimit) await this.forget(entry.name);
    }
  }

  /**
   * Runs one use of the database. When the database turns out damaged, it is set aside. An I/O
   * error of a write means no such thing, as with a file system that is full.
   */
  private async guard<Result>(kind: 'read' | 'write', use: () => Promise<Result>): Promise<Result> {
    try {
      return await use();
    } catch (error) {
      if (kind === 'write' && levelErrorCode(error) === 'LEVEL_IO_ERROR') throw error;
      await this.abandon();
      await setAside(this.place, this.state, error);
      this.database = await DomainDatabase.open(this.place.folder);
      throw error;
    }
  }

  private add(body: IndexedBody): void {
    this.index.set(nameKeyOf(body.name), body);
    this.state.budget.take(body.bytes);
  }

  private drop(body: IndexedBody): void {
    if (this.index.delete(nameKeyOf(body.name))) this.state.budget.release(body.bytes);
  }
}

async function setAside(place: DomainPlace, state: FolderState, error: unknown): Promise<void> {
  await rm(place.asideFolder, { recursive: true, force: true });
  await mkdir(path.dirname(place.asideFolder), { recursive: true });
  if (existsSync(place.folder)) await rename(place.folder, place.asideFolder);
  state.stats.databasesSetAside += 1;
  const { domain } = place;
  state.logChange('database set aside', { domain, reason: levelErrorCode(error) });
}
