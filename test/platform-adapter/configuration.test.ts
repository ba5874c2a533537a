import t from 'tap';
import { parseConfiguration, parseWorker } from '../../platform/configuration.js';
import { FEED_TRANSLATION } from '../../platform/feeds.js';
import { digestOf } from '../../src/core/secret-digest.js';

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: 'Shop.example',
      path_prefix: '/look/',
      kind: 'read_only',
      timeout_ms: 1_500,
      target_latency_ms: 185,
      priority: 2,
      max_attempts: 2,
      traffic_split: [
        { service: 'one', weight: 90 },
        { service: 'two', weight: 10 },
      ],
    },
    {
      name: 'r-2',
      host: 'shop.example',
      path_prefix: '/draw/',
      kind: 'rollout',
      service: 'one',
      max_queue_s: 40,
      single_version: true,
      resumable: true,
    },
  ],
  services: [{ name: 'one', max_connections: 170, engine: { models: [{ name: 'm' }] } }],
  limits: {
    max_header_bytes: 1,
    max_body_bytes: 2,
    header_timeout_ms: 3,
    idle_timeout_ms: 4,
  },
};

t.test(
  'a worker entry without a callable address, or with an odd version, is unreadable',
  async (t) => {
    const entry = { service: 's', address: '127.0.0.1:65535', zone: 'z', state: 'ready' };
    t.equal(parseWorker('i-1', JSON.stringify(entry))?.address, '127.0.0.1:65535');
    const odd = [
      '127.0.0.1:65536',
      '127.0.0.1:99999',
      '127.0.0.1:0',
      '256.0.0.1:80',
      '999.1.1.1:80',
    ];
    for (const address of [...odd, '127.0.0.1', 'host:80', '127.0.0.1:80x', ' 127.0.0.1:80']) {
      t.equal(parseWorker('i-1', JSON.stringify({ ...entry, address })), undefined, address);
    }
    for (const version of [1e308, -1, 1.5]) {
      const models = [{ name: 'm', version }];
      t.equal(parseWorker('i-1', JSON.stringify({ ...entry, models })), undefined, `${version}`);
    }
  },
);

t.test('routes, services and limits are parsed', async (t) => {
  const parsed = parseConfiguration(JSON.stringify(CONFIGURATION));
  t.equal(parsed?.version, 7);
  const [look, draw] = parsed?.routes ?? [];
  t.match(look, { host: 'shop.example', kind: 'read-only', timeout: 1_500, maxAttempts: 2 });
  t.same(look?.targets, CONFIGURATION.routes[0]?.traffic_split);
  t.match(draw, { kind: 'batch', maxQueue: 40_000, singleVersion: true, resumable: true });
  t.same(draw?.targets, [{ service: 'one', weight: 1 }]);
  t.same(parsed?.services[0]?.models, ['m']);
  t.equal(parsed?.limits.idleTimeout, 4);
});

t.test('an invalid configuration is reported as unreadable, with its key', async (t) => {
  const unknownKind = { ...CONFIGURATION, routes: [{ ...CONFIGURATION.routes[0], kind: 'odd' }] };
  for (const text of ['', 'not json', '{}', JSON.stringify(unknownKind)]) {
    t.equal(parseConfiguration(text), undefined);
    const change = { key: 'op/config', value: text, revision: 1 };
    t.same(FEED_TRANSLATION.translate(change), { kind: 'unreadable', key: 'op/config' });
  }
});

t.test('a worker that is not ready is draining', async (t) => {
  const record = { service: 'one', address: '10.0.0.1:80', zone: 'z', slots: 16, sequence: 4 };
  const ready = parseWorker('i-1', JSON.stringify({ ...record, state: 'ready' }));
  t.match(ready, { id: 'i-1', draining: false, slots: 16, models: [] });
  const leaving = parseWorker('i-1', JSON.stringify({ ...record, state: 'draining' }));
  t.equal(leaving?.draining, true);
});

t.test('keys map to events', async (t) => {
  const event = (key: string, value?: string) =>
    FEED_TRANSLATION.translate({ key, value, revision: 1 });
  t.same(event('servers/i-1'), { kind: 'worker-gone', worker: 'i-1' });
  t.same(event('op/version/m', '{"model":"m","version":3}'), {
    kind: 'version-named',
    model: 'm',
    version: 3,
  });
  t.same(event('op/retire/storage-1', '{"duration_s":10}'), {
    kind: 'storage-drain',
    node: 'storage-1',
  });
  t.equal(event('op/other', '{}'), undefined);
});

t.test('tenants are parsed with digests of their keys, and public routes', async (t) => {
  const tenants = [
    { name: 'north', api_keys: ['key-1', 'key-2'], priority: 1 },
    { name: 'south', api_keys: [] },
  ];
  const open = { ...CONFIGURATION.routes[0], name: 'r-3', public: true };
  const text = JSON.stringify({ ...CONFIGURATION, routes: [open], tenants });
  const parsed = parseConfiguration(text);
  t.notMatch(JSON.stringify(parsed), /key-1/);
  t.match(parsed?.tenants, [
    { name: 'north', keyDigests: [digestOf('key-1'), digestOf('key-2')], priority: 1 },
    { name: 'south', keyDigests: [], priority: undefined },
  ]);
  t.equal(parsed?.routes[0]?.isPublic, true);
  t.equal(parseConfiguration(JSON.stringify(CONFIGURATION))?.tenants, undefined);
});

