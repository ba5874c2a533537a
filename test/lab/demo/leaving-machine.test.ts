import t from 'tap';
import { judgeLeaving, leftInTime } from '../../../lab/demo/leaving-machine.js';

const PERIOD = { shownAt: 10_000, backAt: 20_000 };

t.test('starts after the limit and before the return are late', (t) => {
  const judge = (...own: number[]) => {
    const startTimes: [string, number[]][] = [
      ['w-1', [14_000]],
      ['w-2', own],
    ];
    return judgeLeaving('w-2', PERIOD, new Map(startTimes));
  };
  const good = judge(9_000, 13_000, 20_000);
  t.same(good, {
    worker: 'w-2',
    startsBefore: 1,
    lateStarts: 0,
    startsElsewhere: 1,
    lastStart: 3_000,
    startsAfterReturn: 1,
  });
  t.ok(leftInTime(good));
  t.notOk(leftInTime(judge(9_000, 13_001)), 'a late start');
  t.notOk(leftInTime(judge(11_000)), 'an engine that had no work before shows nothing');
  const idle = judgeLeaving('w-2', PERIOD, new Map([['w-2', [9_000]]]));
  t.notOk(leftInTime(idle), 'no work for any engine shows nothing');
  t.end();
});
