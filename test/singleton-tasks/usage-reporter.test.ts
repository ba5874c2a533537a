import t from 'tap';
import { DUE_AFTER, UsageFleet, WINDOW } from './singleton-task-fixtures.js';

/** Time after which windows 0 to 2 are due; the clock starts in window 0. */
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
  t.same(fleet.cloud.reports, [], 'not before the counts had time to arrive');
  await fleet.pass(1_000, node);
  t.match(fleet.cloud.reports, [
    {
      report: { window: 0, counts: { north: 3, south: 1 } },
      caller: { holder: 'one', fencingToken: 7 },
    },
  ]);
  await fleet.pass(DAY_PART, node);
  t.same(
    fleet.cloud.reports.map(({ report }) => report.window),
    [0, 1, 2, 3, 4, 5],
    'each window is reported once, including windows without requests',
  );
  t.equal(node.lock.pendingOrders, 0);
});

t.test('a later holder sends the stored report instead of its own counts', async (t) => {
  const fleet = new UsageFleet();
  const firstHolder = fleet.node('one');
  firstHolder.meter.noteBegun('north', fleet.clock.now());
  fleet.cloud.outcomes = Array(60).fill('unknown');
  await fleet.pass(WINDOW + DUE_AFTER, firstHolder);
  const sent = fleet.cloud.reports.length;
  t.ok(sent > 2, 'a call without an answer is retried');
  firstHolder.lock.token = undefined;
  const second = fleet.node('two');
  second.lock.token = 9;
  second.meter.noteBegun('north', 1_500);
  second.meter.noteBegun('south', 1_600);
  fleet.cloud.outcomes = [];
  await fleet.pass(1_000, second);
  const ofFirstWindow = fleet.cloud.reports.filter(({ report }) => report.window === 0);
  t.equal(ofFirstWindow.at(-1)?.caller.fencingToken, 9);
  for (const { report } of ofFirstWindow) t.same(report.counts, { north: 1 });
});

t.test('a holder whose clock is behind sends the stored reports again', async (t) => {
  const fleet = new UsageFleet();
  const firstHolder = fleet.node('one');
  for (let window = 0; window < 12; window += 1) {
    firstHolder.meter.noteBegun('north', fleet.clock.now());
    await fleet.pass(WINDOW, firstHolder);
  }
  const sent = new Map(fleet.cloud.reports.map(({ report }) => [report.window, report.counts]));
  fleet.cloud.reports.length = 0;
  const second = fleet.node('two', 0, 6 * WINDOW);
  second.meter.noteBegun('south', fleet.clock.now());
  await fleet.pass(WINDOW, second);
  t.ok(fleet.cloud.reports.length > 2);
  for (const { report } of fleet.cloud.reports) t.same(report.counts, sent.get(report.window));
});

t.test('two simultaneous holders send identical reports', async (t) => {
  const fleet = new UsageFleet();
  const firstHolder = fleet.node('one');
  const second = fleet.node('two');
  firstHolder.meter.noteBegun('north', fleet.clock.now());
  second.meter.noteBegun('south', fleet.clock.now());
  fleet.clock.time = WINDOW + DUE_AFTER / 2 + 100;
  await Promise.all([fleet.pass(500, firstHolder), fleet.pass(500, second)]);
  const texts = new Set(fleet.cloud.reports.map(({ report }) => JSON.stringify(report)));
  t.equal(fleet.cloud.reports.length, 2);
  t.equal(texts.size, 1);
});

t.test('no report is sent before it is stored', async (t) => {
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

t.test('a rejected token is not used again', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  fleet.cloud.outcomes = ['superseded'];
  await fleet.pass(DAY_PART, node);
  t.equal(fleet.cloud.reports.length, 1);
  t.same(node.lock.refused, [7]);
});

t.test('counts of open windows survive a change of the holder', async (t) => {
  const fleet = new UsageFleet();
  const firstHolder = fleet.node('one');
  firstHolder.gathered.merge('gone-life', new Map([[0, new Map([['north', 4]])]]));
  firstHolder.meter.noteBegun('north', fleet.clock.now());
  await fleet.pass(2_500, firstHolder);
  const second = fleet.node('two');
  await fleet.pass(WINDOW + DUE_AFTER / 2, second);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { north: 5 } });
});

