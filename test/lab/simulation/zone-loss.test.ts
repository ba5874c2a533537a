/** A whole zone is lost at once: the ledger's groups move to the zones that are left. */
import t from 'tap';
import { associationPlan } from '../../../lab/simulation/fleet-plan.js';
import { createNodeFactory } from '../../../lab/simulation/node-core-factory.js';
import type { NodeFactory } from '../../../lab/simulation/ports.js';
import { Scenario } from '../../../lab/simulation/scenario.js';
import { Simulation } from '../../../lab/simulation/simulation.js';
import { NodeCore } from '../../../src/node/node-core.js';

const REPAIR_MILLISECONDS = 60_000;

t.test('groups with members in a lost zone are whole again elsewhere', async (t) => {
  const cores = new Map<string, NodeCore>();
  const createCore = createNodeFactory();
  const createNode: NodeFactory = (self, plan, random) => {
    const core = createCore(self, plan, random);
    if (core instanceof NodeCore) cores.set(self.node, core);
    return core;
  };
  const simulation = new Simulation({
    seed: 4,
    plan: associationPlan(),
    createNode,
    observeMessages: false,
  });
  new Scenario(simulation).begin();
  const nodes = [...simulation.nodes.values()];
  const lostZone = nodes[0]?.plan.zone ?? '';
  const lost = nodes.filter((node) => node.plan.zone === lostZone);
  for (const node of lost) simulation.endNode(node, false);
  simulation.advance(REPAIR_MILLISECONDS);
  const lostNames = lost.map((node) => node.plan.node);
  const configuration = [...cores].find(([name]) => !lostNames.includes(name))?.[1].configuration();
  const groups = [...(configuration?.groups.values() ?? [])];
  const spread = groups.filter(
    ({ domain }) => (configuration?.intents.get(domain)?.zones.length ?? 0) > 2,
  );
  t.ok(spread.length > 0);
  for (const { domain, shard, members } of spread) {
    const left = members.filter((member) => lostNames.includes(member.node));
    t.equal(left.length, 0, `${domain}/${shard} has no member in the lost zone`);
  }
});
