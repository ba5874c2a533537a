/**
 * Guards against two owners of one job writing at the same time, and against the loss of stored
 * entries while one replica's disk survives.
 */
import fc from 'fast-check';
import t from 'tap';
import type { JobJournal } from '../../src/journal/job-journal.js';
import type { JournalEntry } from '../../src/journal/journal-entries.js';
import { result } from '../jobs/job-fixtures.js';
import { JournalZone, page } from './journal-fixtures.js';

t.test('an entry is stored once all replicas have it', async (t) => {
  const zone = await JournalZone.open(t);
  const journal = zone.journals('node-1/life-1').openNew('job') as JobJournal;
  t.same(await journal.claim(), { kind: 'claimed', entries: [] });
  t.equal(await journal.append([page(0)]), 'kept');
  zone.unreachable.add(zone.addresses[2] ?? '');
  t.equal(await journal.append([page(1)]), 'unsure');
  t.equal(await journal.append([]), 'unsure', 'another owner may be writing');
  zone.unreachable.clear();
  t.equal(await journal.append([page(1)]), 'kept');
});

t.test('one replica is enough to stop the previous owner from writing', async (t) => {
  const zone = await JournalZone.open(t);
  const firstJournal = zone.journals('node-1/life-1').openNew('job') as JobJournal;
  await firstJournal.claim();
  await firstJournal.append([page(0)]);
  for (const address of zone.addresses.slice(1)) zone.unreachable.add(address);
  const nextJournal = zone.journals('node-2/life-2').open('job', firstJournal.replicas, 2);
  t.same(await nextJournal.claim(), { kind: 'claimed', entries: [page(0)] });
  zone.unreachable.clear();
  t.equal(await firstJournal.append([page(1)]), 'lost');
});

t.test('only one of two nodes with the same submission claims the job', async (t) => {
  const zone = await JournalZone.open(t);
  const claimant = zone.journals('node-1/life-1').openNew('job') as JobJournal;
  const rival = zone.journals('node-2/life-2').openNew('job') as JobJournal;
  t.equal((await claimant.claim()).kind, 'claimed');
  t.equal((await rival.claim()).kind, 'held-elsewhere');
  t.equal(await rival.append([page(0)]), 'lost');
});

t.test('no entry is lost while one disk survives', async (t) => {
  const zone = await JournalZone.open(t);
  const [address1 = '', address2 = '', address3 = ''] = zone.addresses;
  const firstJournal = zone.journals('node-1/life-1').openNew('job') as JobJournal;
  await firstJournal.claim();
  await firstJournal.append([page(0)]);
  await zone.restart(address1, 'empty');
  await zone.restart(address2, 'empty');
  t.equal(
    await firstJournal.append([page(1)]),
    'unsure',
    'an empty disk does not belong to the job',
  );
  const nextJournal = zone.journals('node-2/life-2').open('job', firstJournal.replicas, 2);
  const claim = await nextJournal.claim();
  t.equal(claim.kind, 'claimed');
  t.ok(claim.kind === 'claimed' && claim.entries.some((entry) => entry.kind === 'page'));
  zone.unreachable.add(address3);
  const later = zone.journals('node-3/life-3').open('job', firstJournal.replicas, 3);
  t.equal((await later.claim()).kind, 'silent', 'the remaining disk may hold entries');
  zone.unreachable.clear();
  await zone.restart(address3, 'empty');
  t.equal((await later.claim()).kind, 'disks-gone');
});

