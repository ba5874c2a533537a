import t from 'tap';
import { intentText } from '../../lab/bench/hollow-feed-fleet.js';
import {
  catalogueKey,
  drainKey,
  groupKey,
  intentKey,
} from '../../src/config-feed/configuration.js';
import { decodeConfiguration, RecordDecoder } from '../../src/config-feed/records.js';

const catalogue = {
  model: 'model-bench',
  versions: [
    { version: 1, digest: 'a', bytes: 10 },
    { version: 3, digest: 'b', bytes: 10 },
  ],
};
const group = {
  domain: 'zone-a+zone-b',
  shard: 2,
  epoch: 1,
  members: [{ node: 'zone-a-1', incarnation: 7 }],
  previousMembers: [],
};
const drain = { target: { kind: 'worker', name: 'worker-1' } as const, reason: 'repair' };

t.test('records of every kind are decoded', async (t) => {
  const { configuration, rejected } = decodeConfiguration(
    [
      { key: intentKey('one'), value: intentText('one', 1) },
      { key: catalogueKey('model-bench'), value: JSON.stringify(catalogue) },
      { key: groupKey(group.domain, group.shard), value: JSON.stringify(group) },
      { key: drainKey(drain.target), value: JSON.stringify(drain) },
    ],
    42,
  );
  t.strictSame(rejected, []);
  t.equal(configuration.revision, 42);
  t.equal(configuration.intents.get('one')?.model, 'model-bench');
  t.strictSame(configuration.catalogues.get('model-bench'), catalogue);
  t.strictSame(configuration.groups.get(groupKey(group.domain, group.shard)), group);
  t.strictSame(configuration.drains, [drain]);
});

t.test('a record that does not parse is kept out and named; the others stay', async (t) => {
  const falling = { ...catalogue, versions: [...catalogue.versions].reverse() };
  const wrong = [
    { key: intentKey('two'), value: '{' },
    { key: intentKey('three'), value: intentText('other', 1) },
    { key: intentKey('four'), value: intentText('four', -1) },
    { key: intentKey('five'), value: intentText('five', 1).replace('"refuse"', '"wander"') },
    { key: intentKey('six'), value: intentText('six', 1).replace('"trainer":', '"trainee":') },
    { key: catalogueKey('model-bench'), value: JSON.stringify(falling) },
    { key: '/wardwing/feed/unknown/x', value: '{}' },
  ];
  const right = { key: intentKey('one'), value: intentText('one', 1) };
  const { configuration, rejected } = decodeConfiguration([right, ...wrong], 1);
  t.strictSame([...configuration.intents.keys()], ['one']);
  t.strictSame(rejected.map(({ key }) => key).sort(), wrong.map(({ key }) => key).sort());
  t.ok(rejected.every(({ reason }) => reason.length > 0));
});

t.test(
  'a record whose text did not change is the same object; a changed or gone one is not',
  async (t) => {
    const decoder = new RecordDecoder();
    const key = catalogueKey('model-bench');
    const other = { key: intentKey('one'), value: intentText('one', 1) };
    const entry = { key, value: JSON.stringify(catalogue) };
    const first = decoder.decode([entry, other], 1).configuration.catalogues.get('model-bench');
    const second = decoder.decode([entry], 2).configuration;
    t.equal(second.catalogues.get('model-bench'), first);
    t.equal(second.intents.size, 0, 'a deleted record is not kept');
    const changed = { key, value: JSON.stringify({ ...catalogue, versions: [] }) };
    const third = decoder.decode([changed], 3).configuration.catalogues.get('model-bench');
    t.strictSame(third?.versions, []);
    t.strictSame(decoder.decode([{ key, value: '{' }], 4).rejected.length, 1);
  },
);
