/**
 * The data folder of a node: bodies of ledger replicas, one database for each residency domain.
 * A cache: whatever is lost, damaged or refused here is fetched from peers. Requests are carried
 * out one at a time, in the order given. See docs/design/storage.md.
 */
import { mkdir, readdir, rm } from 'node:fs/promises';
import path from 'node:path';
import { Subject } from 'rxjs';
import type { ChangeDetails } from '../core/state-change.js';
import { MEBIBYTE, MINUTE } from '../core/units.js';
import type { DiskBodyName, DiskRequest } from '../ledger/ledger.js';
import { createDiskStats, DiskBudget, type DiskStats } from './disk-stats.js';
import { DomainBodies, type FolderState } from './domain-bodies.js';
import { FolderLock } from './folder-lock.js';

/** Settings of {@link BodyFolder}. */
export interface BodyFolderOptions {
  /** The folder; created where it does not exist. */
  readonly folder: string;
  /** Bytes of bodies at most, 256 more counted for each. */
  readonly bytesLimit: number;
  /** Bodies at most, which bounds the scan at the start. @default 100000 */
  readonly bodiesLimit?: number;
  /** Bytes of bodies waiting to be written at most. @default 16 MiB */
  readonly backlogLimit?: number;
  /** Age at which a body is deleted, in milliseconds. @default 60 min */
  readonly lifetime?: number;
  /** Wall clock, milliseconds since 1970. @default Date.now */
  readonly wallClock?: () => number;
  /** Takes changes of state, for the log. @default none */
  readonly logChange?: (change: string, details: ChangeDetails) => void;
}

/** The answer to a `load` request. */
export interface LoadedBody {
  readonly name: DiskBodyName;
  /** `null` where it cannot be read. */
  readonly body: string | null;
}

const DEFAULTS = {
  bodiesLimit: 100_000,
  backlogLimit: 16 * MEBIBYTE,
  lifetime: 60 * MINUTE,
  wallClock: Date.now,
  logChange: (): void => {},
};

/** Time between two searches for what must go, in milliseconds. */
const UPKEEP_INTERVAL = MINUTE;

const BODIES = 'bodies';
const SET_ASIDE = 'set-aside';
const LOCK = 'lock';
/** Keeps names like `..` from meaning another folder. */
const DOMAIN_PREFIX = 'domain-';

/** An open data folder. */
export class BodyFolder {
  /** Answers to `load` requests. */
  readonly loaded = new Subject<LoadedBody>();
  private readonly domains = new Map<string, DomainBodies>();
  private readonly state: FolderState;
  private allowed: ReadonlySet<string> = new Set();
  private last: Promise<void> = Promise.resolve();
  private backlogBytes = 0;
  private isFull = false;
  /** Whether files of other domains may still be there. */
  private mustDelete = false;
  private readonly upkeepTimer: NodeJS.Timeout;

  private constructor(
    private readonly options: Required<BodyFolderOptions>,
    private readonly lock: FolderLock,
  ) {
    this.state = {
      budget: new DiskBudget(options.bytesLimit, options.bodiesLimit),
      stats: createDiskStats(),
      logChange: options.logChange,
    };
    this.upkeepTimer = setInterval(() => this.keepUp(), UPKEEP_INTERVAL);
    this.upkeepTimer.unref();
  }

  /** Opens a folder; rejects with `DataFolderInUseError` where another process has it open. */
  static async open(options: BodyFolderOptions): Promise<BodyFolder> {
    const { folder } = options;
    await mkdir(path.join(folder, BODIES), { recursive: true });
    const lock = await FolderLock.take(folder, path.join(folder, LOCK));
    const opened = new BodyFolder({ ...DEFAULTS, ...options }, lock);
    try {
      for (const domain of await opened.storedDomains(BODIES)) await opened.domain(domain);
      await opened.expire();
    } catch (error) {
      await opened.close();
      throw error;
    }
    return opened;
  }

  /** Names of all bodies on the disk, to be asked for right after the start. */
  found(): DiskBodyName[] {
    return [...this.domains].flatMap(([domain, bodies]) =>
      bodies.names().map((name) => ({ domain, ...name })),
    );
  }

  /** Counts so far. */
  stats(): Readonly<DiskStats> {
    return this.state.stats;
  }

  /** Bytes and number of bodies on the disk. */
  usage(): { readonly bytes: number; readonly bodies: number } {
    const { bytes, bodies } = this.state.budget;
    return { bytes, bodies };
  }

