/** Guards against whole lists of a store that is slow, which add to its load. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { RelayedFleet } from './relayed-fleet.js';

const NODES = Object.fromEntries(
  ['zone-1', 'zone-2'].flatMap((zone) => ['a', 'b', 'c', 'd'].map((n) => [`${zone}/${n}`, zone])),
);
const OBSERVED_TIME: Milliseconds = 12_000;

for (const answerTime of [100, 300, 400, 600, 800]) {
  t.test(`a store that answers in ${answerTime} ms is not listed over and over`, async (t) => {
    const fleet = new RelayedFleet(NODES, { renewalInterval: 600 });
    await fleet.start();
    await PROCESS_CLOCK.sleep(3_000);
    const range = fleet.store.range.bind(fleet.store);
    const watch = fleet.store.watch.bind(fleet.store);
    const half = () => PROCESS_CLOCK.sleep(answerTime / 2);
    let lists = 0;
    fleet.store.range = async (...call) => {
      lists += 1;
      await half();
      const outcome = await range(...call);
      await half();
      return outcome;
    };
    fleet.store.watch = async (...call) => {
      await half();
      const outcome = await watch(...call);
      await half();
      return outcome;
    };
    fleet.storeCallsByNode.clear();
    await PROCESS_CLOCK.sleep(OBSERVED_TIME);
    const callsOf = (names: string[]) =>
      names.reduce((sum, name) => sum + (fleet.storeCallsByNode.get(name) ?? 0), 0);
    t.comment(
      `${lists} lists; calls of relays ${callsOf(fleet.relays())}, of followers ${callsOf(fleet.followers())}`,
    );
    t.ok(lists <= 4, `${lists} lists in 12 s`);
    fleet.stop();
  });
}
