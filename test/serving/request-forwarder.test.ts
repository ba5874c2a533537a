import { Readable } from 'node:stream';
import t from 'tap';
import type { CallerRequest } from '../../src/serving/answer-sink.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { RequestForwarder } from '../../src/serving/request-forwarder.js';
import type { Route } from '../../src/serving/traffic-configuration.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import {
  answer,
  BROKEN,
  brokenAnswer,
  callerRequest,
  events,
  NOT_RUN,
  quarantine,
  RecordingSink,
  recordingLog,
  route,
  type Script,
  ScriptedEngine,
  UNREACHED,
  VERSION_FIELD,
  worker,
} from './serving-fixtures.js';

interface Forwarded {
  readonly sink: RecordingSink;
  readonly engine: ScriptedEngine;
  /** Tenants whose requests started. */
  readonly started: readonly string[];
}

async function forward(
  scripts: Script[],
  routeFields: Partial<Route> = {},
  requestFields: Partial<CallerRequest> = {},
  { log } = recordingLog(),
): Promise<Forwarded> {
  const engine = new ScriptedEngine(scripts);
  const registry = new WorkerRegistry();
  for (const id of ['w1', 'w2', 'w3']) registry.put(worker(id));
  const started: string[] = [];
  const forwarder = new RequestForwarder({
    onRunStarted: (tenant) => started.push(tenant),
    engine,
    versionField: VERSION_FIELD,
    registry,
    quarantine: quarantine(),
    clock: PROCESS_CLOCK,
    log,
    metrics: new FleetMetrics(),
    zone: 'zone-1',
  });
  const sink = new RecordingSink();
  const request = callerRequest(requestFields);
  await forwarder.forward(request, route(routeFields), 'service', sink);
  return { sink, engine, started };
}

t.test('the answer of a worker is relayed unchanged', async (t) => {
  const { sink, engine } = await forward([answer('reply', { status: 201 })]);
  t.equal(sink.status, 201);
  t.same(sink.headers, ['X-Stamp', 'stamp']);
  t.equal(sink.body, 'reply');
  t.equal(engine.requests.length, 1);
});

t.test(
  'a repeatable request is retried at another worker after each kind of failure',
  async (t) => {
    for (const first of [BROKEN, UNREACHED, NOT_RUN, brokenAnswer('par')]) {
      const { sink, engine } = await forward([first, answer('reply')]);
      t.equal(sink.body, 'reply');
      const [one, two] = engine.requests.map((request) => request.worker.id);
      t.not(one, two);
    }
  },
);

/** A hedge over a pooled connection would hang too when all pooled connections are dead. */
t.test('a hedge uses a new connection', async (t) => {
  const { engine } = await forward(['hang', answer('reply')], { targetLatency: 100 });
  t.same(
    engine.requests.map(({ wantsNewConnection = false }) => wantsNewConnection),
    [false, true],
  );
});

t.test('a retry after a failure uses a pooled connection', async (t) => {
  const { engine } = await forward([NOT_RUN, answer('reply')]);
  t.same(
    engine.requests.map(({ wantsNewConnection = false }) => wantsNewConnection),
    [false, false],
  );
});

t.test('attempts stop at the maximum of the route', async (t) => {
  const { sink, engine } = await forward([BROKEN, BROKEN, answer('late')], { maxAttempts: 2 });
  t.equal(engine.requests.length, 2);
  t.equal(sink.failure?.kind, 'engine_failed');
});

t.test('log lines about broken attempts identify tries of the same request', async (t) => {
  const recorded = recordingLog();
  await forward([BROKEN, answer('reply')], {}, { requestId: 'first try' }, recorded);
  await forward([BROKEN, answer('reply')], {}, { requestId: 'second try' }, recorded);
  await forward([BROKEN, answer('reply')], {}, { path: '/a/other' }, recorded);
  const broken = recorded.lines
    .map((line) => JSON.parse(line) as Record<string, unknown>)
    .filter(({ msg }) => msg === 'attempt-broken');
  const [first, second, other] = broken.map(({ asked }) => asked);
  t.equal(first, second);
  t.not(first, other);
  t.match(broken[0], { request: 'first try', worker: 'w1', othersThere: 0, elsewhere: 0 });
});

