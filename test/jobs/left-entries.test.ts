/** Guards against journal entries that stay behind once the store has what they hold. */
import t from 'tap';
import type { PeerOutcome, PeerRequest } from '../../src/peers/peer-messages.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

t.test('a stored page that not all replicas answered for', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const engine = new SendRecorder(zones.clock);
  const owner = zones.start('zone-1', undefined, engine);
  await acceptStep(zones, owner, 0);
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
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
  zones.setStore('slow', owner);
  engine.completing.add('item-0');
  await zones.run(LISTING_TIME);
  zones.setStore('up', owner);
  zone.request = request;
  await zones.run(LISTING_TIME);
  const held = await owner.journals.unsyncedHolders();
  t.same(
    held.filter(({ job }) => job === JOB).map(({ job }) => job),
    [],
    'no replica holds entries',
  );
  await zones.close();
});
