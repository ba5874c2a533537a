/** Guards against rejections by the configuration that leave no trace. */
import t from 'tap';
import { LineBudget } from '../../src/telemetry/line-budget.js';
import { CONFIGURATION, startConfiguredGateway } from './http-gateway.js';

const WITH_TENANT = { ...CONFIGURATION, tenants: [{ name: 'north', api_keys: ['north-1'] }] };

t.test('a rejected request leaves a line with the configuration that rejected it', async (t) => {
  const { call, lines } = await startConfiguredGateway(t, CONFIGURATION);
  t.equal((await call('GET', '/none/x?secret=1')).status, 404);
  const line = lines
    .map((text) => JSON.parse(text))
    .find((entry) => entry.msg === 'request-rejected');
  t.match(line, {
    ...{ request: 'id-1', host: 'h', path: '/none/x', kind: 'not_found', version: 3, by: 'store' },
  });
  t.ok(line.ageMs >= 0 && line.ageMs < 2_000, `${line.ageMs} ms`);
});

t.test('a request with an unknown key leaves its fingerprint, never the key', async (t) => {
  const { call, lines } = await startConfiguredGateway(t, WITH_TENANT);
  const key = { 'x-wardwing-key': 'secret-key' };
  t.equal((await call('GET', '/look/x', '', key)).status, 401);
  t.equal((await call('GET', '/wardwing/lots/job-1', '', key)).status, 401);
  const rejected = lines.filter((text) => text.includes('request-rejected'));
  t.equal(rejected.length, 2);
  t.match(rejected[0], /no tenant holds the key [0-9a-f]{8}/);
  t.notMatch(lines.join(), 'secret-key');
});

t.test('lines beyond a budget are counted and reported in the next window', async (t) => {
  let now = 0;
  const reports: unknown[] = [];
  const budget = new LineBudget({
    clock: { now: () => now },
    linesPerSecond: 2,
    onDropped: (counts) => void reports.push(counts),
  });
  t.same(
    ['a', 'b', 'a', 'b', 'a'].map((event) => budget.admit(event)),
    [true, true, false, false, false],
  );
  now = 999;
  t.notOk(budget.admit('c'));
  now = 1_000;
  t.ok(budget.admit('a'));
  t.same(reports, [{ a: 2, b: 1, c: 1 }]);
});
