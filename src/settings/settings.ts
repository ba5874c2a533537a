/** The validated settings of one node, with defaults applied. */
import type { AccountName, RegionName, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';

/** Identity and addresses of the node. */
export interface NodeSettings {
  /** Name of the node, stable across restarts. */
  readonly name: string;
  readonly zone: ZoneName;
  readonly region: RegionName;
  /** Name of the machine that runs the process. */
  readonly machine: string;
  /** `ip:port` for callers, trainers and operators. */
  readonly listen: string;
  /** `ip:port` for other nodes. */
  readonly peerListen: string;
  /** Address at which other nodes reach this one. @default peerListen */
  readonly peerAdvertise: string;
  /** Folder for bulk data; `null` on a machine without a disk. @default null */
  readonly dataFolder: string | null;
}

/** Addresses of the services of the platform. */
export interface PlatformSettings {
  /** `ip:port` of each endpoint of the key-value service; at least one. */
  readonly keyValue: readonly string[];
  /** `ip:port` of the machine list. */
  readonly machineList: string;
}

export interface ZoneSettings {
  readonly name: ZoneName;
  readonly region: RegionName;
}

/** Topology of the fleet; the same on every node. */
export interface FleetSettings {
  readonly zones: readonly ZoneSettings[];
  /** Shards of the ledger in each residency domain. @default 4 */
  readonly shardsPerDomain: number;
  /** Replicas of each shard; odd. @default 3 */
  readonly replicas: number;
}

/** Permissions of an account. */
export type AccountRole = 'trainer' | 'caller' | 'operator';

/** An account that may call this node. */
export interface AccountSettings {
  readonly name: AccountName;
  readonly role: AccountRole;
  /** SHA-256 of the account's token, 64 hexadecimal digits in lower case. */
  readonly tokenDigest: string;
}

/** Authentication between nodes. */
export interface PeerSettings {
  /** Token shared by all nodes, without surrounding white space; never logged. */
  readonly token: string;
}

/** Limits of the memory of a node. Sizes are in bytes. */
export interface LimitSettings {
  /** Maximum size of a request body. @default 4194304 */
  readonly maxBodyBytes: number;
  /** Maximum size of the request headers. @default 16384 */
  readonly maxHeaderBytes: number;
  /** Timeout of receiving a request body, in milliseconds. @default 10000 */
  readonly bodyTimeout: Milliseconds;
  /** Maximum number of open connections of callers. @default 1024 */
  readonly maxConnections: number;
  /** Maximum size of the results stored by the ledger replicas of this node. @default 67108864 */
  readonly maxResultBytes: number;
}

/** Timeouts and intervals, in milliseconds. */
export interface TimingSettings {
  /** Age at which the configuration becomes stale. @default 6000 */
  readonly freshnessBound: Milliseconds;
  /** Maximum time that a shutdown waits for running work. @default 60000 */
  readonly stopTimeout: Milliseconds;
  /** Timeout of a request without a deadline. @default 60000 */
  readonly requestTimeout: Milliseconds;
  /** Timeout of one request to the key-value service. @default 2000 */
  readonly keyValueTimeout: Milliseconds;
  /** Polling interval of the machine list. @default 1000 */
  readonly machineListInterval: Milliseconds;
}

/** Log levels, least verbose last. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** All settings of a node. */
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
