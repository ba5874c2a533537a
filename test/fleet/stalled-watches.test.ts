/** Guards against a relay that applies a change late because all of its watches stall. */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, RelayedFleet } from './relayed-fleet.js';

/** Times after the first relays listed, spread over the rounds of their watches. */
const PHASES = [0, 250, 500, 750, 1_000, 1_250];

async function stalledRelayTime(phase: number, coalesce: number): Promise<number> {
  const zones = { 'node-1': 'zone-1', 'node-2': 'zone-1', 'node-3': 'zone-2', 'node-4': 'zone-2' };
  const fleet = new RelayedFleet(zones, { renewalInterval: 600, coalesce });
  await fleet.start();
  await PROCESS_CLOCK.sleep(300 + phase);
  for (const relay of fleet.relays()) fleet.withoutWatches.add(relay);
  const first = await fleet.propagationTime('first', fleet.relays());
  const second = await fleet.propagationTime('second', fleet.relays());
  fleet.stop();
  return Math.max(first, second);
}

for (const coalesce of [100, 400]) {
  t.test(
    `a relay all of whose watches stall receives a change in time, pausing ${coalesce} ms`,
    async (t) => {
      const times = await Promise.all(PHASES.map((phase) => stalledRelayTime(phase, coalesce)));
      t.comment(`received after ${times.map(Math.round).join(', ')} ms`);
      t.same(
        times.filter((time) => time >= CHANGE_BOUND),
        [],
      );
    },
  );
}
