/**
 * What was seen (soak, seed 540): a job that had been accepted was said not to be there. Order of events:
 * a zone without the store took the job in by its journal, and the gateway that ran it was killed; another
 * gateway had just started, found nothing in the store, and knew no replica yet that it could have asked.
 *
 * Evidence: job-journaled at gateway-5, 404 to a reader within the next second, and job-recovered at the
 * same gateway 2.6 s later, with what the reader had been told before.
 */
import t from 'tap';
import { JOURNAL_ZONE_PREFIX, ReplicaDirectory } from '../../src/journal/replica-directory.js';
import { REPLICA_PREFIX } from '../../src/journal/replica-record.js';
import { ZoneJournals } from '../../src/journal/zone-journals.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { JournalZone, ZONE } from './journal-fixtures.js';

function started(zone: JournalZone) {
  const clock = new ManualClock();
  const directory = new ReplicaDirectory({ clock, groupSize: 3 });
  const shared = { port: zone, metrics: new FleetMetrics(), directory };
  const journals = new ZoneJournals({ ...shared, zone: 'zone-2', writer: 'node-9/life-9' });
  const put = (key: string, value: string | undefined = '') =>
    directory.applyChange({ key, value, revision: 1 });
  return { clock, directory, journals, put };
}

t.test('a node that has just started is sure of nothing before the fleet was listed', async (t) => {
  const zone = await JournalZone.open(t);
  const { directory, journals, put } = started(zone);
  t.equal(await journals.entryStatusInAllZones('job'), 'unsure');
  for (const place of zone.places) put(`${REPLICA_PREFIX}${place.node}`, JSON.stringify(place));
  t.equal(await journals.entryStatusInAllZones('job'), 'unsure');
  directory.noteListed();
  t.equal(await journals.entryStatusInAllZones('job'), 'not-held');
});

t.test('nor while a zone has a journal of whose replicas it has never heard', async (t) => {
  const zone = await JournalZone.open(t);
  const { directory, journals, put } = started(zone);
  put(`${JOURNAL_ZONE_PREFIX}${ZONE}`);
  directory.noteListed();
  t.equal(await journals.entryStatusInAllZones('job'), 'unsure');
  for (const place of zone.places) put(`${REPLICA_PREFIX}${place.node}`, JSON.stringify(place));
  t.equal(await journals.entryStatusInAllZones('job'), 'not-held');
});

t.test(
  'a replica whose record lapsed is written to for a while, and asked for longer',
  async (t) => {
    const zone = await JournalZone.open(t);
    const { clock, directory, put } = started(zone);
    for (const place of zone.places) put(`${REPLICA_PREFIX}${place.node}`, JSON.stringify(place));
    t.equal(directory.groupFor('job', ZONE)?.length, 3);
    const [first] = zone.places;
    directory.applyChange({
      key: `${REPLICA_PREFIX}${first?.node}`,
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

t.test('a machine that is to be emptied gets no new jobs', async (t) => {
  const zone = await JournalZone.open(t, 4);
  const { directory, put } = started(zone);
  for (const place of zone.places) put(`${REPLICA_PREFIX}${place.node}`, JSON.stringify(place));
  const [drained] = zone.places;
  directory.noteDraining(drained?.node ?? '');
  const group = directory.groupFor('job', ZONE) ?? [];
  t.equal(group.length, 3);
  t.notOk(group.some(({ node }) => node === drained?.node));
});