t.test(
  'a checkpoint that takes effect late does not replace that of the next holder',
  async (t) => {
    const fleet = new UsageFleet();
    const firstHolder = fleet.node('one');
    firstHolder.meter.noteBegun('north', fleet.clock.now());
    fleet.store.loseAnswers('applied-late');
    await fleet.pass(300, firstHolder);
    const second = fleet.node('two');
    second.gathered.merge('gone-life', new Map([[0, new Map([['south', 4]])]]));
    await fleet.pass(300, second);
    fleet.store.applyLateCommits();
    const third = fleet.node('three');
    await fleet.pass(WINDOW + DUE_AFTER / 2, third);
    t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { south: 4 } });
  },
);

t.test('a checkpoint of a new holder does not replace that of the previous one', async (t) => {
  const fleet = new UsageFleet();
  const firstHolder = fleet.node('one');
  firstHolder.gathered.merge('gone-life', new Map([[0, new Map([['north', 4]])]]));
  await fleet.pass(300, firstHolder);
  const second = fleet.node('two');
  second.meter.noteBegun('south', fleet.clock.now());
  await fleet.pass(WINDOW + DUE_AFTER / 2, second);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { north: 4, south: 1 } });
});

t.test('a checkpoint that takes effect late does not replace a later one', async (t) => {
  const fleet = new UsageFleet();
  const firstHolder = fleet.node('one');
  firstHolder.gathered.merge('gone-life', new Map([[0, new Map([['north', 1]])]]));
  fleet.store.loseAnswers('applied-late');
  await fleet.pass(300, firstHolder);
  firstHolder.gathered.merge('gone-life', new Map([[0, new Map([['north', 5]])]]));
  await fleet.pass(2_000, firstHolder);
  fleet.store.applyLateCommits();
  const second = fleet.node('two');
  await fleet.pass(WINDOW + DUE_AFTER / 2, second);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { north: 5 } });
});

t.test(
  'a stopping node stores its counts although an earlier checkpoint had no answer',
  async (t) => {
    const fleet = new UsageFleet();
    const node = fleet.node('one');
    const source = 'one-life';
    fleet.store.loseAnswers('applied');
    const counted = (requests: number) => [
      { source, counts: new Map([[0, new Map([['north', requests]])]]) },
    ];
    const outcomes = await Promise.all([
      node.records.storeCounts(source, counted(1)),
      node.records.storeCounts(source, counted(3)),
    ]);
    t.same(outcomes, [false, true]);
    const second = fleet.node('two');
    await fleet.pass(WINDOW + DUE_AFTER / 2, second);
    t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { north: 3 } });
  },
);

t.test('counts are stored again after their outdated record was removed', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  node.meter.noteBegun('north', fleet.clock.now());
  await fleet.pass(2 * WINDOW + 3 * DUE_AFTER, node);
  t.same(fleet.store.keys('duty/usage/counts/'), []);
  const window = Math.floor(fleet.clock.now() / WINDOW);
  node.meter.noteBegun('south', fleet.clock.now());
  const gets = fleet.store.calls.get('get') ?? 0;
  await fleet.pass(300, node);
  t.same(fleet.store.keys('duty/usage/counts/'), ['duty/usage/counts/one-life']);
  t.equal(fleet.store.calls.get('get') ?? 0, gets, 'without a further read');
  await fleet.pass(WINDOW + DUE_AFTER / 2, fleet.node('two', window));
  t.match(fleet.cloud.reports.at(-1)?.report, { window, counts: { south: 1 } });
});

