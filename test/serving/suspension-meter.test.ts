import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { SuspensionMeter } from '../../src/serving/suspension-meter.js';

/** Two clocks that a test moves. */
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

t.test('a machine that runs was not suspended', async (t) => {
  const clocks = new Clocks();
  for (let turn = 0; turn < 100; turn += 1) {
    clocks.run(700);
    // Read in whole milliseconds, and adjusted a little all the time.
    clocks.wall += turn % 2;
    t.equal(clocks.meter.read(), 0);
  }
});

t.test('what the steady clock lacks counts, each time once', async (t) => {
  const clocks = new Clocks();
  clocks.run(500);
  clocks.wall += 3_000;
  t.equal(clocks.meter.read(), 3_000);
  clocks.run(500);
  t.equal(clocks.meter.read(), 3_000);
  clocks.wall += 1_200;
  t.equal(clocks.meter.read(), 4_200);
});

t.test('a time of day that is put back, or forward again, never takes anything away', async (t) => {
  const clocks = new Clocks();
  clocks.wall -= 2_000;
  t.equal(clocks.meter.read(), 0);
  clocks.wall += 2_000;
  t.equal(clocks.meter.read(), 2_000, 'the same as a suspension');
  clocks.wall -= 2_000;
  t.equal(clocks.meter.read(), 2_000);
});

t.test('reading it costs less than a microsecond of a fast core, five of a slow one', async (t) => {
  const reads = 100_000;
  const startedAt = performance.now();
  for (let read = 0; read < reads; read += 1) PROCESS_CLOCK.suspendedTime();
  const microseconds = (1_000 * (performance.now() - startedAt)) / reads;
  t.ok(microseconds < 5, `${microseconds.toFixed(3)} µs`);
});
