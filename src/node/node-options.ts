/** Settings of a node's decision core. */
import type { AccountName, NodeRecord, RegionName, ZoneName } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { DiskBodyName } from '../ledger/ledger.js';
import { DEFAULT_RETENTION, type RetentionTimes } from '../retention/retention-sweeper.js';
import { ALL_MECHANISMS, type MechanismSwitches } from './mechanisms.js';

/** A zone of the fleet. */
export interface FleetZone {
  readonly name: ZoneName;
  readonly region: RegionName;
}

/** Options of {@link NodeCore}. */
export interface NodeCoreOptions {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly zones: readonly FleetZone[];
  /** Accounts that may publish versions of any model. */
  readonly operators: readonly AccountName[];
  /** Addresses of other nodes known from the start; the machine list adds more. @default none */
  readonly seedAddresses?: readonly string[];
  /** Members known from the start; the lab starts large fleets with it. @default none */
  readonly initialMembers?: readonly NodeRecord[];
  /** Age up to which a configuration counts as fresh, in milliseconds. @default 6000 */
  readonly freshnessBound?: Milliseconds;
  /** Replicas of each ledger group. @default 5 */
  readonly replicaCount?: number;
  /** Most bytes of bodies this node's ledger replicas hold in memory. @default 64 MiB */
  readonly maxResultBytes?: number;
  /** Ledger shards of each intent. @default 8 */
  readonly shardsPerDomain?: number;
  /** Name of the routing policy. @default "home-counting" */
  readonly routingPolicy?: string;
  /** Whether slow last samples of a step get a second copy. @default true */
  readonly hedging?: boolean;
  /** Whether a sample that ended early goes on elsewhere from the tokens it has. @default true */
  readonly resume?: boolean;
  /**
   * How many versions may be published before a sample that is resumed is too old. More room means
   * fewer samples resumed; see docs/design/resume.md. @default 0
   */
  readonly resumeRoom?: number;
  /** Longest time a stopping node waits for its work to end, in milliseconds. @default 60000 */
  readonly stopLimit?: Milliseconds;
  /** Time between polls of the machine list, in milliseconds. @default 2000 */
  readonly machineListInterval?: Milliseconds;
  /** Bodies an earlier life left on this node's disk; `null` without a disk. @default null */
  readonly diskBodies?: readonly DiskBodyName[] | null;
  /** How long ended steps and claimed requests are kept. @default see RetentionTimes */
  readonly retention?: RetentionTimes;
  /** Mechanisms; all on but in the lab. */
  readonly mechanisms?: MechanismSwitches;
}

/** Defaults of {@link NodeCoreOptions}. */
export const NODE_DEFAULTS = {
  seedAddresses: [] as readonly string[],
  initialMembers: [] as readonly NodeRecord[],
  hedging: true,
  resume: true,
  resumeRoom: 0,
  retention: DEFAULT_RETENTION,
  mechanisms: ALL_MECHANISMS,
  freshnessBound: 6_000,
  replicaCount: 5,
  maxResultBytes: 64 * 1024 * 1024,
  shardsPerDomain: 8,
  routingPolicy: 'home-counting',
  stopLimit: 60_000,
  machineListInterval: 2_000,
  diskBodies: null,
} as const;

/** Options with all defaults filled in. */
export type NodeSettings = Required<NodeCoreOptions>;

/** Fills in the defaults. */
export function resolveNodeOptions(options: NodeCoreOptions): NodeSettings {
  return { ...NODE_DEFAULTS, ...options };
}
