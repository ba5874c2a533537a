/**
 * What was seen: a build was ended while it installed packages. The next one took the folder for
 * whole, as it was newer than the lock file, and failed: "Could not resolve rxjs".
 */
import { spawnSync } from 'node:child_process';
import {
  chmodSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { parse } from 'smol-toml';
import t from 'tap';

const { build } = parse(readFileSync('deploy/system.toml', 'utf8')) as { build: string };

/** Installs as the package manager does: what was there goes first. May be killed halfway. */
const INSTALLER = `#!/bin/sh
echo "$*" >> calls
rm -rf node_modules && mkdir node_modules && touch node_modules/first
[ -e killed ] && kill -9 $$
[ -e failing ] && exit 1
touch node_modules/last
`;

const BUNDLER = `
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
if (!existsSync('node_modules/last')) process.exit(1);
mkdirSync('target', { recursive: true });
writeFileSync('target/program', '');
`;

/** A checkout with stand-ins for the installer and the bundler. */
function checkout(test: Pick<typeof t, 'teardown'>) {
  const folder = mkdtempSync(path.join(tmpdir(), 'build-'));
  test.teardown(() => rmSync(folder, { recursive: true, force: true }));
  const at = (name: string): string => path.join(folder, name);
  mkdirSync(at('deploy'));
  mkdirSync(at('bin'));
  writeFileSync(at('deploy/bundle.mjs'), BUNDLER);
  writeFileSync(at('bin/npm'), INSTALLER);
  chmodSync(at('bin/npm'), 0o755);
  writeFileSync(at('package-lock.json'), '{"packages":1}');
  const env = { PATH: `${at('bin')}:${process.env.PATH ?? ''}` };
  return {
    put: (name: string, content = '') => writeFileSync(at(name), content),
    remove: (name: string) => rmSync(at(name), { recursive: true }),
    /** Builds; tells whether that went well. */
    build: () => spawnSync('sh', ['-c', build], { cwd: folder, env }).status === 0,
    isBuilt: () => existsSync(at('target/program')),
    installations: () => readFileSync(at('calls'), 'utf8').trim().split('\n').length,
  };
}

t.test('a clean checkout is installed once, until the lock file changes', async (t) => {
  const tree = checkout(t);
  t.ok(tree.build());
  t.ok(tree.isBuilt());
  t.ok(tree.build());
  t.equal(tree.installations(), 1);
  tree.put('package-lock.json', '{"packages":2}');
  t.ok(tree.build());
  t.equal(tree.installations(), 2);
});

for (const end of ['killed', 'failing']) {
  t.test(`an installation that ended ${end} is made anew`, async (t) => {
    const tree = checkout(t);
    tree.put(end);
    t.notOk(tree.build());
    t.notOk(tree.isBuilt());
    tree.remove(end);
    t.ok(tree.build());
    t.ok(tree.isBuilt());
    t.equal(tree.installations(), 2);
  });
}

t.test('what is left of an earlier installation is not taken for the new one', async (t) => {
  const tree = checkout(t);
  t.ok(tree.build());
  tree.put('package-lock.json', '{"packages":2}');
  tree.put('killed');
  t.notOk(tree.build());
  tree.remove('killed');
  t.ok(tree.build());
  t.equal(tree.installations(), 3);
});
