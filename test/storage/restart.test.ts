/** A restarted member reads its bodies from disk, and only what the disk lacks from peers. */
import t, { type Test } from 'tap';
import { RestartFleet } from '../../lab/bench/storage-fleet.js';
import type { RestartFleetOptions, RestartReport } from '../../lab/bench/storage-fleet-options.js';

const BODIES = { count: 60, bytes: 2_000 };

function restart(options: RestartFleetOptions): RestartReport {
  const fleet = new RestartFleet(options);
  fleet.fill(BODIES);
  return fleet.restart();
}

function checkWhole(t: Test, report: RestartReport): void {
  t.equal(report.bodyBytesHeld, BODIES.count * BODIES.bytes);
  t.not(report.completeAfter, null);
  t.not(report.activeAfter, null);
}

t.test('without a disk all bodies come from peers, and no disk is asked', async (t) => {
  const report = restart({ seed: 1, hasDisk: false });
  checkWhole(t, report);
  t.equal(report.diskRequests, 0);
  t.equal(report.counters.bodiesRepaired, BODIES.count);
});

t.test('with a disk none of them does', async (t) => {
  const report = restart({ seed: 1, hasDisk: true });
  checkWhole(t, report);
  t.match(report.counters, { bodiesLoaded: BODIES.count, bodiesRepaired: 0 });
});

t.test('what is damaged, missing or never answered comes from peers', async (t) => {
  for (const fault of ['damaged', 'missing', 'silent'] as const) {
    const report = restart({ seed: 2, hasDisk: true, fault: { kind: fault, every: 10 } });
    checkWhole(t, report);
    const { bodiesLoaded, bodiesRepaired, bodiesUnreadable } = report.counters;
    t.equal(bodiesLoaded, 54, fault);
    t.equal(bodiesUnreadable, 6, fault);
    t.equal(bodiesRepaired, 6, fault);
    if (fault !== 'silent') t.equal(report.bodiesOnDisk, BODIES.count, 'written anew');
  }
});

t.test('bodies the group removed meanwhile are deleted from the disk, never offered', async (t) => {
  const fleet = new RestartFleet({ seed: 3, hasDisk: true });
  fleet.fill(BODIES);
  const report = fleet.restart({ removesAll: true });
  t.equal(report.bodyBytesHeld, 0);
  t.equal(report.bodiesOnDisk, 0);
});
