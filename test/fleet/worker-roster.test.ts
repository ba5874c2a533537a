import { mock } from 'node:test';
import t from 'tap';
import { WorkerRoster } from '../../src/fleet/worker-roster.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { recordingLog, ScriptedEngine, worker } from '../serving/serving-fixtures.js';

interface Fixture {
  readonly roster: WorkerRoster;
  readonly registry: WorkerRegistry;
  readonly engine: ScriptedEngine;
  readonly lines: readonly string[];
}

function fixture(wasStoreUnreachable = false): Fixture {
  const registry = new WorkerRegistry();
  const engine = new ScriptedEngine();
  const { log, lines } = recordingLog();
  const fleet = { wasStoreUnreachableWithin: () => wasStoreUnreachable };
  const metrics = new FleetMetrics();
  const roster = new WorkerRoster({ registry, engine, fleet, log, metrics });
  return { roster, registry, engine, lines };
}

t.test('a worker whose record is removed gets no new work and finishes its requests', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.teardown(() => mock.timers.reset());
  const { roster, registry, engine } = fixture();
  roster.put(worker('w1'));
  roster.handleRemoval('w1');
  t.same(registry.available('service'), []);
  t.same(engine.forgotten, [], 'its connections stay open');
  mock.timers.tick(13_000);
  t.same(engine.forgotten, ['w1']);
  t.equal(registry.get('w1'), undefined);
});

t.test(
  'workers that become known together share a log line, draining ones have their own',
  async (t) => {
    const { roster, registry, lines } = fixture();
    for (let index = 0; index < 3_000; index += 1) {
      roster.put(worker(`w${index}`, { draining: index === 7 }));
    }
    await new Promise((resolve) => setImmediate(resolve));
    t.equal(registry.all().length, 3_000);
    const logged = lines.map((line) => JSON.parse(line));
    t.match(logged, [
      { msg: 'workers-known', workers: 3_000, draining: 1 },
      { msg: 'worker-known', worker: 'w7', draining: true },
    ]);
    t.equal(logged.length, 2);
    roster.put(worker('w7'));
    await new Promise((resolve) => setImmediate(resolve));
    t.match(JSON.parse(lines.at(-1) ?? ''), { msg: 'worker-known', worker: 'w7', draining: false });
  },
);

t.test('a worker that registers again stays registered', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.teardown(() => mock.timers.reset());
  const { roster, registry, engine } = fixture();
  roster.put(worker('w1'));
  roster.handleRemoval('w1');
  roster.put(worker('w1'));
  t.equal(registry.available('service').length, 1);
  mock.timers.tick(13_000);
  t.same(engine.forgotten, []);
  t.equal(registry.available('service').length, 1);
});

t.test('a record that expires in an outage stays until a live worker would be back', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.teardown(() => mock.timers.reset());
  const { roster, registry } = fixture(true);
  roster.put(worker('w1'));
  roster.handleRemoval('w1');
  mock.timers.tick(1_000);
  t.equal(registry.available('service').length, 1);
  mock.timers.tick(1_000);
  t.same(registry.available('service'), []);
});

t.test('a restarted worker gets new connections', async (t) => {
  const { roster, registry, engine, lines } = fixture();
  roster.put(worker('w1', { startedAt: 1_000 }));
  const before = registry.get('w1');
  roster.put(worker('w1', { startedAt: 2_000 }));
  t.same(engine.forgotten, ['w1']);
  t.not(registry.get('w1'), before);
  t.ok(lines.some((line) => line.includes('"worker-restarted"')));
  roster.put(worker('w1', { startedAt: 1_000, draining: true }));
  t.equal(
    registry.available('service').length,
    1,
    'a late record of the previous incarnation is ignored',
  );
});

t.test('an unreadable record removes its worker and no other', async (t) => {
  const { roster, registry } = fixture();
  roster.put(worker('w1'));
  roster.put(worker('w2'));
  roster.handleUnreadable('w1');
  roster.handleUnreadable('never-known');
  t.same(
    registry.available('service').map(({ record }) => record.id),
    ['w2'],
  );
});
