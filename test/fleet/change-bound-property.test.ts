/**
 * Guards against a change that arrives later than the change bound at a healthy node because the
 * relays between the node and the store each use up a part of the bound before they fail.
 */
import fc from 'fast-check';
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, RelayedFleet } from './relayed-fleet.js';
import { StallMeter } from './stall-meter.js';

/** Three zones of the region far from the store, whose relays read through one of them. */
const ZONES = ['far-1', 'far-2', 'far-3', 'near-1'];
const NODES = Object.fromEntries(
  ZONES.flatMap((zone) => ['a', 'b', 'c', 'd'].map((letter) => [`${zone}/${letter}`, zone])),
);

/** Relays that were requested before they watched are excluded until then. */
const SETTLE_TIME: Milliseconds = 2_500;

/** Time after the last change, in which every healthy node receives it or is late. */
const OBSERVED_TIME: Milliseconds = 3_500;

/** Pauses of a node's watches, in which changes are collected. */
const OPERATOR_COALESCE_TIME: Milliseconds = 100;
const WORKER_COALESCE_TIME: Milliseconds = 400;

const FAILURES = ['silent', 'without-store', 'frozen', 'terminated'] as const;
const BATCHES = 3;
const SEQUENCES_PER_BATCH = 60;
const SEED = 20_261;

interface NodeFailure {
  readonly kind: (typeof FAILURES)[number];
  /** The relay of a zone; if there is none left, or for `isMember`, another node of the zone. */
  readonly zone: string;
  readonly isMember: boolean;
  readonly at: Milliseconds;
  /** For a frozen node. */
  readonly duration: Milliseconds;
}

interface Sequence {
  readonly failures: readonly NodeFailure[];
  /** Nodes, by index, whose lists lack the relay of a zone. */
  readonly outdatedLists: readonly { readonly node: number; readonly zone: string }[];
  /** Times of the changes after the first failure. */
  readonly changes: readonly Milliseconds[];
}

const SEQUENCES: fc.Arbitrary<Sequence> = fc.record({
  failures: fc.array(
    fc.record({
      kind: fc.constantFrom(...FAILURES),
      zone: fc.constantFrom(...ZONES),
      isMember: fc.integer({ min: 0, max: 5 }).map((draw) => draw === 0),
      at: fc.integer({ min: 0, max: 900 }),
      duration: fc.integer({ min: 200, max: 3_000 }),
    }),
    { minLength: 2, maxLength: 4, size: 'max' },
  ),
  outdatedLists: fc.array(
    fc.record({
      node: fc.nat(Object.keys(NODES).length - 1),
      zone: fc.constantFrom(...ZONES),
    }),
    { maxLength: 3, size: 'max' },
  ),
  changes: fc.tuple(
    fc.integer({ min: 0, max: 600 }),
    fc.integer({ min: 600, max: 1_200 }),
    fc.integer({ min: 1_200, max: 1_800 }),
  ),
});

/** The first relay of the far region falls silent while the others lose the store. */
const RELAYS_IN_TURN: readonly Sequence[] = [
  ['silent', 'without-store', 'without-store'],
  ['without-store', 'silent', 'silent'],
  ['silent', 'silent', 'without-store'],
].flatMap((kinds) =>
  [0, 1, 2].map((rotation) => ({
    failures: ZONES.map((zone, index) => ({
      kind: (kinds[(index + rotation) % 3] ?? 'silent') as NodeFailure['kind'],
      zone,
      isMember: false,
      at: index * 300,
      duration: 0,
    })),
    outdatedLists: [],
    changes: [0, 450, 900],
  })),
);

class SequenceRun {
  private readonly fleet: RelayedFleet;
  private readonly failed = new Set<string>();

  constructor(
    private readonly sequence: Sequence,
    private readonly stallMeter: StallMeter,
    coalesce: Milliseconds,
  ) {
    const regionOf = (zone: string): string => zone.split('-')[0] ?? zone;
    this.fleet = new RelayedFleet(NODES, { renewalInterval: 600, coalesce }, regionOf);
  }

