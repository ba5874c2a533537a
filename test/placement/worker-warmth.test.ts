/**
 * Guards against a worker counting as warm although its record, a probe or the return of its zone
 * indicates that it may be cold.
 */
import t from 'tap';
import { WorkerWarmth } from '../../src/placement/worker-warmth.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { worker } from '../serving/serving-fixtures.js';
import { COLD_START } from './cold-fleet.js';

const COLD = worker('w1', { coldFor: 3_000 });

t.test(
  'a probe sent before the return of a zone does not confirm that its worker is warm',
  async (t) => {
    const clock = new ManualClock();
    const warmth = new WorkerWarmth(clock);
    warmth.noteRecord(COLD);
    const askedAt = clock.time;
    clock.time += 50;
    warmth.markUnconfirmed(COLD);
    warmth.noteReported(COLD, 0, askedAt);
    t.equal(warmth.of(COLD, COLD_START).kind, 'doubtful');
    clock.time += 10;
    warmth.noteReported(COLD, 0, clock.time);
    t.equal(warmth.of(COLD, COLD_START).kind, 'warm');
  },
);

t.test(
  'a worker that restarts under its id is cold again; late records of the earlier incarnation are ignored',
  async (t) => {
    const clock = new ManualClock();
    const warmth = new WorkerWarmth(clock);
    warmth.noteListed();
    const first = worker('w1', { startedAt: 1_000, coldFor: 3_000 });
    const second = worker('w1', { startedAt: 9_000, coldFor: 3_000 });
    warmth.noteRecord(first);
    clock.time += 8_000;
    t.equal(warmth.of(first, COLD_START).kind, 'warm');
    warmth.noteRecord(second);
    t.equal(warmth.of(second, COLD_START).kind, 'cold');
    warmth.noteRecord(first);
    t.equal(warmth.of(second, COLD_START).kind, 'cold');
    clock.time += 4_000;
    warmth.noteRecord({ ...second, coldFor: 2_000 });
    t.equal(warmth.of(second, COLD_START).kind, 'cold', 'its record reports cold time again');
    warmth.noteRecord({ ...second, coldFor: 0 });
    t.equal(warmth.of(second, COLD_START).kind, 'cold', 'no record shortens the cold time');
  },
);

t.test(
  'a new incarnation that reports no cold time is unconfirmed for the duration of a cold start',
  async (t) => {
    const clock = new ManualClock();
    const warmth = new WorkerWarmth(clock);
    warmth.noteListed();
    const withoutColdTime = worker('w1');
    warmth.noteRecord(withoutColdTime);
    clock.time += 2_900;
    t.equal(warmth.of(withoutColdTime, COLD_START).kind, 'doubtful');
    clock.time += 300;
    t.equal(warmth.of(withoutColdTime, COLD_START).kind, 'warm');
  },
);
