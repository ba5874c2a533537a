import t from 'tap';
import { createScenario } from '../../lab/experiments/zone-scenario.js';

const SECOND = 1_000;

t.test('all workers reach each new version, also with failing orders and duplicates', async (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const base = createScenario().worker;
    const { queue, zone } = createScenario({ seed, worker: { ...base, failureRate: 0.3 } });
    zone.publish(2);
    queue.runUntil(60 * SECOND);
    t.ok(zone.allActive(2), `seed ${seed}`);
    zone.publish(3);
    queue.runUntil(120 * SECOND);
    t.ok(zone.allActive(3), `seed ${seed}`);
  }
});

t.test('exactly one node controls a model', async (t) => {
  const { queue, zone } = createScenario();
  zone.publish(2);
  queue.runUntil(10 * SECOND);
  const controllers = zone.nodes.filter((node) => node.controller.controlledModels().length > 0);
  t.equal(controllers.length, 1);
  t.equal(new Set(zone.orders.map((order) => order.from)).size, 1);
});

t.test('loads from the weight store at once stay under the limit of the zone', async (t) => {
  const { queue, zone } = createScenario({ controller: { zoneLoadsAtOnce: 2 } });
  zone.publish(2);
  queue.runUntil(30 * SECOND);
  t.ok(zone.allActive(2));
  t.equal(zone.mostLoadsAtOnce, 2);
});

t.test('no worker activates before the quorum has loaded', async (t) => {
  const { queue, zone } = createScenario({
    controller: { zoneLoadsAtOnce: 1, activationQuorum: 1 },
  });
  zone.publish(2);
  queue.runUntil(30 * SECOND);
  const firstActivation = zone.orders.findIndex(({ order }) => order.action.kind === 'activate');
  const loaded = zone.orders
    .slice(0, firstActivation)
    .filter(({ order }) => order.action.kind === 'load');
  t.equal(new Set(loaded.map((order) => order.worker)).size, 6);
  t.ok(zone.allActive(2));
});

t.test('one worker that cannot load does not hold back the others for ever', async (t) => {
  const { queue, zone } = createScenario({ controller: { activationQuorum: 1 } });
  const [broken] = zone.workers.values();
  if (broken === undefined) return;
  broken.order = (_order, listener) => listener({ kind: 'failed', reason: 'no room' });
  zone.publish(2);
  queue.runUntil(60 * SECOND);
  const others = [...zone.workers.values()].filter((worker) => worker !== broken);
  t.ok(others.every((worker) => worker.activeVersion === 2));
  const attempts = zone.orders.filter((order) => order.worker === broken.record.worker).length;
  t.ok(attempts >= 4 && attempts < 20, `${attempts} attempts are few, but not one only`);
});

t.test('a worker that restarted is ordered again', async (t) => {
  const { queue, zone } = createScenario();
  zone.publish(2);
  queue.runUntil(20 * SECOND);
  const [worker] = zone.workers.values();
  worker?.restart();
  t.notOk(zone.allActive(2));
  queue.runUntil(40 * SECOND);
  t.ok(zone.allActive(2));
});

t.test('a worker that restarts while it loads is ordered again after the timeout', async (t) => {
  const { queue, zone } = createScenario({ controller: { loadTimeout: 5 * SECOND } });
  zone.publish(2);
  queue.runUntil(2 * SECOND);
  for (const worker of zone.workers.values()) worker.restart();
  queue.runUntil(40 * SECOND);
  t.ok(zone.allActive(2));
});

t.test('orders of a controller that was paused are refused by epoch', async (t) => {
  const { queue, zone } = createScenario();
  zone.publish(2);
  queue.runUntil(1 * SECOND);
  const old = zone.controllerOf('writer');
  if (old === undefined) return t.fail('no controller');
  queue.runUntil(2 * SECOND);
  t.ok(zone.orders.length > 0 && !zone.allActive(2), 'paused in the middle of a rollout');
  old.paused = true;
  zone.setLive(zone.nodes.filter((node) => node !== old));
  zone.publish(3);
  queue.runUntil(40 * SECOND);
  t.ok(zone.allActive(3), 'another node took over');
  const held = zone.orders.find((order) => order.from === old.record.node);
  const worker = zone.workers.get(held?.worker ?? '');
  if (held === undefined || worker === undefined) return t.fail('no earlier order');
  worker.order(held.order, (result) => t.match(result, { kind: 'refused-epoch', epoch: 2 }));
  zone.resume(old);
  for (let now = 40 * SECOND; now < 60 * SECOND; now += 50) {
    queue.runUntil(now);
    if (now === 41 * SECOND) zone.cutOff(old);
    if (!zone.allActive(3)) return t.fail(`a worker went back at ${now}`);
  }
  t.ok(zone.changes.some((change) => change.change === 'control-lost'));
  return undefined;
});

t.test('two nodes that both believe themselves first settle by epoch', async (t) => {
  const { queue, zone } = createScenario();
  zone.publish(2);
  queue.runUntil(20 * SECOND);
  const first = zone.controllerOf('writer');
  if (first === undefined) return t.fail('no controller');
  first.paused = true;
  zone.setLive(zone.nodes.filter((node) => node !== first));
  zone.resume(first);
  const controlling = zone.nodes.filter((node) => node.controller.controlledModels().length > 0);
  t.equal(controlling.length, 2);
  for (const worker of zone.workers.values()) worker.restart();
  queue.runUntil(140 * SECOND);
  t.ok(zone.allActive(2));
  const lost = zone.changes.filter((change) => change.change === 'control-lost');
  t.ok(lost.length < 40, 'they do not outbid each other all the time');
  return undefined;
});

t.test(
  'a controller without fresh configuration claims nothing and sets nobody back',
  async (t) => {
    const { queue, zone } = createScenario();
    zone.publish(2);
    queue.runUntil(20 * SECOND);
    const holder = zone.controllerOf('writer');
    if (holder === undefined) return t.fail('no controller');
    zone.cutOff(holder);
    for (const worker of zone.workers.values()) worker.restart();
    queue.runUntil(40 * SECOND);
    t.ok(zone.allActive(2), 'it still brings workers forward');
    const claims = zone.changes.filter((change) => change.change === 'control-taken').length;
    const [worker] = zone.workers.values();
    worker?.order({ epoch: 9, action: { kind: 'activate', version: 2 } }, () => undefined);
    queue.runUntil(80 * SECOND);
    t.ok(zone.changes.some((change) => change.change === 'control-lost'));
    t.equal(zone.changes.filter((change) => change.change === 'control-taken').length, claims);
    return undefined;
  },
);

t.test('an operator rolls back by lowering the maximum of an intent', async (t) => {
  const { queue, zone } = createScenario();
  zone.publish(3);
  queue.runUntil(20 * SECOND);
  t.ok(zone.allActive(3));
  zone.publish(3, [
    {
      name: 'pin',
      trainer: null,
      model: 'writer',
      zones: ['hall'],
      minimumVersion: 1,
      maximumVersion: 2,
      stalenessBound: 1,
      versionSpan: 'record',
      interactive: { accounts: [], reservedShare: 0 },
      cutOff: { kind: 'refuse' },
    },
  ]);
  queue.runUntil(40 * SECOND);
  t.ok(zone.allActive(2));
});
