/**
 * What users saw: for two to five seconds at a time, again and again, a service of three workers was
 * gone, and more than a tenth of its requests was not served. Eleven workers ended under one
 * request, which its caller sent six times in 13 s; three is where it has to be known.
 *
 * Order of events: the request ended both workers that its route allows for one try. Its connection
 * broke, the caller was told that the worker failed, and came again at another gateway some seconds
 * later, when the workers were back. That gateway knew nothing, and two more ended; and so on.
 *
 * Cause: what a request did to workers was counted by the object that forwarded it once and was
 * forgotten with it, while the caller, the workers and the promise count over all tries at all nodes.
 *
 * Evidence: the lines of six refused tries at six gateways, each with two attempts under a new id;
 * with the fingerprint of what was asked in the line attempt-broken they are one request. Each
 * worker that it had to itself ended too, and no other request was at each of them.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { CrashingWorkers, DISCONNECTING, LETHAL } from '../../lab/emulator/crashing-workers.js';
import { type JoinedGateway, JoinedGateways } from '../../lab/emulator/joined-gateways.js';
import type { Milliseconds } from '../../src/core/units.js';
import { ranStateOf } from '../../src/errors/error-kinds.js';
import { eventually } from './fleet-fixtures.js';

/** Workers that may end under one request. */
const MOST_ENDED = 3;

/** A quarter of the shortest bound within which all nodes have to know. */
const TELLING_TIME: Milliseconds = 750;

/** Longest time for which the route lets a request be held. */
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
    `a request that ends its workers comes again at all gateways, ${maxAttempts} a try`,
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
        workers.ended.length <= MOST_ENDED,
        `${workers.ended.length} workers ended, tries came to ${failures.join(', ')}`,
      );
    },
  );
}

t.test('one gateway alone sees it again and again', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  const [gateway] = fleet.gateways;
  if (gateway === undefined) return t.fail('no gateway');
  for (let round = 0; round < 5; round += 1) {
    await workers.whole(WORKERS);
    await fleet.ask(gateway, '/look/same', LETHAL);
  }
  t.ok(workers.ended.length <= MOST_ENDED, `${workers.ended.length} workers ended`);
});

const LETHAL_PATH = '/look/same';

/** Sends the request until no try ends a worker any more. */
async function quarantine({ workers, fleet }: Fleet): Promise<void> {
  for (let round = 0; round < 2; round += 1) {
    await workers.whole(WORKERS);
    await fleet.ask(gatewayAt(fleet, round), LETHAL_PATH, LETHAL);
  }
  await workers.whole(WORKERS);
}

/** Nothing runs here for a time, as on a machine that is frozen or has spent its share of a core. */
function standStill(time: Milliseconds): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}

function gatewayAt(fleet: JoinedGateways, index: number): JoinedGateway {
  const gateway = fleet.gateways[index];
  if (gateway === undefined) throw new Error('no such gateway');
  return gateway;
}

/** Asserts that gateways send the request to no worker. */
async function allRefuse(
  test: Pick<typeof t, 'equal'>,
  fleet: JoinedGateways,
  gateways: readonly JoinedGateway[] = fleet.gateways,
): Promise<void> {
  for (const gateway of gateways) {
    const { failure } = await fleet.ask(gateway, LETHAL_PATH, LETHAL);
    test.equal(failure?.kind, 'request_quarantined', gateway.name);
  }
}

t.test('a refusal of it comes at once, is a promise, and says when to come back', async (t) => {
  const all = await startFleet(t, 2);
  await quarantine(all);
  const startedAt = performance.now();
  const { failure } = await all.fleet.ask(gatewayAt(all.fleet, 3), LETHAL_PATH, LETHAL);
  t.ok(performance.now() - startedAt < 50);
  t.equal(failure?.kind, 'request_quarantined');
  t.equal(failure === undefined ? undefined : ranStateOf(failure), 'no');
  t.ok((failure?.retryAfter ?? 0) > 590_000);
});

t.test('a gateway that joins later knows it', async (t) => {
  const all = await startFleet(t, 2);
  await quarantine(all);
  const late = all.fleet.add();
  await eventually(() => late.node.isReady);
  await allRefuse(t, all.fleet, [late]);
});

t.test('a fleet that was ended as a whole knows it when it is back', async (t) => {
  const all = await startFleet(t, 2);
  await quarantine(all);
  for (const gateway of [...all.fleet.gateways]) await all.fleet.remove(gateway);
  const again = all.fleet.add();
  await eventually(() => again.node.isReady);
  await allRefuse(t, all.fleet, [again]);
});

t.test('a worker that ends just after its request was given up is seen', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  for (const gateway of fleet.gateways) {
    await workers.whole(WORKERS);
    const asked = fleet.ask(gateway, LETHAL_PATH, LETHAL);
    await new Promise((resolve) => setImmediate(resolve));
    // The first worker's end is seen, and the next one is asked just before the deadline.
    standStill(ROUTE_TIMEOUT - 5);
    await asked;
    await sleep(TELLING_TIME);
  }
  t.equal(workers.ended.length, MOST_ENDED);
});

