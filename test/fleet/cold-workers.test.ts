/** One node's part in sparing cold workers: what it asks the coordinator, what it grants, and its looks at workers. */
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

/** Time after which a new coordinator grants. */
const TAKE_OVER: Milliseconds = 5_000;

class Node {
  readonly clock = new ManualClock();
  readonly registry = new WorkerRegistry();
  readonly metrics = new FleetMetrics();
  readonly asked: { readonly node: string; readonly wishes: readonly PermitRequest[] }[] = [];
  readonly looked: string[] = [];
  readonly lines: string[];
  coordinator: string | undefined = 'granter';
  token: number | undefined;
  isCutOff = false;
  freed = 0;
  coldTime: Milliseconds | undefined = 0;
  answer: PermitAnswer | undefined;
  readonly part: ColdWorkers;

  constructor(options: Partial<ColdWorkersOptions> = {}) {
    const { log, lines } = recordingLog();
    this.lines = lines;
    this.part = new ColdWorkers({
      ...{ self: 'self', clock: this.clock, log, metrics: this.metrics },
      tolerance: { factor: 1.5, requests: 5 },
      registry: () => this.registry,
      services: () => [SERVICE],
      coordinator: () => this.coordinator,
      fencingToken: () => this.token,
      requestPermits: async (node, wishes) => {
        this.asked.push({ node, wishes });
        return this.answer;
      },
      probeColdTime: async ({ id }) => {
        this.looked.push(id);
        return this.coldTime;
      },
      isStoreUnreachable: () => this.isCutOff,
      onCapacityFreed: () => {
        this.freed += 1;
      },
      ...options,
    });
  }

  add(record: WorkerRecord): void {
    this.registry.put(record);
    this.part.noteRecord(record);
  }

  isFree(record: WorkerRecord): boolean {
    return this.part.rule.rejectionOf(record) === undefined;
  }

  /** It coordinates, and has for long. */
  grant(): void {
    this.coordinator = 'self';
    this.token = 7;
    this.part.tick();
    this.clock.time += TAKE_OVER;
    this.part.tick();
  }
}

const COLD = worker('w1', { coldFor: 3_000 });
const OTHER = worker('w2', { coldFor: 3_000 });

t.test('all that one turn wishes for is asked of the coordinator in one question', async (t) => {
  const node = new Node();
  node.part.noteListed();
  node.add(COLD);
  node.add(OTHER);
  const cold = { kind: 'cold', remaining: 2_000 } as const;
  const grant = { life: 'w1', worker: 'w1', warmth: cold, permits: 1 };
  node.answer = { term: 3, grants: [grant] };
  t.notOk(node.isFree(COLD));
  t.notOk(node.isFree(OTHER));
  await eventually(() => node.freed === 1);
  t.equal(node.asked.length, 1);
  t.equal(node.asked[0]?.node, 'granter');
  t.same(
    node.asked[0]?.wishes.map((wish) => wish.worker),
    ['w1', 'w2'],
  );
  t.ok(node.isFree(COLD));
  node.part.rule.noteSent(COLD);
  t.notOk(node.isFree(COLD));
});

/**
 * After a start of all gateways the next coordinator takes some seconds to come, and each gateway doubts
 * all workers, though they were warm all the while.
 */
t.test('without a coordinator a node looks itself at the workers that it doubts', async (t) => {
  const node = new Node();
  node.coordinator = undefined;
  const there = worker('w1', { coldFor: 0 });
  node.add(there);
  node.part.noteListed();
  node.clock.time += 1;
  t.notOk(node.isFree(there), 'it may have turned cold since');
  await eventually(() => node.freed === 1);
  t.same(node.looked, ['w1']);
  t.ok(node.isFree(there));
});

t.test('a worker that tells that it is cold is sent nothing without a permit', async (t) => {
  const node = new Node();
  node.coordinator = undefined;
  node.coldTime = 2_000;
  const there = worker('w1', { coldFor: 0 });
  node.add(there);
  node.part.noteListed();
  t.notOk(node.isFree(there));
  await eventually(() => node.looked.length === 1);
  t.notOk(node.isFree(there));
  t.equal(node.freed, 0);
});

/**
 * In a sweep to 300 machines with 3,004 workers the day was given up for the processor time that it took:
 * each gateway that started asked about all workers in one question, again and again, as the coordinator
 * could not answer in time.
 */
t.test('in a large fleet a start asks nothing, and a cut asks about some at a time', async (t) => {
  const node = new Node();
  for (let index = 0; index < 500; index += 1) node.add(worker(`w${index}`, { coldFor: 0 }));
  node.part.noteListed();
  node.part.tick();
  t.same(node.asked, [], 'work for them brings the questions');
  node.isCutOff = true;
  for (let second = 1; second <= 3; second += 1) {
    node.clock.time += 1_000;
    node.part.tick();
    await eventually(() => node.asked.length === second);
    await node.clock.sleep();
  }
  t.same(
    node.asked.map(({ wishes }) => wishes.length),
    [200, 200, 200],
  );
  const askedAbout = new Set(node.asked.flatMap(({ wishes }) => wishes.map((wish) => wish.worker)));
  t.equal(askedAbout.size, 500, 'all take their turn');
});

