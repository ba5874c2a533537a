import t from 'tap';
import {
  FAULT_KINDS,
  planFaults,
  QUIET_END,
  QUIET_START,
} from '../../../lab/soak/fault-schedule.js';

t.test('a seed gives the same faults each time, another seed others', async (t) => {
  t.same(planFaults(7, 60_000), planFaults(7, 60_000));
  t.not(JSON.stringify(planFaults(7, 60_000)), JSON.stringify(planFaults(8, 60_000)));
});

t.test('faults leave time to begin and to read again', async (t) => {
  const faults = planFaults(3, 60_000);
  t.ok(faults.length > 15);
  t.ok(faults.every(({ at }) => at >= QUIET_START && at < 60_000 - QUIET_END));
});

t.test('every kind comes up', async (t) => {
  const kinds = new Set(planFaults(1, 600_000).map(({ kind }) => kind));
  t.equal(kinds.size, FAULT_KINDS.length);
});
