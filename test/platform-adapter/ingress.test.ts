import t from 'tap';
import { eventually } from '../fleet/fleet-fixtures.js';
import { answer, events, type Script } from '../serving/serving-fixtures.js';
import {
  CONFIGURATION,
  type Fixture,
  gateway,
  startConfiguredGateway,
  submissionBody,
} from './http-gateway.js';

t.test('without a configuration the response is 503 with a retry delay, never 404', async (t) => {
  const { node, call } = await gateway(t);
  const early = await call('GET', '/look/x');
  t.equal(early.status, 503);
  t.ok(Number(early.headers['retry-after']) > 0);
  t.notOk(node.isReady);
});

t.test('requests are routed; an unmatched path is not found', async (t) => {
  const { call, engine } = await startConfiguredGateway(t, CONFIGURATION, answer('reply'));
  const found = await call('POST', '/look/x?y=1', 'question', { 'x-wardwing-deadline-ms': '900' });
  t.equal(found.status, 200);
  t.equal(found.body, 'reply');
  t.equal(engine.requests[0]?.path, '/look/x?y=1');
  t.ok((engine.requests[0]?.remaining ?? 0) <= 900);
  t.equal((await call('GET', '/none/x')).status, 404);
});

t.test('a job is submitted, run, read, queried for an item body and cancelled', async (t) => {
  const stream = answer(events(0, 'ab'), { isStream: true });
  const { call, engine } = await startConfiguredGateway(t, CONFIGURATION, stream);
  const accepted = await call('POST', '/draw/submit', submissionBody(1), {
    'x-wardwing-request-id': 'job-1',
  });
  t.equal(accepted.status, 202);
  const again = await call('POST', '/draw/submit', submissionBody(1), {
    'x-wardwing-request-id': 'job-1',
  });
  t.equal(again.status, 202, 'a repeated submission is accepted once');
  let read = await call('GET', '/wardwing/lots/job-1?after_revision=0');
  while (JSON.parse(read.body).results.length === 0) {
    read = await call('GET', '/wardwing/lots/job-1?after_revision=0', '', {
      'x-wardwing-wait-ms': '500',
    });
  }
  t.same(JSON.parse(read.body), {
    total: 1,
    next_page_token: 1,
    results: [{ id: 'item-0', state: 'completed', text: 'a\nb', versions: [1] }],
  });
  t.equal(engine.requests.length, 1);
  const body = await call('GET', '/wardwing/items/job-1?id=item-0');
  t.equal(body.body, 'body 0');
  t.equal((await call('DELETE', '/wardwing/lots/job-1')).status, 200);
  t.equal((await call('DELETE', '/wardwing/lots/job-1')).status, 200);
  t.equal((await call('GET', '/wardwing/lots/none?after_revision=0')).status, 404);
});

t.test('invalid input is rejected and has no effect', async (t) => {
  const { call, store } = await startConfiguredGateway(t, CONFIGURATION);
  t.equal((await call('POST', '/draw/submit', 'not json')).status, 400);
  const missing = await call('POST', '/draw/submit', '{"requests":[{"path":"/draw/1"}]}');
  t.equal(missing.status, 400);
  t.match(JSON.parse(missing.body).detail, /requests\.0\.id/);
  t.equal((await call('GET', '/wardwing/lots/job-1?after_revision=-1')).status, 400);
  t.equal((await call('GET', '/wardwing/lots/%E0%A4%A?after_revision=0')).status, 400);
  t.equal((await call('POST', '/draw/submit', 'x'.repeat(3_000))).status, 413);
  t.same(store.keys('job/'), []);
});

t.test('an invalid configuration leaves the last valid one in force', async (t) => {
  const { call, store, node } = await startConfiguredGateway(
    t,
    CONFIGURATION,
    answer('one'),
    answer('two'),
  );
  store.write('op/config', 'not a configuration');
  store.write('op/version/m', '{"model":"m","version":2}');
  store.write('op/config', JSON.stringify({ ...CONFIGURATION, version: 2 }));
  await eventually(() => store.calls.get('watch') !== undefined);
  t.equal((await call('GET', '/look/x')).status, 200);
  t.equal(node.configuration.version, 3, 'an older version is never applied');
});