t.test('without a coordinator nothing is asked and nothing goes', async (t) => {
  const node = new Node();
  node.coordinator = undefined;
  node.part.noteListed();
  node.add(COLD);
  t.notOk(node.isFree(COLD));
  await new Promise((resolve) => setTimeout(resolve, 150));
  t.equal(node.asked.length, 0);
  t.notOk(node.isFree(COLD));
});

t.test('the coordinator grants to itself and to others, once it has waited', async (t) => {
  const node = new Node();
  node.part.noteListed();
  node.coordinator = 'self';
  node.token = 7;
  node.part.tick();
  node.add(COLD);
  const wish = { worker: 'w1', life: 'w1', permits: 2, doubtAge: undefined };
  t.equal(node.part.answerRequests([wish]).grants[0]?.permits, 0, 'not yet');
  node.clock.time += TAKE_OVER;
  const late = worker('w3', { coldFor: 3_000 });
  node.add(late);
  t.equal(node.part.answerRequests([{ ...wish, worker: 'w3', life: 'w3' }]).grants[0]?.permits, 2);
  node.clock.time += 1_000;
  t.notOk(node.isFree(late));
  await eventually(() => node.freed === 1);
  t.ok(node.isFree(late));
  t.equal(node.asked.length, 0);
  t.ok(node.lines.some((line) => line.includes('cold-permits-granter')));
});

t.test('after the return of a zone its workers are looked at, once each', async (t) => {
  const node = new Node();
  node.add(worker('w1', { coldFor: 0 }));
  node.add(worker('w2', { coldFor: 0, zone: 'zone-2' }));
  node.part.noteListed();
  node.grant();
  const [first, second] = node.registry.all().map(({ record }) => record);
  if (first === undefined || second === undefined) throw new Error('two workers were added');
  t.ok(node.isFree(first) && node.isFree(second));
  node.coldTime = 1_500;
  node.part.noteEvacuationEnded('zone-1');
  t.ok(node.isFree(second));
  t.notOk(node.isFree(first));
  node.clock.time += 1;
  await eventually(() => node.looked.length === 1);
  t.same(node.looked, ['w1']);
  node.clock.time += 1_000;
  node.isFree(first);
  node.part.answerRequests([{ worker: 'w1', life: 'w1', permits: 1, doubtAge: undefined }]);
  t.same(node.looked, ['w1'], 'it told how long it stays cold');
  node.clock.time += 700;
  t.ok(node.isFree(first));
  t.equal(node.metrics.snapshot()['warmth_looks.cold'], 1);
});

t.test(
  'a worker that does not answer the look is taken for cold as long as a start takes',
  async (t) => {
    const node = new Node();
    const record = worker('w1', { coldFor: 0 });
    node.add(record);
    node.part.noteListed();
    node.grant();
    node.coldTime = undefined;
    node.part.noteEvacuationEnded('zone-1');
    const wish = { worker: 'w1', life: 'w1', permits: 1, doubtAge: undefined };
    for (let time = 0; time < 3_000; time += 100) {
      t.equal(node.part.answerRequests([wish]).grants[0]?.warmth.kind, 'doubtful');
      await node.clock.sleep();
      node.clock.time += 100;
    }
    t.ok(node.looked.length <= 6, `${node.looked.length} looks`);
    node.clock.time += 200;
    t.ok(node.isFree(record));
  },
);

t.test('a node that does not reach the store hears of cold workers by the granter', async (t) => {
  const node = new Node();
  const record = worker('w1', { coldFor: 0 });
  node.add(record);
  node.part.noteListed();
  node.clock.time += 10_000;
  t.ok(node.isFree(record));
  node.answer = { term: 3, grants: [] };
  node.part.tick();
  await eventually(() => node.asked.length === 1);
  await node.clock.sleep();
  node.isCutOff = true;
  node.clock.time += 1_000;
  const cold = { kind: 'cold', remaining: 2_000 } as const;
  node.answer = { term: 3, grants: [{ life: 'w1', worker: 'w1', warmth: cold, permits: 0 }] };
  node.part.tick();
  await eventually(() => node.asked.length === 2);
  await node.clock.sleep();
  t.notOk(node.isFree(record));
});

t.test('where no service has a cold start nothing is asked, looked at or held back', async (t) => {
  const node = new Node({ services: () => [{ ...SERVICE, coldStart: undefined }] });
  node.part.noteListed();
  node.add(worker('w1'));
  node.isCutOff = true;
  node.token = 7;
  node.part.noteEvacuationEnded('zone-1');
  node.part.tick();
  t.ok(node.isFree(worker('w1')));
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.same([node.asked, node.looked, node.lines], [[], [], []]);
});

t.test('a node that has just started asks about all workers until a granter tells', async (t) => {
  const node = new Node();
  const record = worker('w1', { coldFor: 0 });
  node.add(record);
  node.part.tick();
  t.equal(node.asked.length, 0, 'not before the workers are listed');
  node.part.noteListed();
  node.clock.time += 1;
  node.part.tick();
  await node.clock.sleep();
  node.clock.time += 100;
  node.answer = {
    term: 3,
    grants: [{ life: 'w1', worker: 'w1', warmth: { kind: 'warm' }, permits: 0 }],
  };
  node.part.tick();
  await eventually(() => node.freed === 1);
  t.ok(node.isFree(record));
  node.part.tick();
  t.equal(node.asked.length, 2);
  t.ok(node.asked.every(({ wishes }) => wishes.every(({ permits }) => permits === 0)));
});
