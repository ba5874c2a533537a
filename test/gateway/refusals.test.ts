import { readFileSync } from 'node:fs';
import { firstValueFrom } from 'rxjs';
import t from 'tap';
import { ERROR_ANSWERS, ERROR_KINDS, failure } from '../../src/errors/error-kinds.js';
import { GatewayServer } from '../../src/gateway/gateway-server.js';
import {
  FakeHandler,
  GatewayFixture,
  GENERATED,
  receivedBy,
  startGateway,
} from './fixtures/gateway-fixture.js';

const BODY = { model: 'm', prompt: 'hello' };
const HEAD = 'POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer caller-token\r\n';

t.test('tokens and roles', async (t) => {
  const gateway = await startGateway(t);
  const cases = [
    ['nobody', '/v1/completions', 'unauthenticated'],
    ['trainer', '/v1/completions', 'forbidden'],
    ['operator', '/v1/completions', 'forbidden'],
    ['caller', '/v1/rollouts', 'forbidden'],
    ['caller', '/v1/models/m/versions', 'forbidden'],
    ['trainer', '/v1/intents/confirm', 'forbidden'],
    ['caller', '/v1/unknown', 'not_found'],
    ['caller', '/v1/rollouts/x/unknown', 'not_found'],
    ['operator', '/v1/status', 'method_not_allowed'],
    ['operator', '/v1/models/%ff/versions', 'malformed_request'],
  ] as const;
  for (const [role, path, kind] of cases) {
    const { status, document } = await gateway.ask(role, path, {});
    t.match({ status, document }, { status: ERROR_ANSWERS[kind].status, document: { kind } });
  }
  const bare = await fetch(`http://${gateway.address}/v1/status`);
  t.equal(bare.status, 401);
  t.equal(gateway.handler.calls.length, 0);
  t.equal(gateway.server.stats().failures.forbidden, 5);
});

t.test('an account needs a digest, not a token', async (t) => {
  const accounts = [{ name: 'a', role: 'caller', tokenDigest: 'secret' }] as const;
  const listen = { host: '127.0.0.1', port: 0 };
  const options = { listen, accounts, parseIntent: () => t.fail() };
  t.throws(() => new GatewayServer(options as never, new FakeHandler()), /account a/);
});

t.test('wrong bodies and headers name the field', async (t) => {
  const gateway = await startGateway(t);
  const cases: [unknown, Record<string, string>, string, string][] = [
    ['{', {}, 'malformed_request', 'body'],
    ['[]', {}, 'malformed_request', 'body'],
    [{ ...BODY, prompt: 3 }, {}, 'malformed_request', 'prompt'],
    [{ ...BODY, n: 2 }, {}, 'malformed_request', 'n'],
    [{ ...BODY, temperature: 1 }, {}, 'unknown_field', 'temperature'],
    ['{"model":"m","prompt":"p","__proto__":{}}', {}, 'unknown_field', '__proto__'],
    [BODY, { 'wardwing-repeatable': 'false' }, 'malformed_request', 'idempotency-key'],
    [BODY, { 'wardwing-repeatable': 'no' }, 'malformed_request', 'wardwing-repeatable'],
    [BODY, { 'wardwing-deadline-ms': '1.5' }, 'malformed_request', 'wardwing-deadline-ms'],
    [BODY, { 'idempotency-key': 'a b' }, 'malformed_request', 'idempotency-key'],
  ];
  for (const [body, headers, kind, field] of cases) {
    const { document } = await gateway.ask('caller', '/v1/completions', body, headers);
    t.match(document, { status: 400, kind, ran: 'no' });
    t.ok(document.detail.startsWith(`${field}:`), document.detail);
  }
  t.equal(gateway.handler.calls.length, 0);
});

t.test('each kind of failure is answered by the table', async (t) => {
  const gateway = await startGateway(t);
  for (const kind of ERROR_KINDS) {
    gateway.handler.answers = [{ kind: 'failed', failure: failure(kind, 'why') }];
    const { status, headers, document } = await gateway.ask('caller', '/v1/completions', BODY);
    const answer = ERROR_ANSWERS[kind];
    t.equal(status, answer.status);
    t.equal(headers.get('content-type'), 'application/problem+json');
    const seconds = answer.retryAfter === null ? null : String(answer.retryAfter / 1_000);
    t.equal(headers.get('retry-after'), seconds);
    t.match(document, { kind, ran: answer.ran, title: answer.title, detail: 'why' });
    t.equal(document.retry_after_ms, answer.retryAfter);
  }
  const cases = [
    [1, '1'],
    [1_001, '2'],
  ] as const;
  for (const [retryAfter, seconds] of cases) {
    const value = failure('overloaded', 'why', { retryAfter });
    gateway.handler.answers = [{ kind: 'failed', failure: value }];
    const { headers } = await gateway.ask('caller', '/v1/completions', BODY);
    t.equal(headers.get('retry-after'), seconds);
  }
});

