/** Guards against a zone that accepts a trainer's jobs by its journal after another zone took over. */
import t from 'tap';
import type { JobJournal } from '../../src/journal/job-journal.js';
import { RIGHT_RETENTION, TRAINER_KEY_PREFIX } from '../../src/journal/journal-entries.js';
import { JournalReplica } from '../../src/journal/journal-replica.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { CREATED_ENTRY, JournalZone, temporaryFolder } from './journal-fixtures.js';

const TRAINER = `${TRAINER_KEY_PREFIX}trainer`;

t.test('a right is confirmed until another zone fences it at one replica', async (t) => {
  const zone = await JournalZone.open(t);
  const own = zone.journals('node-1/life-1').trainerFence;
  const other = zone.journals('node-2/life-2', 'zone-2').trainerFence;
  t.equal(await own.confirm(TRAINER, zone.locations, 1), 'kept');
  const [reachable = '', ...partitioned] = zone.addresses;
  for (const address of partitioned) zone.unreachable.add(address);
  t.same(await other.fence(TRAINER, zone.locations, 2), { kind: 'fenced', term: 2, jobs: [] });
  zone.unreachable.clear();
  t.equal(await own.confirm(TRAINER, zone.locations, 1), 'lost', `by ${reachable} alone`);
});

t.test('a fence finds a job whose acceptance was confirmed before it', async (t) => {
  const zone = await JournalZone.open(t);
  const journals = zone.journals('node-1/life-1');
  const journal = journals.openNew('job') as JobJournal;
  await journal.claim();
  t.equal(await journal.append([CREATED_ENTRY]), 'kept');
  t.equal(await journals.trainerFence.confirm(TRAINER, zone.locations, 1), 'kept');
  const other = zone.journals('node-2/life-2', 'zone-2').trainerFence;
  for (const address of zone.addresses.slice(1)) zone.unreachable.add(address);
  t.same(await other.fence(TRAINER, zone.locations, 2), {
    ...{ kind: 'fenced', term: 2, jobs: ['job'] },
  });
});

t.test('a fence exceeds the terms of other zones', async (t) => {
  const zone = await JournalZone.open(t);
  const second = zone.journals('node-2/life-2', 'zone-2').trainerFence;
  const third = zone.journals('node-3/life-3', 'zone-3').trainerFence;
  t.match(await second.fence(TRAINER, zone.locations, 2), { kind: 'fenced', term: 2 });
  t.match(await third.fence(TRAINER, zone.locations, 2), { kind: 'fenced', term: 3 });
  t.equal(await second.confirm(TRAINER, zone.locations, 2), 'lost');
});

t.test('a replica with a new disk neither grants nor prevents a fence', async (t) => {
  const zone = await JournalZone.open(t);
  const group = [...zone.locations];
  const other = zone.journals('node-2/life-2', 'zone-2').trainerFence;
  const [first = '', second = '', third = ''] = zone.addresses;
  await zone.restart(first, 'empty');
  await zone.restart(second, 'empty');
  zone.unreachable.add(third);
  t.same(await other.fence(TRAINER, group, 2), { kind: 'unsure' });
  zone.unreachable.clear();
  t.match(await other.fence(TRAINER, group, 2), { kind: 'fenced', term: 2 });
  await zone.restart(third, 'empty');
  t.match(await other.fence(TRAINER, group, 3), { kind: 'fenced' }, 'no disk is left');
});

t.test('a fence outlasts the jobs of a replica that restarts', async (t) => {
  const folder = temporaryFolder(t);
  const clock = new ManualClock();
  const { log } = recordingLog();
  const open = (): Promise<JournalReplica> =>
    JournalReplica.open(folder, { clock, log, retention: () => 120_000 });
  let replica = await open();
  t.teardown(() => replica.stop());
  const holderOf = (term: number, writer: string) => ({ job: TRAINER, term, writer });
  const claimBy = (term: number, writer: string) =>
    replica.answer({
      ...{ kind: 'journal-claim', disk: replica.disk, holder: holderOf(term, writer) },
    });
  t.match(await claimBy(2, 'zone/zone-2'), { kind: 'granted' });
  await replica.stop();
  clock.time += RIGHT_RETENTION / 2;
  replica = await open();
  t.match(await claimBy(1, 'zone/zone-1'), { kind: 'refused' });
});

t.test('a fence that is raised again is retained from its last use', async (t) => {
  const folder = temporaryFolder(t);
  const clock = new ManualClock();
  const { log } = recordingLog();
  const open = (): Promise<JournalReplica> =>
    JournalReplica.open(folder, { clock, log, retention: () => 120_000 });
  let replica = await open();
  t.teardown(() => replica.stop());
  const { disk } = replica;
  const holder = { job: TRAINER, term: 2, writer: 'zone/zone-2' };
  await replica.answer({ kind: 'journal-claim', disk, holder });
  clock.time += RIGHT_RETENTION - 1_000;
  t.match(await replica.answer({ kind: 'journal-claim', disk, holder }), { kind: 'granted' });
  clock.time += 10_000;
  await replica.stop();
  replica = await open();
  const earlier = { ...holder, term: 1, writer: 'zone/zone-1' };
  const request = { kind: 'journal-append', disk, holder: earlier, entries: [] } as const;
  t.match(await replica.answer(request), { kind: 'refused' });
});
