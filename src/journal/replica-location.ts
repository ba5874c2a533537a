/** Location of a journal replica: its node, zone, address and disk. */
import * as z from 'zod';
import type { NodeId, ZoneName } from '../core/identity.js';
import { looseRecord } from '../core/open-record.js';

/** Identity of a disk's content: an empty disk gets a new one. */
export type DiskId = string;

export const REPLICA_LOCATION = looseRecord({
  node: z.string(),
  zone: z.string(),
  address: z.string(),
  disk: z.string(),
});

/** Where one replica of a zone's journal runs, and which disk it has. */
export type ReplicaLocation = z.infer<typeof REPLICA_LOCATION> & {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly disk: DiskId;
};
