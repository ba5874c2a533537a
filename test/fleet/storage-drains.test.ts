/** Guards against machines that are reported as empty too early, or never. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import t from 'tap';
import type { NodeId } from '../../src/core/identity.js';
import { StorageDrains } from '../../src/fleet/storage-drains.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';

function newDrains(emptyNodes: ReadonlySet<NodeId>) {
  const clock = new ManualClock();
  const checked: NodeId[] = [];
  const reported: NodeId[] = [];
  const lock = { token: 1 as number | undefined, fencingToken: () => lock.token };
  const drains = new StorageDrains({
    ...{ lock, clock, log: recordingLog().log },
    port: {
      reportEmpty: async (node) => {
        reported.push(node);
        return true;
      },
    },
    isEmpty: async (node) => {
      checked.push(node);
      return emptyNodes.has(node);
    },
  });
  const tick = async (): Promise<void> => {
    drains.tick();
    await nextTurn();
  };
  return { drains, clock, lock, checked, reported, tick };
}

t.test('a node is reported once, after it is empty', async (t) => {
  const empty = new Set<NodeId>();
  const { drains, clock, reported, tick } = newDrains(empty);
  drains.request('disk-1');
  await tick();
  t.same(reported, []);
  empty.add('disk-1');
  clock.time += 1_000;
  for (let turn = 0; turn < 3; turn += 1) await tick();
  t.same(reported, ['disk-1']);
});

t.test('a node that is not empty delays another one only briefly', async (t) => {
  const { drains, clock, reported, tick } = newDrains(new Set(['disk-2']));
  drains.request('disk-1');
  drains.request('disk-2');
  await tick();
  clock.time += 1_000;
  await tick();
  t.same(reported, ['disk-2']);
});

t.test('the checks of a node that is not empty do not load the store', async (t) => {
  const { drains, clock, checked, tick } = newDrains(new Set());
  drains.request('disk-1');
  for (let turn = 0; turn < 40; turn += 1) {
    await tick();
    clock.time += 50;
  }
  t.equal(checked.length, 4, 'checks in two seconds');
});

t.test('only the coordinator checks nodes', async (t) => {
  const { drains, lock, checked, tick } = newDrains(new Set(['disk-1']));
  lock.token = undefined;
  drains.request('disk-1');
  await tick();
  t.same(checked, []);
});
