/** Guards against entries that are stored on a machine after it was reported as empty. */
import t from 'tap';
import type { JobJournal } from '../../src/journal/job-journal.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { JournalZone, type NodeJournals, openJournals, page, ZONE } from './journal-fixtures.js';

function nodeIn(zone: JournalZone, port: PeerPort = zone): NodeJournals {
  const { locations } = zone;
  return openJournals({
    ...{ port, locations, zone: ZONE, writer: 'node-1/life-1', clock: new ManualClock() },
  });
}

t.test('a drained replica stores no more entries, of any owner', async (t) => {
  const zone = await JournalZone.open(t);
  const owner = nodeIn(zone);
  const coordinator = nodeIn(zone);
  const journal = owner.journals.openNew('job') as JobJournal;
  await journal.claim();
  t.equal(await journal.append([page(0)]), 'kept');
  const drained = zone.locations[0]?.node ?? '';
  t.notOk(await coordinator.journals.drainReplica(drained), 'it holds an entry');
  t.equal(await journal.append([page(1)]), 'unsure');
  t.equal(await journal.append([]), 'kept', 'the owner still confirms its right');
  await journal.release([page(0)]);
  t.ok(await coordinator.journals.drainReplica(drained), 'the store has the entry');
  const next = owner.journals.open('job', journal.replicas, 2);
  t.match(await next.claim(), { kind: 'claimed' });
  t.equal(await next.append([page(1)]), 'unsure');
  t.ok(await coordinator.journals.drainReplica(drained));
});

t.test('an entry that is being stored as the drain is requested is in its list', async (t) => {
  const zone = await JournalZone.open(t);
  const { journals } = nodeIn(zone);
  const journal = journals.openNew('job') as JobJournal;
  await journal.claim();
  const [appended, isEmpty] = await Promise.all([
    journal.append([page(0)]),
    journals.drainReplica(zone.locations[0]?.node ?? ''),
  ]);
  t.equal(appended, 'kept');
  t.notOk(isEmpty);
});

t.test('a replica of an older build is asked for its list', async (t) => {
  const zone = await JournalZone.open(t);
  const port: PeerPort = {
    request: async <Kind extends PeerRequest['kind']>(address: string, request: PeerRequest) => {
      const isSupported = request.kind !== 'journal-drain';
      const outcome = isSupported ? zone.request(address, request) : { kind: 'unsupported' };
      return outcome as PeerOutcome<Kind>;
    },
  };
  const { journals } = nodeIn(zone, port);
  const drained = zone.locations[0]?.node ?? '';
  t.ok(await journals.drainReplica(drained));
  const journal = journals.openNew('job') as JobJournal;
  await journal.claim();
  await journal.append([page(0)]);
  t.notOk(await journals.drainReplica(drained));
});

t.test('a replica that does not answer is not empty', async (t) => {
  const zone = await JournalZone.open(t);
  zone.unreachable.add(zone.addresses[0] ?? '');
  t.notOk(await nodeIn(zone).journals.drainReplica(zone.locations[0]?.node ?? ''));
});

t.test('an owner writes no entries to other replicas while one is drained', async (t) => {
  const zone = await JournalZone.open(t);
  const { directory, journals } = nodeIn(zone);
  const journal = journals.openNew('job') as JobJournal;
  await journal.claim();
  const [drained, ...others] = zone.locations;
  directory.noteDraining(drained?.node ?? '');
  t.equal(await journal.append([page(0)]), 'unsure');
  t.equal(await journal.append([]), 'kept', 'the owner still confirms its right');
  for (const { node } of others) t.ok(await journals.drainReplica(node), `${node} has no entry`);
});
