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
  /** Tenants whose requests began to run. */
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
    noteBegun: (tenant) => started.push(tenant),
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
  return { sink, engine, started: started };
}

t.test('the answer of a worker goes back as it is', async (t) => {
  const { sink, engine } = await forward([answer('reply', { status: 201 })]);
  t.equal(sink.status, 201);
  t.same(sink.headers, ['X-Stamp', 'stamp']);
  t.equal(sink.body, 'reply');
  t.equal(engine.requests.length, 1);
});

t.test('a repeatable request goes to another worker after each kind of failure', async (t) => {
  for (const first of [BROKEN, UNREACHED, NOT_RUN, brokenAnswer('par')]) {
    const { sink, engine } = await forward([first, answer('reply')]);
    t.equal(sink.body, 'reply');
    const [one, two] = engine.requests.map((request) => request.worker.id);
    t.not(one, two);
  }
});

/**
 * Kept connections that fell silent together look like late workers: a second call over another one
 * of them would wait as well, until the caller's time is over.
 */
t.test('the call that overtakes a late one goes over a new connection', async (t) => {
  const { engine } = await forward(['hang', answer('reply')], { targetLatency: 100 });
  t.same(
    engine.requests.map(({ wantsNewConnection = false }) => wantsNewConnection),
    [false, true],
  );
});

t.test('the call after a failed one uses a kept connection', async (t) => {
  const { engine } = await forward([NOT_RUN, answer('reply')]);
  t.same(
    engine.requests.map(({ wantsNewConnection = false }) => wantsNewConnection),
    [false, false],
  );
});

t.test('no more workers are tried than the route allows', async (t) => {
  const { sink, engine } = await forward([BROKEN, BROKEN, answer('late')], { maxAttempts: 2 });
  t.equal(engine.requests.length, 2);
  t.equal(sink.failure?.kind, 'engine_failed');
});

