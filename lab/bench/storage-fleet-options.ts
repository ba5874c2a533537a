/** Settings and results of the restart fleet. */
import type { LedgerCounters } from '../../src/ledger/ledger.js';

/** Delay and bandwidth of a link or a disk. */
export interface ChannelSpeed {
  /** Milliseconds. */
  readonly latency: number;
  readonly bytesPerSecond: number;
}

/** What a disk does wrong after the restart, to every so-manieth body. */
export interface DiskFault {
  readonly kind: 'damaged' | 'missing' | 'silent';
  readonly every: number;
}

/** Settings of {@link RestartFleet}. */
export interface RestartFleetOptions {
  readonly seed: number;
  readonly hasDisk: boolean;
  readonly fault?: DiskFault;
  /** Default 1 ms and 1 Gbit/s. */
  readonly link?: ChannelSpeed;
  /** Default 0.2 ms and 200 MB/s. */
  readonly disk?: ChannelSpeed;
}

/** What a restart came to. */
export interface RestartReport {
  /** Bytes of messages that the new life received from peers until it was complete. */
  readonly bytesFromPeers: number;
  /** Milliseconds from the start of the new life until its group takes it in; `null` if never. */
  readonly memberAfter: number | null;
  /** Milliseconds from the new life being a member until it votes; `null` if never. */
  readonly activeAfter: number | null;
  /** Milliseconds until it holds all bodies; `null` if never. */
  readonly completeAfter: number | null;
  readonly counters: Readonly<LedgerCounters>;
  readonly bodyBytesHeld: number;
  readonly bodiesOnDisk: number;
  readonly diskRequests: number;
}

/** Speed of links where none is given. */
export const DEFAULT_LINK: ChannelSpeed = { latency: 1, bytesPerSecond: 125_000_000 };
/** Speed of disks where none is given. */
export const DEFAULT_DISK: ChannelSpeed = { latency: 0.2, bytesPerSecond: 200_000_000 };