t.test('an item with a scorer is listed with the signature of its score only', async (t) => {
  const stream = answer(events(0, 'ab'), { isStream: true, signature: 'of the text' });
  const score = answer('judged', { signature: 'of the score' });
  const { call, engine } = await startConfiguredGateway(t, CONFIGURATION, stream, score);
  const job = JSON.parse(submissionBody(1));
  const body = Buffer.from('judge').toString('base64');
  job.requests[0].scorer = { id: 'score-1', host: 'h', path: '/look/score', body };
  const headers = { 'x-wardwing-request-id': 'job-1' };
  t.equal((await call('POST', '/draw/submit', JSON.stringify(job), headers)).status, 202);
  let read = await call('GET', '/wardwing/lots/job-1?after_revision=0');
  while (JSON.parse(read.body).results.length === 0) {
    read = await call('GET', '/wardwing/lots/job-1?after_revision=0', '', {
      'x-wardwing-wait-ms': '500',
    });
  }
  const [result] = JSON.parse(read.body).results;
  t.match(result, { id: 'item-0', state: 'completed', score: 'of the score' });
  t.match(engine.requests[1], { requestId: 'score-1', method: 'POST', path: '/look/score' });
  t.equal(engine.requests[1]?.body.toString(), 'judge');
});

t.test('an invalid scorer is rejected with the name of its field', async (t) => {
  const { call } = await startConfiguredGateway(t, CONFIGURATION);
  const job = JSON.parse(submissionBody(1));
  job.requests[0].scorer = { id: 'score-1', host: 'h', path: 'no slash' };
  const refused = await call('POST', '/draw/submit', JSON.stringify(job));
  t.equal(refused.status, 400);
  t.match(JSON.parse(refused.body).detail, /requests\.0\.scorer\.path/);
});

t.test('an item that HTTP cannot carry is rejected with the name of its field', async (t) => {
  const { call, store } = await startConfiguredGateway(t, CONFIGURATION);
  const smuggled = ' HTTP/1.1\r\nX-Wardwing-Request-Id: other\r\n\r\n';
  const scorer = { id: 'score-1', host: 'h', path: '/look/score' };
  const cases: [field: RegExp, item: object][] = [
    [/requests\.0\.id/, { id: `item-0${smuggled}` }],
    [/requests\.0\.id/, { id: 'item-\u{1f426}' }],
    [/requests\.0\.path/, { path: `/draw/0${smuggled}` }],
    [/requests\.0\.path/, { path: '/draw/a b' }],
    [/requests\.0\.path/, { path: '/draw/\u00e9' }],
    [/requests\.0\.headers/, { headers: { 'X-Own': smuggled } }],
    [/requests\.0\.headers/, { headers: { 'X-Own': '\u{1f426}' } }],
    [/requests\.0\.headers/, { headers: { 'X Own': 'kept' } }],
    [/requests\.0\.headers/, { headers: { '': 'kept' } }],
    [/requests\.0\.scorer\.id/, { scorer: { ...scorer, id: 'score\n1' } }],
    [/requests\.0\.scorer\.host/, { scorer: { ...scorer, host: 'h\r\nX-Other: 1' } }],
    [/requests\.0\.scorer\.path/, { scorer: { ...scorer, path: '/look/a b' } }],
  ];
  for (const [field, fields] of cases) {
    const job = JSON.parse(submissionBody(1));
    Object.assign(job.requests[0], fields);
    const refused = await call('POST', '/draw/submit', JSON.stringify(job));
    t.equal(refused.status, 400, JSON.stringify(fields));
    t.match(JSON.parse(refused.body).detail, field);
  }
  t.same(store.keys('job/'), []);
});