t.test('an outdated record that was written again is not removed', async (t) => {
  const fleet = new UsageFleet();
  const holder = fleet.node('one');
  const other = fleet.node('two');
  const source = 'two-life';
  const counted = (window: number) => [
    { source, counts: new Map([[window, new Map([['north', 1]])]]) },
  ];
  await other.records.storeCounts(source, counted(0));
  const read = await holder.records.read(1);
  const report = { window: 1, counts: {} };
  fleet.store.loseAnswers('applied-late');
  t.same(await holder.records.storeReport(report, read?.outdated ?? []), { kind: 'unavailable' });
  t.ok(await other.records.storeCounts(source, counted(2)));
  fleet.store.applyLateCommits();
  t.same(await holder.records.storeReport(report, read?.outdated ?? []), { kind: 'unavailable' });
  const readAgain = await holder.records.read(1);
  t.same(readAgain?.counts, counted(2));
  t.same(await holder.records.storeReport(report, readAgain?.outdated ?? []), {
    kind: 'kept',
    report,
  });
});

t.test('a report is stored although many nodes left counts', async (t) => {
  const fleet = new UsageFleet();
  const counts = new Map([[0, new Map([['north', 1]])]]);
  const leftNodes = 50;
  for (let number = 0; number < leftNodes; number += 1) {
    const source = `left-${number}`;
    await fleet.node(source).records.storeCounts(source, [{ source, counts }]);
  }
  // The platform's store refuses larger commits.
  const maxEntries = 32;
  const commit = fleet.store.commit.bind(fleet.store);
  fleet.store.commit = async (change) => {
    const { expected, put = [], remove = [] } = change;
    const entries = expected.length + put.length + remove.length;
    return entries > maxEntries ? { kind: 'failed', effect: 'not-done' } : commit(change);
  };
  await fleet.pass(20 * WINDOW, fleet.node('one'));
  const reported = fleet.cloud.reports.map(({ report }) => report.window);
  t.same(reported, [...Array(19).keys()]);
  t.same(fleet.store.keys('duty/usage/counts/'), []);
});

t.test('a checkpoint takes one call to the store', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  for (let requests = 1; requests <= 2; requests += 1) {
    node.gathered.merge('other-life', new Map([[0, new Map([['north', requests]])]]));
    await fleet.pass(2_100, node);
  }
  t.same([...fleet.store.calls], [['commit', 2]]);
});

t.test('counts that a holder of an older build stored are reported', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  const record = [{ source: 'gone-life', windows: [[0, [['south', 2]]]] }];
  fleet.store.write('duty/usage/counts/holder', JSON.stringify(record));
  await fleet.pass(WINDOW + DUE_AFTER / 2, node);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { south: 2 } });
});

t.test('counts that a stopping node stored are reported', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  const counts = new Map([[0, new Map([['south', 2]])]]);
  await node.records.storeCounts('left-life', [{ source: 'left-life', counts }]);
  await fleet.pass(WINDOW + DUE_AFTER / 2, node);
  t.match(fleet.cloud.reports[0]?.report, { window: 0, counts: { south: 2 } });
});

t.test('a fleet that starts for the first time reports no earlier windows', async (t) => {
  const fleet = new UsageFleet();
  fleet.clock.time = 20 * WINDOW;
  const node = fleet.node('one', 20);
  await fleet.pass(WINDOW + DUE_AFTER / 2 + 500, node);
  t.same(
    fleet.cloud.reports.map(({ report }) => report.window),
    [20],
  );
});

t.test('a report that can no longer be sent is logged', async (t) => {
  const fleet = new UsageFleet();
  const node = fleet.node('one');
  fleet.cloud.outcomes = Array(500).fill('unavailable');
  await fleet.pass(WINDOW + 3 * DUE_AFTER, node);
  t.match(node.lines.join('\n'), /usage-report-forgotten/);
});
