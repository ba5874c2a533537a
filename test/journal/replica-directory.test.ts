/**
 * Guards against a 404 for an accepted job from a gateway that has just started and does not know
 * the journal replicas of a partitioned zone.
 */
import t from 'tap';
import { JOURNAL_ZONE_PREFIX, ReplicaDirectory } from '../../src/journal/replica-directory.js';
import { REPLICA_PREFIX } from '../../src/journal/replica-record.js';
import { ZoneJournals } from '../../src/journal/zone-journals.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { JournalZone, ZONE } from './journal-fixtures.js';

function newGateway(zone: JournalZone) {
  const clock = new ManualClock();
  const directory = new ReplicaDirectory({ clock, groupSize: 3 });
  const shared = { port: zone, metrics: new FleetMetrics(), directory };
  const journals = new ZoneJournals({ ...shared, zone: 'zone-2', writer: 'node-9/life-9' });
  const put = (key: string, value: string | undefined = '') =>
    directory.applyChange({ key, value, revision: 1 });
  return { clock, directory, journals, put };
}

t.test('a status is uncertain until the fleet was listed', async (t) => {
  const zone = await JournalZone.open(t);
  const { directory, journals, put } = newGateway(zone);
  t.equal(await journals.entryStatusInAllZones('job'), 'unsure');
  for (const location of zone.locations)
    put(`${REPLICA_PREFIX}${location.node}`, JSON.stringify(location));
  t.equal(await journals.entryStatusInAllZones('job'), 'unsure');
  directory.noteListed();
  t.equal(await journals.entryStatusInAllZones('job'), 'not-held');
});

t.test('a status is uncertain while no replica of a zone with a journal is known', async (t) => {
  const zone = await JournalZone.open(t);
  const { directory, journals, put } = newGateway(zone);
  put(`${JOURNAL_ZONE_PREFIX}${ZONE}`);
  directory.noteListed();
  t.equal(await journals.entryStatusInAllZones('job'), 'unsure');
  for (const location of zone.locations)
    put(`${REPLICA_PREFIX}${location.node}`, JSON.stringify(location));
  t.equal(await journals.entryStatusInAllZones('job'), 'not-held');
});

t.test(
  'a replica with an expired record is used for writes briefly, and for reads longer',
  async (t) => {
    const zone = await JournalZone.open(t);
    const { clock, directory, put } = newGateway(zone);
    for (const location of zone.locations)
      put(`${REPLICA_PREFIX}${location.node}`, JSON.stringify(location));
    t.equal(directory.groupFor('job', ZONE)?.length, 3);
    const [replica] = zone.locations;
    directory.applyChange({
      key: `${REPLICA_PREFIX}${replica?.node}`,
      value: undefined,
      revision: 2,
    });
    clock.time += 4_000;
    t.equal(directory.groupFor('job', ZONE)?.length, 3);
    clock.time += 2_000;
    t.equal(directory.groupFor('job', ZONE), undefined);
    t.equal(directory.byZone().get(ZONE)?.length, 3);
  },
);

t.test('the replica of a draining machine gets no new jobs', async (t) => {
  const zone = await JournalZone.open(t, 4);
  const { directory, put } = newGateway(zone);
  for (const location of zone.locations)
    put(`${REPLICA_PREFIX}${location.node}`, JSON.stringify(location));
  const [drained] = zone.locations;
  directory.noteDraining(drained?.node ?? '');
  const group = directory.groupFor('job', ZONE) ?? [];
  t.equal(group.length, 3);
  t.notOk(group.some(({ node }) => node === drained?.node));
});