t.test('header values of an item may hold all that HTTP can carry', async (t) => {
  const { call, engine } = await startConfiguredGateway(t, CONFIGURATION);
  const job = JSON.parse(submissionBody(1));
  job.requests[0].headers = { "X-Own.!#$%&'*+-^_`|~": 'tab\t space caf\u00e9', 'X-Empty': '' };
  job.requests[0].path = "/draw/0?a=b&c=%20;[x]'~";
  t.equal((await call('POST', '/draw/submit', JSON.stringify(job))).status, 202);
  await eventually(() => engine.requests.length > 0);
  t.match(engine.requests[0], { path: job.requests[0].path });
  t.same(engine.requests[0]?.headers, Object.entries(job.requests[0].headers).flat());
});

const WITH_TENANTS = {
  ...CONFIGURATION,
  version: 4,
  routes: [
    ...CONFIGURATION.routes,
    { ...CONFIGURATION.routes[0], name: 'open', path_prefix: '/open/', public: true },
  ],
  tenants: [
    { name: 'north', api_keys: ['north-1', 'north-2'], priority: 3 },
    { name: 'south', api_keys: ['south-1'] },
  ],
};

async function withTenants(
  test: Pick<typeof t, 'teardown'>,
  ...scripts: Script[]
): Promise<Fixture> {
  const fixture = await startConfiguredGateway(test, CONFIGURATION, ...scripts);
  fixture.store.write('op/config', JSON.stringify(WITH_TENANTS));
  await eventually(() => fixture.node.configuration.version === 4);
  return fixture;
}

t.test('a key is required and checked, and determines the tenant sent to the worker', async (t) => {
  const fixture = await withTenants(t, answer('one'), answer('two'));
  t.equal((await fixture.call('POST', '/look/x')).status, 401);
  t.equal((await fixture.call('POST', '/look/x', '', { 'x-wardwing-key': 'wrong' })).status, 401);
  t.equal(fixture.engine.requests.length, 0, 'nothing has run');
  const keyed = await fixture.call('POST', '/look/x', '', { 'x-wardwing-key': 'north-2' });
  t.equal(keyed.status, 200);
  t.match(fixture.engine.requests[0], { tenant: 'north', priority: 3 });
  t.equal((await fixture.call('POST', '/open/x')).status, 200);
  t.equal(fixture.engine.requests[1]?.tenant, undefined);
});

t.test('a revoked key is rejected', async (t) => {
  const fixture = await withTenants(t, answer('one'));
  const key = { 'x-wardwing-key': 'south-1' };
  t.equal((await fixture.call('POST', '/look/x', '', key)).status, 200);
  const [north] = WITH_TENANTS.tenants;
  const without = {
    ...WITH_TENANTS,
    version: 5,
    tenants: [north, { name: 'south', api_keys: [] }],
  };
  fixture.store.write('op/config', JSON.stringify(without));
  await eventually(() => fixture.node.configuration.version === 5);
  t.equal((await fixture.call('POST', '/look/x', '', key)).status, 401);
});

t.test('a job is accessible with any key of its tenant, and with no other', async (t) => {
  const fixture = await withTenants(t, answer(events(0, 'ab'), { isStream: true }));
  const key = (value: string): object => ({ 'x-wardwing-key': value });
  t.equal((await fixture.call('POST', '/draw/1', submissionBody(1))).status, 401);
  t.equal((await fixture.call('POST', '/draw/1', submissionBody(1), key('north-1'))).status, 202);
  const path = '/wardwing/lots/id-1';
  t.equal((await fixture.call('GET', path, '', key('north-2'))).status, 200);
  t.equal((await fixture.call('GET', path)).status, 401);
  t.equal((await fixture.call('GET', path, '', key('south-1'))).status, 404);
  t.equal((await fixture.call('DELETE', path, '', key('south-1'))).status, 404);
  t.equal((await fixture.call('DELETE', path, '', key('north-2'))).status, 200);
});

t.test('a node without a configuration rejects no key', async (t) => {
  const fixture = await gateway(t);
  const key = { 'x-wardwing-key': 'any' };
  t.equal((await fixture.call('POST', '/look/x', '', key)).status, 503);
  t.equal((await fixture.call('GET', '/wardwing/lots/id-1', '', key)).status, 503);
});
