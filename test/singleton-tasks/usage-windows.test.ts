import t from 'tap';
import { UsageWindows } from '../../src/singleton-tasks/usage-windows.js';
import { ManualClock } from '../jobs/job-fixtures.js';

/** A clock whose time of day can jump relative to the steady time. */
class JumpingClock extends ManualClock {
  jump = 0;
  override wallTime(): number {
    return 1_000_000 + this.time + this.jump;
  }
}

t.test('windows are numbered by the time of day', async (t) => {
  const clock = new JumpingClock();
  clock.time = 0;
  const windows = new UsageWindows(clock, 5_000);
  t.equal(windows.windowAt(0), 200);
  t.equal(windows.windowAt(4_999), 200);
  t.equal(windows.windowAt(5_000), 201);
  clock.time = 7_000;
  t.equal(windows.current, 201);
  t.equal(windows.timeSinceEnd(200), 2_000);
});

t.test('a short jump of the time of day does not change the window', async (t) => {
  const clock = new JumpingClock();
  const windows = new UsageWindows(clock, 5_000);
  const before = windows.current;
  for (const jump of [2_000, -2_000, 2_000, 0]) {
    clock.jump = jump;
    clock.time += 100;
    t.equal(windows.current, before);
  }
});

t.test('small drifts are followed at once, a jump after it has persisted', async (t) => {
  const clock = new JumpingClock();
  clock.time = 0;
  const windows = new UsageWindows(clock, 5_000);
  clock.jump = -100;
  t.equal(windows.windowAt(0), 199);
  clock.jump = 2_000;
  t.equal(windows.windowAt(4_900), 200);
  clock.time = 61_000;
  t.equal(windows.windowAt(clock.time), Math.floor(1_063_000 / 5_000));
});
