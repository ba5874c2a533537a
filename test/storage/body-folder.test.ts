/** The data folder: what it keeps, refuses, detects as damaged and deletes. */
import { spawnSync } from 'node:child_process';
import {
  existsSync,
  readdirSync,
  readFileSync,
  statSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';
import { ClassicLevel } from 'classic-level';
import t, { type Test } from 'tap';
import { contentDigest } from '../../src/core/hashing.js';
import type { DiskBodyName } from '../../src/ledger/ledger.js';
import { BodyFolder, type BodyFolderOptions } from '../../src/storage/body-folder.js';
import { FORMAT_KEY, nameKeyOf } from '../../src/storage/body-record.js';
import { DataFolderInUseError } from '../../src/storage/folder-lock.js';

const DOMAIN = 'insurance';
/** Hardly compressible, so that tables hold most of the text as it is. */
const BODIES = Array.from({ length: 40 }, (_, index) => {
  return Array.from({ length: 30 }, (_, part) => contentDigest(`${index}/${part}`)).join('');
});
/** Length of a text that is looked for in a table. */
const PART_LENGTH = 12;

function nameOf(body: string, domain = DOMAIN): DiskBodyName {
  return { domain, shardKey: 'account/step 1', digest: contentDigest(body) };
}

async function open(t: Test, options: Partial<BodyFolderOptions> = {}) {
  const changes: string[] = [];
  const logChange = (change: string): void => void changes.push(change);
  const base = { folder: t.testdirName, bytesLimit: 10_000_000, logChange };
  const folder = await BodyFolder.open({ ...base, ...options });
  folder.perform({ kind: 'keep-domains', domains: [DOMAIN] });
  return { folder, changes };
}

function persist(folder: BodyFolder, bodies: readonly string[], domain = DOMAIN): Promise<void> {
  for (const body of bodies) folder.perform({ kind: 'persist', name: nameOf(body, domain), body });
  return folder.idle();
}

async function load(folder: BodyFolder, bodies: readonly string[]) {
  const loaded: (string | null)[] = [];
  const subscription = folder.loaded.subscribe(({ body }) => loaded.push(body));
  for (const body of bodies) folder.perform({ kind: 'load', name: nameOf(body) });
  await folder.idle();
  subscription.unsubscribe();
  return loaded;
}

/** Fills a folder, moves its log into tables, and closes it; gives the database's folder. */
async function fill(t: Test): Promise<string> {
  t.testdir({});
  const { folder } = await open(t);
  await persist(folder, BODIES);
  await folder.close();
  return path.join(t.testdirName, 'bodies', `domain-${DOMAIN}`);
}

async function change(database: string, use: (level: ClassicLevel) => Promise<unknown>) {
  const level = new ClassicLevel(database);
  await level.open();
  await use(level);
  await level.close();
}

function filesOf(database: string, pattern: RegExp): string[] {
  const names = readdirSync(database).filter((name) => pattern.test(name));
  return names.map((name) => path.join(database, name));
}

/** Whether any file of the folder holds a text. */
function isInFiles(t: Test, text: string): boolean {
  return readdirSync(t.testdirName, { recursive: true, encoding: 'utf8' })
    .map((name) => path.join(t.testdirName, name))
    .filter((name) => statSync(name).isFile())
    .some((file) => readFileSync(file, 'latin1').includes(text));
}

/** No body may come back other than whole, whatever happened to the files. */
function checkServed(t: Test, loaded: readonly (string | null)[]): void {
  t.equal(loaded.length, BODIES.length);
  loaded.forEach((body, index) => {
    t.ok(body === null || body === BODIES[index]);
  });
}

t.test('bodies outlive the process; deleted and expired ones do not', async (t) => {
  await fill(t);
  const { folder } = await open(t);
  t.equal(folder.found().length, BODIES.length);
  t.same(await load(folder, BODIES), BODIES);
  for (const body of BODIES.slice(0, 10)) folder.perform({ kind: 'forget', name: nameOf(body) });
  await folder.close();
  const second = await open(t);
  t.equal(second.folder.usage().bodies, 30);
  t.same(await load(second.folder, BODIES.slice(0, 1)), [null]);
  await second.folder.close();
  const later = await open(t, { wallClock: () => Date.now() + 3_600_001 });
  t.same(later.folder.usage(), { bytes: 0, bodies: 0 });
  await later.folder.close();
});

t.test('a body that does not match its digest is deleted, not served', async (t) => {
  const database = await fill(t);
  const [first = '', second = ''] = BODIES;
  const key = (body: string): string => nameKeyOf(nameOf(body)).replace('name/', 'body/');
  await change(database, async (level) => {
    await level.put(key(first), `${first}!`);
    await level.put(nameKeyOf(nameOf(second)), '1 1 0000');
  });
  const { folder } = await open(t);
  t.equal(folder.found().length, BODIES.length - 1, 'a damaged name is not offered');
  t.same(await load(folder, [first, first, second]), [null, null, null]);
  t.match(folder.stats(), { bodiesDamaged: 2, bodiesMissing: 2, databasesSetAside: 0 });
  await persist(folder, [first]);
  t.same(await load(folder, [first]), [first], 'a copy from a peer takes its place');
  await folder.close();
});

/** Flips a bit of a closed folder's only table; `place` is given the table's bytes. */
async function flip(database: string, place: (bytes: Buffer) => number): Promise<void> {
  await change(database, (level) => level.compactRange('a', 'z'));
  const [table = ''] = filesOf(database, /\.ldb$/);
  const bytes = readFileSync(table);
  const position = place(bytes);
  bytes[position] = (bytes[position] ?? 0) ^ 0x20;
  writeFileSync(table, bytes);
}

function detectedIn(folder: BodyFolder): boolean {
  const { bodiesDamaged, bodiesMissing, databasesSetAside } = folder.stats();
  return bodiesDamaged + bodiesMissing + databasesSetAside > 0;
}

t.test('a flipped byte of a body is detected, the body not served and rebuilt', async (t) => {
  const database = await fill(t);
  const [body = ''] = BODIES;
  await flip(database, (bytes) => {
    // Compression may cut the text, so that only parts of it lie there as they are.
    const starts = Array.from({ length: body.length - PART_LENGTH }, (_, start) => start);
    const found = starts.map((start) => bytes.indexOf(body.slice(start, start + PART_LENGTH)));
    const position = found.find((place) => place >= 0);
    if (position === undefined) throw new Error('the body is not in the table');
    return position;
  });
  const { folder } = await open(t);
  const loaded = await load(folder, BODIES);
  checkServed(t, loaded);
  t.equal(loaded[0], null);
  t.ok(detectedIn(folder));
  await persist(folder, BODIES);
  t.same(await load(folder, BODIES), BODIES);
  await folder.close();
});

t.test('a flipped byte anywhere is detected, or changes no body', async (t) => {
  const places = Array.from({ length: 40 }, (_, index) => (index + 0.5) / 40);
  for (const share of places) {
    const database = await fill(t);
    await flip(database, (bytes) => Math.floor(bytes.length * share));
    const { folder } = await open(t);
    const loaded = await load(folder, BODIES);
    checkServed(t, loaded);
    const isWhole = loaded.every((body) => body !== null);
    t.equal(detectedIn(folder), !isWhole, `at ${share}`);
    await persist(folder, BODIES);
    t.same(await load(folder, BODIES), BODIES, 'rebuilt');
    await folder.close();
  }
});

t.test('a torn file is set aside or its tail lost, and the folder rebuilt', async (t) => {
  for (const pattern of [/\.ldb$/, /\.log$/, /^MANIFEST/, /^CURRENT$/]) {
    await t.test(String(pattern), async (t) => {
      const database = await fill(t);
      if (pattern.source.includes('ldb')) {
        await change(database, (level) => level.compactRange('a', 'z'));
      }
      const [file = ''] = filesOf(database, pattern);
      truncateSync(file, Math.floor(statSync(file).size / 2));
      const { folder, changes } = await open(t);
      checkServed(t, await load(folder, BODIES));
      const isLog = pattern.source.includes('log');
      t.equal(folder.stats().databasesSetAside, isLog ? 0 : 1);
      t.equal(changes.includes('database set aside'), !isLog);
      t.equal(existsSync(path.join(t.testdirName, 'set-aside', `domain-${DOMAIN}`)), !isLog);
      await persist(folder, BODIES);
      t.same(await load(folder, BODIES), BODIES, 'rebuilt');
      folder.perform({ kind: 'keep-domains', domains: [] });
      await folder.close();
      t.same(readdirSync(path.join(t.testdirName, 'set-aside')), [], 'residency holds there too');
    });
  }
});

t.test('a database of another format is set aside', async (t) => {
  const database = await fill(t);
  await change(database, (level) => level.put(FORMAT_KEY, '2'));
  const { folder, changes } = await open(t);
  t.same(folder.found(), []);
  t.same(changes, ['database set aside']);
  await persist(folder, BODIES);
  t.same(await load(folder, BODIES), BODIES);
  await folder.close();
});

t.test(
  'a full folder refuses, says so once, and takes bodies again when it has room',
  async (t) => {
    t.testdir({});
    const [first = '', second = '', third = ''] = BODIES;
    const { folder, changes } = await open(t, { bytesLimit: first.length + 300 });
    await persist(folder, [first, second, third]);
    t.match(folder.stats(), { bodiesPersisted: 1, refusedFull: 2 });
    t.same(changes, ['data folder full']);
    folder.perform({ kind: 'forget', name: nameOf(first) });
    await persist(folder, [second]);
    t.same(await load(folder, [first, second]), [null, second]);
    await folder.close();
    const slow = await open(t, { backlogLimit: first.length });
    await persist(slow.folder, [first, third]);
    t.equal(slow.folder.stats().refusedBusy, 1);
    await slow.folder.close();
  },
);

t.test('only domains of this zone are kept, and the files of others deleted', async (t) => {
  await fill(t);
  const { folder } = await open(t);
  const marked = ['marked text that must not stay in this zone'];
  await persist(folder, marked, '..');
  t.match(folder.stats(), { refusedResidency: 1 });
  folder.perform({ kind: 'keep-domains', domains: [DOMAIN, '..'] });
  await persist(folder, marked, '..');
  t.equal(folder.usage().bodies, BODIES.length + 1);
  t.ok(isInFiles(t, 'marked text'));
  folder.perform({ kind: 'keep-domains', domains: [DOMAIN] });
  await folder.idle();
  t.same(readdirSync(path.join(t.testdirName, 'bodies')), [`domain-${DOMAIN}`]);
  t.notOk(isInFiles(t, 'marked text'));
  t.equal(folder.usage().bodies, BODIES.length);
  t.same(await load(folder, BODIES), BODIES, 'others are untouched');
  await folder.close();
});

t.test('a second process is refused; a killed one leaves no lock', async (t) => {
  t.testdir({});
  const { folder } = await open(t);
  const refusal = await open(t).catch((error) => error);
  t.ok(refusal instanceof DataFolderInUseError);
  const module = new URL('../../src/storage/body-folder.js', import.meta.url).href;
  const script = `import { BodyFolder } from ${JSON.stringify(module)};
    const options = { folder: ${JSON.stringify(t.testdirName)}, bytesLimit: 1_000 };
    await BodyFolder.open(options).then(
      () => process.kill(process.pid, 'SIGKILL'), (error) => console.log(error.message));`;
  const run = () => spawnSync(process.execPath, ['--input-type=module', '--eval', script]);
  t.match(run().stdout.toString(), 'in use by another process');
  await folder.close();
  t.equal(run().signal, 'SIGKILL', 'the lock was free again');
  const again = await open(t);
  await again.folder.close();
  for (const file of filesOf(path.join(t.testdirName, 'lock'), /^MANIFEST/)) truncateSync(file, 3);
  const mended = await open(t);
  await mended.folder.close();
});
