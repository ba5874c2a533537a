import t from 'tap';
import { EventQueue } from '../../../lab/simulation/event-queue.js';
import { NodeClock } from '../../../lab/simulation/node-clock.js';

t.test('actions run in order of time, and of insertion where times are equal', async (t) => {
  const queue = new EventQueue();
  const ran: string[] = [];
  for (const [delay, name] of [
    [5, 'c'],
    [1, 'a'],
    [5, 'd'],
    [3, 'b'],
    [9, 'late'],
  ] as const) {
    queue.after(delay, () => ran.push(`${name}@${queue.now}`));
  }
  queue.after(2, () => queue.after(-1, () => ran.push(`nested@${queue.now}`)));
  queue.runUntil(6);
  t.same(ran, ['a@1', 'nested@2', 'b@3', 'c@5', 'd@5']);
  t.equal(queue.now, 6);
  t.equal(queue.size, 1);
});

t.test('a point of time that has passed counts as the present', async (t) => {
  const queue = new EventQueue();
  const ran: string[] = [];
  queue.runUntil(10);
  queue.at(12, () => ran.push(`later@${queue.now}`));
  queue.at(4, () => ran.push(`passed@${queue.now}`));
  queue.runUntil(20);
  t.same(ran, ['passed@10', 'later@12']);
});

t.test('a clock never jumps when its rate changes', async (t) => {
  const clock = new NodeClock(100, 5_000, 1);
  t.equal(clock.read(200), 5_100);
  clock.changeRate(200, 2);
  t.equal(clock.read(200), 5_100);
  t.equal(clock.read(210), 5_120);
});
