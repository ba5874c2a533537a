/** Guards against a relay reporting no changes while its watch waits on a stalled connection. */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, RelayedFleet } from './relayed-fleet.js';

/** Time in addition to the bound for machines that lost their connections. */
const RECOVERY_TIME = 1_000;

t.test('a change arrives in time although open watches are stalled', async (t) => {
  const zones = { 'node-1': 'zone-1', 'node-2': 'zone-1', 'node-3': 'zone-2', 'node-4': 'zone-2' };
  const fleet = new RelayedFleet(zones);
  await fleet.start();
  // Watches start after the delay that coalesces changes.
  await PROCESS_CLOCK.sleep(300);
  fleet.silenceOpenWatches();
  const time = await fleet.propagationTime('changed', fleet.names());
  t.ok(time < CHANGE_BOUND + RECOVERY_TIME, `received after ${time} ms`);
  fleet.stop();
});

t.test('followers of a relay whose watch is stalled receive a change in time', async (t) => {
  const zones = { 'node-1': 'zone-1', 'node-2': 'zone-1', 'node-3': 'zone-2', 'node-4': 'zone-2' };
  const fleet = new RelayedFleet(zones, { renewalInterval: 600 });
  await fleet.start();
  await PROCESS_CLOCK.sleep(300);
  fleet.silenceOpenWatches();
  const time = await fleet.propagationTime('changed', fleet.followers());
  t.ok(time < CHANGE_BOUND, `received after ${time} ms`);
  fleet.stop();
});
