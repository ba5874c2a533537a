import fc from 'fast-check';
import t from 'tap';
import { HollowFeedFleet, intentText } from '../../lab/bench/hollow-feed-fleet.js';
import { intentKey } from '../../src/config-feed/configuration.js';
import { ConfigurationFeed } from '../../src/config-feed/configuration-feed.js';
import type { NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';

const SIZE = 48;
const FRESHNESS_BOUND = 6_000;

function fleetOf(seed: number, loss = 0): HollowFeedFleet {
  const bench = new HollowFeedFleet(SIZE, seed, loss);
  bench.keyValue.write(intentKey('one'), intentText('one', 1));
  return bench;
}

function ages(bench: HollowFeedFleet): number[] {
  return bench.records.map((record) => ageOf(bench, record));
}

function ageOf(bench: HollowFeedFleet, record: NodeRecord): number {
  return bench.feeds.get(record.node)?.freshnessAge(bench.now) ?? Number.POSITIVE_INFINITY;
}

function versionsInForce(bench: HollowFeedFleet): (number | undefined)[] {
  const versions = bench.records.map(
    (record) => bench.feeds.get(record.node)?.configuration().intents.get('one')?.minimumVersion,
  );
  return [...new Set(versions)];
}

t.test('a change is in force everywhere, and a deletion too', async (t) => {
  const bench = fleetOf(1, 0.02);
  bench.runFor(6_000);
  t.ok(Math.max(...ages(bench)) < FRESHNESS_BOUND);
  bench.keyValue.write(intentKey('one'), intentText('one', 5));
  bench.runFor(6_000);
  t.strictSame(versionsInForce(bench), [5]);
  const before = bench.feeds.get('zone-a-0')?.configuration();
  bench.runFor(3_000);
  t.equal(bench.feeds.get('zone-a-0')?.configuration(), before, 'the same object until changed');
  bench.keyValue.write(intentKey('one'), null);
  bench.runFor(6_000);
  t.strictSame(versionsInForce(bench), [undefined]);
});

t.test('a watch gap loses no change', async (t) => {
  const bench = fleetOf(2);
  bench.runFor(4_000);
  bench.keyValue.breakWatches();
  bench.keyValue.write(intentKey('one'), intentText('one', 6));
  bench.runFor(6_000);
  t.strictSame(versionsInForce(bench), [6]);
});

t.test('compaction during a gap leads to a full read, deletions included', async (t) => {
  const bench = fleetOf(3);
  bench.keyValue.write(intentKey('two'), intentText('two', 1));
  bench.runFor(4_000);
  bench.keyValue.breakWatches();
  bench.keyValue.write(intentKey('two'), null);
  bench.keyValue.write(intentKey('one'), intentText('one', 7));
  bench.keyValue.compact();
  bench.runFor(8_000);
  t.strictSame(versionsInForce(bench), [7]);
  const names = bench.records.map((record) => [
    ...(bench.feeds.get(record.node)?.configuration().intents.keys() ?? []),
  ]);
  t.strictSame([...new Set(names.flat())], ['one']);
});

for (const mode of ['down', 'rate-limited'] as const) {
  t.test(
    `while the service is ${mode}, copies stay, age truly, and requests are few`,
    async (t) => {
      const bench = fleetOf(4, 0.01);
      bench.runFor(5_000);
      const revisions = bench.records.map(
        (one) => bench.feeds.get(one.node)?.completeRevision() ?? 0,
      );
      bench.keyValue.mode = mode;
      bench.keyValue.breakWatches();
      const requests = bench.keyValue.requests;
      bench.runFor(30_000);
      t.ok(Math.min(...ages(bench)) >= 29_990, 'no copy claims to be fresh');
      t.strictSame(versionsInForce(bench), [1]);
      t.ok((bench.keyValue.requests - requests) / 30 < 16, 'few requests');
      bench.keyValue.mode = 'up';
      bench.keyValue.write(intentKey('one'), intentText('one', 8));
      bench.runFor(10_000);
      t.strictSame(versionsInForce(bench), [8]);
      t.ok(Math.max(...ages(bench)) < FRESHNESS_BOUND);
      const after = bench.records.map((one) => bench.feeds.get(one.node)?.completeRevision() ?? 0);
      t.ok(after.every((revision, position) => revision >= (revisions[position] ?? 0)));
    },
  );
}

t.test('a slow service makes copies older, never wrongly fresh', async (t) => {
  const bench = fleetOf(5);
  bench.keyValue.slowness = 2_500;
  bench.runFor(20_000);
  t.ok(Math.min(...ages(bench)) >= 2_500);
  t.ok(Math.max(...ages(bench)) < 10_000);
});

t.test('a zone whose watchers are cut from the service learns from other zones', async (t) => {
  const bench = fleetOf(6, 0.01);
  bench.reachesService = (record) => record.zone !== 'zone-a';
  bench.runFor(10_000);
  t.ok(Math.max(...ages(bench)) < FRESHNESS_BOUND);
  bench.keyValue.write(intentKey('one'), intentText('one', 9));
  bench.runFor(6_000);
  t.strictSame(versionsInForce(bench), [9]);
});

t.test('a zone cut from all others grows old and comes back', async (t) => {
  const bench = fleetOf(7);
  bench.runFor(5_000);
  bench.reachesService = (record) => record.zone !== 'zone-a';
  bench.fleet.cut((left, right) => (left === 'zone-a') !== (right === 'zone-a'));
  const writtenAt = bench.now;
  bench.keyValue.write(intentKey('one'), intentText('one', 10));
  bench.runFor(15_000);
  const inside = bench.records.filter((record) => record.zone === 'zone-a');
  t.ok(inside.every((record) => ageOf(bench, record) >= bench.now - writtenAt));
  bench.fleet.cut(() => false);
  bench.runFor(6_000);
  t.strictSame(versionsInForce(bench), [10]);
});

t.test('a restarted node is not fresh before it has learnt from a fresh copy', async (t) => {
  const bench = fleetOf(8);
  bench.runFor(5_000);
  const record = { ...(bench.records[20] as NodeRecord), incarnation: 1_900_000_000 };
  const feed = bench.start(record);
  t.equal(feed.freshnessAge(bench.now), Number.POSITIVE_INFINITY);
  bench.announceMembers();
  bench.runFor(2_000);
  t.ok(feed.freshnessAge(bench.now) < FRESHNESS_BOUND);
  t.equal(feed.configuration().intents.get('one')?.minimumVersion, 1);
});

t.test('dead watchers are replaced once membership says so', async (t) => {
  const bench = fleetOf(9);
  bench.runFor(5_000);
  for (const record of bench.records.slice(0, SIZE / 2)) bench.fleet.kill(record.node);
  bench.runFor(2_000);
  bench.announceMembers();
  bench.runFor(6_000);
  t.ok(Math.max(...ages(bench).slice(SIZE / 2)) < FRESHNESS_BOUND);
});

t.test('a broken record is kept out, counted and logged once', async (t) => {
  const [self, peer] = fleetOf(10).records as [NodeRecord, NodeRecord];
  const feed = new ConfigurationFeed({ self, random: createRandomSource(1) });
  const entries = [{ key: intentKey('bad'), value: '{', modRevision: 2 }];
  const content = { kind: 'snapshot', entries } as const;
  const effects = feed.receive(peer, { kind: 'push', revision: 2, content }, 0);
  t.match(effects, [{ kind: 'state-change', change: 'record-rejected' }, { kind: 'applied' }]);
  t.equal(feed.rejectedRecords(), 1);
  t.equal(feed.freshnessAge(0), Number.POSITIVE_INFINITY, 'a push says nothing about age');
  const delta = { kind: 'delta', fromRevision: 2, entries: [] } as const;
  feed.receive(peer, { kind: 'push', revision: 3, content: delta }, 10);
  t.equal(feed.rejectedRecords(), 1);
});

/** A fault that starts at some second of a run. */
const fault = fc.record({
  at: fc.integer({ min: 3, max: 25 }),
  kind: fc.constantFrom(
    'down',
    'limited',
    'up',
    'slow',
    'break',
    'compact',
    'cut',
    'heal',
    'freeze',
  ),
  zone: fc.constantFrom('zone-a', 'zone-d', 'zone-h'),
  node: fc.nat(SIZE - 1),
});

type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;

function strike(bench: HollowFeedFleet, { kind, zone, node }: Fault): void {
  const { keyValue, fleet } = bench;
  if (kind === 'down') keyValue.mode = 'down';
  if (kind === 'limited') keyValue.mode = 'rate-limited';
  if (kind === 'up') keyValue.mode = 'up';
  if (kind === 'up' || kind === 'slow') keyValue.slowness = kind === 'slow' ? 1_500 : 0;
  if (kind === 'break' || kind === 'down') keyValue.breakWatches();
  if (kind === 'compact') keyValue.compact();
  if (kind === 'cut') fleet.cut((left, right) => (left === zone) !== (right === zone));
  if (kind === 'heal') fleet.cut(() => false);
  if (kind === 'freeze') fleet.freeze((bench.records[node] as NodeRecord).node, bench.now + 4_000);
}

t.test(
  'under any faults freshness is never underestimated and revisions never go back',
  async () => {
    fc.assert(
      fc.property(fc.array(fault, { maxLength: 12 }), fc.nat(1_000), (faults, seed) => {
        const bench = fleetOf(seed, 0.05);
        const revisions = new Map<string, number>();
        const writes = [{ revision: bench.keyValue.revision, at: 0 }];
        for (let second = 0; second < 30; second += 1) {
          for (const one of faults) if (one.at === second) strike(bench, one);
          const text = intentText('one', second + 2);
          writes.push({ revision: bench.keyValue.write(intentKey('one'), text), at: bench.now });
          bench.runFor(1_000);
          for (const { node } of bench.records) {
            const feed = bench.feeds.get(node) as ConfigurationFeed;
            const freshAsOf = bench.now - feed.freshnessAge(bench.now);
            const needed = writes.findLast(({ at }) => at < freshAsOf)?.revision ?? 0;
            if (feed.completeRevision() < needed)
              throw new Error(`${node} is not as fresh as it says`);
            const { revision } = feed.configuration();
            if (revision < (revisions.get(node) ?? 0)) throw new Error(`${node} went back`);
            revisions.set(node, revision);
          }
        }
      }),
      { seed: 11, numRuns: 25 },
    );
  },
);