t.test('a failure status does not clear the evidence against a request', async (t) => {
  const registry = new WorkerRegistry();
  for (const id of ['w1', 'w2', 'w3', 'w4', 'w5']) registry.put(worker(id));
  const timeoutAnswer = answer('', { status: 504 });
  const engine = new ScriptedEngine([BROKEN, BROKEN, timeoutAnswer, BROKEN, answer('reply')]);
  const forwarder = new RequestForwarder({
    engine,
    versionField: VERSION_FIELD,
    registry,
    quarantine: quarantine(async () => 'ended'),
    clock: PROCESS_CLOCK,
    log: recordingLog().log,
    metrics: new FleetMetrics(),
    zone: 'zone-1',
  });
  const sink = new RecordingSink();
  await forwarder.forward(callerRequest(), route({ maxAttempts: 5 }), 'service', sink);
  t.equal(engine.requests.length, 4, 'no retry after the third crash');
  t.equal(sink.failure?.kind, 'engine_failed');
});

t.test('a hedge answers for a late worker, whose attempt is cancelled', async (t) => {
  const { sink, engine } = await forward(['hang', answer('reply')], { targetLatency: 20 });
  t.equal(sink.body, 'reply');
  t.same(engine.cancelled, [engine.requests[0]?.worker.id]);
});

t.test("a worker's own failure is relayed when no other worker answers", async (t) => {
  const { sink } = await forward([answer('sorry', { status: 500 })], { maxAttempts: 1 });
  t.equal(sink.status, 500);
  t.equal(sink.body, 'sorry');
});

t.test(
  'a failure implies "not run" only where no worker can have started the request',
  async (t) => {
    const refused = await forward([NOT_RUN, UNREACHED, NOT_RUN], { kind: 'mutating' });
    t.equal(refused.sink.failure?.kind, 'overloaded');
    t.ok((refused.sink.failure?.retryAfter ?? 0) > 0);
    const unknownOutcome = await forward([NOT_RUN, BROKEN], { kind: 'mutating' });
    t.equal(unknownOutcome.sink.failure?.kind, 'engine_failed');
  },
);

t.test('a non-repeatable request is not retried after a worker may have run it', async (t) => {
  const { engine } = await forward([BROKEN, answer('again')], { kind: 'mutating' });
  t.equal(engine.requests.length, 1);
});

t.test('a request is answered at its timeout, and its attempt is cancelled', async (t) => {
  const { sink, engine } = await forward(['hang'], { timeout: 30 });
  t.equal(sink.failure?.kind, 'deadline_exceeded');
  t.equal(engine.cancelled.length, 1);
});

t.test('the remaining time is sent with the request', async (t) => {
  const receivedAt = PROCESS_CLOCK.now() - 1_000;
  const { engine } = await forward([answer('reply')], {}, { receivedAt, timeout: 3_000 });
  const remaining = engine.requests[0]?.remaining ?? 0;
  t.ok(remaining <= 2_000 && remaining > 0);
});

t.test(
  'when the caller disconnects, the attempt is cancelled and nothing is answered',
  async (t) => {
    const disconnect = new AbortController();
    setTimeout(() => disconnect.abort(), 20);
    const { sink, engine } = await forward(['hang'], {}, { disconnectSignal: disconnect.signal });
    t.equal(sink.ending, 'open');
    t.equal(engine.cancelled.length, 1);
  },
);

/** Maximum time from the caller's disconnect to the end of all attempts. */
const MAX_CANCEL_TIME = 500;

/** A stream that sends some events and then hangs until its request is cancelled. */
function waitingStream(letters: string): Script {
  const body = new Readable({ read: () => {} });
  body.push(Buffer.from(events(0, letters)));
  return answer('', { body, isStream: true });
}

async function timeAfterDisconnect(
  scripts: Script[],
  disconnectAfter: number,
  routeFields: Partial<Route>,
): Promise<Forwarded & { readonly time: number }> {
  const disconnect = new AbortController();
  let disconnectedAt = performance.now();
  const disconnectNow = (): void => {
    disconnectedAt = performance.now();
    disconnect.abort();
  };
  if (disconnectAfter === 0) disconnectNow();
  else setTimeout(disconnectNow, disconnectAfter);
  const forwarded = await forward(scripts, routeFields, { disconnectSignal: disconnect.signal });
  return { ...forwarded, time: performance.now() - disconnectedAt };
}

