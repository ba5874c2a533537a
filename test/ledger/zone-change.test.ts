/** Replicas leave a zone that the domain no longer names, and bodies never go there again. */
import t from 'tap';
import { type FleetNode, LedgerFleet, nodeOf } from '../../lab/bench/ledger-fleet.js';
import { contentDigest } from '../../src/core/hashing.js';
import type { LedgerOutcome } from '../../src/ledger/ledger.js';

const SHARD_KEY = 'step-1';

function startFleet(seed: number): LedgerFleet {
  const zones = ['east', 'north', 'west'];
  const tuning = { shardsPerDomain: 1 };
  const fleet = new LedgerFleet({ seed, nodeCount: 12, zones, tuning });
  fleet.run(4_000);
  return fleet;
}

function store(fleet: LedgerFleet, node: FleetNode, body: string): LedgerOutcome<unknown>[] {
  const { now } = fleet.queue;
  const outcomes: LedgerOutcome<unknown>[] = [];
  const digest = contentDigest(body);
  const request = { domain: fleet.domain, shardKey: SHARD_KEY, body, digest };
  fleet.operate(
    node,
    (operationId, ledger) =>
      ledger.storeBody({ ...request, operationId, deadline: now + 20_000 }, now),
    (outcome) => outcomes.push(outcome),
  );
  return outcomes;
}

function zonesOfGroup(fleet: LedgerFleet, node: FleetNode): readonly string[] {
  const group = node.ledger.groupFor(fleet.domain, SHARD_KEY);
  return (group?.members ?? []).map((member) => nodeOf(fleet, member)?.record.zone ?? 'unknown');
}

for (const remaining of [['east', 'north'], ['east']]) {
  t.test(`members move into ${remaining.join(' and ')}; bodies stay whole`, async (t) => {
    for (const seed of [1, 2, 3]) {
      const fleet = startFleet(seed);
      const node = fleet.nodes.find((item) => item.record.zone === 'east') as FleetNode;
      const before = store(fleet, node, 'kept before');
      fleet.run(1_000);
      t.match(before, [{ kind: 'stored' }]);
      const leftZone = (item: FleetNode): boolean => !remaining.includes(item.record.zone);
      const held = (item: FleetNode): number => item.ledger.usage.bodyBytes;
      const bytesBefore = fleet.nodes.filter(leftZone).map(held);
      fleet.nameZones(remaining);
      const after = store(fleet, node, 'kept after the change');
      fleet.run(500);
      for (const [index, bytes] of fleet.nodes.filter(leftZone).map(held).entries()) {
        t.ok(bytes <= (bytesBefore[index] ?? 0), 'nothing new goes to a zone that was left');
      }
      fleet.run(30_000);
      t.match(after, [{ kind: 'stored' }]);
      t.ok(zonesOfGroup(fleet, node).every((zone) => remaining.includes(zone)));
      t.same(
        fleet.nodes.filter(leftZone).map(held),
        fleet.nodes.filter(leftZone).map(() => 0),
      );
    }
  });
}
