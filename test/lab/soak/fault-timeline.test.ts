import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { FaultTimeline } from '../../../lab/soak/fault-timeline.js';
import type { SoakGateway } from '../../../lab/soak/gateway-group.js';

t.test('a short return of the store does not end the time for which it was away', async (t) => {
  let time = 0;
  const timeline = new FaultTimeline(() => time);
  const ends: (() => void)[] = [];
  const bringOn = (): Promise<void> =>
    timeline.bringOn([{ at: 0 }], {
      struckBy: () => [],
      isStoreAway: () => true,
      breaksContact: () => true,
      nameOf: () => 'fault',
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

t.test('a gateway that is struck stays in touch where the fault leaves it the store', async (t) => {
  let time = 10_000;
  const lines: string[] = [];
  const note = (event: string, { name }: Readonly<Record<string, unknown>>): void =>
    void lines.push(`${event} ${name}`);
  const timeline = new FaultTimeline(() => time, { note });
  const struck = { name: 'struck' } as SoakGateway;
  const other = { name: 'other' } as SoakGateway;
  const strike = async (breaksContact: boolean): Promise<void> => {
    await timeline.bringOn([{ at: 0 }], {
      struckBy: () => [struck],
      isStoreAway: () => false,
      breaksContact: () => breaksContact,
      nameOf: () => 'strike',
      perform: async () => undefined,
    });
    await timeline.allOver();
  };
  await strike(false);
  t.ok(timeline.isInTouch(struck));
  t.notOk(timeline.isCalmFor(struck));
  await strike(true);
  t.notOk(timeline.isInTouch(struck));
  t.ok(timeline.isInTouch(other));
  time += 3_001;
  t.ok(timeline.isInTouch(struck));
  t.notOk(timeline.isCalmFor(struck), 'late work has a little more time');
  t.same(lines.slice(0, 2), ['fault-begins strike', 'fault-ends strike']);
});
