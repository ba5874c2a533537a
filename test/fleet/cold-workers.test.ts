/** Guards against work on cold workers without a permit and an unbounded number of probes. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { ColdWorkers, type ColdWorkersOptions } from '../../src/fleet/cold-workers.js';
import type { PermitAnswer, PermitRequest } from '../../src/placement/cold-permits.js';
import type { Service, WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog, worker } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

const SERVICE: Service = {
  name: 'service',
  healthPath: '/health',
  maxConnections: 10,
  models: [],
  scaling: undefined,
  coldStart: { duration: 3_000, requestsPerSecond: 9 },
};

/** Time after which a new coordinator grants permits. */
const GRANT_DELAY: Milliseconds = 5_000;

class Node {
  readonly clock = new ManualClock();
  readonly registry = new WorkerRegistry();
  readonly metrics = new FleetMetrics();
  readonly sent: { readonly node: string; readonly requests: readonly PermitRequest[] }[] = [];
  readonly probed: string[] = [];
  readonly lines: string[];
  coordinator: string | undefined = 'granter';
  token: number | undefined;
  isStoreUnreachable = false;
  capacityFreedCount = 0;
  coldTime: Milliseconds | undefined = 0;
  answer: PermitAnswer | undefined;
  readonly coldWorkers: ColdWorkers;

  constructor(options: Partial<ColdWorkersOptions> = {}) {
    const { log, lines } = recordingLog();
    this.lines = lines;
    this.coldWorkers = new ColdWorkers({
      ...{ self: 'self', clock: this.clock, log, metrics: this.metrics },
      tolerance: { factor: 1.5, requests: 5 },
      registry: () => this.registry,
      services: () => [SERVICE],
      coordinator: () => this.coordinator,
      fencingToken: () => this.token,
      requestPermits: async (node, requests) => {
        this.sent.push({ node, requests });
        return this.answer;
      },
      probeColdTime: async ({ id }) => {
        this.probed.push(id);
        return this.coldTime;
      },
      isStoreUnreachable: () => this.isStoreUnreachable,
      onCapacityFreed: () => {
        this.capacityFreedCount += 1;
      },
      ...options,
    });
  }

  add(record: WorkerRecord): void {
    this.registry.put(record);
    this.coldWorkers.noteRecord(record);
  }

  maySend(record: WorkerRecord): boolean {
    return this.coldWorkers.rule.rejectionOf(record) === undefined;
  }

  /** Makes this node the coordinator and advances the clock by {@link GRANT_DELAY}. */
  becomeCoordinator(): void {
    this.coordinator = 'self';
    this.token = 7;
    this.coldWorkers.tick();
    this.clock.time += GRANT_DELAY;
    this.coldWorkers.tick();
  }
}

const COLD = worker('w1', { coldFor: 3_000 });
const OTHER = worker('w2', { coldFor: 3_000 });

t.test('requests of one turn of the event loop go to the coordinator together', async (t) => {
  const node = new Node();
  node.coldWorkers.noteListed();
  node.add(COLD);
  node.add(OTHER);
  const cold = { kind: 'cold', remaining: 2_000 } as const;
  const grant = { life: 'w1', worker: 'w1', warmth: cold, permits: 1 };
  node.answer = { term: 3, grants: [grant] };
  t.notOk(node.maySend(COLD));
  t.notOk(node.maySend(OTHER));
  await eventually(() => node.capacityFreedCount === 1);
  t.equal(node.sent.length, 1);
  t.equal(node.sent[0]?.node, 'granter');
  t.same(
    node.sent[0]?.requests.map((request) => request.worker),
    ['w1', 'w2'],
  );
  t.ok(node.maySend(COLD));
  node.coldWorkers.rule.noteSent(COLD);
  t.notOk(node.maySend(COLD));
});

/**
 * After a restart of all gateways the next coordinator takes some seconds to start, and no gateway
 * knows whether the workers are still warm.
 */