  /** Carries out a request after those given before; never throws. */
  perform(request: DiskRequest): void {
    switch (request.kind) {
      case 'persist':
        this.persistLater(request.name, request.body);
        return;
      case 'forget':
        this.enqueue(async () => this.domains.get(request.name.domain)?.forget(request.name));
        return;
      case 'load':
        this.enqueue(() => this.load(request.name));
        return;
      case 'keep-domains':
        this.allowed = new Set(request.domains);
        this.mustDelete = true;
        this.enqueue(() => this.deleteOthers());
        return;
    }
  }

  /** Resolves once all requests so far have been carried out. */
  idle(): Promise<void> {
    return this.last;
  }

  /** Ends the requests so far, closes the databases and gives the folder up. */
  async close(): Promise<void> {
    clearInterval(this.upkeepTimer);
    await this.last;
    for (const bodies of this.domains.values()) await bodies.close();
    await this.lock.release();
    this.loaded.complete();
  }

  private enqueue(work: () => Promise<void>): void {
    this.last = this.last.then(work).catch(() => {
      this.state.stats.failures += 1;
    });
  }

  private persistLater(name: DiskBodyName, body: string): void {
    const bytes = Buffer.byteLength(body);
    if (this.backlogBytes + bytes > this.options.backlogLimit) {
      this.state.stats.refusedBusy += 1;
      return;
    }
    this.backlogBytes += bytes;
    this.enqueue(async () => {
      this.backlogBytes -= bytes;
      await this.persist(name, body, bytes);
    });
  }

  private async persist(name: DiskBodyName, body: string, bytes: number): Promise<void> {
    const { budget, stats } = this.state;
    if (!this.allowed.has(name.domain)) {
      stats.refusedResidency += 1;
      return;
    }
    this.noteFull(!budget.hasRoomFor(bytes));
    if (this.isFull) {
      stats.refusedFull += 1;
      return;
    }
    const bodies = await this.domain(name.domain);
    await bodies.persist(name, body, { bytes, writtenAt: this.options.wallClock() });
  }

  private async load(name: DiskBodyName): Promise<void> {
    let body: string | null = null;
    try {
      body = (await this.domains.get(name.domain)?.load(name)) ?? null;
    } finally {
      this.loaded.next({ name, body });
    }
  }

  /** Deletes what is past its lifetime, and tries again what could not be deleted before. */
  private keepUp(): void {
    this.enqueue(() => this.expire());
    if (this.mustDelete) this.enqueue(() => this.deleteOthers());
  }

  private async deleteOthers(): Promise<void> {
    for (const place of [BODIES, SET_ASIDE]) {
      for (const domain of await this.storedDomains(place)) {
        if (!this.allowed.has(domain)) await this.deleteDomain(domain, place);
      }
    }
    this.mustDelete = false;
  }

  private async deleteDomain(domain: string, place: string): Promise<void> {
    if (place === BODIES) {
      await this.domains.get(domain)?.abandon();
      this.domains.delete(domain);
    }
    await rm(this.pathOf(place, domain), { recursive: true, force: true });
    this.state.stats.domainsDeleted += 1;
    this.state.logChange('domain deleted from disk', { domain, place });
  }

  private async expire(): Promise<void> {
    const before = this.options.wallClock() - this.options.lifetime;
    for (const bodies of this.domains.values()) await bodies.expire(before);
  }

  private noteFull(isFull: boolean): void {
    if (isFull === this.isFull) return;
    this.isFull = isFull;
    const { bytes, bodies } = this.state.budget;
    const change = isFull ? 'data folder full' : 'data folder has room';
    this.state.logChange(change, { bytes, bodies });
  }

  private async domain(domain: string): Promise<DomainBodies> {
    let bodies = this.domains.get(domain);
    if (bodies === undefined) {
      const folder = this.pathOf(BODIES, domain);
      const asideFolder = this.pathOf(SET_ASIDE, domain);
      bodies = await DomainBodies.open({ domain, folder, asideFolder }, this.state);
      this.domains.set(domain, bodies);
    }
    return bodies;
  }

  private async storedDomains(place: string): Promise<string[]> {
    const folder = path.join(this.options.folder, place);
    await mkdir(folder, { recursive: true });
    const names = await readdir(folder);
    return names.flatMap((name) => domainOf(name) ?? []);
  }

  private pathOf(place: string, domain: string): string {
    return path.join(this.options.folder, place, DOMAIN_PREFIX + encodeURIComponent(domain));
  }
}

/** The domain that a folder's name stands for; `undefined` for names this program never gives. */
function domainOf(folderName: string): string | undefined {
  if (!folderName.startsWith(DOMAIN_PREFIX)) return undefined;
  try {
    return decodeURIComponent(folderName.slice(DOMAIN_PREFIX.length));
  } catch {
    return undefined;
  }
}
