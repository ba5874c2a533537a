/** What a node may enumerate of its own replicas. */
import t from 'tap';
import { type FleetNode, LedgerFleet } from '../../lab/bench/ledger-fleet.js';
import type { LedgerChange } from '../../src/ledger/ledger.js';

t.test('a register that was read and never written is not among the local entries', async (t) => {
  const tuning = { shardsPerDomain: 1 };
  const fleet = new LedgerFleet({ seed: 5, nodeCount: 5, zones: ['east'], tuning });
  fleet.run(3_000);
  const node = fleet.nodes[0] as FleetNode;
  const operate = (key: string, apply: () => LedgerChange<unknown>): void => {
    const { now } = fleet.queue;
    const address = { domain: fleet.domain, shardKey: 's', key, deadline: now + 1_500 };
    fleet.operate(
      node,
      (operationId, ledger) => ledger.change({ ...address, operationId, apply }, now),
      () => undefined,
    );
    fleet.run(1_000);
  };
  const keep = () => ({ kind: 'keep' }) as const;
  const write = () => ({ kind: 'write', value: 'written' }) as const;
  operate('request/read', keep);
  operate('request/read', keep);
  operate('request/written', write);
  for (const { ledger } of fleet.nodes) {
    const entries = [...ledger.localEntries('request/')];
    t.same(
      entries.map(({ value }) => value),
      ['written'],
    );
  }
});
