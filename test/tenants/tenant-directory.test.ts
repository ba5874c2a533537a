import t from 'tap';
import { digestOf } from '../../src/core/secret-digest.js';
import { mayAccess, type Tenant, UNRESTRICTED } from '../../src/tenants/tenant.js';
import { TenantDirectory } from '../../src/tenants/tenant-directory.js';

const tenant = (name: string, ...keys: string[]): Tenant => ({
  name,
  keyDigests: keys.map(digestOf),
  priority: undefined,
});

const DIRECTORY = new TenantDirectory([
  tenant('north', 'key-1', 'key-2'),
  tenant('south', 'key-3'),
]);

t.test('each key of a tenant identifies it', async (t) => {
  t.match(DIRECTORY.identify('key-2', false), { kind: 'tenant', tenant: { name: 'north' } });
  t.match(DIRECTORY.identify('key-3', false), { kind: 'tenant', tenant: { name: 'south' } });
});

t.test('an unknown key, two keys in one value and a missing key are rejected', async (t) => {
  for (const key of ['key-4', 'key-1, key-1', 'KEY-1', '', undefined]) {
    t.match(DIRECTORY.identify(key, false), { kind: 'unauthenticated' }, `key ${key}`);
  }
});

t.test('a rejection names only the fingerprint of the key', async (t) => {
  const refusal = DIRECTORY.identify('wrong-secret', false);
  t.notMatch(JSON.stringify(refusal), /wrong-secret/);
  t.match(JSON.stringify(refusal), digestOf('wrong-secret').slice(0, 8));
});

t.test('a public route needs no key, and a known key still identifies its tenant', async (t) => {
  t.same(DIRECTORY.identify(undefined, true), { kind: 'anonymous' });
  t.same(DIRECTORY.identify('key-4', true), { kind: 'anonymous' });
  t.match(DIRECTORY.identify('key-1', true), { kind: 'tenant', tenant: { name: 'north' } });
});

t.test(
  'without a list of tenants no key is required; with an empty list every key is rejected',
  async (t) => {
    t.equal(new TenantDirectory(undefined).identify('key', false), UNRESTRICTED);
    t.match(new TenantDirectory([]).identify('key', false), { kind: 'unauthenticated' });
  },
);

t.test('only its owner may access what belongs to a tenant', async (t) => {
  const north = { kind: 'tenant', tenant: tenant('north') } as const;
  t.ok(mayAccess(north, 'north'));
  t.notOk(mayAccess(north, 'south'));
  t.notOk(mayAccess({ kind: 'anonymous' }, 'south'));
  t.ok(mayAccess({ kind: 'anonymous' }, undefined));
  t.ok(mayAccess(UNRESTRICTED, 'south'));
});
