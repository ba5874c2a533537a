import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { SingletonTasks } from '../../src/fleet/singleton-tasks.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock, OWNER } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { DUE_AFTER, StubCloud, StubLock, WINDOW } from './singleton-task-fixtures.js';

t.test('a node that does not hold the lock does not acknowledge the counts of others', (t) => {
  const lock = Object.assign(new StubLock(), { holder: OWNER.node, term: 7 });
  const tasks = new SingletonTasks({
    settings: {
      port: new StubCloud(),
      usage: { window: WINDOW, dueAfter: DUE_AFTER },
      scalesWorkers: false,
    },
    lock,
    store: new SharedStoreEmulator(),
    self: OWNER,
    registry: new WorkerRegistry(),
    services: () => [],
    isEvacuated: () => false,
    liveNodes: () => 2,
    sendCounts: async () => true,
    isFirstStart: false,
    clock: new ManualClock(),
    log: recordingLog().log,
    metrics: new FleetMetrics(),
  });
  const counts = new Map([[0, new Map([['north', 1]])]]);
  t.equal(tasks.applyUsage('other-life', counts), true);
  lock.token = undefined;
  t.equal(tasks.applyUsage('other-life', counts), false);
  t.end();
});
