import t from 'tap';
import { KeyValueCore } from '../../../lab/emulator/key-value-core.js';
import { LeaseTable } from '../../../lab/emulator/lease-table.js';
import type { KeyValueWrite } from '../../../src/platform/key-value.js';

function put(key: string, value: string): KeyValueWrite {
  return { kind: 'put', key, value };
}

function write(core: KeyValueCore, key: string, modRevision: number, value: string): boolean {
  const compares = [{ key, modRevision }];
  const result = core.perform({ kind: 'transaction', compares, writes: [put(key, value)] });
  return result.kind === 'transaction' && result.succeeded;
}

t.test('of two writers that read the same revision one wins', async (t) => {
  const core = new KeyValueCore();
  t.ok(write(core, 'a', 0, 'first'));
  t.notOk(write(core, 'a', 0, 'second'));
  t.equal(core.revision, 2, 'a failed compare leaves the revision as it is');
  t.ok(write(core, 'a', 2, 'third'));
  t.same(core.perform({ kind: 'range', key: 'a', prefix: false }), {
    kind: 'range',
    revision: 3,
    entries: [{ key: 'a', value: 'third', modRevision: 3 }],
  });
});

t.test('all writes of a transaction share one revision, and ranges are sorted', async (t) => {
  const core = new KeyValueCore();
  const writes = [put('p/b', '1'), put('p/a', '2'), put('q', '3')];
  core.perform({ kind: 'transaction', compares: [], writes });
  const result = core.perform({ kind: 'range', key: 'p/', prefix: true });
  t.match(result, { revision: 2, entries: [{ key: 'p/a' }, { key: 'p/b', modRevision: 2 }] });
  const repeated = [put('x', '1'), put('x', '2')];
  t.throws(() => core.perform({ kind: 'transaction', compares: [], writes: repeated }));
});

t.test('a watch sees deletions, and is lost once its start is compacted', async (t) => {
  const core = new KeyValueCore();
  write(core, 'p/a', 0, '1');
  write(core, 'other', 0, '1');
  const deletion = { kind: 'delete', key: 'p/a' } as const;
  core.perform({ kind: 'transaction', compares: [], writes: [deletion] });
  core.perform({ kind: 'transaction', compares: [], writes: [deletion] });
  t.same(core.changesSince('p/', 3), {
    kind: 'changes',
    revision: 4,
    changes: [{ key: 'p/a', value: null, modRevision: 4 }],
  });
  core.compact(4);
  t.same(core.changesSince('p/', 3), { kind: 'lost', compacted: true });
  t.match(core.changesSince('p/', 4), { kind: 'changes', changes: [{ modRevision: 4 }] });
  t.same(core.changesSince('p/', 5), { kind: 'changes', revision: 4, changes: [] });
});

t.test('a lease that is not kept alive takes its keys with it', async (t) => {
  const core = new KeyValueCore();
  const leases = new LeaseTable(core);
  const id = leases.grant(1_000, 0);
  write(core, 'a', 0, '1');
  leases.attach(id, 'a');
  leases.keepAlive(id, 900);
  t.equal(leases.expire(1_800), 0);
  t.equal(leases.expire(1_900), 1);
  t.match(core.perform({ kind: 'range', key: 'a', prefix: false }), { entries: [] });
  t.equal(leases.keepAlive(id, 1_900), 0, 'a lapsed lease can not be renewed');
});
