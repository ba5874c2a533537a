import t from 'tap';
import type { Service } from '../../src/serving/traffic-configuration.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { WorkerScaler } from '../../src/singleton-tasks/worker-scaler.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog, worker } from '../serving/serving-fixtures.js';
import { StubCloud, StubLock } from './singleton-task-fixtures.js';

const scaling = {
  minimum: 1,
  maximum: 9,
  bootTime: 4_000,
  zonePrices: new Map([
    ['zone-1', 1],
    ['zone-2', 2],
  ]),
};
const service = (name: string, limits: Service['scaling']): Service => ({
  name,
  healthPath: '/health',
  maxConnections: 10,
  models: [],
  scaling: limits,
});

interface Fixture {
  readonly cloud: StubCloud;
  readonly lock: StubLock;
  readonly clock: ManualClock;
  readonly registry: WorkerRegistry;
  readonly desiredWorkers: Map<string, number>;
  readonly evacuated: Set<string>;
  pass(duration: number): Promise<void>;
}

function fixture(): Fixture {
  const cloud = new StubCloud();
  const lock = new StubLock();
  const clock = new ManualClock();
  const registry = new WorkerRegistry();
  const desiredWorkers = new Map([
    ['zone-1', 1],
    ['zone-2', 2],
  ]);
  const evacuated = new Set<string>();
  const scaler = new WorkerScaler({
    isEvacuated: (zone) => evacuated.has(zone),
    ...{ port: cloud, lock, clock, registry, node: 'one' },
    policy: { desiredWorkers: () => desiredWorkers },
    services: () => [service('fixed', undefined), service('service', scaling)],
    log: recordingLog().log,
    metrics: new FleetMetrics(),
  });
  const pass = async (duration: number): Promise<void> => {
    const end = clock.time + duration;
    while (clock.time < end) {
      clock.time += 100;
      scaler.tick();
      await new Promise((go) => setImmediate(go));
    }
  };
  return { cloud, lock, clock, registry, desiredWorkers: desiredWorkers, evacuated, pass };
}

const ordered = (cloud: StubCloud): string[] =>
  cloud.orders.map(({ service: name, zone, desiredCount }) => `${name} ${zone} ${desiredCount}`);

t.test(
  'each zone of a scaled service is ordered once, and again when the number changes',
  async (t) => {
    const run = fixture();
    await run.pass(2_000);
    t.same(ordered(run.cloud), ['service zone-1 1', 'service zone-2 2']);
    run.desiredWorkers.set('zone-2', 3);
    await run.pass(2_000);
    t.same(ordered(run.cloud).slice(2), ['service zone-2 3']);
  },
);

t.test('a failed order is repeated unchanged', async (t) => {
  const run = fixture();
  run.desiredWorkers.delete('zone-2');
  run.cloud.outcomes = ['unknown', 'throttled', 'unavailable'];
  await run.pass(5_000);
  t.same(ordered(run.cloud), Array(4).fill('service zone-1 1'));
});

t.test('missing workers are ordered again after their boot time', async (t) => {
  const run = fixture();
  run.desiredWorkers.delete('zone-2');
  await run.pass(9_000);
  t.equal(run.cloud.orders.length, 1);
  await run.pass(2_000);
  t.equal(run.cloud.orders.length, 2);
  run.registry.put(worker('w1'));
  await run.pass(30_000);
  t.equal(run.cloud.orders.length, 2);
});

t.test('nothing is ordered without the lock, and a rejected token is not used again', async (t) => {
  const run = fixture();
  run.lock.token = undefined;
  await run.pass(2_000);
  t.equal(run.cloud.orders.length, 0);
  run.lock.token = 8;
  run.cloud.outcomes = ['superseded'];
  await run.pass(2_000);
  t.equal(run.cloud.orders.length, 1);
  t.same(run.lock.refused, [8]);
});

t.test(
  'an evacuated zone gets no orders, and its missing workers are ordered after its return',
  async (t) => {
    const run = fixture();
    run.registry.put(worker('w1', { zone: 'zone-2' }));
    run.registry.put(worker('w2', { zone: 'zone-2' }));
    run.desiredWorkers.set('zone-1', 0);
    await run.pass(1_000);
    t.same(ordered(run.cloud), ['service zone-1 0', 'service zone-2 2']);
    run.evacuated.add('zone-2');
    run.registry.remove('w1');
    await run.pass(30_000);
    t.equal(run.cloud.orders.length, 2);
    run.evacuated.delete('zone-2');
    await run.pass(1_000);
    t.same(ordered(run.cloud).slice(2), ['service zone-2 2']);
  },
);
