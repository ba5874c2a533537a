import t from 'tap';
import { failure } from '../../src/errors/error-kinds.js';
import type { ReplyBody } from '../../src/node/calls.js';
import { GENERATED, RESULT, startGateway } from './fixtures/gateway-fixture.js';

const STEP = {
  step_id: 's1',
  model: 'm',
  timeout_ms: 60_000,
  samples: [
    { key: 'a', prompt: 'p', max_tokens: 4, seed: 1 },
    { key: 'b', prompt: 'p', max_tokens: 4, seed: 2 },
  ],
};

const PAGE = {
  stepId: 's1',
  samples: [{ position: 0, key: 'a', result: RESULT }],
  nextCursor: 1,
  acknowledged: 0,
  sampleCount: 2,
  state: 'closed',
  failure: failure('step_closed', 'timeout', { retryAfter: 50 }),
} as const;

t.test('a step: submit, read, acknowledge, close', async (t) => {
  const gateway = await startGateway(t);
  const ask = (reply: ReplyBody, path: string, body?: unknown) => {
    gateway.handler.answers = [{ kind: 'done', body: reply }];
    return gateway.ask('trainer', path, body);
  };
  const accepted = {
    kind: 'step-accepted',
    stepId: 's1',
    sampleCount: 2,
    repeated: false,
  } as const;
  t.match(await ask(accepted, '/v1/rollouts', STEP), {
    status: 202,
    document: { step_id: 's1', sample_count: 2, repeated: false },
  });
  const read = await ask(
    { kind: 'step-page', page: PAGE },
    '/v1/rollouts/s1?cursor=0&limit=5&wait_ms=20',
  );
  t.match(read.document, {
    state: 'closed',
    next_cursor: 1,
    samples: [{ position: 0, key: 'a', text: RESULT.text, versions: [{ version: 4 }, {}] }],
    failure: { kind: 'step_closed', ran: 'yes', retry_after_ms: 50 },
  });
  const acknowledged = { kind: 'step-acknowledged', stepId: 's1', cursor: 1 } as const;
  const acknowledgement = await ask(acknowledged, '/v1/rollouts/s1/acknowledge', { cursor: 1 });
  t.same(acknowledgement.document, { step_id: 's1', acknowledged: 1 });
  const closed = await ask({ kind: 'step-closed', stepId: 's1' }, '/v1/rollouts/s1/close', {});
  t.same(closed.document, { step_id: 's1', state: 'closed' });
  const account = 'the-trainer';
  t.match(gateway.handler.calls, [
    { kind: 'step-submit', account, timeout: 60_000, samples: [{ key: 'a', maxTokens: 4 }, {}] },
    { kind: 'step-read', account, stepId: 's1', cursor: 0, limit: 5, deadline: 1_020 },
    { kind: 'step-acknowledge', account, stepId: 's1', cursor: 1 },
    { kind: 'step-close', account, stepId: 's1' },
  ]);
});

t.test('a step of the full size is taken, a larger one refused', async (t) => {
  const gateway = await startGateway(t);
  const accepted = {
    kind: 'step-accepted',
    stepId: 's1',
    sampleCount: 2,
    repeated: false,
  } as const;
  gateway.handler.answers = [{ kind: 'done', body: accepted }];
  const samplesOf = (count: number) =>
    Array.from({ length: count }, (_, position) => {
      return { key: `k${position}`, prompt: 'p'.repeat(200), max_tokens: 4, seed: position };
    });
  const whole = await gateway.ask('trainer', '/v1/rollouts', {
    ...STEP,
    samples: samplesOf(16_384),
  });
  t.equal(whole.status, 202);
  const large = await gateway.ask('trainer', '/v1/rollouts', {
    ...STEP,
    samples: samplesOf(16_385),
  });
  t.match(large.document, { kind: 'malformed_request', detail: /^samples: / });
});

