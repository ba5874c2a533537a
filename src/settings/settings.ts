/** The settings of one node, checked and with defaults filled in. */
import type { AccountName, RegionName, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';

/** Who this node is and where it listens. */
export interface NodeSettings {
  /** Stable name of the node's place in the fleet. */
  readonly name: string;
  readonly zone: ZoneName;
  readonly region: RegionName;
  /** Name of the machine that runs the process. */
  readonly machine: string;
  /** `ip:port` for callers, trainers and operators. */
  readonly listen: string;
  /** `ip:port` for other nodes. */
  readonly peerListen: string;
  /** Address by which other nodes reach this one; the one listened on unless set. */
  readonly peerAdvertise: string;
  /** Folder for bulk data; `null` on a machine without a disk. @default null */
  readonly dataFolder: string | null;
}

/** Where the platform's services are. */
export interface PlatformSettings {
  /** `ip:port` of each endpoint of the key-value service; at least one. */
  readonly keyValue: readonly string[];
  /** `ip:port` of the machine list. */
  readonly machineList: string;
}

/** One zone of the fleet. */
export interface ZoneSettings {
  readonly name: ZoneName;
  readonly region: RegionName;
}

/** The shape of the whole fleet; the same on every node. */
export interface FleetSettings {
  readonly zones: readonly ZoneSettings[];
  /** Shards of the ledger in each residency domain. @default 4 */
  readonly shardsPerDomain: number;
  /** Replicas of each shard; odd. @default 3 */
  readonly replicas: number;
}

/** What an account may do. */
export type AccountRole = 'trainer' | 'caller' | 'operator';

/** One account that may call this node. */
export interface AccountSettings {
  readonly name: AccountName;
  readonly role: AccountRole;
  /** SHA-256 of the account's token, 64 hexadecimal digits in lower case. */
  readonly tokenDigest: string;
}

/** What nodes show each other. */
export interface PeerSettings {
  /** Token shared by all nodes, without surrounding white space; never logged. */
  readonly token: string;
}

/** Limits that bound a node's memory. Sizes are in bytes. */
export interface LimitSettings {
  /** Largest request body. @default 4194304 */
  readonly maxBodyBytes: number;
  /** Largest request header block. @default 16384 */
  readonly maxHeaderBytes: number;
  /** Time in which a request body must have arrived, in milliseconds. @default 10000 */
  readonly bodyTimeout: Milliseconds;
  /** Most connections of callers at once. @default 1024 */
  readonly maxConnections: number;
  /** Most results kept by the ledger replicas of this node. @default 67108864 */
  readonly maxResultBytes: number;
}

/** Times, in milliseconds. */
export interface TimingSettings {
  /** Age from which the configuration is no longer fresh. @default 6000 */
  readonly freshnessBound: Milliseconds;
  /** Longest time a stop waits for running work. @default 60000 */
  readonly stopTimeout: Milliseconds;
  /** Deadline of a request that names none. @default 60000 */
  readonly requestTimeout: Milliseconds;
  /** Timeout of one request to the key-value service. @default 2000 */
  readonly keyValueTimeout: Milliseconds;
  /** Time between two reads of the machine list. @default 1000 */
  readonly machineListInterval: Milliseconds;
}

/** Levels of the log, quietest last. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Everything a node is told. */
export interface Settings {
  readonly node: NodeSettings;
  readonly platform: PlatformSettings;
  readonly fleet: FleetSettings;
  readonly accounts: readonly AccountSettings[];
  readonly peers: PeerSettings;
  readonly limits: LimitSettings;
  readonly timing: TimingSettings;
  readonly log: {
    /** @default 'info' */
    readonly level: LogLevel;
  };
}
