/**
 * Names of the parties of a deployment. All are plain strings taken from settings, the machine
 * list or the key-value service, and compared by equality only.
 */

/** Name of a node's place in the fleet, stable across restarts, e.g. `hall-a-1`. */
export type NodeId = string;

/**
 * One life of a node. A restarted node has a larger incarnation, so that messages meant for an
 * earlier life, and votes cast by it, can be told apart.
 */
export type Incarnation = number;

/** Name of a zone, e.g. `hall-a`. */
export type ZoneName = string;

/** Name of a region that holds one or more zones. */
export type RegionName = string;

/** Name of a model worker (one engine). */
export type WorkerId = string;

/** Name of a model, e.g. `drafts`. */
export type ModelName = string;

/** Name of a caller's account: a trainer, an interactive caller or an operator. */
export type AccountName = string;

/** Name of an intent. */
export type IntentName = string;

/** One life of one node. */
export interface NodeIdentity {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
}

/** Where a node lives and how it is reached. */
export interface NodeRecord extends NodeIdentity {
  readonly zone: ZoneName;
  readonly region: RegionName;
  /** IP address and port of the node-to-node endpoint, e.g. `127.0.0.1:7401`. */
  readonly address: string;
  /** Name of the machine that runs the process; replicas of one group avoid sharing it. */
  readonly machine: string;
}

/** A text form of a node's life, usable as a map key: `node#incarnation`. */
export function identityKey(identity: NodeIdentity): string {
  return `${identity.node}#${identity.incarnation}`;
}

/** Whether two identities are the same life of the same node. */
export function sameIdentity(left: NodeIdentity, right: NodeIdentity): boolean {
  return left.node === right.node && left.incarnation === right.incarnation;
}
