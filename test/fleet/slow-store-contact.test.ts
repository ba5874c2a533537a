/** Guards against a slow store leaving a relay without contact, or with late changes. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, RelayedFleet } from './relayed-fleet.js';

const NODES = Object.fromEntries(
  ['zone-1', 'zone-2'].flatMap((zone) => ['a', 'b', 'c', 'd'].map((n) => [`${zone}/${n}`, zone])),
);

/** Time for which changes are written. */
const OBSERVED_TIME: Milliseconds = 12_000;
const CHANGE_INTERVAL: Milliseconds = 530;
const SAMPLE_INTERVAL: Milliseconds = 20;

for (const answerTime of [400, 600, 800]) {
  t.test(`a store that answers in ${answerTime} ms`, async (t) => {
    const fleet = new RelayedFleet(NODES, { renewalInterval: 600 });
    await fleet.start();
    await PROCESS_CLOCK.sleep(3_000);
    const range = fleet.store.range.bind(fleet.store);
    const watch = fleet.store.watch.bind(fleet.store);
    const half = () => PROCESS_CLOCK.sleep(answerTime / 2);
    fleet.store.range = async (...call) => {
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
    const startedAt = PROCESS_CLOCK.now();
    const writes = new Map<string, Milliseconds>();
    let oldest = 0;
    let nextChangeAt = startedAt;
    while (PROCESS_CLOCK.now() < startedAt + OBSERVED_TIME) {
      if (PROCESS_CLOCK.now() >= nextChangeAt) {
        const value = `v${writes.size}`;
        writes.set(value, fleet.write(value, value));
        // Pauses of different lengths, some longer than a watch.
        nextChangeAt += CHANGE_INTERVAL * (1 + (writes.size % 4));
      }
      await PROCESS_CLOCK.sleep(SAMPLE_INTERVAL);
      oldest = Math.max(oldest, ...fleet.names().map((name) => fleet.contactAgeOf(name)));
    }
    await PROCESS_CLOCK.sleep(3_000);
    const times = [...writes].flatMap(([value, at]) =>
      fleet.names().map((name) => fleet.receivedAt(name, value) - at),
    );
    t.comment(
      `slowest ${Math.round(Math.max(...times))} ms; oldest contact ${Math.round(oldest)} ms`,
    );
    t.ok(Math.max(...times) < CHANGE_BOUND);
    fleet.stop();
  });
}
