/** Guards against items that stay running, or at no worker, because some entries can't be called. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { GuardedEngine } from '../../src/placement/guarded-engine.js';
import { SendRules } from '../../src/placement/send-rules.js';
import type { EnginePort } from '../../src/serving/engine-port.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { recordingLog, worker } from '../serving/serving-fixtures.js';
import { always, scoredSpecification } from './job-fixtures.js';
import { JobScene } from './job-scene.js';
import type { WorkerMode } from './simulated-workers.js';
import { withVirtualTimers } from './virtual-timers.js';

const ITEMS = 12;

/** Services of items and of the requests for their scores. */
const SERVICES = ['service', 'scorers'];

/** Time without a run after which owed work counts as left out. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

/** Four sound workers of each service, beside `count` that can't be used. */
function sceneWith(odd: WorkerMode, count: number): JobScene {
  const scene = new JobScene();
  for (const service of SERVICES) {
    scene.addWorkers(service, count, 1, odd);
    scene.addWorkers(service, 4, 1);
  }
  return scene;
}

t.test('items and scores end although sending to some workers throws', async (t) => {
  const scene = sceneWith('uncallable', 7);
  await withVirtualTimers(scene.clock, async () => {
    await scene.node.service.submit(scoredSpecification('job', ITEMS), always);
    await scene.runFor(MAX_IDLE_TIME);
  });
  t.equal(scene.results.length, ITEMS);
  t.equal(scene.slotsTaken, 0, 'each slot is given back');
});

t.test(
  'an item that got no answer goes to a worker that answers, past any dark ones',
  async (t) => {
    const scene = sceneWith('dark', 16);
    await withVirtualTimers(scene.clock, async () => {
      // These items learn which workers answer.
      await scene.node.service.submit(scoredSpecification('first', ITEMS), always);
      await scene.runFor(2 * MAX_IDLE_TIME);
      const spec = scoredSpecification('job', ITEMS);
      const items = spec.items.map((item) => ({ ...item, id: `item-late-${item.id}` }));
      const submittedAt = scene.clock.now();
      await scene.node.service.submit({ ...spec, items }, always);
      await scene.runFor(MAX_IDLE_TIME);
      const begun = items.map(({ id }) => scene.workers.places.get(id)?.firstAt ?? Infinity);
      const slowest = Math.max(...begun) - submittedAt;
      t.ok(slowest < MAX_IDLE_TIME / 2, `slowest first run after ${slowest} ms`);
    });
  },
);

t.test('the port to the workers never rejects, whatever the adapter does', async (t) => {
  const { log, lines } = recordingLog();
  const broken = new Proxy({} as EnginePort, {
    get: () => () => {
      throw new RangeError('port out of range');
    },
  });
  const rules = new SendRules();
  const guarded = new GuardedEngine({ engine: broken, rules, log, metrics: new FleetMetrics() });
  const record = worker('odd');
  const request = {
    ...{ worker: record, requestId: 'r', method: 'POST', path: '/', host: 'h' },
    ...{ headers: [], body: Buffer.alloc(0), remaining: undefined },
  };
  t.match(await guarded.send(request, new AbortController().signal), { kind: 'failed' });
  t.equal(await guarded.report(record), undefined);
  t.equal(await guarded.probeLiveness(record, '/health'), 'unknown');
  t.equal(await guarded.probeColdTime(record, '/health'), undefined);
  const order = { worker: record, model: 'm', version: 2, mode: 'wait', holder: 'h' } as const;
  t.equal(await guarded.order({ ...order, fencingToken: 1, expectedSequence: 0 }), 'unknown');
  t.equal(lines.length, 5, 'each defect has a line');
});
