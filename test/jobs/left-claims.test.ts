/** Guards against a claim that outlives the refusal of its node. */
import t from 'tap';
import { acceptStep, JOB, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a job that one node refused as not run is accepted by another of the zone', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const [first, second] = [zones.start('zone-1'), zones.start('zone-1')];
  await acceptStep(zones, first, 0);
  await acceptStep(zones, second, 0);
  // No early start, as the step number is not above the last one.
  zones.setStore('refusing', second);
  const asked = zones.clock.now();
  const read = second.port.get;
  second.port.get = (key) => (key.includes('head') ? first.port.get(key) : read(key));
  const refused = second.service.submit(step(JOB, 0), () => zones.clock.now() < asked + 500);
  t.equal((await zones.answerOf(refused, 10_000))?.kind, 'ledger_unavailable', 'not run');
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 0)), 10_000), 'accepted');
});
