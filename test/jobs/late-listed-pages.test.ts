/** Guards against an owner that answers without a result which other nodes have told. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import type { PeerOutcome, PeerRequest } from '../../src/peers/peer-messages.js';
import { AnswerRecord } from './answer-record.js';
import { always, specification } from './job-fixtures.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

/** Time for two scans of the journals, and a claim that is passed over in between. */
const RECOVERY_TIME = 10_000;

/** Stops one replica of a zone from storing entries; returns what restores it. */
function withoutAppendsAtOne(zones: ZonesWithStore): () => void {
  const zone = zones.zone('zone-1');
  const { request } = zone;
  const [silent] = zone.addresses;
  zone.request = async <Kind extends PeerRequest['kind']>(
    address: string,
    message: PeerRequest,
  ): Promise<PeerOutcome<Kind>> =>
    message.kind === 'journal-append' && address === silent
      ? { kind: 'silent' }
      : ((await request.call(zone, address, message)) as PeerOutcome<Kind>);
  return () => {
    zone.request = request;
  };
}

for (const told of [0, 1]) {
  for (const reader of ['another node', 'the owner itself'] as const) {
    t.test(`a page given up after ${told} told ones, recovered by ${reader}`, async (t) => {
      const zones = await ZonesWithStore.open(t, 1);
      const record = new AnswerRecord(zones);
      const engine = new SendRecorder(zones.clock);
      const owner = zones.start('zone-1', undefined, engine);
      await acceptStep(zones, owner, 0);
      const job = { ...specification(JOB, 3), step: 1 };
      t.equal(await zones.answerOf(zones.submit(owner, job)), 'accepted');
      zones.setStore('refusing', owner);
      if (told === 1) {
        engine.completing.add('item-1');
        await zones.run(LISTING_TIME);
      }
      const restore = withoutAppendsAtOne(zones);
      engine.completing.add('item-0');
      await zones.run(LISTING_TIME);
      await record.read(owner, JOB);
      t.equal(record.told.length, told, 'what the owner told');
      const store = new JobStore(zones.store, zones.clock);
      const found = await store.head(JOB);
      if (found.kind !== 'found') throw new Error(found.kind);
      t.equal((await store.replace(JOB, found.value, { ended: true }, always)).kind, 'changed');
      if (reader === 'another node') zones.start('zone-1');
      zones.setStore('up', owner);
      await zones.run(LISTING_TIME);
      restore();
      await zones.run(RECOVERY_TIME);
      const other = zones.start('zone-1');
      await record.read(other, JOB);
      t.ok(record.told.length > told, 'another node reads what two replicas have');
      t.same(await record.contradictionsAt([owner, other, zones.start('zone-1')]), []);
      await zones.close();
    });
  }
}
