/** Guards against submissions that cost calls to the store or to replicas beyond the needed ones. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { JournalZone } from '../journal/journal-fixtures.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import { always, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode } from './job-node.js';

const step = (number: number) => ({ ...specification(`job-${number}`, 1), step: number });

/** A replica of another zone that answers and holds nothing. */
const FAR: ReplicaLocation = { node: 'far', zone: 'zone-2', address: '10.0.9.9:1', disk: 'far' };

interface Calls {
  readonly store: Readonly<Record<string, number>>;
  readonly replicas: Readonly<Record<string, number>>;
}

t.test('only the first step of a trainer at a node reads its record', async (t) => {
  const emulator = new SharedStoreEmulator();
  const zone = await JournalZone.open(t);
  zone.emptyReplicas.set(FAR.address, FAR);
  const nodeOf = (self: typeof OWNER, where: string): JobNode => {
    const writer = `${self.node}/${self.incarnation}`;
    const journals = zone.journals(writer, where, undefined, [FAR]);
    return jobNode(emulator, self, new ScriptedEngine(), NO_PEERS, { journals, zone: where });
  };
  const node = nodeOf(OWNER, 'zone-1');
  const callsOf = async (at: JobNode, number: number): Promise<Calls> => {
    const before = new Map(emulator.calls);
    zone.requests.length = 0;
    t.equal(await at.service.submit(step(number), always), undefined);
    const calls = [...emulator.calls].map(([call, count]) => [
      call,
      count - (before.get(call) ?? 0),
    ]);
    const store = Object.fromEntries(calls.filter(([, count]) => count !== 0));
    const kinds = zone.requests.map(({ kind }) => kind);
    const counts = [...new Set(kinds)].map((kind) => [
      kind,
      kinds.filter((other) => other === kind).length,
    ]);
    return { store, replicas: Object.fromEntries(counts) };
  };
  const claimAndCheck = { 'journal-claim': 3, 'journal-append': 6 };
  t.match(await callsOf(node, 0), {
    store: { get: 1, commit: 1 },
    replicas: { 'journal-look': 1 },
  });
  t.same(await callsOf(node, 1), { store: { commit: 1 }, replicas: claimAndCheck });
  t.same(await callsOf(node, 2), { store: { commit: 1 }, replicas: claimAndCheck });
  const repeated = await callsOf(node, 2);
  t.same(repeated, { store: {}, replicas: {} }, 'the owner answers a repeated submission');
  const other = nodeOf(OTHER, 'zone-2');
  const elsewhere = await callsOf(other, 2);
  t.same(elsewhere, { store: { get: 2 }, replicas: {} }, 'another zone reads record and head');
});
