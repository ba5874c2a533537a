/**
 * Guards against one crash-inducing request, retried at several gateways, crashing more than three
 * workers over all gateways.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { CrashingWorkers, DISCONNECTING, LETHAL } from '../../lab/emulator/crashing-workers.js';
import { type JoinedGateway, JoinedGateways } from '../../lab/emulator/joined-gateways.js';
import type { Milliseconds } from '../../src/core/units.js';
import { executionStateOf } from '../../src/errors/error-kinds.js';
import { FLEET_PREFIX } from '../../src/fleet/fleet-registry.js';
import { eventually } from './fleet-fixtures.js';

/** Workers that one request may crash. */
const MAX_CRASHED = 3;

/** Time for a crash report to reach all nodes: a quarter of the shortest change bound. */
const REPORT_TIME: Milliseconds = 750;

/** Time for which the route allows a request to run. */
const ROUTE_TIMEOUT: Milliseconds = 1_500;

const GATEWAYS = 4;
const WORKERS = 3;

interface Fleet {
  readonly workers: CrashingWorkers;
  readonly fleet: JoinedGateways;
}

async function startFleet(test: Pick<typeof t, 'teardown'>, maxAttempts: number): Promise<Fleet> {
  const workers: CrashingWorkers = new CrashingWorkers(() => fleet);
  const fleet = new JoinedGateways(workers);
  await fleet.start(GATEWAYS, maxAttempts);
  test.teardown(() => fleet.stop());
  for (let count = 0; count < WORKERS; count += 1) workers.add();
  await workers.whole(WORKERS);
  return { workers, fleet };
}

for (const maxAttempts of [1, 2, 3]) {
  t.test(
    `a crash-inducing request is retried at all gateways, ${maxAttempts} attempts each`,
    async (t) => {
      const { workers, fleet } = await startFleet(t, maxAttempts);
      const failures: (string | undefined)[] = [];
      for (let round = 0; round < 2; round += 1) {
        for (const gateway of fleet.gateways) {
          await workers.whole(WORKERS);
          const { failure } = await fleet.ask(gateway, '/look/same', LETHAL);
          failures.push(failure?.kind);
        }
      }
      t.ok(
        workers.ended.length <= MAX_CRASHED,
        `${workers.ended.length} workers crashed, tries ended with ${failures.join(', ')}`,
      );
    },
  );
}

t.test('a crash-inducing request is retried at one gateway', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  const [gateway] = fleet.gateways;
  if (gateway === undefined) return t.fail('no gateway');
  for (let round = 0; round < 5; round += 1) {
    await workers.whole(WORKERS);
    await fleet.ask(gateway, '/look/same', LETHAL);
  }
  t.ok(workers.ended.length <= MAX_CRASHED, `${workers.ended.length} workers crashed`);
});

const CRASHING_PATH = '/look/same';

/** Sends the request until it crashes no more workers. */
async function quarantine({ workers, fleet }: Fleet): Promise<void> {
  for (let round = 0; round < 2; round += 1) {
    await workers.whole(WORKERS);
    await fleet.ask(gatewayAt(fleet, round), CRASHING_PATH, LETHAL);
  }
  await workers.whole(WORKERS);
}

/** Blocks the event loop, as on a machine that is paused or throttled. */
function blockEventLoop(time: Milliseconds): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}

function gatewayAt(fleet: JoinedGateways, index: number): JoinedGateway {
  const gateway = fleet.gateways[index];
  if (gateway === undefined) throw new Error('the fleet has no gateway of this index');
  return gateway;
}

/** Asserts that gateways reject the request without sending it to a worker. */
async function assertAllReject(
  test: Pick<typeof t, 'equal'>,
  fleet: JoinedGateways,
  gateways: readonly JoinedGateway[] = fleet.gateways,
): Promise<void> {
  for (const gateway of gateways) {
    const { failure } = await fleet.ask(gateway, CRASHING_PATH, LETHAL);
    test.equal(failure?.kind, 'request_quarantined', gateway.name);
  }
}