t.test('an entry of an earlier owner does not replace that of a later one', async (t) => {
  for (const laterReplica of [0, 2]) {
    const zone = await JournalZone.open(t);
    /** Leaves an entry of one owner on one replica. */
    const writeAt = async (replica: number, term: number, entry: JournalEntry) => {
      for (const address of zone.addresses) zone.unreachable.add(address);
      zone.unreachable.delete(zone.addresses[replica] ?? '');
      const journal = zone.journals(`node-${term}/life`).open('job', zone.locations, term);
      t.equal((await journal.claim()).kind, 'claimed');
      t.equal(await journal.append([entry]), 'unsure');
      zone.unreachable.clear();
    };
    const laterEntry: JournalEntry = { kind: 'page', number: 0, results: [result(7)] };
    await writeAt(2 - laterReplica, 1, page(0));
    await writeAt(laterReplica, 2, laterEntry);
    const nextJournal = zone.journals('node-3/life').open('job', zone.locations, 3);
    t.same(await nextJournal.claim(), { kind: 'claimed', entries: [laterEntry] });
  }
});

/** One event of a random run. */
type Step =
  | { readonly kind: 'append'; readonly owner: number }
  | { readonly kind: 'take-over'; readonly owner: number }
  | { readonly kind: 'partition' | 'heal' | 'restart'; readonly replica: number };

const REPLICA = fc.integer({ min: 0, max: 2 });
const OWNER = fc.integer({ min: 0, max: 2 });
const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('append' as const), owner: OWNER }),
  fc.record({ kind: fc.constant('take-over' as const), owner: OWNER }),
  fc.record({ kind: fc.constantFrom('partition' as const, 'heal', 'restart'), replica: REPLICA }),
);

t.test('the next owner finds all stored entries after any sequence of events', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { maxLength: 25 }), async (steps) => {
      const zone = await JournalZone.open(t);
      const owners = [0, 1, 2].map((index) => zone.journals(`node-${index}/life`));
      const journals: (JobJournal | undefined)[] = [owners[0]?.openNew('job')];
      await journals[0]?.claim();
      const stored: JournalEntry[] = [];
      let term = 1;
      let currentOwner = 0;
      for (const step of steps) {
        if ('replica' in step) {
          const address = zone.addresses[step.replica] ?? '';
          if (step.kind === 'partition') zone.unreachable.add(address);
          else if (step.kind === 'heal') zone.unreachable.delete(address);
          else await zone.restart(address);
          continue;
        }
        if (step.kind === 'take-over') {
          const journal = owners[step.owner]?.open('job', zone.locations, term + 1);
          const claim = await journal?.claim();
          if (claim?.kind !== 'claimed') continue;
          term += 1;
          currentOwner = step.owner;
          journals[step.owner] = journal;
          const found = new Set(claim.entries.map((entry) => JSON.stringify(entry)));
          if (!stored.every((entry) => found.has(JSON.stringify(entry)))) return false;
          continue;
        }
        const entry = page(stored.length);
        if ((await journals[step.owner]?.append([entry])) !== 'kept') continue;
        if (step.owner !== currentOwner) return false;
        stored.push(entry);
      }
      return true;
    }),
    { numRuns: 60 },
  );
});

t.test('a query from another zone is certain only if the replicas answer', async (t) => {
  const zone = await JournalZone.open(t);
  const inZone = zone.journals('node-1/life-1');
  const inOtherZone = zone.journals('node-9/life-9', 'zone-2');
  t.equal(await inOtherZone.entryStatusInAllZones('job'), 'not-held');
  const journal = inZone.openNew('job') as JobJournal;
  await journal.claim();
  t.equal(
    await inOtherZone.entryStatusInAllZones('job'),
    'not-held',
    'a claim alone holds nothing',
  );
  await journal.append([page(0)]);
  t.equal(await inOtherZone.entryStatusInAllZones('job'), 'held');
  t.equal(await inOtherZone.entryStatus('job', journal.replicas), 'held');
  for (const address of zone.addresses) zone.unreachable.add(address);
  t.equal(await inOtherZone.entryStatusInAllZones('other'), 'unsure');
  t.equal(await inOtherZone.entryStatus('job', journal.replicas), 'unsure');
  zone.unreachable.clear();
  await journal.release([page(0)]);
  t.equal(await inOtherZone.entryStatus('job', journal.replicas), 'not-held');
  t.same(await inZone.unsyncedHolders(), []);
});