t.test('the page for users has the table of errors', async (t) => {
  const page = readFileSync('docs/API.md', 'utf8');
  for (const kind of ERROR_KINDS) {
    const { status, ran, retryAfter, title } = ERROR_ANSWERS[kind];
    const wait = retryAfter === null ? '-' : `${retryAfter} ms`;
    t.ok(page.includes(`| \`${kind}\` | ${status} | ${ran} | ${wait} | ${title} |\n`), kind);
  }
  const rows = page.split('\n').filter((line) => /^\| `[a-z_]+` \| \d{3} \|/.test(line));
  t.equal(rows.length, ERROR_KINDS.length, 'and no row besides');
});

t.test('a large body is refused at once, announced or not', async (t) => {
  const gateway = await startGateway(t, { maxBodyBytes: 100 });
  const heads = [
    `${HEAD}content-length: 101\r\n\r\n`,
    `${HEAD}content-length: 101\r\nexpect: 100-continue\r\n\r\n`,
    `${HEAD}transfer-encoding: chunked\r\n\r\n65\r\n${'x'.repeat(101)}\r\n`,
  ];
  for (const head of heads) {
    const text = await receivedBy(gateway.raw(head));
    t.match(text, /^HTTP\/1.1 413 [\s\S]*connection: close[\s\S]*"kind":"body_too_large"/i);
  }
  t.match(gateway.server.stats(), { inFlight: 0, bodyBytes: 0, failures: { body_too_large: 3 } });
});

t.test('bodies of all connections together are bounded', async (t) => {
  const gateway = await startGateway(t, { maxBodyBytesTogether: 100 });
  const { document } = await gateway.ask('caller', '/v1/completions', 'x'.repeat(101));
  t.match(document, { kind: 'overloaded', ran: 'no' });
  t.equal(gateway.server.stats().bodyBytes, 0);
});

t.test('a slow sender is told so, and one that leaves is forgotten', async (t) => {
  const gateway = await startGateway(t, { bodyTimeout: 10 });
  const text = await receivedBy(gateway.raw(`${HEAD}content-length: 50\r\n\r\n{`));
  t.match(text, /^HTTP\/1.1 408 [\s\S]*"kind":"sender_too_slow","ran":"no"/);
  const patient = await startGateway(t);
  const socket = patient.raw(`${HEAD}content-length: 50\r\nexpect: 100-continue\r\n\r\n{`);
  await new Promise((resolve) => socket.once('data', resolve));
  socket.destroy();
  await patient.server.drain();
  t.match(patient.server.stats(), { callersLeft: 1, inFlight: 0, bodyBytes: 0 });
});

t.test('what the parser refuses is answered with a problem document', async (t) => {
  const gateway = await startGateway(t, { maxHeaderBytes: 1_000 });
  const large = await receivedBy(gateway.raw(`${HEAD}x: ${'y'.repeat(2_000)}\r\n\r\n`));
  t.match(large, /^HTTP\/1.1 431 [\s\S]*"kind":"headers_too_large"/);
  const garbage = await receivedBy(gateway.raw('nonsense\r\n\r\n'));
  t.match(garbage, /^HTTP\/1.1 400 [\s\S]*"kind":"malformed_request"/);
});

t.test('an account has a limit of calls under way', async (t) => {
  const gateway = await startGateway(t, { maxInFlightPerAccount: 1 });
  const arrived = firstValueFrom(gateway.handler.arrived);
  const first = gateway.ask('caller', '/v1/completions', BODY);
  await arrived;
  const second = await gateway.ask('caller', '/v1/completions', BODY);
  t.match(second, { status: 429, document: { kind: 'rate_limited', ran: 'no' } });
  gateway.handler.replies[0]?.next(GENERATED);
  t.equal((await first).status, 200);
});

t.test('drain refuses new calls and waits for running ones', async (t) => {
  const gateway = await new GatewayFixture().start();
  const arrived = firstValueFrom(gateway.handler.arrived);
  const running = gateway.ask('caller', '/v1/completions', BODY);
  await arrived;
  let drained = false;
  const drain = gateway.server.drain().then(() => {
    drained = true;
  });
  const refused = await gateway.ask('caller', '/v1/completions', BODY);
  t.match(refused, { status: 503, document: { kind: 'stopping', ran: 'no' } });
  t.match(await gateway.ask('', '/readyz'), { status: 503, document: { reason: 'stopping' } });
  t.equal((await gateway.ask('', '/healthz')).status, 200);
  t.equal(drained, false);
  gateway.handler.replies[0]?.next(GENERATED);
  await drain;
  await gateway.server.stop();
  t.equal((await running).status, 200, 'the running call got its answer');
});
