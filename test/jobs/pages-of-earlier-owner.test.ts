/** Guards against an owner that lacks results which a replica kept from an earlier owner. */
import t from 'tap';
import { JobStore } from '../../src/jobs/job-store.js';
import type { PeerOutcome, PeerRequest } from '../../src/peers/peer-messages.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { AnswerRecord } from './answer-record.js';
import { always } from './job-fixtures.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

const RECOVERY_TIME = 10_000;

t.test('a page of an earlier owner at replicas that were away during the takeover', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const record = new AnswerRecord(zones);
  const engine = new SendRecorder(zones.clock);
  const first = zones.start('zone-1', undefined, engine);
  await acceptStep(zones, first, 0);
  t.equal(await zones.answerOf(zones.submit(first, step(JOB, 1))), 'accepted');
  zones.setStore('refusing', first);
  const zone = zones.zone('zone-1');
  const [lacking, ...others] = zone.addresses;
  const { request } = zone;
  zone.request = async <Kind extends PeerRequest['kind']>(
    address: string,
    message: PeerRequest,
  ): Promise<PeerOutcome<Kind>> =>
    message.kind === 'journal-append' && address === lacking
      ? { kind: 'silent' }
      : ((await request.call(zone, address, message)) as PeerOutcome<Kind>);
  engine.completing.add('item-0');
  await zones.run(LISTING_TIME);
  await record.read(first, JOB);
  t.equal(record.told.length, 0, 'the first owner told nothing');
  zones.end(first);
  zone.request = request;
  for (const address of others) zone.unreachable.add(address);
  const second = zones.start('zone-1', undefined, new SendRecorder(zones.clock));
  const found = await new JobStore(zones.store, zones.clock).head(JOB);
  if (found.kind !== 'found') throw new Error(found.kind);
  const takeover = second.service.takeOver(JOB, found.value, false);
  t.equal(await zones.answerOf(takeover, RECOVERY_TIME), true);
  t.equal(await zones.answerOf(second.service.cancel(JOB, UNRESTRICTED, always)), undefined);
  zone.unreachable.clear();
  await zones.run(RECOVERY_TIME);
  const other = zones.start('zone-1');
  await zones.run(RECOVERY_TIME);
  await record.read(other, JOB);
  t.same(await record.contradictionsAt([second, other]), []);
  await zones.close();
});
