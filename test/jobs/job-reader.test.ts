/**
 * Guards against a reader that requests results it already has, and against positions of results
 * that change.
 */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { JobReader, type OwnerListing } from '../../src/jobs/job-reader.js';
import { sliceOf } from '../../src/jobs/job-results.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { always, headOf, ManualClock, OWNER, result, specification } from './job-fixtures.js';

const TOTAL = 8;

/** An owner that has listed results, two per page; the store has them too. */
async function fixture(listed: number) {
  const store = new JobStore(new SharedStoreEmulator(), new ManualClock());
  const spec = specification('job', TOTAL);
  let change = await store.create(spec, headOf(spec), always);
  const results = Array.from({ length: listed }, (_, index) => result(index));
  for (let first = 0; first < listed && change.kind === 'changed'; first += 2) {
    const page = results.slice(first, first + 2);
    change = await store.append('job', change.current, page, undefined, always);
  }
  const requestedPositions: number[] = [];
  const owner = { isReachable: true };
  const fetchOwnerListing = async (
    _owner: unknown,
    _job: string,
    after: number,
  ): Promise<OwnerListing | undefined> => {
    requestedPositions.push(after);
    if (!owner.isReachable) return undefined;
    const pages = Math.ceil(listed / 2);
    return { tenant: undefined, total: TOTAL, pages, results: results.slice(after) };
  };
  const reader = new JobReader(store, fetchOwnerListing, () => [OWNER]);
  const read = async (after: number) => {
    const outcome = await reader.listing('job', after, 0);
    if (outcome.kind !== 'found') throw new Error(outcome.kind);
    return sliceOf(outcome.value, after);
  };
  return { requestedPositions, owner, read };
}

t.test('only requested results are fetched, once', async (t) => {
  const { requestedPositions, read } = await fixture(6);
  t.same((await read(4)).results, [result(4), result(5)]);
  t.same(requestedPositions, [4]);
  t.same((await read(5)).results, [result(5)]);
  t.same(requestedPositions, [4], 'cached results are not fetched again');
  t.same((await read(1)).results, [1, 2, 3, 4, 5].map(result));
  t.same(requestedPositions, [4, 1]);
  t.same(await read(6), { total: TOTAL, results: [], nextPosition: 6 });
});

t.test(
  'positions stay the same when the owner becomes unreachable and the store is read',
  async (t) => {
    const { owner, read } = await fixture(6);
    t.same((await read(4)).results, [result(4), result(5)]);
    owner.isReachable = false;
    t.same((await read(6)).results, []);
    t.same((await read(2)).results, [2, 3, 4, 5].map(result));
  },
);

t.test('a read beyond the listed results does not shift positions', async (t) => {
  const { owner, read } = await fixture(4);
  t.same(await read(7), { total: TOTAL, results: [], nextPosition: 7 });
  owner.isReachable = false;
  t.same((await read(3)).results, [result(3)]);
  t.same((await read(7)).results, []);
  t.same((await read(0)).results, [0, 1, 2, 3].map(result));
});