t.test('scaling limits of services are parsed', async (t) => {
  const scaling = { min: 1, max: 21, boot_s: 4, spot_price: 0.18, zone_prices: { a: 1, b: 0.8 } };
  const services = [{ name: 'one', scaling }, { name: 'two' }];
  const parsed = parseConfiguration(JSON.stringify({ ...CONFIGURATION, services }));
  t.same(parsed?.services[0]?.scaling, {
    minimum: 1,
    maximum: 21,
    bootTime: 4_000,
    zonePrices: new Map(Object.entries(scaling.zone_prices)),
  });
  t.equal(parsed?.services[1]?.scaling, undefined);
});

t.test('malformed worker records are reported as unreadable', async (t) => {
  const record = { service: 'one', address: '10.0.0.1:80', zone: 'z', state: 'ready' };
  t.equal(
    parseWorker('i-1', JSON.stringify({ ...record, born: 1_700_000_000_000 }))?.startedAt,
    1_700_000_000_000,
  );
  const { service: _service, ...withoutService } = record;
  const foreign = [
    'no JSON',
    '\ufffd\ufffd',
    '[]',
    'null',
    JSON.stringify(withoutService),
    JSON.stringify({ ...record, state: 'hibernating' }),
    JSON.stringify({ ...record, address: 17 }),
    JSON.stringify({ ...record, address: 'somewhere' }),
    JSON.stringify({ ...record, slots: '8' }),
    JSON.stringify({ ...record, born: 'yesterday' }),
    JSON.stringify({ ...record, born: 1.5 }),
    JSON.stringify({ ...record, models: {} }),
  ];
  for (const value of foreign) {
    t.equal(parseWorker('i-1', value), undefined, value);
    const change = { key: 'servers/i-1', value, revision: 1 };
    t.same(FEED_TRANSLATION.translate(change), { kind: 'worker-unreadable', worker: 'i-1' });
  }
});

t.test('regions of routes and tenants, and cold starts of services, are parsed', async (t) => {
  const [look, draw] = CONFIGURATION.routes;
  const parsed = parseConfiguration(
    JSON.stringify({
      ...CONFIGURATION,
      routes: [{ ...look, allowed_regions: ['north'] }, draw],
      services: [
        { name: 'one', cold_start_s: 3, cold_per_s: 9 },
        { name: 'two', cold_start_s: 0, cold_per_s: 0 },
        { name: 'three' },
      ],
      tenants: [{ name: 'a', api_keys: ['k'], allowed_regions: ['north', 'south'] }],
    }),
  );
  t.same(
    parsed?.routes.map(({ allowedRegions }) => allowedRegions),
    [['north'], undefined],
  );
  t.same(parsed?.tenants?.[0]?.allowedRegions, ['north', 'south']);
  t.same(
    parsed?.services.map(({ coldStart }) => coldStart),
    [{ duration: 3_000, requestsPerSecond: 9 }, undefined, undefined],
  );
});

/** Guards against rejecting all requests of a route whose list of regions is empty. */
t.test('an empty list of regions allows all regions', async (t) => {
  const routes = CONFIGURATION.routes.map((route) => ({ ...route, allowed_regions: [] }));
  const tenants = [{ name: 'a', api_keys: ['k'], allowed_regions: [] }];
  const parsed = parseConfiguration(JSON.stringify({ ...CONFIGURATION, routes, tenants }));
  t.same(
    parsed?.routes.map(({ allowedRegions }) => allowedRegions),
    [undefined, undefined],
  );
  t.equal(parsed?.tenants?.[0]?.allowedRegions, undefined);
});

t.test('the remaining cold time of a worker is optional', async (t) => {
  const entry = { service: 'one', address: '10.0.0.1:80', zone: 'hall-1', state: 'ready' };
  const withColdTime = parseWorker('w', JSON.stringify({ ...entry, cold_remaining_ms: 1_200 }));
  t.equal(withColdTime?.coldFor, 1_200);
  t.equal(parseWorker('w', JSON.stringify(entry))?.coldFor, undefined);
});

t.test('a zone is evacuated while its key exists', async (t) => {
  const key = 'op/evacuate/hall-1';
  const change = (value: string | undefined) => ({ key, value, revision: 4 });
  const afterPut = FEED_TRANSLATION.translate(change('{}'));
  t.same(afterPut, { kind: 'zone-evacuated', zone: 'hall-1' });
  const afterRemoval = FEED_TRANSLATION.translate(change(undefined));
  t.same(afterRemoval, { kind: 'zone-returned', zone: 'hall-1' });
});
