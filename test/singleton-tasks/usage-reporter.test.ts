import t from 'tap';
import { DUE_AFTER, UsageFleet, WINDOW } from './singleton-task-fixtures.js';

/** The clock starts at 1 s of 1970, in window 0. */
const DAY_PART = 3 * WINDOW + DUE_AFTER;

t.test('each window is reported once, after its counts had time to arrive', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  node.meter.noteBegun('north', fleet.clock.now());
  node.gathered.merge(
    'other-life',
    new Map([
      [
        0,
        new Map([
          ['north', 2],
          ['south', 1],
        ]),
      ],
    ]),
  );
  await fleet.pass(WINDOW + DUE_AFTER / 2 - 1_200, node);
  t.same(fleet.cloud.reports, [], 'not before it has settled');
  await fleet.pass(1_000, node);
  t.match(fleet.cloud.reports, [
    {
      report: { window: 0, counts: { north: 3, south: 1 } },
      stamp: { holder: 'one', fencingToken: 7 },
    },
  ]);
  await fleet.pass(DAY_PART, node);
  t.same(
    fleet.cloud.reports.map(({ report }) => report.window),
    [0, 1, 2, 3, 4, 5],
    'windows without requests are reported too, and none twice',
  );
  t.equal(node.lock.underWay, 0);
});

t.test('a later holder sends the kept text, whatever it counts itself', async (t) => {
  const fleet = new UsageFleet();
  const first = fleet.node('one');
  first.meter.noteBegun('north', fleet.clock.now());
  fleet.cloud.outcomes = Array(60).fill('unknown');
  await fleet.pass(WINDOW + DUE_AFTER, first);
  const sent = fleet.cloud.reports.length;
  t.ok(sent > 2, 'a call without an answer is made again');
  first.lock.token = undefined;
  const second = fleet.node('two');
  second.lock.token = 9;
  second.meter.noteBegun('north', 1_500);
  second.meter.noteBegun('south', 1_600);
  fleet.cloud.outcomes = [];
  await fleet.pass(1_000, second);
  const ofFirstWindow = fleet.cloud.reports.filter(({ report }) => report.window === 0);
  t.equal(ofFirstWindow.at(-1)?.stamp.fencingToken, 9);
  for (const { report } of ofFirstWindow) t.same(report.counts, { north: 1 });
});

t.test('two holders at a time send one text', async (t) => {
  const fleet = new UsageFleet();
  const first = fleet.node('one');
  const second = fleet.node('two');
  first.meter.noteBegun('north', fleet.clock.now());
  second.meter.noteBegun('south', fleet.clock.now());
  fleet.clock.time = WINDOW + DUE_AFTER / 2 + 100;
  await Promise.all([fleet.pass(500, first), fleet.pass(500, second)]);
  const texts = new Set(fleet.cloud.reports.map(({ report }) => JSON.stringify(report)));
  t.equal(fleet.cloud.reports.length, 2);
  t.equal(texts.size, 1);
});

t.test('nothing is sent that the store has not kept', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  node.meter.noteBegun('north', fleet.clock.now());
  fleet.store.setAvailability('refusing');
  await fleet.pass(WINDOW + DUE_AFTER * 0.8, node);
  t.same(fleet.cloud.reports, []);
  fleet.store.setAvailability('up');
  await fleet.pass(2_000, node);
  t.match(fleet.cloud.reports[0], { report: { window: 0, counts: { north: 1 } } });
});

t.test('a refused token is dropped and not used again', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  fleet.cloud.outcomes = ['superseded'];
  await fleet.pass(DAY_PART, node);
  t.equal(fleet.cloud.reports.length, 1);
  t.same(node.lock.refused, [7]);
});

t.test('counts of open windows outlive their holder', async (t) => {
  const fleet = new UsageFleet();
  const first = fleet.node('one');
  first.gathered.merge('gone-life', new Map([[0, new Map([['north', 4]])]]));
  first.meter.noteBegun('north', fleet.clock.now());
  await fleet.pass(2_500, first);
  const second = fleet.node('two');
  await fleet.pass(WINDOW + DUE_AFTER / 2, second);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { north: 5 } });
});

t.test('counts that a stopping node left in the store are reported', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  const counts = new Map([[0, new Map([['south', 2]])]]);
  await node.records.keepCounts('left-life', [{ source: 'left-life', counts }]);
  await fleet.pass(WINDOW + DUE_AFTER / 2, node);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { south: 2 } });
});

t.test('a fleet that starts for the first time reports nothing of the time before', async (t) => {
  const fleet = new UsageFleet();
  fleet.clock.time = 20 * WINDOW;
  const node = fleet.node('one', 20);
  await fleet.pass(WINDOW + DUE_AFTER / 2 + 500, node);
  t.same(
    fleet.cloud.reports.map(({ report }) => report.window),
    [20],
  );
});

t.test('a report that can no longer be sent is told of', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  fleet.cloud.outcomes = Array(500).fill('unavailable');
  await fleet.pass(WINDOW + 3 * DUE_AFTER, node);
  t.match(node.lines.join('\n'), /usage-report-forgotten/);
});
