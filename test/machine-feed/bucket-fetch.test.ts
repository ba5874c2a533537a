import t from 'tap';
import { machineRecords, withState } from '../../lab/bench/hollow-machine-fleet.js';
import { BucketFetch } from '../../src/machine-feed/bucket-fetch.js';
import {
  BUCKET_COUNT,
  contentOf,
  type MachineContent,
} from '../../src/machine-feed/machine-content.js';

const PARENT = {
  node: 'parent',
  incarnation: 1,
  zone: 'zone-a',
  region: 'region-1',
  address: '10.0.0.1:7000',
  machine: 'machine-0',
};
const LIST = machineRecords(2_000);
const OLD = contentOf(LIST, null);
const NEW = contentOf(withState(LIST, 7, 'leaving'), OLD);

function fetchOf(content: MachineContent, previous: BucketFetch | null = null): BucketFetch {
  const { hash, digests } = content;
  return new BucketFetch({ parent: PARENT, hash, digests, asOf: 0 }, OLD.buckets, previous);
}

function pageOf(content: MachineContent, positions: readonly number[]) {
  return positions.map((position) => {
    return { position, records: content.buckets[position]?.records ?? [] };
  });
}

t.test('one changed machine costs one bucket', async (t) => {
  const fetch = fetchOf(NEW);
  t.equal(fetch.wanted.length, 1);
  t.equal(fetch.content(), null);
  fetch.take(pageOf(NEW, fetch.wanted));
  t.equal(fetch.content()?.hash, NEW.hash);
});

t.test('records that do not match the digest are left out', async (t) => {
  const fetch = fetchOf(NEW);
  fetch.take(pageOf(OLD, fetch.wanted));
  fetch.take([{ position: BUCKET_COUNT, records: [] }]);
  t.equal(fetch.wanted.length, 1);
  t.equal(fetch.content(), null);
});

t.test('buckets already fetched are kept when the target changes', async (t) => {
  const first = fetchOf(NEW);
  const [position = -1] = first.wanted;
  first.take(pageOf(NEW, [position]));
  const next = contentOf(withState(NEW.machines, 500, 'leaving'), NEW);
  const second = fetchOf(next, first);
  t.notOk(second.wanted.includes(position));
  second.take(pageOf(next, second.wanted));
  t.equal(second.content()?.hash, next.hash);
});
