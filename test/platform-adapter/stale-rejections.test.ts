/**
 * Guards against a rejection for good by a configuration that may have been replaced longer ago than
 * the change bound.
 */
import t, { type Test } from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { answer, events } from '../serving/serving-fixtures.js';
import type { CallEffect } from './held-store.js';
import {
  CHANGE_BOUND,
  CONFIGURATION,
  type Fixture,
  startConfiguredGateway,
  submissionBody,
} from './http-gateway.js';

const [LOOK, DRAW] = CONFIGURATION.routes;
const TENANTS = [
  { name: 'north', api_keys: ['north-1', 'moving'] },
  { name: 'south', api_keys: ['south-1'] },
];
const BEFORE = { ...CONFIGURATION, tenants: TENANTS };
const AFTER = {
  ...BEFORE,
  version: 4,
  routes: [
    { ...LOOK, name: 'added', path_prefix: '/added/' },
    { ...LOOK, name: 'changed', path_prefix: '/draw/look/' },
    LOOK,
    DRAW,
  ],
  limits: { ...CONFIGURATION.limits, max_body_bytes: 4_000 },
  tenants: [
    { name: 'north', api_keys: ['north-1', 'north-2'] },
    { name: 'south', api_keys: ['south-1', 'moving'] },
  ],
};
/** Least time between two reads while they fail. */
const MIN_READ_INTERVAL: Milliseconds = 250;

const LARGE_BODY = 'x'.repeat(3_000);

const key = (value: string): object => ({ 'x-wardwing-key': value });

/** A gateway on which a job of `south` runs, and whose feeds stall before a change. */
async function staleGateway(t: Test, feeds: CallEffect, reads: CallEffect): Promise<Fixture> {
  const answers = Array.from({ length: 8 }, () => answer('served'));
  const text = answer(events(0, 'ab'), { isStream: true });
  const fixture = await startConfiguredGateway(t, BEFORE, text, ...answers);
  const { call, heldStore, store } = fixture;
  const submitted = await call('POST', '/draw/1', submissionBody(1), {
    ...key('south-1'),
    'x-wardwing-request-id': 'job-1',
  });
  t.equal(submitted.status, 202);
  heldStore.feeds = feeds;
  heldStore.reads = reads;
  store.write('op/config', JSON.stringify(AFTER));
  await PROCESS_CLOCK.sleep(CHANGE_BOUND + 100);
  return fixture;
}

/** Requests that the newer configuration allows and the older one rejects for good. */
const ALLOWED_BY_NEWER: readonly [name: string, ...Parameters<Fixture['call']>][] = [
  ['a route that was added', 'POST', '/added/x', '', key('north-1')],
  ['a key that was added', 'POST', '/look/x', '', key('north-2')],
  ['a route that takes no submissions any more', 'POST', '/draw/look/x', 'text', key('north-1')],
  ['a body within a limit that was raised', 'POST', '/look/x', LARGE_BODY, key('north-1')],
  [
    'a call about a job with a key that was added',
    'GET',
    '/wardwing/lots/job-1',
    '',
    key('moving'),
  ],
];

// The gateways mostly wait, so several tests run at a time.
t.jobs = 4;

for (const [name, ...request] of ALLOWED_BY_NEWER) {
  t.test(`${name} is found although the gateway's feeds stall`, async (t) => {
    const { call } = await staleGateway(t, 'silent', 'answered');
    t.equal((await call(...request)).status, 200);
  });

  for (const reads of ['refused', 'silent'] as const) {
    t.test(`${name} is rejected for now where the store is ${reads}`, async (t) => {
      const { call } = await staleGateway(t, reads, reads);
      const rejected = await call(...request);
      t.equal(rejected.status, 503);
      t.ok(Number(rejected.headers['retry-after']) > 0);
      t.equal((await call('POST', '/look/y', '', key('north-1'))).status, 200, 'others are served');
    });
  }
}

const readsOf = ({ heldStore }: Fixture): number => heldStore.readCounts.get('op/config') ?? 0;

t.test('requests that no configuration allows are rejected for good after one read', async (t) => {
  const fixture = await staleGateway(t, 'silent', 'answered');
  const before = readsOf(fixture);
  const calls = Array.from({ length: 20 }, () => fixture.call('GET', '/none/x'));
  const statuses = (await Promise.all(calls)).map(({ status }) => status);
  t.same([...new Set(statuses)], [404]);
  t.equal((await fixture.call('GET', '/none/x')).status, 404);
  t.ok(readsOf(fixture) - before <= 1, `${readsOf(fixture) - before} reads`);
});

t.test('requests do not read a store that fails over and over', async (t) => {
  const fixture = await staleGateway(t, 'refused', 'refused');
  const before = readsOf(fixture);
  const startedAt = PROCESS_CLOCK.now();
  for (let index = 0; index < 20; index += 1) {
    t.equal((await fixture.call('GET', '/none/x')).status, 503);
  }
  const limit = 1 + Math.ceil((PROCESS_CLOCK.now() - startedAt) / MIN_READ_INTERVAL);
  const reads = readsOf(fixture) - before;
  t.ok(reads <= limit, `${reads} reads, ${limit} allowed`);
});

t.test('current data decides without a read', async (t) => {
  const fixture = await startConfiguredGateway(t, BEFORE);
  for (let index = 0; index < 20; index += 1) {
    t.equal((await fixture.call('GET', '/none/x')).status, 404);
    await PROCESS_CLOCK.sleep(CHANGE_BOUND / 10);
  }
  t.equal(readsOf(fixture), 0);
});

t.test('a route that was dropped and a key that was removed are not served for long', async (t) => {
  const { call, store, heldStore } = await startConfiguredGateway(
    t,
    BEFORE,
    ...Array.from({ length: 4 }, () => answer('served')),
  );
  heldStore.feeds = 'silent';
  const [, south] = TENANTS;
  const after = {
    ...BEFORE,
    version: 4,
    routes: [DRAW, { ...LOOK, path_prefix: '/other/' }],
    tenants: [{ name: 'north', api_keys: ['north-2'] }, south],
  };
  store.write('op/config', JSON.stringify(after));
  await PROCESS_CLOCK.sleep(CHANGE_BOUND);
  await call('POST', '/look/x', '', key('south-1'));
  await PROCESS_CLOCK.sleep(100);
  t.equal((await call('POST', '/look/x', '', key('south-1'))).status, 404);
  t.equal((await call('POST', '/other/x', '', key('north-1'))).status, 401);
});
