import t from 'tap';
import { SuspendableTime } from '../../../lab/soak/suspendable-time.js';

t.test(
  'it goes with the real time while its process runs, and stands still while it does not',
  async (t) => {
    let real = 1_000;
    const time = new SuspendableTime(() => real);
    for (let mark = 0; mark < 50; mark += 1) {
      real += 20;
      t.equal(time.now(), real);
    }
    const before = time.now();
    real += 5_000;
    t.equal(time.now(), before);
    real += 100;
    t.equal(time.now(), before + 100);
    real += 3_000;
    t.equal(time.now(), before + 100);
  },
);
