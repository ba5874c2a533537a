/** What a node may enumerate of its own replicas. */
import t from 'tap';
import { type FleetNode, LedgerFleet } from '../../lab/bench/ledger-fleet.js';

t.test('a register that was read and never written is not among the local entries', async (t) => {
  const tuning = { shardsPerDomain: 1 };
  const fleet = new LedgerFleet({ seed: 5, nodeCount: 5, zones: ['east'], tuning });
  fleet.run(3_000);
  const node = fleet.nodes[0] as FleetNode;
  const { now } = fleet.queue;
  const address = { domain: fleet.domain, shardKey: 's', deadline: now + 1_500 };
  const keep = () => ({ kind: 'keep' }) as const;
  const write = () => ({ kind: 'write', value: 'written' }) as const;
  const changes = [
    { key: 'request/read', apply: keep },
    { key: 'request/written', apply: write },
  ];
  for (const change of changes) {
    fleet.operate(
      node,
      (operationId, ledger) => ledger.change({ ...address, operationId, ...change }, now),
      () => undefined,
    );
  }
  fleet.run(2_000);
  for (const { ledger } of fleet.nodes) {
    const entries = [...ledger.localEntries('request/')];
    for (const { value } of entries) t.equal(value, 'written');
  }
});