t.test('without a coordinator a node probes unconfirmed workers itself', async (t) => {
  const node = new Node();
  node.coordinator = undefined;
  const record = worker('w1', { coldFor: 0 });
  node.add(record);
  node.coldWorkers.noteListed();
  node.clock.time += 1;
  t.notOk(node.maySend(record), 'it may have become cold since');
  await eventually(() => node.capacityFreedCount === 1);
  t.same(node.probed, ['w1']);
  t.ok(node.maySend(record));
});

t.test('a worker that reports itself as cold gets no work without a permit', async (t) => {
  const node = new Node();
  node.coordinator = undefined;
  node.coldTime = 2_000;
  const record = worker('w1', { coldFor: 0 });
  node.add(record);
  node.coldWorkers.noteListed();
  t.notOk(node.maySend(record));
  await eventually(() => node.probed.length === 1);
  t.notOk(node.maySend(record));
  t.equal(node.capacityFreedCount, 0);
});

/**
 * Guards against status requests about all workers of a large fleet, which the coordinator cannot
 * answer in time.
 */
t.test('in a large fleet a start sends no status request, a partition bounded ones', async (t) => {
  const node = new Node();
  for (let index = 0; index < 500; index += 1) node.add(worker(`w${index}`, { coldFor: 0 }));
  node.coldWorkers.noteListed();
  node.coldWorkers.tick();
  t.same(node.sent, [], 'the node asks only about workers that it has work for');
  node.isStoreUnreachable = true;
  for (let second = 1; second <= 3; second += 1) {
    node.clock.time += 1_000;
    node.coldWorkers.tick();
    await eventually(() => node.sent.length === second);
    await node.clock.sleep();
  }
  t.same(
    node.sent.map(({ requests }) => requests.length),
    [200, 200, 200],
  );
  const askedAbout = new Set(
    node.sent.flatMap(({ requests }) => requests.map((request) => request.worker)),
  );
  t.equal(askedAbout.size, 500, 'all workers are covered in turn');
});

t.test('without a coordinator no request is sent and a cold worker gets no work', async (t) => {
  const node = new Node();
  node.coordinator = undefined;
  node.coldWorkers.noteListed();
  node.add(COLD);
  t.notOk(node.maySend(COLD));
  await new Promise((resolve) => setTimeout(resolve, 150));
  t.equal(node.sent.length, 0);
  t.notOk(node.maySend(COLD));
});

t.test('the coordinator grants permits to all nodes, itself included, after a delay', async (t) => {
  const node = new Node();
  node.coldWorkers.noteListed();
  node.coordinator = 'self';
  node.token = 7;
  node.coldWorkers.tick();
  node.add(COLD);
  const request = { worker: 'w1', life: 'w1', permits: 2, doubtAge: undefined };
  t.equal(node.coldWorkers.answerRequests([request]).grants[0]?.permits, 0, 'not yet');
  node.clock.time += GRANT_DELAY;
  const late = worker('w3', { coldFor: 3_000 });
  node.add(late);
  t.equal(
    node.coldWorkers.answerRequests([{ ...request, worker: 'w3', life: 'w3' }]).grants[0]?.permits,
    2,
  );
  node.clock.time += 1_000;
  t.notOk(node.maySend(late));
  await eventually(() => node.capacityFreedCount === 1);
  t.ok(node.maySend(late));
  t.equal(node.sent.length, 0);
  t.ok(node.lines.some((line) => line.includes('cold-permits-granter')));
});

