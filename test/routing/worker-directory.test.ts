import fc from 'fast-check';
import t from 'tap';
import {
  Fleet,
  MODEL,
  makeMachine,
  makeNode,
  makeWorker,
} from '../../lab/bench/routing-fixtures.js';
import { subsetOf } from '../../src/routing/worker-subset.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const NODES = ZONES.flatMap((zone) => [1, 2, 3].map((n) => makeNode(`${zone}-n${n}`, zone)));
const WORKERS = ZONES.flatMap((zone) => [1, 2, 3, 4].map((n) => makeWorker(`${zone}-w${n}`, zone)));

t.test('subsets cover all workers evenly', async () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 60 }),
      fc.integer({ min: 1, max: 800 }),
      (nodes, size) => {
        const workers = Array.from({ length: Math.min(size, nodes * 32) }, (_, at) => at);
        const uses = workers.map(() => 0);
        for (let rank = 0; rank < nodes; rank += 1) {
          const subset = subsetOf(workers, rank, nodes, 32);
          if (subset.length > 32 || new Set(subset).size !== subset.length) return false;
          for (const worker of subset) uses[worker] = (uses[worker] ?? 0) + 1;
        }
        const least = Math.min(...uses);
        return least >= 1 && Math.max(...uses) - least <= 2;
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

t.test('all nodes agree on homes, and each worker is polled and followed', async (t) => {
  const fleet = new Fleet(NODES, WORKERS, 2);
  for (const { worker, zone } of WORKERS) {
    const homes = NODES.map((node) => fleet.directory(node.node).homeOf(worker)?.node);
    t.equal(new Set(homes).size, 1, 'all nodes compute the same home');
    t.ok(homes[0]?.startsWith(zone), 'the home is in the worker’s zone');
    t.ok(fleet.directory(homes[0] ?? '').report(worker), 'the home has its report');
  }
  t.same(fleet.candidateNames(), new Set(WORKERS.map((record) => record.worker)));
  t.equal(fleet.candidateNames('zone-a-n1').size, 6, 'two of each zone');
  for (const { worker } of WORKERS) t.same(fleet.statesOf(worker), new Set(['in-service']));
});

t.test('each source of the state leaving takes effect on all nodes within 3 s', async (t) => {
  const target = 'zone-b-w2';
  const sources: Record<string, (fleet: Fleet) => void> = {
    'machine list': (fleet) =>
      fleet.setMachines(
        WORKERS.map((record) => makeMachine(record, record.worker === target ? 'leaving' : 'live')),
      ),
    'drained worker': (fleet) => {
      const drain = { target: { kind: 'worker', name: target }, reason: 'repair' } as const;
      for (const one of fleet.directories.values()) one.updateDrains([drain], fleet.now);
    },
    'drained zone': (fleet) => {
      const drain = { target: { kind: 'zone', name: 'zone-b' }, reason: 'repair' } as const;
      for (const one of fleet.directories.values()) one.updateDrains([drain], fleet.now);
    },
    'its own report': (fleet) => fleet.reports.set(target, { leaving: true }),
    'its own report, and the first push is lost': (fleet) => {
      fleet.reports.set(target, { leaving: true });
      fleet.loses = (message) =>
        message.kind === 'load' && message.loads.length > 0 && !message.complete;
    },
    'removed from the list': (fleet) =>
      fleet.setMachines(
        WORKERS.filter((record) => record.worker !== target).map((one) => makeMachine(one, 'live')),
      ),
  };
  for (const [source, apply] of Object.entries(sources)) {
    const fleet = new Fleet(NODES, WORKERS);
    t.ok(fleet.candidateNames().has(target));
    apply(fleet);
    fleet.run(3_000);
    t.notOk(fleet.candidateNames().has(target), source);
    const home = fleet.directory('zone-b-n1').homeOf(target)?.node ?? 'zone-b-n1';
    t.ok(fleet.directory(home).isLeaving(target), `its home refuses: ${source}`);
  }
});

t.test('an engine that fails or hangs is unreachable, and returns with a slow start', async (t) => {
  for (const fault of ['fails', 'hangs'] as const) {
    const fleet = new Fleet(NODES, WORKERS);
    fleet.reports.set('zone-a-w1', fault);
    fleet.run(3_000);
    t.same(fleet.statesOf('zone-a-w1'), new Set(['unreachable']), fault);
    fleet.reports.delete('zone-a-w1');
    fleet.run(1_000);
    t.same(fleet.statesOf('zone-a-w1'), new Set(['in-service']));
    const candidates = fleet.directory('zone-c-n1').candidates(MODEL, ['zone-a']);
    const returned = candidates.find((candidate) => candidate.record.worker === 'zone-a-w1');
    t.ok((returned?.returnedAt ?? 0) > 2_000, 'it gets a slow start');
  }
});

t.test(
  'when a home terminates or restarts, its workers are followed from the next home',
  async (t) => {
    const fleet = new Fleet(NODES, WORKERS);
    const dead = fleet.directory('zone-b-n1').homeOf('zone-a-w1')?.node ?? '';
    fleet.setNodes(NODES.filter((node) => node.node !== dead));
    fleet.run(3_000);
    t.not(fleet.directory('zone-b-n1').homeOf('zone-a-w1')?.node, dead);
    t.same(fleet.statesOf('zone-a-w1'), new Set(['in-service']));
    fleet.setNodes(NODES.map((node) => (node.node === dead ? { ...node, incarnation: 2 } : node)));
    fleet.run(3_000);
    t.equal(fleet.directory('zone-b-n1').homeOf('zone-a-w1')?.incarnation, 2);
    fleet.reports.set('zone-a-w1', { activeVersion: 7 });
    fleet.run(1_000);
    const seen = fleet.directory('zone-b-n1').candidates(MODEL, ['zone-a']);
    t.equal(seen.find((one) => one.record.worker === 'zone-a-w1')?.activeVersion, 7);
  },
);

t.test('workers of a home that sends no updates become connecting', async (t) => {
  const fleet = new Fleet(NODES, WORKERS);
  fleet.loses = () => true;
  fleet.run(6_000);
  const states = fleet.directory('zone-a-n1').candidates(MODEL, ['zone-b']);
  t.ok(states.every((candidate) => candidate.state === 'connecting'));
});

t.test('counts of the home replace the own count of dispatches', async (t) => {
  const fleet = new Fleet(NODES, WORKERS);
  const home = fleet.directory('zone-b-n1').homeOf('zone-a-w1')?.node ?? '';
  const counts = { outstanding: 9, interactiveOutstanding: 2, queueFree: 1 };
  fleet.directory(home).setOutstanding('zone-a-w1', counts, fleet.now);
  const subscriber = fleet.directory('zone-b-n1');
  const find = () =>
    subscriber.candidates(MODEL, ['zone-a']).find((one) => one.record.worker === 'zone-a-w1');
  subscriber.recordDispatch('zone-a-w1', fleet.now);
  t.equal(find()?.sentSinceUpdate, 1);
  fleet.run(500);
  t.match(find(), { ...counts, sentSinceUpdate: 0 });
});

t.test('failed calls eject a worker, for longer each time, but never all of a zone', async (t) => {
  const fleet = new Fleet(NODES, WORKERS);
  const follower = NODES.find(({ node, zone }) => {
    return zone === 'zone-c' && fleet.directory(node).workersAtHome().length < 4;
  });
  const directory = fleet.directory(follower?.node ?? '');
  const fail = (worker: string) => {
    for (let call = 0; call < 5; call += 1) directory.recordOutcome(worker, 'failed', fleet.now);
  };
  const inZone = (zone: string) => directory.candidates(MODEL, [zone]);
  const ejectedOf = (zone: string) => inZone(zone).filter((one) => one.state === 'ejected');
  for (const zone of ['zone-a', 'zone-b']) {
    for (const candidate of inZone(zone)) fail(candidate.record.worker);
  }
  t.equal(ejectedOf('zone-a').length, 3, 'one of the zone stays in service');
  t.equal(ejectedOf('zone-b').length, 1, 'a third of the twelve are ejected');
  const [first] = ejectedOf('zone-a');
  fleet.run(7_000);
  t.equal(first?.state, 'in-service', 'back after the first ejection');
  fail(first?.record.worker ?? '');
  fleet.run(7_000);
  t.equal(first?.state, 'ejected', 'the second one is longer');
  for (let call = 0; call < 50; call += 1) {
    directory.recordOutcome('zone-c-w2', 'refused', fleet.now);
  }
  t.same(fleet.statesOf('zone-c-w2'), new Set(['in-service']), 'refusals do not count as failures');
});

t.test('a worker that its home ejects is ejected by the nodes that follow it', async (t) => {
  const fleet = new Fleet(NODES, WORKERS);
  const home = fleet.directory('zone-b-n1').homeOf('zone-a-w1')?.node ?? '';
  for (let call = 0; call < 5; call += 1) {
    fleet.directory(home).recordOutcome('zone-a-w1', 'failed', fleet.now);
  }
  fleet.run(1_000);
  t.same(fleet.statesOf('zone-a-w1'), new Set(['ejected']));
  fleet.run(7_000);
  t.same(fleet.statesOf('zone-a-w1'), new Set(['in-service']));
});

t.test('a worker listed in another zone than its machine is never a candidate', async (t) => {
  const fleet = new Fleet(NODES, WORKERS);
  const stray = { ...makeMachine(makeWorker('stray', 'zone-a'), 'live'), zone: 'zone-b' };
  fleet.setMachines([...WORKERS.map((record) => makeMachine(record, 'live')), stray]);
  fleet.run(1_000);
  t.notOk(fleet.candidateNames().has('stray'));
});

t.test('a lost push is repeated when a later push of the same home arrives', async (t) => {
  const fleet = new Fleet([makeNode('home'), makeNode('other', 'zone-b')], WORKERS);
  const follower = fleet.directory('other');
  const seen = (worker: string) =>
    follower.candidates(MODEL, ['zone-a']).find((one) => one.record.worker === worker);
  fleet.reports.set('zone-a-w1', { activeVersion: 5 });
  fleet.loses = (message) => message.kind === 'load';
  fleet.run(600);
  fleet.loses = () => false;
  fleet.reports.set('zone-a-w2', { activeVersion: 6 });
  fleet.run(600);
  t.equal(seen('zone-a-w2')?.activeVersion, 6);
  t.equal(seen('zone-a-w1')?.activeVersion, 5, 'requested at once, not at the next renewal');
  fleet.run(3_000);
  t.equal(seen('zone-a-w1')?.activeVersion, 5);
});

t.test('a worker that its home has not polled yet is connecting', async (t) => {
  const fleet = new Fleet(NODES, WORKERS);
  const added = makeWorker('zone-a-new');
  fleet.reports.set('zone-a-new', 'hangs');
  fleet.setMachines([...WORKERS, added].map((record) => makeMachine(record, 'live')));
  fleet.run(1_000);
  t.same(fleet.statesOf('zone-a-new'), new Set(['connecting']));
});
