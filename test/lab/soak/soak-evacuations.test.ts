/** Evacuations that a soak draws from its seed, and what it takes for a broken promise. */
import t from 'tap';
import { SharedStoreEmulator } from '../../../lab/emulator/shared-store-emulator.js';
import { QUIET_END, QUIET_START } from '../../../lab/soak/fault-schedule.js';
import { PromiseChecker } from '../../../lab/soak/promise-checker.js';
import {
  EVACUATION_BOUND,
  planEvacuations,
  SoakEvacuations,
} from '../../../lab/soak/soak-evacuations.js';

t.test('a seed gives the same evacuations each time, one after the other', async (t) => {
  const planned = planEvacuations(7, 60_000);
  t.same(planned, planEvacuations(7, 60_000));
  t.ok(planned.length >= 3);
  let end = QUIET_START;
  for (const { at, duration } of planned) {
    t.ok(at > end);
    end = at + duration;
  }
  t.ok(end <= 60_000 - QUIET_END);
});

t.test('what reaches an evacuated zone late breaks a promise, unless it is excused', async (t) => {
  let time = 0;
  let isCalm = true;
  const store = new SharedStoreEmulator();
  const checker = new PromiseChecker(() => time);
  const evacuations = new SoakEvacuations({
    ...{ store, checker, zones: ['zone-a', 'zone-b'] },
    now: () => time,
    isCalm: () => isCalm,
    calmAddresses: () => ['calm'],
  });
  const over = evacuations.run([{ at: 0, duration: 50, target: 1 }]);
  while (store.valueOf('op/evacuate/zone-b') === undefined) {
    await new Promise((go) => setImmediate(go));
  }
  evacuations.requestOffered('of-calm', 'calm');
  evacuations.requestOffered('of-struck', 'struck');
  time = EVACUATION_BOUND;
  evacuations.requestArrived('of-calm', 'zone-b');
  t.same(checker.violations, [], 'in time');
  time += 1;
  evacuations.requestArrived('of-calm', 'zone-a');
  evacuations.requestArrived('of-struck', 'zone-b');
  isCalm = false;
  evacuations.requestArrived('item', 'zone-b');
  t.same(checker.violations, [], 'elsewhere, or excused');
  evacuations.requestArrived('of-calm', 'zone-b');
  isCalm = true;
  evacuations.requestArrived('item', 'zone-b');
  t.same(
    checker.violations.map(({ promise }) => promise),
    ['evacuated-zone', 'evacuated-zone'],
  );
  await over;
  evacuations.requestArrived('item', 'zone-b');
  t.equal(checker.violations.length, 2, 'the zone is back');
  t.equal(store.valueOf('op/evacuate/zone-b'), undefined);
});
