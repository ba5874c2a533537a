/** Guards against journal files being unreadable between this build, format 1 and later builds. */
import { appendFileSync, mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import { placementHash } from '../../src/core/hashing.js';
import { JobJournal } from '../../src/journal/job-journal.js';
import type { JournalEntry } from '../../src/journal/journal-entries.js';
import { JournalReplica } from '../../src/journal/journal-replica.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { parseReplicaLocation, replicaRecordOf } from '../../src/journal/replica-record.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { JOURNAL_DISK, JOURNAL_LINES, RECORDS } from '../fixtures/format-1.js';
import { FORMAT_1 } from '../fixtures/format-1-schemas.js';
import { ManualClock, result } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { JournalZone, openReplica, page, temporaryFolder, ZONE } from './journal-fixtures.js';

const HOLDER = { job: 'job', term: 1, writer: 'node-1/life-1' };
const NEXT_HOLDER = { job: 'job', term: 2, writer: 'node-2/life-2' };

/** An entry of a later build. */
const LATER_ENTRY = { kind: 'moved', key: 'moved/1', to: 'zone-2' } as unknown as JournalEntry;

function line(content: object): string {
  const text = JSON.stringify(content);
  return `${placementHash(text)} ${text}\n`;
}

function folderWith(test: Pick<typeof t, 'teardown'>, lines: readonly string[]): string {
  const folder = temporaryFolder(test);
  mkdirSync(folder, { recursive: true });
  writeFileSync(path.join(folder, 'journal-00000001.log'), lines.join(''));
  return folder;
}

function fileIn(folder: string): string {
  return path.join(folder, readdirSync(folder)[0] ?? '');
}

function bodiesIn(folder: string): unknown[] {
  const lines = readFileSync(fileIn(folder), 'utf8').trimEnd().split('\n');
  return lines.map((text) => JSON.parse(text.slice(text.indexOf(' ') + 1)));
}

/** The location of a replica, at its disk's name as an address. */
function locationOf({ disk }: JournalReplica): ReplicaLocation {
  return { node: disk, zone: ZONE, address: disk, disk };
}

/** Sends requests to replicas by their disks. */
function portTo(replicas: readonly JournalReplica[]): PeerPort {
  const byDisk = new Map(replicas.map((replica) => [replica.disk, replica]));
  return {
    request: async <Kind extends PeerRequest['kind']>(disk: string, request: PeerRequest) =>
      ({ kind: 'answered', answer: await byDisk.get(disk)?.answer(request) }) as PeerOutcome<Kind>,
  };
}

/** Opens a replica and returns its log lines. */
async function openWithLog(folder: string) {
  const { log, lines } = recordingLog();
  const options = { clock: new ManualClock(), log, retention: () => 120_000 };
  return { replica: await JournalReplica.open(folder, options), lines };
}

async function entriesAt(replica: JournalReplica): Promise<unknown> {
  const request = { kind: 'journal-claim', disk: replica.disk, holder: NEXT_HOLDER } as const;
  return replica.answer(request);
}

t.test('a file of an older build is read completely', async (t) => {
  const folder = folderWith(
    t,
    JOURNAL_LINES.map((text) => `${text}\n`),
  );
  const replica = await openReplica(folder);
  t.equal(replica.disk, JOURNAL_DISK);
  t.same(await entriesAt(replica), { kind: 'granted', entries: [page(0), { kind: 'ended' }] });
  await replica.stop();
});

t.test('an older build reads what this one writes', async (t) => {
  const folder = temporaryFolder(t);
  const replica = await openReplica(folder);
  const request = { kind: 'journal-append', disk: replica.disk, holder: HOLDER } as const;
  await replica.answer({ ...request, entries: [page(0)] });
  await replica.stop();
  const read = bodiesIn(folder).map((body) => FORMAT_1.journalLine.safeParse(body));
  t.ok(read.every(({ success }) => success));
  t.same(read[0]?.data, { kind: 'disk', disk: replica.disk });
  t.match(read.at(-1)?.data, { kind: 'held', entries: [page(0)] });
});

t.test('lines of a later build survive restarts, and the lines after them are read', async (t) => {
  const later = line({ kind: 'moved', job: 'job', at: 1 });
  const folder = folderWith(t, [
    line({ kind: 'disk', disk: 'disk-1', format: 9 }),
    later,
    line({ kind: 'held', holder: HOLDER, entries: [page(0)], at: 1_000, further: true }),
  ]);
  const { replica, lines } = await openWithLog(folder);
  t.ok(lines.some((text) => text.includes('"unreadLines":1')));
  await replica.stop();
  const again = await openWithLog(folder);
  t.match(await entriesAt(again.replica), { kind: 'granted', entries: [page(0)] });
  await again.replica.stop();
  t.match(readFileSync(fileIn(folder), 'utf8'), later);
});

t.test('reading stops at a torn line of a later build', async (t) => {
  const folder = temporaryFolder(t);
  const firstReplica = await openReplica(folder);
  await firstReplica.stop();
  appendFileSync(fileIn(folder), line({ kind: 'moved', job: 'job' }).slice(0, -9));
  appendFileSync(fileIn(folder), `\n${line({ kind: 'held', holder: HOLDER, entries: [], at: 1 })}`);
  const { replica, lines } = await openWithLog(folder);
  t.ok(lines.some((text) => text.includes('"unreadLines":0')));
  await replica.stop();
  t.equal(bodiesIn(folder).length, 1);
});

t.test('an entry of a later build is stored, and released only under its own key', async (t) => {
  const folder = temporaryFolder(t);
  const firstReplica = await openReplica(folder);
  const append = { kind: 'journal-append', disk: firstReplica.disk, holder: HOLDER } as const;
  await firstReplica.answer({ ...append, entries: [page(0), LATER_ENTRY] });
  await firstReplica.stop();

  const { replica, lines } = await openWithLog(folder);
  t.match(await entriesAt(replica), { kind: 'granted', entries: [page(0), LATER_ENTRY] });
  t.ok(lines.some((text) => text.includes('"journal-entries-unknown"')));
  const release = { kind: 'journal-release', disk: replica.disk, holder: NEXT_HOLDER } as const;
  await replica.answer({ ...release, keys: ['page/0', 'moved'] });
  t.match(await entriesAt(replica), { kind: 'granted', entries: [LATER_ENTRY] });
  await replica.answer({ ...release, keys: ['moved/1'] });
  t.match(await entriesAt(replica), { kind: 'granted', entries: [] });
  await replica.stop();
});

t.test('a claim returns only entries of known kinds', async (t) => {
  const zone = await JournalZone.open(t);
  const options = { port: zone, metrics: new FleetMetrics(), replicas: zone.locations };
  const before = new JobJournal({ ...options, holder: HOLDER });
  t.equal(await before.append([page(0), LATER_ENTRY]), 'kept');
  const nextJournal = new JobJournal({ ...options, holder: NEXT_HOLDER });
  t.same(await nextJournal.claim(), { kind: 'claimed', entries: [page(0)] });
});

t.test('an older build reads an entry with the term of its writer', async (t) => {
  const folder = temporaryFolder(t);
  const replica = await openReplica(folder);
  const journal = new JobJournal({
    ...{ port: portTo([replica]), metrics: new FleetMetrics() },
    ...{ replicas: [locationOf(replica)], holder: HOLDER },
  });
  t.equal(await journal.append([page(0), { kind: 'ended' }]), 'kept');
  await replica.stop();
  const written = bodiesIn(folder).at(-1);
  t.match(written, {
    entries: [
      { kind: 'page', term: 1 },
      { kind: 'ended', term: 1 },
    ],
  });
  const read = FORMAT_1.journalLine.parse(written);
  t.same(read, { kind: 'held', holder: HOLDER, entries: [page(0), { kind: 'ended' }], at: 1_000 });
});

t.test('an entry of an older build is read, and replaced by one with a term', async (t) => {
  const laterPage: JournalEntry = { kind: 'page', number: 0, results: [result(7)] };
  const older = folderWith(
    t,
    JOURNAL_LINES.map((text) => `${text}\n`),
  );
  const newer = folderWith(t, [
    line({ kind: 'disk', disk: 'disk-2', format: 2 }),
    line({ kind: 'held', holder: HOLDER, entries: [{ ...laterPage, term: 1 }], at: 1_000 }),
  ]);
  const replicas = [await openReplica(newer), await openReplica(older)];
  const journal = new JobJournal({
    ...{ port: portTo(replicas), metrics: new FleetMetrics() },
    ...{ replicas: replicas.map(locationOf), holder: NEXT_HOLDER },
  });
  t.same(await journal.claim(), { kind: 'claimed', entries: [laterPage, { kind: 'ended' }] });
  for (const replica of replicas) await replica.stop();
});

t.test('builds of both formats read replica records of each other', async (t) => {
  const record = RECORDS['fleet/replica/disk-1'];
  t.same(parseReplicaLocation(record), JSON.parse(record));
  const location = { node: 'disk-1', zone: 'zone-1', address: '10.0.0.9:1', disk: 'disk-life-1' };
  t.same(FORMAT_1.replica.safeParse(JSON.parse(replicaRecordOf(location))).data, location);
});
