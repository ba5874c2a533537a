import t from 'tap';
import type { NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import { Membership } from '../../src/membership/membership.js';

function record(node: string, zone: string): NodeRecord {
  return { node, incarnation: 1, zone, region: 'r', address: `${node}:1`, machine: node };
}

t.test('a suspicion that comes along with a joining table stays in its own zone', async (t) => {
  const random = createRandomSource(1);
  const joining = new Membership({ self: record('east-1', 'east'), random });
  const neighbour = record('east-2', 'east');
  const abroad = record('west-1', 'west');
  const suspected = { state: 'suspect', leaving: false, refutation: 0 } as const;
  const updates = [neighbour, abroad].map((member) => ({ record: member, ...suspected }));
  joining.receive(record('west-2', 'west'), { kind: 'table', updates }, 0);
  t.equal(joining.find('east-2')?.state, 'suspect');
  t.equal(joining.find('west-1')?.state, 'alive');
});
