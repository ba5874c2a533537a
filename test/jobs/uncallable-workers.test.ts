/** Guards against items that stay running, or at no worker, because some entries can't be called. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { GuardedEngine } from '../../src/placement/guarded-engine.js';
import { SendRules } from '../../src/placement/send-rules.js';
import type { EnginePort } from '../../src/serving/engine-port.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { recordingLog, worker } from '../serving/serving-fixtures.js';
import { always, OWNER, scoredSpecification } from './job-fixtures.js';
import { type JobNode, jobNode } from './job-node.js';
import { SimulatedWorkers, type WorkerMode } from './simulated-workers.js';
import { VirtualClock } from './virtual-clock.js';
import { withVirtualTimers } from './virtual-timers.js';

const ITEMS = 12;
const EVENTS = 20;
const STEP: Milliseconds = 20;

/** Time without a run after which owed work counts as left out. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

/** One job at a node, among workers of which some can't be used. */
class Scene {
  readonly clock = new VirtualClock();
  readonly workers = new SimulatedWorkers(this.clock, ({ requestId }) =>
    requestId.startsWith('item-') ? EVENTS : 0,
  );
  readonly node: JobNode;

  constructor(odd: WorkerMode, count: number, wrap = (engine: EnginePort): EnginePort => engine) {
    const engine = wrap(this.workers.portOf(() => true));
    const extras = { clock: this.clock };
    this.node = jobNode(new SharedStoreEmulator(), OWNER, engine, undefined, extras);
    for (const service of ['service', 'scorers']) {
      for (let index = 0; index < count; index += 1) this.workers.add(service, 1, odd);
      for (let index = 0; index < 4; index += 1) this.workers.add(service, 1);
    }
    for (const { record } of this.workers.workers.values()) this.node.registry.put(record);
  }

  async runFor(time: Milliseconds): Promise<void> {
    const endAt = this.clock.now() + time;
    while (this.clock.now() < endAt) {
      this.clock.advanceTo(this.clock.now() + STEP);
      this.workers.step();
      this.node.service.tick();
      this.node.dispatcher.tick();
      for (let turn = 0; turn < 4; turn += 1) await nextTurn();
    }
  }

  get finished(): number {
    return this.node.service.ownedJobs()[0]?.finishedResults().length ?? 0;
  }

  /** Slots that are still counted as taken. */
  get slotsTaken(): number {
    return this.node.registry.all().reduce((sum, { inFlight }) => sum + inFlight, 0);
  }
}

t.test('items and scores end although sending to some workers throws', async (t) => {
  const scene = new Scene('uncallable', 7);
  await withVirtualTimers(scene.clock, async () => {
    await scene.node.service.submit(scoredSpecification('job', ITEMS), always);
    await scene.runFor(MAX_IDLE_TIME);
  });
  t.equal(scene.finished, ITEMS);
  t.equal(scene.slotsTaken, 0, 'each slot is given back');
});

t.test(
  'an item that got no answer goes to a worker that answers, past any dark ones',
  async (t) => {
    const scene = new Scene('dark', 16);
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