t.test('wrong steps and cursors name the field', async (t) => {
  const gateway = await startGateway(t);
  const twice = { ...STEP, samples: [STEP.samples[0], STEP.samples[0]] };
  const extra = { ...STEP, samples: [{ ...STEP.samples[0], extra: 1 }] };
  const cases: [string, unknown, string, RegExp][] = [
    ['/v1/rollouts', twice, 'malformed_request', /^samples: each key/],
    ['/v1/rollouts', extra, 'unknown_field', /^samples\.0\.extra:/],
    ['/v1/rollouts', { ...STEP, step_id: 'a/b' }, 'malformed_request', /^step_id:/],
    ['/v1/rollouts/s1?cursor=-1', undefined, 'malformed_request', /^cursor:/],
    ['/v1/rollouts/s1?cursor=1&cursor=2', undefined, 'malformed_request', /^cursor:/],
    ['/v1/rollouts/s1?page=1', undefined, 'unknown_field', /^page:/],
    ['/v1/rollouts/a%2Fb', undefined, 'malformed_request', /^step id:/],
    ['/v1/rollouts/s1/acknowledge', {}, 'malformed_request', /^cursor:/],
    ['/v1/rollouts/s1/close', { now: true }, 'unknown_field', /^now:/],
  ];
  for (const [path, body, kind, detail] of cases) {
    t.match((await gateway.ask('trainer', path, body)).document, { kind, detail });
  }
  t.equal(gateway.handler.calls.length, 0);
});

t.test('operators', async (t) => {
  const gateway = await startGateway(t);
  gateway.handler.answers = [{ kind: 'done', body: { kind: 'operator', document: { x: 1 } } }];
  const version = { version: 2, digest: 'd', bytes: 10 };
  const drain = { target: { kind: 'zone', name: 'z' }, reason: 'repair', drained: true };
  const requests: [string, unknown?][] = [
    ['/v1/intents/propose', { draft: { name: 'i' } }],
    ['/v1/intents/confirm', { plan_id: 'p' }],
    ['/v1/intents'],
    ['/v1/intents/history'],
    ['/v1/models/m/versions', version],
    ['/v1/drains', drain],
    ['/v1/status'],
    ['/v1/explain/step/s%201'],
  ];
  for (const [path, body] of requests) {
    t.match(await gateway.ask('operator', path, body), { status: 200, document: { x: 1 } });
  }
  t.match(gateway.handler.calls, [
    { kind: 'intent-propose', account: 'the-operator', draft: { name: 'i' } },
    { kind: 'intent-confirm', planId: 'p' },
    { kind: 'intent-show' },
    { kind: 'intent-history' },
    { kind: 'version-publish', model: 'm', version },
    { kind: 'drain', ...drain },
    { kind: 'status' },
    { kind: 'explain', subject: 'step/s 1' },
  ]);
  gateway.handler.answers = [{ kind: 'done', body: { kind: 'accepted', revision: 7 } }];
  const published = await gateway.ask('trainer', '/v1/models/m/versions', version);
  t.match(published, { status: 202, document: { revision: 7 } });
  const bad = await gateway.ask('operator', '/v1/intents/propose', { draft: { name: 'bad' } });
  t.match(bad, { status: 422, document: { kind: 'invalid_intent' } });
  const none = await gateway.ask('operator', '/v1/intents/propose', { draft: [] });
  t.match(none.document, { kind: 'malformed_request', detail: /^draft:/ });
  gateway.handler.answers = [GENERATED];
  t.match(await gateway.ask('operator', '/v1/status'), { document: { kind: 'internal' } });
});

t.test('health, readiness and counters need no token', async (t) => {
  const gateway = await startGateway(t);
  t.equal((await gateway.ask('', '/healthz')).status, 200);
  t.equal((await gateway.ask('', '/readyz')).status, 200);
  gateway.handler.ready = false;
  t.match(await gateway.ask('', '/readyz'), { status: 503, document: { ready: false } });
  const metrics = await fetch(`http://${gateway.address}/metrics`);
  t.equal(await metrics.text(), 'calls_total 1\n');
});