  /** Resolves to the time of the slowest change at a healthy node. */
  async slowestChange(): Promise<Milliseconds> {
    const { fleet, sequence } = this;
    await fleet.start();
    await PROCESS_CLOCK.sleep(SETTLE_TIME);
    const relays = fleet.relays();
    for (const { node, zone } of sequence.outdatedLists) {
      const unlisted = relays.filter((relay) => fleet.zoneOf(relay) === zone);
      const observer = fleet.names()[node] ?? '';
      if (!unlisted.includes(observer)) fleet.outdateList(observer, unlisted);
    }
    const failures = sequence.failures.map((failure) => this.fail(failure, relays));
    const changes = sequence.changes.map((at, index) => this.change(`change-${index}`, at));
    const [writtenAt] = await Promise.all([Promise.all(changes), Promise.all(failures)]);
    await PROCESS_CLOCK.sleep(OBSERVED_TIME);
    const healthy = fleet.names().filter((name) => !this.failed.has(name));
    const times = writtenAt.flatMap((at, index) =>
      healthy.map((name) => {
        const receivedAt = fleet.receivedAt(name, `change-${index}`);
        return receivedAt - at - this.stallMeter.stalledWithin(at, receivedAt);
      }),
    );
    fleet.stop();
    return Math.max(...times);
  }

  private async fail(failure: NodeFailure, relays: readonly string[]): Promise<void> {
    const { fleet } = this;
    await PROCESS_CLOCK.sleep(failure.at);
    const candidates = fleet
      .names()
      .filter((name) => fleet.zoneOf(name) === failure.zone && !this.failed.has(name));
    const relay = candidates.find((name) => relays.includes(name));
    const member = candidates.find((name) => !relays.includes(name)) ?? '';
    const node = failure.isMember ? member : (relay ?? member);
    this.failed.add(node);
    if (failure.kind === 'silent') fleet.silent.add(node);
    if (failure.kind === 'without-store') fleet.blockStore(node);
    if (failure.kind === 'terminated') fleet.terminate(node);
    if (failure.kind !== 'frozen') return;
    fleet.freeze(node);
    await PROCESS_CLOCK.sleep(failure.duration);
    fleet.thaw(node);
  }

  private async change(value: string, at: Milliseconds): Promise<Milliseconds> {
    await PROCESS_CLOCK.sleep(at);
    return this.fleet.write(value, value);
  }
}

async function slowestOf(
  sequences: readonly Sequence[],
  coalesce = OPERATOR_COALESCE_TIME,
): Promise<Milliseconds[]> {
  const stallMeter = new StallMeter();
  const runs = sequences.map((sequence) => new SequenceRun(sequence, stallMeter, coalesce));
  const times = await Promise.all(runs.map((run) => run.slowestChange()));
  stallMeter.stop();
  return times;
}

function rounded(times: readonly Milliseconds[]): string {
  const slowestFirst = [...times].sort((one, other) => other - one);
  return slowestFirst
    .slice(0, 5)
    .map((time) => Math.round(time))
    .join(', ');
}

t.test('a change arrives in time while relays of both regions fail in turn', async (t) => {
  const times = await slowestOf([...RELAYS_IN_TURN, ...RELAYS_IN_TURN, ...RELAYS_IN_TURN]);
  t.comment(`slowest of ${times.length}: ${rounded(times)} ms`);
  t.same(
    times.filter((time) => time >= CHANGE_BOUND),
    [],
  );
});

t.test(
  "a worker's change arrives in time while each node on the path collects changes",
  async (t) => {
    const sequences = [...RELAYS_IN_TURN, ...RELAYS_IN_TURN, ...RELAYS_IN_TURN];
    const times = await slowestOf(sequences, WORKER_COALESCE_TIME);
    t.comment(`slowest of ${times.length}: ${rounded(times)} ms`);
    t.same(
      times.filter((time) => time >= CHANGE_BOUND),
      [],
    );
  },
);

t.test('a change arrives in time whatever sequence of failures preceded it', async (t) => {
  const drawn = fc.sample(SEQUENCES, { seed: SEED, numRuns: BATCHES * SEQUENCES_PER_BATCH });
  const late: { readonly time: Milliseconds; readonly sequence: Sequence }[] = [];
  const all: Milliseconds[] = [];
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const sequences = drawn.slice(batch * SEQUENCES_PER_BATCH, (batch + 1) * SEQUENCES_PER_BATCH);
    const times = await slowestOf(sequences);
    all.push(...times);
    for (const [index, sequence] of sequences.entries()) {
      const time = times[index] ?? 0;
      if (time >= CHANGE_BOUND) late.push({ time, sequence });
    }
  }
  t.comment(`slowest of ${all.length}: ${rounded(all)} ms`);
  t.same(late, []);
});
