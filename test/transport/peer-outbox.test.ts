import t from 'tap';
import { PeerOutbox } from '../../src/transport/peer-outbox.js';

const first = { node: 'a', incarnation: 1 };
const second = { node: 'a', incarnation: 2 };

t.test('the oldest messages are dropped beyond the count', async (t) => {
  const outbox = new PeerOutbox({ maxOutboxMessages: 2, maxOutboxBytes: 100, maxBatchBytes: 100 });
  t.same([outbox.add(null, 'x'), outbox.add(null, 'y'), outbox.add(null, 'z')], [0, 0, 1]);
  t.same(outbox.takeBatch(), { to: null, messages: ['y', 'z'] });
  t.equal(outbox.takeBatch(), undefined);
  t.equal(outbox.bytes, 0);
});

t.test('bytes are bounded, in UTF-8, and one message never goes beyond them', async (t) => {
  const outbox = new PeerOutbox({ maxOutboxMessages: 9, maxOutboxBytes: 6, maxBatchBytes: 100 });
  t.equal(outbox.add(null, 'éé'), 0);
  t.equal(outbox.add(null, 'abc'), 1);
  t.equal(outbox.add(null, 'ééé!'), 1);
  t.equal(outbox.bytes, 3);
  t.equal(outbox.clear(), 1);
  t.ok(outbox.isEmpty);
});

t.test('a batch has one recipient and a bounded size', async (t) => {
  const outbox = new PeerOutbox({ maxOutboxMessages: 9, maxOutboxBytes: 100, maxBatchBytes: 4 });
  for (const text of ['aa', 'bb', 'cc']) outbox.add(first, text);
  outbox.add(second, 'dddddd');
  outbox.add(null, 'e');
  const batches = [1, 2, 3, 4].map(() => outbox.takeBatch());
  t.same(batches, [
    { to: first, messages: ['aa', 'bb'] },
    { to: first, messages: ['cc'] },
    { to: second, messages: ['dddddd'] },
    { to: null, messages: ['e'] },
  ]);
});
