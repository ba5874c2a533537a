import t from 'tap';
import type { LedgerPort, NodePorts } from '../../src/core/node-ports.js';
import type { CallReply } from '../../src/node/calls.js';
import type { DeliveryPage, StepRecord } from '../../src/rollouts/records.js';
import { StepReader } from '../../src/rollouts/step-reader.js';

const PAGE: DeliveryPage = {
  kind: 'page',
  page: 0,
  entries: [{ key: 'a', digest: 'd' }],
  closed: null,
};

/** Kind of the failure of a read whose result no replica has; `none` while it waits. */
function refusalOf(acknowledged: number, ticks: number): string {
  const replies: CallReply[] = [];
  let now = 0;
  const read: LedgerPort['read'] = (_address, _deadline, done) =>
    done({ kind: 'changed', value: PAGE } as Parameters<typeof done>[0]);
  const fetchBody: LedgerPort['fetchBody'] = (_domain, _shard, _digest, _deadline, done) =>
    done({ kind: 'body-missing' });
  const node = {
    ledger: { read, fetchBody },
    now: () => now,
    isStopping: () => false,
    reply: (_callId: string, reply: CallReply) => replies.push(reply),
  } as unknown as NodePorts;
  const record = { acknowledged, sampleCount: 9, state: 'open' } as StepRecord;
  const order = { callId: 'c', intent: 'i', stepKey: 's', record, cursor: 0, limit: 4 };
  const reader = new StepReader(node, { ...order, deadline: 1_000 });
  reader.start();
  for (let tick = 0; tick < ticks; tick += 1) {
    now += 200;
    reader.tick();
  }
  const [reply] = replies;
  return reply?.kind === 'failed' ? reply.failure.kind : 'none';
}

t.test('a forgotten result is told at once, one that is out of reach is waited for', async (t) => {
  t.equal(refusalOf(1, 0), 'cursor_conflict');
  t.equal(refusalOf(0, 0), 'none');
  t.equal(refusalOf(0, 10), 'ledger_unavailable');
});
