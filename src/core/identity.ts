/**
 * Identifiers of nodes, workers, zones and accounts. All names come from settings, the machine list or
 * the key-value service, and are compared by equality only.
 */

/** Name of a node, stable across restarts, e.g. `hall-a-1`. */
export type NodeId = string;

/**
 * Number of one run of a node process. It increases with each restart, so that messages to an earlier
 * incarnation and votes of it can be recognized.
 */
export type Incarnation = number;

/** Name of a zone, e.g. `hall-a`. */
export type ZoneName = string;

/** Name of a region, which contains one or more zones. */
export type RegionName = string;

/** Name of a model worker (one engine). */
export type WorkerId = string;

/** Name of a model, e.g. `drafts`. */
export type ModelName = string;

/** Name of a caller's account: a trainer, an interactive caller or an operator. */
export type AccountName = string;

/** Name of an intent. */
export type IntentName = string;

/** One incarnation of a node. */
export interface NodeIdentity {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
}

/** Location and address of a node. */
export interface NodeRecord extends NodeIdentity {
  readonly zone: ZoneName;
  readonly region: RegionName;
  /** IP address and port of the node-to-node endpoint, e.g. `127.0.0.1:7401`. */
  readonly address: string;
  /** Name of the machine that runs the process; replicas of a group are placed on different machines. */
  readonly machine: string;
}

/** Map key of a node's incarnation: `node#incarnation`. */
export function identityKey(identity: NodeIdentity): string {
  return `${identity.node}#${identity.incarnation}`;
}

/** Whether two identities are the same incarnation of the same node. */
export function sameIdentity(left: NodeIdentity, right: NodeIdentity): boolean {
  return left.node === right.node && left.incarnation === right.incarnation;
}
