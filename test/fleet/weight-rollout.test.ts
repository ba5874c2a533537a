import t from 'tap';
import { dueChanges, type RolloutTarget } from '../../src/fleet/due-changes.js';
import { applyWeightChange, type WeightChange } from '../../src/fleet/weight-changes.js';
import { maxConcurrentLoads, WeightRollout } from '../../src/fleet/weight-rollout.js';
import { mayRun } from '../../src/jobs/item-placement.js';
import type { EngineReport, OrderOutcome, WeightOrder } from '../../src/serving/engine-port.js';
import { KnownWorker, WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { VirtualClock } from '../jobs/virtual-clock.js';
import { recordingLog, ScriptedEngine, worker } from '../serving/serving-fixtures.js';

function holders(...versions: number[]): KnownWorker[] {
  return versions.map(
    (version, index) =>
      new KnownWorker(worker(`w${index}`, { models: [{ name: 'model-a', version }] })),
  );
}

function due(workers: KnownWorker[], target: Partial<RolloutTarget>, mayWait = true): string[] {
  const whole = { model: 'model-a', version: 5, required: 0, ...target };
  return dueChanges(workers, whole, mayWait, () => false).map(({ worker }) => worker.record.id);
}

t.test('half of the workers change at once', async (t) => {
  t.equal(due(holders(4, 4, 4, 4), {}).length, 2);
  t.equal(due(holders(4, 4, 4), {}).length, 2);
  t.same(due(holders(5, 5, 4, 4), {}), []);
});

t.test('workers that lag two versions change in any case, and first', async (t) => {
  t.same(due(holders(4, 3, 4, 3, 3), {}), ['w1', 'w3', 'w4']);
});

t.test('workers behind what a job needs change in any case', async (t) => {
  t.equal(due(holders(4, 4, 4, 4), { required: 5 }).length, 4);
  t.equal(due(holders(4, 4, 4, 4), { required: 4 }).length, 2);
});

t.test('all workers change after a delay', async (t) => {
  t.same(due(holders(5, 5, 4, 4), {}, false), ['w2', 'w3']);
});

t.test('workers that are changing count as changed', async (t) => {
  const workers = holders(4, 4, 4, 4);
  const target = { model: 'model-a', version: 5, required: 0 };
  const isChanging = ({ record }: KnownWorker): boolean => record.id === 'w0';
  const changes = dueChanges(workers, target, true, isChanging);
  t.same(
    changes.map((change) => change.worker.record.id),
    ['w1'],
  );
});

t.test('a model without usable workers goes before one that has some', async (t) => {
  // All four workers hold both models; two of them lag three versions behind for the first.
  const models = (a: number, b: number) => [
    { name: 'model-a', version: a },
    { name: 'model-b', version: b },
  ];
  const versions = [models(8, 1), models(8, 1), models(5, 1), models(5, 1)];
  const workers = versions.map(
    (held, index) => new KnownWorker(worker(`w${index}`, { models: held })),
  );
  const dueFor = (model: string, version: number) =>
    dueChanges(workers, { model, version, required: 0 }, true, () => false);
  const inOrder = [...dueFor('model-a', 8), ...dueFor('model-b', 3)].sort(
    (one, other) => one.usableShare - other.usableShare,
  );
  t.same(
    inOrder.map(({ model, usableShare }) => [model, usableShare]),
    [
      ['model-b', 0],
      ['model-b', 0.25],
      ['model-a', 0.5],
      ['model-b', 0.5],
      ['model-a', 0.75],
      ['model-b', 0.75],
    ],
  );
});

t.test('a large fleet loads more workers at once than a small one', async (t) => {
  t.equal(maxConcurrentLoads(3), 2);
  t.equal(maxConcurrentLoads(8), 2);
  t.equal(maxConcurrentLoads(32), 9);
});

t.test('long scans run less often, short ones at each tick', async (t) => {
  const clock = new ManualClock();
  let scanTime = 0;
  let scans = 0;
  class SlowRegistry extends WorkerRegistry {
    override all(): KnownWorker[] {
      scans += 1;
      clock.time += scanTime;
      return super.all();
    }
  }
  const rollout = new WeightRollout({
    registry: new SlowRegistry(),
    engine: new ScriptedEngine(),
    clock,
    lock: {
      fencingToken: () => 1,
      beginOrder: () => 1,
      endOrder: () => {},
      noteRefused: () => {},
    },
    holder: 'node-1',
    namedVersions: new Map(),
    isConfigured: () => true,
    noteChange: () => {},
    orderMode: () => 'keep',
    log: recordingLog().log,
    metrics: new FleetMetrics(),
  });
  const scansIn = (ticks: number): number => {
    const before = scans;
    for (let tick = 0; tick < ticks; tick += 1) {
      rollout.tick();
      clock.time += 50;
    }
    return scans - before;
  };
  const short = scansIn(10);
  scanTime = 10;
  const long = scansIn(100);
  t.ok(short >= 10, `${short} reads of the registry in ten ticks`);
  t.ok(long < 3 * short, `${long} reads in a hundred ticks where each takes 10 ms`);
});

/** Advances its time on `sleep`, so that polls for the end of an order terminate. */
class AdvancingClock extends ManualClock {
  override sleep(duration = 0): Promise<void> {
    this.time += duration;
    return super.sleep();
  }
}

/** A rollout of version 5 of one model over the workers of a registry. */
function rolloutOver(
  registry: WorkerRegistry,
  engine: ScriptedEngine,
  clock: ManualClock,
  changes: WeightChange[] = [],
  isEvacuated: (worker: KnownWorker) => boolean = () => false,
) {
  return new WeightRollout({
    isEvacuated,
    registry,
    engine,
    clock,
    lock: {
      fencingToken: () => 1,
      beginOrder: () => 1,
      endOrder: () => {},
      noteRefused: () => {},
    },
    holder: 'node-1',
    namedVersions: new Map([['model-a', { version: 5, namedAt: 0 }]]),
    isConfigured: (service) => service === 'service',
    noteChange: (change) => void changes.push(change),
    orderMode: () => 'keep',
    log: recordingLog().log,
    metrics: new FleetMetrics(),
  });
}

const REPORT = { models: [], busy: false, sequence: 0, waiting: 0, running: 0 };

t.test('workers of services that are not configured get no orders', async (t) => {
  const registry = new WorkerRegistry();
  registry.put(worker('foreign', { service: 'unheard-of' }));
  const engine = new ScriptedEngine();
  engine.reports = [REPORT, REPORT];
  rolloutOver(registry, engine, new AdvancingClock()).tick();
  await new Promise((resolve) => setImmediate(resolve));
  t.same(engine.orders, []);
});

t.test(
  'a new incarnation of a worker gets an order while one to the previous is open',
  async (t) => {
    const registry = new WorkerRegistry();
    registry.put(worker('w1', { startedAt: 1_000 }));
    const engine = new ScriptedEngine();
    engine.reports = [{ ...REPORT, startedAt: 1_000 }];
    const rollout = rolloutOver(registry, engine, new AdvancingClock());
    rollout.tick();
    await new Promise((resolve) => setImmediate(resolve));
    t.equal(engine.orders.length, 1);
    registry.put(worker('w1', { startedAt: 2_000 }));
    engine.reports = [{ ...REPORT, startedAt: 2_000 }];
    rollout.tick();
    await new Promise((resolve) => setImmediate(resolve));
    t.same(
      engine.orders.map((order) => order.worker.startedAt),
      [1_000, 2_000],
    );
  },
);

t.test('a report of an incarnation other than the recorded one causes no order', async (t) => {
  const registry = new WorkerRegistry();
  registry.put(worker('w1', { startedAt: 1_000 }));
  const engine = new ScriptedEngine();
  engine.reports = [{ ...REPORT, startedAt: 2_000 }];
  rolloutOver(registry, engine, new AdvancingClock()).tick();
  await new Promise((resolve) => setImmediate(resolve));
  t.same(engine.orders, []);
});

/** Guards against items sent to loading workers, which look idle and reject them. */
t.test('nodes that run jobs know which workers are loading, and when they are done', async (t) => {
  const registry = new WorkerRegistry();
  registry.put(worker('w1', { startedAt: 1_000 }));
  const engine = new ScriptedEngine();
  engine.reports = [REPORT, { ...REPORT, models: [{ name: 'model-a', version: 5 }] }];
  const changes: WeightChange[] = [];
  rolloutOver(registry, engine, new AdvancingClock(), changes).tick();
  for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  t.same(
    changes.map(({ state, version }) => [state, version]),
    [
      ['loading', 5],
      ['loaded', 5],
    ],
  );
  // Another node knows the worker only by its record.
  const other = new WorkerRegistry();
  other.put(worker('w1', { startedAt: 1_000 }));
  const knownWorker = other.get('w1');
  const needs = { model: 'model-a', minVersion: 1, relativeLength: 1, boundVersion: undefined };
  const may = (model: string, now: number) =>
    knownWorker !== undefined && mayRun(knownWorker, { ...needs, model }, now);
  const [loading, loaded] = changes;
  if (loading === undefined || loaded === undefined) return t.fail('no change was reported');
  applyWeightChange(other, loading, 1_000);
  t.notOk(may('model-a', 1_500));
  t.ok(may('model-a', 3_000), 'an end that is not reported is not waited for');
  applyWeightChange(other, loading, 4_000);
  applyWeightChange(other, loaded, 4_100);
  t.ok(may('model-a', 4_200));
  t.equal(knownWorker?.versionOf('model-a'), 5);
  other.put(worker('w1', { startedAt: 2_000 }));
  applyWeightChange(other, loading, 5_000);
  t.notOk(other.get('w1')?.isLoading('model-a', 5_100), 'that was another incarnation');
});

/** Ten workers in two zones, all two versions behind; the second zone is evacuated. */
function halfEvacuated(): {
  readonly engine: ScriptedEngine;
  readonly clock: ManualClock;
  readonly rollout: WeightRollout;
  readonly orderedWorkerIds: () => string[];
  readonly advance: (duration: number) => Promise<void>;
} {
  const registry = new WorkerRegistry();
  for (let index = 0; index < 10; index += 1) {
    const zone = index < 5 ? 'zone-1' : 'zone-2';
    registry.put(worker(`w${index}`, { zone, models: [{ name: 'model-a', version: 3 }] }));
  }
  const engine = new ScriptedEngine();
  engine.reports = Array(500).fill({ ...REPORT, models: [{ name: 'model-a', version: 3 }] });
  const clock = new ManualClock();
  const isEvacuated = ({ record }: KnownWorker): boolean => record.zone === 'zone-2';
  const rollout = rolloutOver(registry, engine, clock, [], isEvacuated);
  const orderedWorkerIds = (): string[] => engine.orders.map((order) => order.worker.id);
  const advance = async (duration: number): Promise<void> => {
    const end = clock.time + duration;
    while (clock.time < end) {
      clock.time += 50;
      rollout.tick();
      for (const { worker: ordered } of engine.orders)
        registry.get(ordered.id)?.noteVersion('model-a', 5);
      for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    }
  };
  return { engine, clock, rollout, orderedWorkerIds, advance };
}

t.test('workers of an evacuated zone load after all others, and not at once', async (t) => {
  const run = halfEvacuated();
  await run.advance(3_000);
  t.same(
    run.orderedWorkerIds().sort(),
    ['w0', 'w1', 'w2', 'w3', 'w4'],
    'though all lag two versions',
  );
  await run.advance(8_000);
  t.same(run.orderedWorkerIds().slice(5).sort(), ['w5', 'w6', 'w7', 'w8', 'w9']);
});

/** Time after which a call to a dark address is given up, and the duration of a load. */
const CALL_TIMEOUT = 800;
const LOAD_TIME = 900;

/** Workers that take orders and load, beside entries at whose addresses nobody answers. */
class LoadingEngine extends ScriptedEngine {
  readonly versions = new Map<string, number>();

  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override async report(asked?: { readonly id: string }): Promise<EngineReport | undefined> {
    const version = this.versions.get(asked?.id ?? '');
    if (version === undefined) {
      await this.clock.sleep(CALL_TIMEOUT);
      return undefined;
    }
    const models = [{ name: 'model-a', version }];
    return { models, busy: false, sequence: 0, waiting: 0, running: 0 };
  }

  override async order({ worker: { id }, version }: WeightOrder): Promise<OrderOutcome> {
    void this.clock.sleep(LOAD_TIME).then(() => this.versions.set(id, version));
    return 'started';
  }
}

t.test('entries at which nobody answers do not hold back the other workers', async (t) => {
  const clock = new VirtualClock();
  const engine = new LoadingEngine(clock);
  const registry = new WorkerRegistry();
  const models = [{ name: 'model-a', version: 1 }];
  for (let index = 0; index < 12; index += 1) registry.put(worker(`dark-${index}`, { models }));
  for (let index = 0; index < 4; index += 1) {
    registry.put(worker(`sound-${index}`, { models }));
    engine.versions.set(`sound-${index}`, 1);
    // Busy workers come after idle ones.
    const known = registry.get(`sound-${index}`);
    if (known !== undefined) known.inFlight = 2;
  }
  const { log } = recordingLog();
  const rollout = new WeightRollout({
    ...{ registry, engine, clock, log, metrics: new FleetMetrics(), holder: 'node-1' },
    lock: { fencingToken: () => 1, beginOrder: () => 1, endOrder: () => {}, noteRefused: () => {} },
    namedVersions: new Map([['model-a', { version: 3, namedAt: clock.now() }]]),
    isConfigured: () => true,
    noteChange: () => {},
    orderMode: () => 'wait',
  });
  const isLoaded = (): boolean => [...engine.versions.values()].every((version) => version === 3);
  const startedAt = clock.now();
  while (!isLoaded() && clock.now() - startedAt < 30_000) {
    clock.advanceTo(clock.now() + 50);
    rollout.tick();
    for (let turn = 0; turn < 6; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }
  const took = clock.now() - startedAt;
  t.ok(took <= 3 * CALL_TIMEOUT + 4 * LOAD_TIME, `all have the version after ${took} ms`);
});
