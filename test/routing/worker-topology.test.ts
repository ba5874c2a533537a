import t from 'tap';
import type { NodeRecord } from '../../src/core/identity.js';
import type { MachineRecord } from '../../src/platform/worker.js';
import { type RoutedModel, WorkerTopology } from '../../src/routing/worker-topology.js';

const ZONES = ['a', 'b', 'c'];

function node(name: string, zone: string): NodeRecord {
  return { node: name, incarnation: 1, zone, region: 'r', address: `${name}:1`, machine: name };
}

const NODES = ZONES.flatMap((zone) => [node(`${zone}1`, zone), node(`${zone}2`, zone)]);

const MACHINES: readonly MachineRecord[] = Array.from({ length: 600 }, (_, position) => {
  const zone = ZONES[position % ZONES.length] ?? '';
  const worker = { worker: `w${position}`, model: 'm', zone, address: `w${position}:1`, slots: 16 };
  return { machine: `machine-${position}`, zone, state: 'in-service', workers: [worker] };
}) as unknown as readonly MachineRecord[];

/** Number of workers followed in each zone. */
function followedCounts(models: readonly RoutedModel[]): readonly number[] {
  const self = NODES[0];
  if (self === undefined) throw new RangeError('no nodes');
  const topology = new WorkerTopology(self, 32);
  topology.updateMachines(MACHINES);
  topology.updateRoutedModels(models);
  topology.updateNodes((zone) => NODES.filter((one) => one.zone === zone));
  return topology.subsets().map((subset) => subset.records.length);
}

t.test('the driver of a large step follows enough workers for its samples', async (t) => {
  t.same(followedCounts([{ model: 'm', zones: ZONES }]), [32, 32, 32]);
  t.same(followedCounts([{ model: 'm', zones: ZONES, samplesDriven: 256 }]), [32, 32, 32]);
  t.same(followedCounts([{ model: 'm', zones: ZONES, samplesDriven: 2_400 }]), [100, 100, 100]);
  t.same(followedCounts([{ model: 'm', zones: ZONES, samplesDriven: 16_384 }]), [200, 200, 200]);
});

t.test('two intents of a model use the same subset size', async (t) => {
  const narrow = { model: 'm', zones: ['a'], samplesDriven: 800 };
  t.same(
    followedCounts([{ model: 'm', zones: ZONES, samplesDriven: 800 }, narrow]),
    [100, 100, 100, 100],
  );
});

t.test('a change of the driven samples changes the routed models', async (t) => {
  const topology = new WorkerTopology(node('a1', 'a'), 32);
  t.ok(topology.updateRoutedModels([{ model: 'm', zones: ZONES }]));
  t.notOk(topology.updateRoutedModels([{ model: 'm', zones: ZONES, samplesDriven: 0 }]));
  t.ok(topology.updateRoutedModels([{ model: 'm', zones: ZONES, samplesDriven: 512 }]));
});
