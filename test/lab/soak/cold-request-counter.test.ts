/** What a worker of the soak counts while it is cold. */
import t from 'tap';
import { ColdRequestCounter } from '../../../lab/soak/cold-request-counter.js';

t.test('requests count within any second while the worker is cold, and not after', async (t) => {
  let now = 0;
  const counter = new ColdRequestCounter(() => now);
  t.equal(counter.remaining, 2_000);
  for (let count = 0; count < 11; count += 1) {
    t.equal(counter.noteRequest(), undefined);
    now += 90;
  }
  t.equal(counter.noteRequest(), 12, 'eleven others within the second');
  now = 1_995;
  t.equal(counter.noteRequest(), undefined);
  now = 2_000;
  t.equal(counter.remaining, 0);
  for (let count = 0; count < 30; count += 1) t.equal(counter.noteRequest(), undefined);
});