t.test('lines about broken attempts tell which tries were the same request', async (t) => {
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

t.test(
  'a failure that a worker tells does not clear a request under which workers ended',
  async (t) => {
    const registry = new WorkerRegistry();
    for (const id of ['w1', 'w2', 'w3', 'w4', 'w5']) registry.put(worker(id));
    const late = answer('', { status: 504 });
    const engine = new ScriptedEngine([BROKEN, BROKEN, late, BROKEN, answer('reply')]);
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
    t.equal(engine.requests.length, 4, 'not sent again after the third');
    t.equal(sink.failure?.kind, 'engine_failed');
  },
);

t.test('a late worker is overtaken by another and cancelled', async (t) => {
  const { sink, engine } = await forward(['hang', answer('reply')], { targetLatency: 20 });
  t.equal(sink.body, 'reply');
  t.same(engine.cancelled, [engine.requests[0]?.worker.id]);
});

t.test("a worker's own failure is passed on when no other worker does better", async (t) => {
  const { sink } = await forward([answer('sorry', { status: 500 })], { maxAttempts: 1 });
  t.equal(sink.status, 500);
  t.equal(sink.body, 'sorry');
});

t.test('a refusal says "not run" only where no worker can have begun', async (t) => {
  const refused = await forward([NOT_RUN, UNREACHED, NOT_RUN], { kind: 'mutating' });
  t.equal(refused.sink.failure?.kind, 'overloaded');
  t.ok((refused.sink.failure?.retryAfter ?? 0) > 0);
  const unknown = await forward([NOT_RUN, BROKEN], { kind: 'mutating' });
  t.equal(unknown.sink.failure?.kind, 'engine_failed');
});

t.test('what may not be repeated is sent to one worker that may have run it', async (t) => {
  const { engine } = await forward([BROKEN, answer('again')], { kind: 'mutating' });
  t.equal(engine.requests.length, 1);
});

t.test('a request is answered at its timeout, and its worker is told', async (t) => {
  const { sink, engine } = await forward(['hang'], { timeout: 30 });
  t.equal(sink.failure?.kind, 'deadline_exceeded');
  t.equal(engine.cancelled.length, 1);
});

t.test('the time that is left travels with the request', async (t) => {
  const receivedAt = PROCESS_CLOCK.now() - 1_000;
  const { engine } = await forward([answer('reply')], {}, { receivedAt, timeout: 3_000 });
  const remaining = engine.requests[0]?.remaining ?? 0;
  t.ok(remaining <= 2_000 && remaining > 0);
});

t.test('when the caller leaves, the worker is cancelled and nothing is answered', async (t) => {
  const gone = new AbortController();
  setTimeout(() => gone.abort(), 20);
  const { sink, engine } = await forward(['hang'], {}, { disconnectSignal: gone.signal });
  t.equal(sink.ending, 'open');
  t.equal(engine.cancelled.length, 1);
});

/** The time after which no worker may work for a caller that has left. */
const MAX_CANCEL_TIME = 500;

/** A stream that gives some events and then waits, until its request is ended. */
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

t.test('when the caller leaves, both calls under way end', async (t) => {
  const scripts: Script[] = ['hang', 'hang', 'hang'];
  const { sink, engine, time } = await timeAfterDisconnect(scripts, 90, { targetLatency: 100 });
  t.equal(engine.requests.length, 2);
  t.equal(engine.cancelled.length, 2);
  t.equal(sink.ending, 'open');
  t.ok(time < MAX_CANCEL_TIME, `ended after ${time} ms`);
});

t.test('when the caller leaves a stream, its run ends and no other begins', async (t) => {
  const stream = waitingStream('ab');
  const fields = { kind: 'streaming', resumable: true } as const;
  const { engine, time } = await timeAfterDisconnect([stream, 'hang'], 30, fields);
  t.equal(engine.requests.length, 1);
  t.ok(stream !== 'hang' && stream.kind === 'answered' && stream.body.destroyed);
  t.ok(time < MAX_CANCEL_TIME, `ended after ${time} ms`);
});

t.test('when the caller leaves between two workers, the second call ends', async (t) => {
  const first = brokenAnswer(events(0, 'ab'), { isStream: true });
  const fields = { kind: 'streaming', resumable: true } as const;
  const { engine, time } = await timeAfterDisconnect([first, 'hang', 'hang'], 60, fields);
  t.equal(engine.requests.length, 2);
  t.same(engine.cancelled, [engine.requests[1]?.worker.id]);
  t.ok(time < MAX_CANCEL_TIME, `ended after ${time} ms`);
});

t.test('for a caller that left before its request was read whole, nothing is sent', async (t) => {
  for (const kind of ['read-only', 'mutating', 'streaming'] as const) {
    const { engine } = await timeAfterDisconnect([answer('reply')], 0, { kind });
    t.equal(engine.requests.length, 0, kind);
  }
});

t.test('a resumable stream goes on at another worker without a gap', async (t) => {
  const first = brokenAnswer(`${events(0, 'ab')}id: 2\nda`, { isStream: true });
  const second = answer(events(2, 'cd'), { isStream: true });
  const { sink, engine } = await forward([first, second], { kind: 'streaming', resumable: true });
  t.equal(sink.body, events(0, 'abcd'));
  t.equal(sink.ending, 'complete');
  t.equal(engine.requests[1]?.lastEventId, 1);
});

t.test('a stream that may not be resumed is broken off, so that it looks incomplete', async (t) => {
  const first = brokenAnswer(events(0, 'ab'), { isStream: true });
  const { sink } = await forward([first], { kind: 'streaming' });
  t.equal(sink.body, events(0, 'ab'));
  t.equal(sink.ending, 'broken');
});

t.test('events out of order are not passed on', async (t) => {
  const odd = answer(events(0, 'ab') + events(5, 'x'), { isStream: true });
  const { sink } = await forward([odd], { kind: 'streaming' });
  t.equal(sink.body, events(0, 'ab'));
  t.equal(sink.ending, 'broken');
});

const NORTH: Tenant = { name: 'north', keyDigests: [], priority: 2 };

t.test('a request counts once for its tenant when a worker may have begun it', async (t) => {
  const caller = { kind: 'tenant', tenant: NORTH } as const;
  const counts = async (scripts: Script[], routeFields: Partial<Route> = {}): Promise<number> =>
    (await forward(scripts, routeFields, { caller })).started.length;
  t.equal(await counts([answer('one')]), 1);
  t.equal(await counts([BROKEN, answer('one')]), 1, 'two runs are one request');
  t.equal(await counts([NOT_RUN, UNREACHED, NOT_RUN]), 0, 'what no worker began is not counted');
  t.equal(await counts([BROKEN], { kind: 'mutating' }), 1);
  t.same((await forward([answer('one')])).started, [], 'nobody to count for');
});

t.test("a tenant's priority goes before the route's", async (t) => {
  const caller = { kind: 'tenant', tenant: NORTH } as const;
  const own = await forward([answer('one')], { priority: 4 }, { caller });
  t.match(own.engine.requests[0], { tenant: 'north', priority: 2 });
  const tenant = { ...NORTH, priority: undefined };
  const none = await forward([answer('one')], { priority: 4 }, { caller: { ...caller, tenant } });
  t.equal(none.engine.requests[0]?.priority, 4);
});
