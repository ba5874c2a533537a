import t from 'tap';
import { MaxWorkersPolicy } from '../../src/singleton-tasks/scaling-policy.js';
import { ManualClock } from '../jobs/job-fixtures.js';

const limits = (maximum: number): Parameters<MaxWorkersPolicy['desiredWorkers']>[0] => ({
  minimum: 1,
  maximum,
  bootTime: 4_000,
  zonePrices: new Map([
    ['a', 1],
    ['b', 2],
  ]),
});

t.test('a small site gets the maximum number of workers at once', async (t) => {
  const policy = new MaxWorkersPolicy(new ManualClock());
  t.same(
    [...policy.desiredWorkers(limits(21), () => 0)],
    [
      ['a', 21],
      ['b', 21],
    ],
  );
});

t.test(
  'orders are limited to the workers that gateways can track, and never reduce a zone',
  async (t) => {
    const clock = new ManualClock();
    const policy = new MaxWorkersPolicy(clock);
    const present = (zone: string): number => (zone === 'a' ? 700 : 100);
    t.same(
      [...policy.desiredWorkers(limits(1_500), present)],
      [],
      'not before the existing workers have registered',
    );
    clock.time += 10_000;
    t.same([...policy.desiredWorkers(limits(1_500), present)], [['b', 500]]);
  },
);
