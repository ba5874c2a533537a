/**
 * The same cause at another place, found by reading: a relay counts as current as long as its watch
 * waits and its lease is renewed. The watch waits up to 25 s for its answer; where its connection has
 * gone silent while others work, the relay tells its followers "nothing new" for all that time.
 *
 * Evidence: this test, on the code as it was, where the change is known after more than 25 s.
 */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, RelayedFleet } from './relayed-fleet.js';

/** Time after which machines whose connections were lost count as sound again, above the bound. */
const RECOVERY_TIME = 1_000;

t.test('a change is known in time though open watches went silent', async (t) => {
  const zones = { 'node-1': 'zone-1', 'node-2': 'zone-1', 'node-3': 'zone-2', 'node-4': 'zone-2' };
  const fleet = new RelayedFleet(zones);
  await fleet.start();
  // Watches begin after a pause that lets changes come together.
  await PROCESS_CLOCK.sleep(300);
  fleet.silenceOpenWatches();
  const time = await fleet.timeToKnow('changed', fleet.names());
  t.ok(time < CHANGE_BOUND + RECOVERY_TIME, `known after ${time} ms`);
  fleet.stop();
});
