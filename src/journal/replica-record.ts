/** What a replica of a zone's journal tells of itself in the shared store. */
import * as z from 'zod';
import { FORMAT_FIELD, type FormatVersion, OWN_FORMAT } from '../core/format-version.js';
import { REPLICA_LOCATION, type ReplicaLocation } from './replica-location.js';

/** Key prefix of the replicas' records, under the prefix of the fleet. */
export const REPLICA_PREFIX = 'fleet/replica/';

const REPLICA_RECORD = z.object({ ...REPLICA_LOCATION.shape, format: FORMAT_FIELD });

/** The record of a replica that this build runs. */
export function replicaRecordOf(place: ReplicaLocation): string {
  return JSON.stringify({ ...place, format: OWN_FORMAT });
}

/** Reads where a replica is; a record that is none is one of a replica that nobody uses. */
export function parseReplicaLocation(text: string): ReplicaLocation | undefined {
  const record = parse(text);
  if (record === undefined) return undefined;
  const { node, zone, address, disk } = record;
  return { node, zone, address, disk };
}

/** What the build of a replica reads; `undefined` where the text is no record. */
export function replicaFormatOf(text: string): FormatVersion | undefined {
  return parse(text)?.format;
}

function parse(text: string): (ReplicaLocation & { readonly format: FormatVersion }) | undefined {
  try {
    return REPLICA_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
