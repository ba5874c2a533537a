import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { SuspensionMeter } from '../../src/serving/suspension-meter.js';

/** A steady clock and a time of day that the test advances, and a meter that reads them. */
class Clocks {
  steady = 1_000;
  wall = 1_700_000_000_000;
  readonly meter = new SuspensionMeter(
    () => this.steady,
    () => this.wall,
  );

  run(time: number): void {
    this.steady += time;
    this.wall += time;
  }
}

t.test('clock slewing and rounding do not count as suspensions', async (t) => {
  const clocks = new Clocks();
  for (let turn = 0; turn < 100; turn += 1) {
    clocks.run(700);
    // Rounding to whole milliseconds and slewing move the time of day by up to 1 ms.
    clocks.wall += turn % 2;
    t.equal(clocks.meter.read(), 0);
  }
});

t.test('each suspension counts once', async (t) => {
  const clocks = new Clocks();
  clocks.run(500);
  clocks.wall += 3_000;
  t.equal(clocks.meter.read(), 3_000);
  clocks.run(500);
  t.equal(clocks.meter.read(), 3_000);
  clocks.wall += 1_200;
  t.equal(clocks.meter.read(), 4_200);
});

t.test('setting the time of day back never decreases the total', async (t) => {
  const clocks = new Clocks();
  clocks.wall -= 2_000;
  t.equal(clocks.meter.read(), 0);
  clocks.wall += 2_000;
  t.equal(clocks.meter.read(), 2_000, 'indistinguishable from a suspension');
  clocks.wall -= 2_000;
  t.equal(clocks.meter.read(), 2_000);
});

t.test('a reading takes less than 5 microseconds', async (t) => {
  const reads = 100_000;
  const startedAt = performance.now();
  for (let read = 0; read < reads; read += 1) PROCESS_CLOCK.suspendedTime();
  const microseconds = (1_000 * (performance.now() - startedAt)) / reads;
  t.ok(microseconds < 5, `${microseconds.toFixed(3)} µs`);
});