t.test('a rejection is immediate, says that nothing ran, and says when to retry', async (t) => {
  const all = await startFleet(t, 2);
  await quarantine(all);
  const startedAt = performance.now();
  const { failure } = await all.fleet.ask(gatewayAt(all.fleet, 3), CRASHING_PATH, LETHAL);
  t.ok(performance.now() - startedAt < 50);
  t.equal(failure?.kind, 'request_quarantined');
  t.equal(failure === undefined ? undefined : executionStateOf(failure), 'no');
  t.ok((failure?.retryAfter ?? 0) > 590_000);
});

t.test('a gateway that joins later rejects the request', async (t) => {
  const all = await startFleet(t, 2);
  await quarantine(all);
  const late = all.fleet.add();
  await eventually(() => late.node.isReady);
  await assertAllReject(t, all.fleet, [late]);
});

t.test('a fleet that was stopped completely rejects the request after a restart', async (t) => {
  const all = await startFleet(t, 2);
  await quarantine(all);
  for (const gateway of [...all.fleet.gateways]) await all.fleet.remove(gateway);
  const again = all.fleet.add();
  await eventually(() => again.node.isReady);
  await assertAllReject(t, all.fleet, [again]);
});

t.test('a worker that crashes just after its request timed out is counted', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  for (const gateway of fleet.gateways) {
    await workers.whole(WORKERS);
    const pending = fleet.ask(gateway, CRASHING_PATH, LETHAL);
    await new Promise((resolve) => setImmediate(resolve));
    // The first crash is noticed, and the next worker is requested just before the deadline.
    blockEventLoop(ROUTE_TIMEOUT - 5);
    await pending;
    await sleep(REPORT_TIME);
  }
  t.equal(workers.ended.length, MAX_CRASHED);
});

t.test('a gateway that stops stores the crash report of its last request', async (t) => {
  const all = await startFleet(t, 3);
  const [leaving, ...others] = all.fleet.gateways;
  if (leaving === undefined) return t.fail('no gateway');
  all.fleet.silenceAll();
  leaving.node.beginStop();
  const stopping = leaving.node.stop();
  await all.fleet.ask(leaving, CRASHING_PATH, LETHAL);
  await stopping;
  await all.fleet.remove(leaving);
  t.equal(all.fleet.store.keys('fleet/worker-end/').length, MAX_CRASHED);
  await sleep(REPORT_TIME);
  await assertAllReject(t, all.fleet, others);
});

t.test('gateways reject the request while the store is unreachable', async (t) => {
  const all = await startFleet(t, 3);
  all.fleet.store.setAvailability('refusing');
  await all.fleet.ask(gatewayAt(all.fleet, 0), CRASHING_PATH, LETHAL);
  t.equal(all.workers.ended.length, MAX_CRASHED);
  await sleep(REPORT_TIME);
  await assertAllReject(t, all.fleet);
});

t.test('a gateway that joins while the store accepts no reports gets them directly', async (t) => {
  const all = await startFleet(t, 3);
  const commit = all.fleet.store.commit.bind(all.fleet.store);
  // Registrations are stored, crash records are not.
  all.fleet.store.commit = (change) =>
    change.put?.some(({ key }) => key.startsWith('fleet/worker-end/')) === true
      ? Promise.resolve({ kind: 'failed', effect: 'not-done' })
      : commit(change);
  await all.fleet.ask(gatewayAt(all.fleet, 0), CRASHING_PATH, LETHAL);
  await sleep(REPORT_TIME);
  const late = all.fleet.add();
  await eventually(() => late.node.isReady);
  await sleep(REPORT_TIME);
  await assertAllReject(t, all.fleet, [late]);
});

t.test('gateways that do not answer each other reject the request', async (t) => {
  const all = await startFleet(t, 2);
  all.fleet.silenceAll();
  await quarantine(all);
  await assertAllReject(t, all.fleet);
});

