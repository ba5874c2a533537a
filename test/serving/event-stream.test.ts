import t from 'tap';
import { EventStreamReader } from '../../src/serving/event-stream.js';
import { events, VERSION_FIELD } from './serving-fixtures.js';

t.test('events are complete for any chunk size', async (t) => {
  const bytes = Buffer.from(events(3, 'abcd'));
  for (let size = 1; size <= bytes.length; size += 1) {
    const reader = new EventStreamReader(VERSION_FIELD);
    const seen: string[] = [];
    for (let start = 0; start < bytes.length; start += size) {
      for (const event of reader.push(bytes.subarray(start, start + size))) {
        seen.push(`${event.id}${event.data}`);
      }
    }
    t.same(seen, ['3a', '4b', '5c', '6d']);
    t.notOk(reader.hasPartialEvent());
  }
});

t.test('an incomplete event is never returned', async (t) => {
  const reader = new EventStreamReader(VERSION_FIELD);
  t.same(reader.push(Buffer.from('id: 1\ndata: wh')), []);
  t.ok(reader.hasPartialEvent());
});

t.test('lines may end with a carriage return and line feed, and data may span lines', async (t) => {
  const reader = new EventStreamReader(VERSION_FIELD);
  const [event] = reader.push(Buffer.from('id: 1\r\ndata: a\r\ndata: b\r\n\r\n'));
  t.equal(event?.data, 'a\nb');
});

t.test('an event reports a change of weights in its own field', async (t) => {
  const reader = new EventStreamReader(VERSION_FIELD);
  const [event] = reader.push(Buffer.from(`${VERSION_FIELD}: 7\nid: 1\ndata: a\n\n`));
  t.equal(event?.weightVersion, 7);
});

t.test(
  'an event whose number or version is no whole number makes the stream malformed',
  async (t) => {
    for (const field of ['id: x', 'id: ', 'id: -1', 'id: 1e999', `${VERSION_FIELD}: new`]) {
      const reader = new EventStreamReader(VERSION_FIELD);
      t.throws(() => reader.push(Buffer.from(`${field}\ndata: a\n\n`)), field);
    }
  },
);
