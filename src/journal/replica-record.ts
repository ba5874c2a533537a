/** Record of a journal replica in the shared store. */
import * as z from 'zod';
import {
  CURRENT_FORMAT_VERSION,
  FORMAT_VERSION_FIELD,
  type FormatVersion,
} from '../core/format-version.js';
import { REPLICA_LOCATION, type ReplicaLocation } from './replica-location.js';

/** Key prefix of replica records, under the fleet prefix. */
export const REPLICA_PREFIX = 'fleet/replica/';

const REPLICA_RECORD = z.object({ ...REPLICA_LOCATION.shape, format: FORMAT_VERSION_FIELD });

/** Encodes the record of a replica that runs this build. */
export function replicaRecordOf(location: ReplicaLocation): string {
  return JSON.stringify({ ...location, format: CURRENT_FORMAT_VERSION });
}

/** Decodes the location in a record; `undefined` if the text is not a valid record. */
export function parseReplicaLocation(text: string): ReplicaLocation | undefined {
  const record = parse(text);
  if (record === undefined) return undefined;
  const { node, zone, address, disk } = record;
  return { node, zone, address, disk };
}

/** The record format that a replica's build reads; `undefined` if the text is not a valid record. */
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
