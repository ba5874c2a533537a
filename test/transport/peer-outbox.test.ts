import { stringify } from 'devalue';
import t from 'tap';
import type { PeerMessage } from '../../src/node/peer-message.js';
import { copyWithSize } from '../../src/transport/message-copy.js';
import { PeerOutbox } from '../../src/transport/peer-outbox.js';

const first = { node: 'a', incarnation: 1 };
const second = { node: 'a', incarnation: 2 };
const message = (text: string) =>
  ({ module: 'ledger', body: { kind: 'unused', text } }) as unknown as PeerMessage;
const SIZE = copyWithSize(message('x')).bytes;
const WIDE = 9 * SIZE;

t.test('the oldest messages are dropped beyond the count', async (t) => {
  const outbox = new PeerOutbox({
    maxOutboxMessages: 2,
    maxOutboxBytes: WIDE,
    maxBatchBytes: WIDE,
  });
  const dropped = ['x', 'y', 'z'].map((text) => outbox.add(null, message(text)));
  t.same(dropped, [0, 0, 1]);
  t.same(outbox.takeBatch(), { to: null, messages: [message('y'), message('z')] });
  t.equal(outbox.takeBatch(), undefined);
  t.equal(outbox.bytes, 0);
});

t.test('bytes are bounded, and one message never goes beyond them', async (t) => {
  const limits = { maxOutboxMessages: 9, maxOutboxBytes: 2 * SIZE, maxBatchBytes: WIDE };
  const outbox = new PeerOutbox(limits);
  t.same([outbox.add(null, message('x')), outbox.add(null, message('y'))], [0, 0]);
  t.equal(outbox.add(null, message('é')), 2, 'one byte more than another letter');
  t.equal(outbox.bytes, SIZE + 1);
  t.equal(outbox.add(null, message('x'.repeat(2 * SIZE))), 1);
  t.equal(outbox.clear(), 1);
  t.ok(outbox.isEmpty);
});

t.test('a batch has one recipient and a bounded size', async (t) => {
  const limits = { maxOutboxMessages: 9, maxOutboxBytes: WIDE, maxBatchBytes: 2 * SIZE };
  const outbox = new PeerOutbox(limits);
  const large = message('x'.repeat(3 * SIZE));
  for (const text of ['a', 'b', 'c']) outbox.add(first, message(text));
  outbox.add(second, large);
  outbox.add(null, message('e'));
  const batches = [1, 2, 3, 4].map(() => outbox.takeBatch());
  t.same(batches, [
    { to: first, messages: [message('a'), message('b')] },
    { to: first, messages: [message('c')] },
    { to: second, messages: [large] },
    { to: null, messages: [message('e')] },
  ]);
});

t.test('a copy is equal and its estimate close to the encoded size', async (t) => {
  const entries = Array.from({ length: 50 }, (_, position) => {
    return { key: `sample-${position}`, digest: `9f86d081884c7d65${position}`, attempt: position };
  });
  const values = [entries, new Map([['k', entries]]), new Set(['a', 'b']), 'é'.repeat(100)];
  for (const value of values) {
    const { copy, bytes } = copyWithSize(value);
    t.same(copy, value);
    const ratio = bytes / Buffer.byteLength(stringify(value));
    t.ok(ratio > 0.5 && ratio < 2, `ratio ${ratio}`);
  }
});

t.test('what cannot be encoded is refused when it is handed over', async (t) => {
  class Session {}
  const values = [() => 1, new Session(), [Symbol('s')], { date: new Date(0) }];
  for (const value of [...values, JSON.parse('{"__proto__":1}')]) {
    t.throws(() => copyWithSize({ value }), TypeError);
  }
});