t.test('when the caller disconnects, both pending attempts are cancelled', async (t) => {
  const scripts: Script[] = ['hang', 'hang', 'hang'];
  const { sink, engine, time } = await timeAfterDisconnect(scripts, 90, { targetLatency: 100 });
  t.equal(engine.requests.length, 2);
  t.equal(engine.cancelled.length, 2);
  t.equal(sink.ending, 'open');
  t.ok(time < MAX_CANCEL_TIME, `ended after ${time} ms`);
});

t.test(
  'when the caller of a stream disconnects, its run is cancelled and not resumed',
  async (t) => {
    const stream = waitingStream('ab');
    const fields = { kind: 'streaming', resumable: true } as const;
    const { engine, time } = await timeAfterDisconnect([stream, 'hang'], 30, fields);
    t.equal(engine.requests.length, 1);
    t.ok(stream !== 'hang' && stream.kind === 'answered' && stream.body.destroyed);
    t.ok(time < MAX_CANCEL_TIME, `ended after ${time} ms`);
  },
);

t.test(
  'when the caller disconnects while a stream is resumed, the second attempt is cancelled',
  async (t) => {
    const first = brokenAnswer(events(0, 'ab'), { isStream: true });
    const fields = { kind: 'streaming', resumable: true } as const;
    const { engine, time } = await timeAfterDisconnect([first, 'hang', 'hang'], 60, fields);
    t.equal(engine.requests.length, 2);
    t.same(engine.cancelled, [engine.requests[1]?.worker.id]);
    t.ok(time < MAX_CANCEL_TIME, `ended after ${time} ms`);
  },
);

t.test('nothing is sent for a caller that disconnected before forwarding', async (t) => {
  for (const kind of ['read-only', 'mutating', 'streaming'] as const) {
    const { engine } = await timeAfterDisconnect([answer('reply')], 0, { kind });
    t.equal(engine.requests.length, 0, kind);
  }
});

t.test('a resumable stream is resumed at another worker without a gap', async (t) => {
  const first = brokenAnswer(`${events(0, 'ab')}id: 2\nda`, { isStream: true });
  const second = answer(events(2, 'cd'), { isStream: true });
  const { sink, engine } = await forward([first, second], { kind: 'streaming', resumable: true });
  t.equal(sink.body, events(0, 'abcd'));
  t.equal(sink.ending, 'complete');
  t.equal(engine.requests[1]?.lastEventId, 1);
});

t.test('a broken non-resumable stream is aborted, so that it is seen as incomplete', async (t) => {
  const first = brokenAnswer(events(0, 'ab'), { isStream: true });
  const { sink } = await forward([first], { kind: 'streaming' });
  t.equal(sink.body, events(0, 'ab'));
  t.equal(sink.ending, 'broken');
});

t.test('events out of order are not relayed', async (t) => {
  const odd = answer(events(0, 'ab') + events(5, 'x'), { isStream: true });
  const { sink } = await forward([odd], { kind: 'streaming' });
  t.equal(sink.body, events(0, 'ab'));
  t.equal(sink.ending, 'broken');
});

const NORTH: Tenant = { name: 'north', keyDigests: [], priority: 2 };

t.test('a request counts once for its tenant when a worker may have started it', async (t) => {
  const caller = { kind: 'tenant', tenant: NORTH } as const;
  const counts = async (scripts: Script[], routeFields: Partial<Route> = {}): Promise<number> =>
    (await forward(scripts, routeFields, { caller })).started.length;
  t.equal(await counts([answer('one')]), 1);
  t.equal(await counts([BROKEN, answer('one')]), 1, 'two attempts of one request');
  t.equal(await counts([NOT_RUN, UNREACHED, NOT_RUN]), 0, 'no worker started it');
  t.equal(await counts([BROKEN], { kind: 'mutating' }), 1);
  t.same((await forward([answer('one')])).started, [], 'no tenant');
});

t.test("a tenant's priority overrides the route's", async (t) => {
  const caller = { kind: 'tenant', tenant: NORTH } as const;
  const withPriority = await forward([answer('one')], { priority: 4 }, { caller });
  t.match(withPriority.engine.requests[0], { tenant: 'north', priority: 2 });
  const tenant = { ...NORTH, priority: undefined };
  const withoutPriority = await forward(
    [answer('one')],
    { priority: 4 },
    { caller: { ...caller, tenant } },
  );
  t.equal(withoutPriority.engine.requests[0]?.priority, 4);
});
