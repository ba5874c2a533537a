import t from 'tap';
import { parseConfiguration, parseWorker } from '../../platform/configuration.js';
import { FEED_TRANSLATION } from '../../platform/feeds.js';

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

t.test('routes, services and limits are read', async (t) => {
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

t.test('a configuration that cannot be read is none, and is told by its key', async (t) => {
  const unknownKind = { ...CONFIGURATION, routes: [{ ...CONFIGURATION.routes[0], kind: 'odd' }] };
  for (const text of ['', 'not json', '{}', JSON.stringify(unknownKind)]) {
    t.equal(parseConfiguration(text), undefined);
    const change = { key: 'op/config', value: text, revision: 1 };
    t.same(FEED_TRANSLATION.translate(change), { kind: 'unreadable', key: 'op/config' });
  }
});

t.test('a worker that is not ready takes no new work', async (t) => {
  const record = { service: 'one', address: '10.0.0.1:80', zone: 'z', slots: 16, sequence: 4 };
  const ready = parseWorker('i-1', JSON.stringify({ ...record, state: 'ready' }));
  t.match(ready, { id: 'i-1', draining: false, slots: 16, models: [] });
  const leaving = parseWorker('i-1', JSON.stringify({ ...record, state: 'draining' }));
  t.equal(leaving?.draining, true);
});

t.test('keys are told apart', async (t) => {
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
