/** Guards against the loss of confirmed changes after a power failure or a torn write. */
import { appendFileSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import { JournalFile } from '../../src/journal/journal-file.js';
import { syncFolder } from '../../src/journal/journal-folder.js';
import type { JournalChange } from '../../src/journal/journal-state.js';
import { CREATED_ENTRY, openReplica, page, temporaryFolder } from './journal-fixtures.js';

const HOLDER = { job: 'job', term: 1, writer: 'node-1/life-1' };

function held(...numbers: number[]): JournalChange {
  return { kind: 'held', holder: HOLDER, entries: numbers.map(page), at: 1_000 };
}

/** Opens a folder and returns the changes read from it. */
async function openFolder(folder: string) {
  let changes: readonly JournalChange[] = [];
  const file = await JournalFile.open(folder, (content) => {
    ({ changes } = content);
    return changes;
  });
  return { file, changes };
}

function onlyFile(folder: string): string {
  const names = readdirSync(folder);
  t.equal(names.length, 1);
  return path.join(folder, names[0] ?? '');
}

t.test('changes and the disk identity survive a restart', async (t) => {
  const folder = temporaryFolder(t);
  const firstOpening = await openFolder(folder);
  await firstOpening.file.append([held(0)]);
  await firstOpening.file.append([
    held(1),
    { kind: 'released', holder: HOLDER, keys: ['page/0'], at: 2 },
  ]);
  await firstOpening.file.close();
  const second = await openFolder(folder);
  t.equal(second.file.disk, firstOpening.file.disk);
  t.same(second.changes, [
    held(0),
    held(1),
    { kind: 'released', holder: HOLDER, keys: ['page/0'], at: 2 },
  ]);
  await second.file.close();
});

t.test('a torn end is ignored, and nothing is appended to it', async (t) => {
  const folder = temporaryFolder(t);
  const firstOpening = await openFolder(folder);
  await firstOpening.file.append([held(0)]);
  await firstOpening.file.close();
  const lastLine = readFileSync(onlyFile(folder), 'utf8').trimEnd().split('\n').at(-1) ?? '';
  for (const tear of [
    lastLine.slice(0, 30),
    `${lastLine.slice(0, 30)}\n`,
    `1${lastLine}\n`,
    '\0\0\0\n',
  ]) {
    appendFileSync(onlyFile(folder), tear);
    const torn = await openFolder(folder);
    t.same(torn.changes, [held(0)]);
    await torn.file.append([held(1)]);
    await torn.file.close();
    const after = await openFolder(folder);
    t.same(after.changes, [held(0), held(1)]);
    await after.file.rewrite([held(0)]);
    await after.file.close();
  }
});

t.test('a crash between writing a new file and removing the old one loses nothing', async (t) => {
  const folder = temporaryFolder(t);
  const firstOpening = await openFolder(folder);
  await firstOpening.file.append([held(0)]);
  await firstOpening.file.close();
  const old = onlyFile(folder);
  const text = readFileSync(old);
  const second = await openFolder(folder);
  await second.file.append([held(1)]);
  await second.file.close();
  writeFileSync(old, text);
  const third = await openFolder(folder);
  t.equal(third.file.disk, firstOpening.file.disk);
  t.same(third.changes.at(-1), held(1));
  await third.file.close();
});

t.test('a power failure does not keep the removal of a file and lose the new one', async (t) => {
  const folder = path.join(temporaryFolder(t), 'zone', 'journal');
  const synced: { readonly folder: string; readonly files: readonly string[] }[] = [];
  const sync = async (name: string): Promise<void> => {
    synced.push({ folder: path.relative(folder, name), files: readdirSync(name).sort() });
  };
  const first = await JournalFile.open(folder, () => [held(0)], sync);
  t.same(synced, [
    { folder: '..', files: ['journal'] },
    { folder: path.join('..', '..'), files: ['zone'] },
    { folder: '', files: ['journal-00000001.log'] },
  ]);
  await first.rewrite([held(1)]);
  t.same(synced.at(-1)?.files, ['journal-00000001.log', 'journal-00000002.log']);
  t.same(readdirSync(folder), ['journal-00000002.log']);
  await first.close();
});

t.test('a file whose folder cannot be synced does not replace the old one', async (t) => {
  const folder = temporaryFolder(t);
  let isFailing = false;
  const sync = async (): Promise<void> => {
    if (isFailing) throw new Error('the disk rejects the sync');
  };
  const file = await JournalFile.open(folder, () => [held(0)], sync);
  isFailing = true;
  await t.rejects(file.rewrite([held(1)]));
  t.same(readdirSync(folder), ['journal-00000001.log']);
  await file.append([held(2)]);
  await file.close();
  const reopened = await openFolder(folder);
  t.same(reopened.changes, [held(0), held(2)]);
  await reopened.file.close();
});

t.test('a folder is synced, and one that does not exist is reported', async (t) => {
  const folder = temporaryFolder(t);
  await t.resolves(syncFolder(folder));
  await t.rejects(syncFolder(path.join(folder, 'missing')), { code: 'ENOENT' });
});

t.test('an empty folder gets a new disk identity', async (t) => {
  const firstOpening = await openFolder(temporaryFolder(t));
  const second = await openFolder(temporaryFolder(t));
  t.not(firstOpening.file.disk, second.file.disk);
  await firstOpening.file.close();
  await second.file.close();
});

t.test('a closed file rejects appends until it is rewritten', async (t) => {
  const { file } = await openFolder(temporaryFolder(t));
  await file.close();
  t.ok(file.isBroken);
  await t.rejects(file.append([held(0)]));
  await file.rewrite([]);
  await file.append([held(0)]);
  t.notOk(file.isBroken);
  await file.close();
});

t.test('a replica restores its state after a restart', async (t) => {
  const folder = temporaryFolder(t);
  const before = await openReplica(folder);
  const { disk } = before;
  const entries = [CREATED_ENTRY, page(0), page(1)];
  const append = { kind: 'journal-append', disk, holder: HOLDER, entries } as const;
  t.same(await before.answer(append), { kind: 'granted', entries: [] });
  const release = { kind: 'journal-release', disk, holder: HOLDER, keys: ['page/0'] } as const;
  await before.answer(release);
  await before.stop();
  const after = await openReplica(folder);
  const otherWriter = { ...HOLDER, writer: 'node-2/life-2' };
  t.match(await after.answer({ kind: 'journal-claim', disk, holder: otherWriter }), {
    kind: 'refused',
    holder: HOLDER,
  });
  const nextHolder = { ...otherWriter, term: 2 };
  t.same(await after.answer({ kind: 'journal-claim', disk, holder: nextHolder }), {
    kind: 'granted',
    entries: [CREATED_ENTRY, page(1)],
  });
  t.match(await after.answer(append), { kind: 'refused', holder: nextHolder });
  t.same(await after.answer({ kind: 'journal-list' }), { disk, jobs: [nextHolder] });
  await after.stop();
});
