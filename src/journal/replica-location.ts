/** Where the replicas of zones' journals are. */
import * as z from 'zod';
import type { NodeId, ZoneName } from '../core/identity.js';
import { openRecord } from '../core/open-record.js';

/** Names one life of a disk: an empty disk in the place of another has another. */
export type DiskId = string;

/** Where one replica of a zone's journal is, and on which disk. */
export const REPLICA_LOCATION = openRecord({
  node: z.string(),
  zone: z.string(),
  address: z.string(),
  disk: z.string(),
});

/** One replica of a zone's journal. */
export type ReplicaLocation = z.infer<typeof REPLICA_LOCATION> & {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly disk: DiskId;
};
