/**
 * Guards against state of an earlier incarnation (versions, penalties, load) being applied to a
 * restarted worker.
 */
import t from 'tap';
import { workerIncarnationOf } from '../../src/serving/worker-incarnation.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { worker } from './serving-fixtures.js';

t.test('a later incarnation under the same id starts as a new worker', async (t) => {
  const registry = new WorkerRegistry();
  t.equal(registry.put(worker('w1', { startedAt: 1_000 })), 'added');
  const before = registry.get('w1');
  before?.noteVersion('model-a', 9);
  before?.noteEventInterval(50);
  before?.noteLoad({ running: 4, waiting: 3, slots: 4 }, 10);
  before?.noteOutcome('failure', 10);
  t.equal(registry.put(worker('w1', { startedAt: 2_000 })), 'restarted');
  const after = registry.get('w1');
  t.not(after, before);
  t.equal(after?.versionOf('model-a'), 1);
  t.equal(after?.eventInterval, undefined);
  t.equal(after?.occupancy(11), 0);
  t.notOk(after?.isPenalized(11));
  t.same(registry.available('service'), [after]);
});

t.test('a late record of an earlier incarnation is ignored', async (t) => {
  const registry = new WorkerRegistry();
  registry.put(worker('w1', { startedAt: 2_000 }));
  t.equal(registry.put(worker('w1', { startedAt: 1_000, draining: true })), 'outdated');
  t.equal(registry.available('service').length, 1);
});

t.test('a worker that does not report its start keeps its state', async (t) => {
  const registry = new WorkerRegistry();
  registry.put(worker('w1'));
  const before = registry.get('w1');
  t.equal(registry.put(worker('w1', { slots: 8 })), 'updated');
  t.equal(registry.put(worker('w1', { startedAt: 1_000 })), 'updated');
  t.equal(registry.get('w1'), before);
});

t.test('incarnations under one worker id have distinct ids', async (t) => {
  t.equal(workerIncarnationOf(worker('w1')), 'w1');
  const names = [1_000, 2_000].map((startedAt) => workerIncarnationOf(worker('w1', { startedAt })));
  t.equal(new Set([...names, 'w1']).size, 3);
});
