/** Counts of what happened in a data folder, and the room that its bodies share. */

/** Counts since the folder was opened. */
export interface DiskStats {
  bodiesPersisted: number;
  bodiesLoaded: number;
  bodiesForgotten: number;
  /** Reads of bodies that were named but not there. */
  bodiesMissing: number;
  /** Bodies or names that failed their check; deleted, never served. */
  bodiesDamaged: number;
  /** Bodies not written because the folder's limit was reached. */
  refusedFull: number;
  /** Bodies not written because too many writes were waiting. */
  refusedBusy: number;
  /** Bodies not written because their domain has no business on this node. */
  refusedResidency: number;
  databasesSetAside: number;
  domainsDeleted: number;
  /** Requests that ended with an error of the database or the file system. */
  failures: number;
}

/** A new set of counts. */
export function createDiskStats(): DiskStats {
  return {
    bodiesPersisted: 0,
    bodiesLoaded: 0,
    bodiesForgotten: 0,
    bodiesMissing: 0,
    bodiesDamaged: 0,
    refusedFull: 0,
    refusedBusy: 0,
    refusedResidency: 0,
    databasesSetAside: 0,
    domainsDeleted: 0,
    failures: 0,
  };
}

/** Bytes that a body takes next to its own: keys, the naming entry, its place in memory. */
const OVERHEAD_BYTES = 256;

/** The room that the bodies of all domains share. */
export class DiskBudget {
  bytes = 0;
  bodies = 0;

  constructor(
    readonly bytesLimit: number,
    readonly bodiesLimit: number,
  ) {}

  /** Whether a body of so many bytes has room. */
  hasRoomFor(bytes: number): boolean {
    const isWithin = this.bytes + bytes + OVERHEAD_BYTES <= this.bytesLimit;
    return isWithin && this.bodies < this.bodiesLimit;
  }

  /** Takes room. */
  take(bytes: number): void {
    this.bytes += bytes + OVERHEAD_BYTES;
    this.bodies += 1;
  }

  /** Gives room back. */
  release(bytes: number): void {
    this.bytes -= bytes + OVERHEAD_BYTES;
    this.bodies -= 1;
  }
}
