/** What clients may take of one process, by the limits of its machine. */
import { KIBIBYTE, MEBIBYTE } from '../core/units.js';

/** The limits of a machine for one process. */
export interface MachineLimits {
  /** @default 350 MiB */
  readonly memoryBytes: number;
  /** @default 4,096 */
  readonly descriptors: number;
}

export const DEFAULT_MACHINE_LIMITS: MachineLimits = {
  memoryBytes: 350 * MEBIBYTE,
  descriptors: 4_096,
};

/** Most connections at each address, and bytes held for all requests there. */
export interface ProcessLimits {
  readonly callerConnections: number;
  readonly peerConnections: number;
  /** For each of the addresses for readiness and metrics. */
  readonly probeConnections: number;
  readonly callerBytes: number;
  readonly peerBytes: number;
  /** The machine's memory for the process. */
  readonly memoryBytes: number;
}

/** The rest is kept for connections to workers, peers and the store, for files and for the log. */
const CALLER_DESCRIPTOR_SHARE = 3 / 8;
const PEER_DESCRIPTOR_SHARE = 1 / 4;
const PROBE_DESCRIPTOR_SHARE = 1 / 32;
const MAX_PROBE_CONNECTIONS = 64;

/** The rest is kept for the heap, which collects garbage late, and for the process itself. */
const CALLER_MEMORY_SHARE = 1 / 6;
const PEER_MEMORY_SHARE = 1 / 16;

/** Heads that have not ended take memory which no holding counts. */
const HEAD_MEMORY_SHARE = 1 / 4;
export const MAX_HEAD_BYTES = 64 * KIBIBYTE;

export function processLimitsOf({ memoryBytes, descriptors }: MachineLimits): ProcessLimits {
  const heads = (HEAD_MEMORY_SHARE * memoryBytes) / MAX_HEAD_BYTES;
  const atLeastOne = (count: number): number => Math.max(1, Math.floor(count));
  return {
    callerConnections: atLeastOne(Math.min(CALLER_DESCRIPTOR_SHARE * descriptors, heads)),
    peerConnections: atLeastOne(Math.min(PEER_DESCRIPTOR_SHARE * descriptors, heads)),
    probeConnections: atLeastOne(
      Math.min(PROBE_DESCRIPTOR_SHARE * descriptors, MAX_PROBE_CONNECTIONS),
    ),
    callerBytes: CALLER_MEMORY_SHARE * memoryBytes,
    peerBytes: PEER_MEMORY_SHARE * memoryBytes,
    memoryBytes,
  };
}
