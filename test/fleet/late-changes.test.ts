/** Guards against a late configuration whose log lines do not show at which hop its data aged. */
import t from 'tap';
import { LateChanges } from '../../src/fleet/late-changes.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { RelayedFleet } from './relayed-fleet.js';

const ZONES = ['zone-1', 'zone-2'];
const NODES = Object.fromEntries(
  ZONES.flatMap((zone) => ['a', 'b', 'c'].map((letter) => [`${zone}-${letter}`, zone])),
);

const ARRIVED = { prefix: 'op/', by: 'node-1', age: 1_600, sourceAge: 300, maxAge: 1_400 };

t.test('late changes are logged with the ages, at most once in a while', async (t) => {
  const clock = new ManualClock();
  const { log, lines } = recordingLog();
  const lateChanges = new LateChanges({ clock, log });
  lateChanges.note({ ...ARRIVED, age: 1_300 });
  lateChanges.note({ ...ARRIVED, age: Number.POSITIVE_INFINITY });
  t.same(lines, [], 'neither in time nor the first list');
  for (let change = 0; change < 3; change += 1) lateChanges.note(ARRIVED);
  t.equal(lines.length, 1);
  t.match(JSON.parse(lines[0] ?? ''), {
    ...{ prefix: 'op/', by: 'node-1' },
    ...{ ageMs: 1_600, sourceAgeMs: 300, maxAgeMs: 1_400 },
  });
  lateChanges.note({ ...ARRIVED, prefix: 'workers/' });
  clock.time += 20_000;
  lateChanges.note(ARRIVED);
  t.equal(lines.length, 3);
});

t.test('a change that the store provides after the relays failed is logged', async (t) => {
  const fleet = new RelayedFleet(NODES, { renewalInterval: 600 });
  await fleet.start();
  await PROCESS_CLOCK.sleep(2_500);
  for (const value of ['in time', 'in time again']) {
    // A watch at the store waits for up to 1.5 s.
    await PROCESS_CLOCK.sleep(1_300);
    fleet.write('w2', value);
    await fleet.allReceive('w2', value);
  }
  const lateLines = () => fleet.lines.filter(({ event }) => event === 'late-changes');
  t.same(lateLines(), [], 'nothing while no relay fails');
  const relays = fleet.relays();
  const followers = fleet.followers();
  for (const relay of relays) fleet.silent.add(relay);
  await fleet.propagationTime('late', followers);
  t.same(
    lateLines()
      .map(({ node }) => node)
      .sort(),
    [...followers].sort(),
  );
  for (const { details } of lateLines()) t.equal(details.by, 'store');
  fleet.stop();
});
