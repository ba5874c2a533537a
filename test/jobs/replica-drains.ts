/** Drains of machines with journal replicas, as the operator and the coordinator perform them. */
import { ReplicaDrain } from '../../src/jobs/replica-drain.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import type { ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** Has nodes learn that a machine is being drained. */
export function noteDraining(address: string, nodes: readonly ZoneNode[]): void {
  for (const { directory } of nodes) directory.noteDraining(`disk-${address}`);
}

/** Checks a machine that is being drained, as the coordinator does. */
export async function isEmpty(
  zones: ZonesWithStore,
  { port, journals }: ZoneNode,
  address: string,
): Promise<boolean> {
  const { clock } = zones;
  const drain = new ReplicaDrain({ store: port, journals, clock, log: recordingLog().log });
  return (await zones.answerOf(drain.isEmpty(`disk-${address}`))) ?? false;
}