t.test('after the evacuation of a zone its workers are probed once each', async (t) => {
  const node = new Node();
  node.add(worker('w1', { coldFor: 0 }));
  node.add(worker('w2', { coldFor: 0, zone: 'zone-2' }));
  node.coldWorkers.noteListed();
  node.becomeCoordinator();
  const [firstWorker, secondWorker] = node.registry.all().map(({ record }) => record);
  if (firstWorker === undefined || secondWorker === undefined)
    throw new Error('a worker is missing from the registry');
  t.ok(node.maySend(firstWorker) && node.maySend(secondWorker));
  node.coldTime = 1_500;
  node.coldWorkers.noteEvacuationEnded('zone-1');
  t.ok(node.maySend(secondWorker));
  t.notOk(node.maySend(firstWorker));
  node.clock.time += 1;
  await eventually(() => node.probed.length === 1);
  t.same(node.probed, ['w1']);
  node.clock.time += 1_000;
  node.maySend(firstWorker);
  node.coldWorkers.answerRequests([{ worker: 'w1', life: 'w1', permits: 1, doubtAge: undefined }]);
  t.same(node.probed, ['w1'], 'it reported how long it stays cold');
  node.clock.time += 700;
  t.ok(node.maySend(firstWorker));
  t.equal(node.metrics.snapshot()['warmth_looks.cold'], 1);
});

t.test(
  'a worker that does not answer probes counts as cold for as long as a cold start takes',
  async (t) => {
    const node = new Node();
    const record = worker('w1', { coldFor: 0 });
    node.add(record);
    node.coldWorkers.noteListed();
    node.becomeCoordinator();
    node.coldTime = undefined;
    node.coldWorkers.noteEvacuationEnded('zone-1');
    const request = { worker: 'w1', life: 'w1', permits: 1, doubtAge: undefined };
    for (let time = 0; time < 3_000; time += 100) {
      t.equal(node.coldWorkers.answerRequests([request]).grants[0]?.warmth.kind, 'doubtful');
      await node.clock.sleep();
      node.clock.time += 100;
    }
    t.ok(node.probed.length <= 6, `${node.probed.length} probes`);
    node.clock.time += 200;
    t.ok(node.maySend(record));
  },
);

t.test('a node that cannot reach the store learns of cold workers from the granter', async (t) => {
  const node = new Node();
  const record = worker('w1', { coldFor: 0 });
  node.add(record);
  node.coldWorkers.noteListed();
  node.clock.time += 10_000;
  t.ok(node.maySend(record));
  node.answer = { term: 3, grants: [] };
  node.coldWorkers.tick();
  await eventually(() => node.sent.length === 1);
  await node.clock.sleep();
  node.isStoreUnreachable = true;
  node.clock.time += 1_000;
  const cold = { kind: 'cold', remaining: 2_000 } as const;
  node.answer = { term: 3, grants: [{ life: 'w1', worker: 'w1', warmth: cold, permits: 0 }] };
  node.coldWorkers.tick();
  await eventually(() => node.sent.length === 2);
  await node.clock.sleep();
  t.notOk(node.maySend(record));
});

t.test(
  'without a cold start in any service nothing is requested, probed or held back',
  async (t) => {
    const node = new Node({ services: () => [{ ...SERVICE, coldStart: undefined }] });
    node.coldWorkers.noteListed();
    node.add(worker('w1'));
    node.isStoreUnreachable = true;
    node.token = 7;
    node.coldWorkers.noteEvacuationEnded('zone-1');
    node.coldWorkers.tick();
    t.ok(node.maySend(worker('w1')));
    await new Promise((resolve) => setTimeout(resolve, 20));
    t.same([node.sent, node.probed, node.lines], [[], [], []]);
  },
);

t.test(
  'a node that has just started requests the status of all workers until it gets an answer',
  async (t) => {
    const node = new Node();
    const record = worker('w1', { coldFor: 0 });
    node.add(record);
    node.coldWorkers.tick();
    t.equal(node.sent.length, 0, 'not before the workers are listed');
    node.coldWorkers.noteListed();
    node.clock.time += 1;
    node.coldWorkers.tick();
    await node.clock.sleep();
    node.clock.time += 100;
    node.answer = {
      term: 3,
      grants: [{ life: 'w1', worker: 'w1', warmth: { kind: 'warm' }, permits: 0 }],
    };
    node.coldWorkers.tick();
    await eventually(() => node.capacityFreedCount === 1);
    t.ok(node.maySend(record));
    node.coldWorkers.tick();
    t.equal(node.sent.length, 2);
    t.ok(node.sent.every(({ requests }) => requests.every(({ permits }) => permits === 0)));
  },
);