t.test('a gateway that stops leaves behind what its last request did', async (t) => {
  const all = await startFleet(t, 3);
  const [leaving, ...others] = all.fleet.gateways;
  if (leaving === undefined) return t.fail('no gateway');
  all.fleet.silenceAll();
  leaving.node.beginStop();
  const stopping = leaving.node.stop();
  await all.fleet.ask(leaving, LETHAL_PATH, LETHAL);
  await stopping;
  await all.fleet.remove(leaving);
  t.equal(all.fleet.store.keys('fleet/worker-end/').length, MOST_ENDED);
  await sleep(TELLING_TIME);
  await allRefuse(t, all.fleet, others);
});

t.test('gateways know it while the store is away', async (t) => {
  const all = await startFleet(t, 3);
  all.fleet.store.setAvailability('refusing');
  await all.fleet.ask(gatewayAt(all.fleet, 0), LETHAL_PATH, LETHAL);
  t.equal(all.workers.ended.length, MOST_ENDED);
  await sleep(TELLING_TIME);
  await allRefuse(t, all.fleet);
});

t.test('a gateway that joins while the store takes no reports is told directly', async (t) => {
  const all = await startFleet(t, 3);
  const commit = all.fleet.store.commit.bind(all.fleet.store);
  // Registrations come through, records of workers that ended do not.
  all.fleet.store.commit = (change) =>
    change.put?.some(({ key }) => key.startsWith('fleet/worker-end/')) === true
      ? Promise.resolve({ kind: 'failed', effect: 'not-done' })
      : commit(change);
  await all.fleet.ask(gatewayAt(all.fleet, 0), LETHAL_PATH, LETHAL);
  await sleep(TELLING_TIME);
  const late = all.fleet.add();
  await eventually(() => late.node.isReady);
  await sleep(TELLING_TIME);
  await allRefuse(t, all.fleet, [late]);
});

t.test('gateways know it that do not answer each other', async (t) => {
  const all = await startFleet(t, 2);
  all.fleet.silenceAll();
  await quarantine(all);
  await allRefuse(t, all.fleet);
});

t.test('what was reported while the store was away is stored when it is back', async (t) => {
  const all = await startFleet(t, 3);
  all.fleet.store.setAvailability('refusing');
  await all.fleet.ask(gatewayAt(all.fleet, 0), LETHAL_PATH, LETHAL);
  await sleep(TELLING_TIME);
  all.fleet.store.setAvailability('up');
  await eventually(() => all.fleet.store.keys('fleet/worker-end/').length === MOST_ENDED);
  t.pass();
});

t.test('requests that were at the same workers are answered, and stay clear', async (t) => {
  const { workers, fleet } = await startFleet(t, 2);
  const gateway = gatewayAt(fleet, 0);
  for (let round = 0; round < 4; round += 1) {
    await workers.whole(WORKERS);
    const lethal = fleet.ask(gateway, `/look/lethal-${round}`, LETHAL);
    const others = ['a', 'b', 'c'].map((name) => fleet.ask(gateway, `/look/${name}`, 'lookup'));
    await lethal;
    await Promise.all(others);
  }
  await workers.whole(WORKERS);
  for (const name of ['a', 'b', 'c']) {
    const { body } = await fleet.ask(gateway, `/look/${name}`, 'lookup');
    t.equal(body, 'answer to lookup');
  }
});

t.test('connections that break at workers that live speak against nothing', async (t) => {
  const { fleet } = await startFleet(t, 2);
  for (let round = 0; round < 4; round += 1) {
    const { failure } = await fleet.ask(gatewayAt(fleet, 0), '/look/lost', DISCONNECTING);
    t.equal(failure?.kind, 'engine_failed');
  }
  t.equal(fleet.store.keys('fleet/worker-end/').length, 0);
});

t.test('an answer at one gateway clears a request at all of them', async (t) => {
  const { workers, fleet } = await startFleet(t, 1);
  const path = '/look/unlucky';
  // Workers end by themselves while the request is there.
  for (let round = 0; round < MOST_ENDED - 1; round += 1) {
    await workers.whole(WORKERS);
    const asked = fleet.ask(gatewayAt(fleet, round), path, 'lookup');
    const at = workers.reached.at(-1)?.worker.id ?? '';
    workers.end(at);
    t.equal((await asked).failure?.kind, 'engine_failed');
    await eventually(() => fleet.store.keys('fleet/worker-end/').length === round + 1);
  }
  await workers.whole(WORKERS);
  t.equal((await fleet.ask(gatewayAt(fleet, 2), path, 'lookup')).status, 200);
  await eventually(() => fleet.store.keys('fleet/worker-end/').length === 0);
  const last = fleet.ask(gatewayAt(fleet, 3), path, 'lookup');
  workers.end(workers.reached.at(-1)?.worker.id ?? '');
  await last;
  await workers.whole(WORKERS);
  t.equal((await fleet.ask(gatewayAt(fleet, 3), path, 'lookup')).status, 200);
});

t.test('whoever removes the records of a request releases it', async (t) => {
  const all = await startFleet(t, 3);
  await quarantine(all);
  for (const key of all.fleet.store.keys('fleet/worker-end/')) all.fleet.store.erase(key);
  const gateway = gatewayAt(all.fleet, 2);
  await eventually(() => gateway.lines.length > 0);
  await sleep(TELLING_TIME);
  const { failure } = await all.fleet.ask(gateway, LETHAL_PATH, LETHAL);
  t.equal(failure?.kind, 'engine_failed');
});
