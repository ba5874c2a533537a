/** Guards against accepted items that are delayed without end, whatever happened to them before. */
import t from 'tap';
import { OwedWorkWorld } from './owed-work-world.js';
import { withVirtualTimers } from './virtual-timers.js';

const FIRST_SEED = Number(process.env.FIRST_SEED ?? 1);
const SEEDS = Number(process.env.SEEDS ?? 60);

t.test(`what was accepted is delayed, never left out (${SEEDS} seeds)`, async (t) => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const world = new OwedWorkWorld(seed);
    await withVirtualTimers(world.clock, () => world.run());
    const left = { leftOut: world.leftOut, unfinished: world.unfinishedAtEnd };
    t.same(left, { leftOut: [], unfinished: [] }, `seed ${seed}`);
  }
});
