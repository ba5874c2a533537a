import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { FaultTimeline } from '../../../lab/soak/fault-timeline.js';

t.test('a short return of the store does not end the time for which it was away', async (t) => {
  let time = 0;
  const timeline = new FaultTimeline(() => time);
  const ends: (() => void)[] = [];
  const bringOn = (): Promise<void> =>
    timeline.bringOn([{ at: 0 }], {
      struckBy: () => [],
      isStoreAway: () => true,
      perform: () => new Promise((resolve) => ends.push(resolve)),
    });
  const end = async (): Promise<void> => {
    ends.pop()?.();
    await sleep(1);
  };
  t.equal(timeline.storeAwaySince, Number.POSITIVE_INFINITY);
  time = 1_000;
  await bringOn();
  t.equal(timeline.storeAwaySince, 1_000);
  time = 3_000;
  await end();
  t.equal(timeline.storeAwaySince, Number.POSITIVE_INFINITY, 'the store answers all');
  time = 4_000;
  await bringOn();
  t.equal(timeline.storeAwaySince, 1_000);
  time = 5_000;
  await end();
  time = 9_000;
  await bringOn();
  t.equal(timeline.storeAwaySince, 9_000, 'it was back for long enough');
  await end();
});
