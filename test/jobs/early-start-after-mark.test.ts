/** Guards against items that a zone's trainer right lets start although their job has been ended. */
import t from 'tap';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { always } from './job-fixtures.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

for (const mode of ['slow', 'commits-unanswered', 'keys-silent'] as const) {
  t.test(`an end before a submission with the trainer's right; store: ${mode}`, async (t) => {
    const zones = await ZonesWithStore.open(t, 2);
    const engine = new SendRecorder(zones.clock);
    const node = zones.start('zone-1', undefined, engine);
    const other = zones.start('zone-2');
    await acceptStep(zones, node, 0);
    await zones.answerOf(node.service.cancel('before-0', UNRESTRICTED, always));
    const answer = await zones.answerOf(other.service.cancel(JOB, UNRESTRICTED, always));
    t.match(answer, { kind: 'not_found' });
    await zones.run(1_000);
    zones.setStore(mode, node);
    const before = zones.clock.now();
    await zones.answerOf(zones.submit(node, step(JOB, 1)));
    await zones.run(LISTING_TIME * 3);
    const sends = engine.sentAfter(before).filter(({ id }) => id.startsWith('item'));
    t.equal(sends.length, 0, 'no item is sent');
    await zones.close();
  });
}