t.test('reports made while the store was unreachable are stored once it returns', async (t) => {
  const all = await startFleet(t, 3);
  all.fleet.store.setAvailability('refusing');
  await all.fleet.ask(gatewayAt(all.fleet, 0), CRASHING_PATH, LETHAL);
  await sleep(REPORT_TIME);
  all.fleet.store.setAvailability('up');
  await eventually(() => all.fleet.store.keys('fleet/worker-end/').length === MAX_CRASHED);
  t.pass();
});

t.test('requests that ran on the same workers are answered and not quarantined', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  const gateway = gatewayAt(fleet, 0);
  for (let round = 0; round < 4; round += 1) {
    await workers.whole(WORKERS);
    const crashing = fleet.ask(gateway, `/look/lethal-${round}`, LETHAL);
    const others = ['a', 'b', 'c'].map((name) => fleet.ask(gateway, `/look/${name}`, 'lookup'));
    await crashing;
    await Promise.all(others);
  }
  await workers.whole(WORKERS);
  for (const name of ['a', 'b', 'c']) {
    const { body } = await fleet.ask(gateway, `/look/${name}`, 'lookup');
    t.equal(body, 'answer to lookup');
  }
});

t.test('connections that break at live workers create no crash record', async (t) => {
  const { fleet } = await startFleet(t, 2);
  for (let round = 0; round < 4; round += 1) {
    const { failure } = await fleet.ask(gatewayAt(fleet, 0), '/look/lost', DISCONNECTING);
    t.equal(failure?.kind, 'engine_failed');
  }
  t.equal(fleet.store.keys('fleet/worker-end/').length, 0);
});

t.test('an answer at one gateway clears the request at all gateways', async (t) => {
  const { workers, fleet } = await startFleet(t, 1);
  const path = '/look/unlucky';
  // Workers crash for other reasons while the request is running.
  for (let round = 0; round < MAX_CRASHED - 1; round += 1) {
    await workers.whole(WORKERS);
    const pending = fleet.ask(gatewayAt(fleet, round), path, 'lookup');
    const at = workers.reached.at(-1)?.worker.id ?? '';
    workers.end(at);
    t.equal((await pending).failure?.kind, 'engine_failed');
    await eventually(() => fleet.store.keys('fleet/worker-end/').length === round + 1);
  }
  await workers.whole(WORKERS);
  t.equal((await fleet.ask(gatewayAt(fleet, 2), path, 'lookup')).status, 200);
  await eventually(() => fleet.store.keys('fleet/worker-end/').length === 0);
  const pendingRequest = fleet.ask(gatewayAt(fleet, 3), path, 'lookup');
  workers.end(workers.reached.at(-1)?.worker.id ?? '');
  await pendingRequest;
  await workers.whole(WORKERS);
  t.equal((await fleet.ask(gatewayAt(fleet, 3), path, 'lookup')).status, 200);
});

t.test('removing the records of a request releases it from quarantine', async (t) => {
  const all = await startFleet(t, 3);
  await quarantine(all);
  for (const key of all.fleet.store.keys('fleet/worker-end/')) all.fleet.store.erase(key);
  const gateway = gatewayAt(all.fleet, 2);
  await eventually(() => gateway.lines.length > 0);
  await sleep(REPORT_TIME);
  const { failure } = await all.fleet.ask(gateway, CRASHING_PATH, LETHAL);
  t.equal(failure?.kind, 'engine_failed');
});

t.test('a gateway does not accept callers before it has the crash reports', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  await quarantine({ workers, fleet });
  const crashed = workers.ended.length;
  const list = fleet.store.range.bind(fleet.store);
  fleet.store.range = async (prefix, afterKey) => {
    if (prefix === FLEET_PREFIX) return { kind: 'failed', effect: 'not-done' };
    return list(prefix, afterKey);
  };
  const started = fleet.add();
  await sleep(2_500);
  t.notOk(started.node.isReady, 'without a list of the fleet');
  fleet.store.range = list;
  await eventually(() => started.node.isReady);
  await fleet.ask(started, CRASHING_PATH, LETHAL);
  t.equal(workers.ended.length, crashed, 'no further worker crashed');
});
