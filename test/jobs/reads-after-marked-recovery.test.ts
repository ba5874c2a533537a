/** Guards against a told result that can't be read while a job is created that its end has marked. */
import t from 'tap';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { AnswerRecord } from './answer-record.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

for (const isOwnerLost of [false, true]) {
  for (const storeMode of ['refusing', 'commits-unanswered', 'late-and-unanswered'] as const) {
    t.test(`owner ${isOwnerLost ? 'lost' : 'live'}, store ${storeMode}`, async (t) => {
      const zones = await ZonesWithStore.open(t, 2);
      const record = new AnswerRecord(zones);
      const engine = new SendRecorder(zones.clock);
      const owner = zones.start('zone-1', undefined, engine);
      const other = zones.start('zone-2');
      await acceptStep(zones, owner, 0);
      await zones.answerOf(owner.service.cancel('before-0', UNRESTRICTED, () => true));
      zones.setStore(storeMode, owner);
      t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
      engine.completing.add('item-0');
      await zones.run(LISTING_TIME);
      await record.read(owner, JOB);
      t.equal(record.told.length, 1, 'the owner told a result');
      zones.partitioned.add('zone-1');
      const limit = zones.clock.now() + 2_000;
      const answer = await zones.answerOf(
        other.service.cancel(JOB, UNRESTRICTED, () => zones.clock.now() < limit),
      );
      t.comment(`end: ${JSON.stringify(answer ?? 'done')}`);
      zones.partitioned.clear();
      if (isOwnerLost) {
        zones.end(owner);
        zones.start('zone-1', undefined, new SendRecorder(zones.clock));
      } else zones.setStore('up', owner);
      const empty: string[] = [];
      const until = zones.clock.now() + 12_000;
      while (zones.clock.now() < until) {
        for (const node of zones.live()) {
          const texts = await zones.read(node, JOB);
          if (!('failure' in texts) && texts.length === 0) {
            empty.push(`${node.self.node} ${until - zones.clock.now()}`);
          }
          if ('failure' in texts && texts.failure === 'not_found') {
            empty.push(`${node.self.node} not found ${until - zones.clock.now()}`);
          }
        }
        await zones.run(100);
      }
      t.same(empty, [], 'no reader is told that there is no result');
      t.same(await record.contradictionsAt([...zones.live(), zones.start('zone-1')]), []);
      await zones.close();
    });
  }
}
