import { mock } from 'node:test';
import t from 'tap';
import { WorkerRoster } from '../../src/fleet/worker-roster.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { recordingLog, ScriptedEngine, worker } from '../serving/serving-fixtures.js';

interface Fixture {
  readonly roster: WorkerRoster;
  readonly registry: WorkerRegistry;
  readonly engine: ScriptedEngine;
}

function fixture(wasSilent = false): Fixture {
  const registry = new WorkerRegistry();
  const engine = new ScriptedEngine();
  const { log } = recordingLog();
  const fleet = { wasSilentWithin: () => wasSilent };
  const roster = new WorkerRoster({ registry, engine, fleet, log });
  return { roster, registry, engine };
}

t.test('a worker whose record goes gets no new work, and finishes what it runs', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.teardown(() => mock.timers.reset());
  const { roster, registry, engine } = fixture();
  roster.put(worker('w1'));
  roster.noteGone('w1');
  t.same(registry.available('service'), []);
  t.same(engine.forgotten, [], 'its connections stay open');
  mock.timers.tick(13_000);
  t.same(engine.forgotten, ['w1']);
  t.equal(registry.get('w1'), undefined);
});

t.test('a worker that registers again is not forgotten', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.teardown(() => mock.timers.reset());
  const { roster, registry, engine } = fixture();
  roster.put(worker('w1'));
  roster.noteGone('w1');
  roster.put(worker('w1'));
  t.equal(registry.available('service').length, 1);
  mock.timers.tick(13_000);
  t.same(engine.forgotten, []);
  t.equal(registry.available('service').length, 1);
});

t.test(
  'a record that lapses with the store is kept until a live worker would be back',
  async (t) => {
    mock.timers.enable({ apis: ['setTimeout'] });
    t.teardown(() => mock.timers.reset());
    const { roster, registry } = fixture(true);
    roster.put(worker('w1'));
    roster.noteGone('w1');
    mock.timers.tick(1_000);
    t.equal(registry.available('service').length, 1);
    mock.timers.tick(1_000);
    t.same(registry.available('service'), []);
  },
);
