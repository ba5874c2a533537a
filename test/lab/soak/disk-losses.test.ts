/** Disks that a soak may empty: no more of one zone than may be lost at once. */
import t from 'tap';
import { DiskLosses, disksToLose } from '../../../lab/soak/disk-losses.js';

t.test('a third disk of a zone is not lost before the store has what two held', async (t) => {
  const losses = new DiskLosses();
  losses.noteLost('zone-a', 'disk-1');
  losses.noteLost('zone-a', 'disk-2');
  t.ok(losses.mayLose('zone-a', 'disk-1'), 'once more, as it holds nothing older');
  t.notOk(losses.mayLose('zone-a', 'disk-3'));
  t.throws(() => losses.noteLost('zone-a', 'disk-3'));
  t.ok(losses.mayLose('zone-b', 'disk-4'));
  losses.noteSynced('zone-a');
  t.ok(losses.mayLose('zone-a', 'disk-3'));
  t.same(losses.lostIn('zone-a'), []);
});

t.test('disks that are lost already count among those lost with all power', async (t) => {
  t.same(disksToLose(['disk-3', 'disk-1', 'disk-2'], []), ['disk-3', 'disk-1']);
  t.same(disksToLose(['disk-3', 'disk-1', 'disk-2'], ['disk-2']), ['disk-2', 'disk-3']);
  t.same(disksToLose(['disk-3', 'disk-1', 'disk-2'], ['disk-2', 'disk-1']), ['disk-2', 'disk-1']);
});

t.test('any order of losses and restarts leaves a disk of each zone', async (t) => {
  const losses = new DiskLosses();
  let lost = 0;
  for (let turn = 0; turn < 60; turn += 1) {
    const replica = `disk-${turn % 3}`;
    if (turn % 7 === 6) losses.noteSynced('zone-a');
    if (!losses.mayLose('zone-a', replica)) continue;
    losses.noteLost('zone-a', replica);
    lost += 1;
    t.ok(losses.lostIn('zone-a').length <= 2);
  }
  t.ok(lost > 20);
});
