import t from 'tap';
import { MaxWorkersPolicy } from '../../src/singleton-tasks/scaling-policy.js';
import { ManualClock } from '../jobs/job-fixtures.js';

const limits = (most: number): Parameters<MaxWorkersPolicy['wanted']>[0] => ({
  minimum: 1,
  maximum: most,
  bootTime: 4_000,
  zonePrices: new Map([
    ['a', 1],
    ['b', 2],
  ]),
});

t.test('a small site gets as many workers as the operator allows, at once', async (t) => {
  const policy = new MaxWorkersPolicy(new ManualClock());
  t.same(
    [...policy.wanted(limits(21), () => 0)],
    [
      ['a', 21],
      ['b', 21],
    ],
  );
});

t.test(
  'no more are ordered than gateways can follow, and never fewer than there are',
  async (t) => {
    const clock = new ManualClock();
    const policy = new MaxWorkersPolicy(clock);
    const present = (zone: string): number => (zone === 'a' ? 700 : 100);
    t.same([...policy.wanted(limits(1_500), present)], [], 'not before they have registered');
    clock.time += 10_000;
    t.same([...policy.wanted(limits(1_500), present)], [['b', 500]]);
  },
);
