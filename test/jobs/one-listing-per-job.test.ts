/**
 * Guards against a position of a job that is answered differently by two gateways, under any mix of
 * repeated submissions, store faults, partitions, restarts and lost disks.
 */
import * as fc from 'fast-check';
import t from 'tap';
import { AnswerRecord } from './answer-record.js';
import { step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

const ZONES = 3;
const NODES_PER_ZONE = 2;
const REPLICAS = 3;

/** Disks of a zone that may be lost before all is synced: one fewer than hold each entry. */
const MAX_LOST_DISKS = REPLICAS - 1;

type Mode = 'up' | 'refusing' | 'silent' | 'late-and-unanswered';

/** A submission at a node, and how the store serves that node from then on. */
interface Submission {
  readonly node: number;
  readonly mode: Mode;
}

type Action =
  /** The trainer's next step, handed in at several nodes at the same time. */
  | { readonly kind: 'next-step'; readonly submissions: readonly Submission[] }
  /** Reads a step at the nodes where it was submitted. */
  | { readonly kind: 'read-asked'; readonly back: number }
  /** All of a zone restarts, with some disks empty and perhaps one replica not yet back. */
  | {
      readonly kind: 'power-loss';
      readonly zone: number;
      readonly empty: readonly number[];
      readonly away: number | null;
    }
  | { readonly kind: 'submit'; readonly node: number; readonly back: number }
  | { readonly kind: 'read'; readonly node: number; readonly back: number }
  | { readonly kind: 'store'; readonly node: number; readonly mode: Mode }
  | { readonly kind: 'store-of-all'; readonly mode: 'up' | 'silent' }
  | { readonly kind: 'apply-late'; readonly node: number }
  | { readonly kind: 'partition'; readonly zone: number; readonly isCut: boolean }
  | { readonly kind: 'restart-node'; readonly node: number; readonly listed: number }
  | { readonly kind: 'restart-replica'; readonly replica: number; readonly disk: 'kept' | 'empty' }
  | { readonly kind: 'replica-away'; readonly replica: number; readonly isAway: boolean }
  | { readonly kind: 'pass'; readonly duration: number };

/** Index of a node; the first node of each zone more often, so that nodes get several steps. */
const node = fc.constantFrom(0, 0, 0, 2, 2, 2, 4, 4, 1, 3, 5);
const replica = fc.nat(ZONES * REPLICAS - 1);
/** How many steps before the trainer's current one; a caller may still repeat the last one. */
const back = fc.constantFrom(0, 0, 0, 1);
const MODE: fc.Arbitrary<Mode> = fc.constantFrom(
  'up',
  'up',
  'refusing',
  'silent',
  'late-and-unanswered',
);
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submit' as const), node, back }) },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('next-step' as const),
      submissions: fc.array(fc.record({ node, mode: MODE }), { minLength: 1, maxLength: 3 }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('read-asked' as const), back }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('power-loss' as const),
      zone: fc.nat(ZONES - 1),
      empty: fc.subarray([...Array(REPLICAS).keys()], { maxLength: MAX_LOST_DISKS }),
      away: fc.option(fc.nat(REPLICAS - 1)),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('read' as const), node, back }) },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('store' as const),
      node,
      mode: MODE,
    }),
  },
  fc.record({
    kind: fc.constant('store-of-all' as const),
    mode: fc.constantFrom('up' as const, 'silent' as const),
  }),
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('apply-late' as const), node }) },
  fc.record({
    kind: fc.constant('partition' as const),
    zone: fc.nat(ZONES - 1),
    isCut: fc.boolean(),
  }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restart-node' as const),
      node,
      listed: fc.constantFrom(REPLICAS, REPLICAS, REPLICAS - 1, 0),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restart-replica' as const),
      replica,
      disk: fc.constantFrom('kept' as const, 'empty' as const),
    }),
  },
  fc.record({ kind: fc.constant('replica-away' as const), replica, isAway: fc.boolean() }),
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      duration: fc.constantFrom(50, 300, 1_000, 2_500),
    }),
  },
);

/** A trainer whose current step is handed in at any nodes, while calls before are under way. */
class World {
  readonly accepted = new Set<string>();
  private readonly nodes: ZoneNode[] = [];
  /** Nodes at which a step was submitted. */
  private readonly askedNodes = new Map<number, Set<ZoneNode>>();
  private readonly lostDisks = new Map<string, Set<string>>();
  private readonly record: AnswerRecord;
  private currentStep = 0;

  constructor(private readonly zones: ZonesWithStore) {
    this.record = new AnswerRecord(zones);
    for (const zone of zones.zones.keys()) {
      for (let each = 0; each < NODES_PER_ZONE; each += 1) this.nodes.push(zones.start(zone));
    }
  }

  async perform(action: Action): Promise<void> {
    const { zones } = this;
    if (action.kind === 'submit') this.submit(this.nodeAt(action.node), this.stepBefore(action));
    else if (action.kind === 'next-step') this.submitNextStep(action.submissions);
    else if (action.kind === 'read-asked') await this.readAsked(this.stepBefore(action));
    else if (action.kind === 'power-loss') {
      await this.losePower(action.zone, action.empty, action.away);
    } else if (action.kind === 'read') {
      await this.record.read(this.nodeAt(action.node), jobOf(this.stepBefore(action)));
    } else if (action.kind === 'store') zones.setStore(action.mode, this.nodeAt(action.node));
    else if (action.kind === 'store-of-all') zones.setStore(action.mode, ...this.nodes);
    else if (action.kind === 'apply-late') await this.nodeAt(action.node).port.applyLateCommits();
    else if (action.kind === 'partition') this.partition(action.zone, action.isCut);
    else if (action.kind === 'restart-node') this.restartNode(action.node, action.listed);
    else if (action.kind === 'restart-replica') {
      await this.restartReplica(action.replica, action.disk);
    } else if (action.kind === 'replica-away') this.setAway(action.replica, action.isAway);
    else await zones.run(action.duration);
  }

  /**
   * Ends all faults and has nodes that were not asked before read everything. Returns what differs
   * from earlier answers, and the accepted jobs that are not found.
   */
  async contradictions(): Promise<string[]> {
    const { zones, record } = this;
    await zones.heal();
    const readers = [...zones.zones.keys()].map((zone) => zones.start(zone));
    const contradictions = await record.contradictionsAt([...readers, ...zones.live()]);
    for (const job of this.accepted) {
      for (const reader of readers) {
        const read = await zones.read(reader, job);
        if ('failure' in read) contradictions.push(`${job}: accepted, then ${read.failure}`);
      }
    }
    return contradictions;
  }

  private submitNextStep(submissions: readonly Submission[]): void {
    this.currentStep += 1;
    for (const { node: index, mode } of submissions) {
      this.zones.setStore(mode, this.nodeAt(index));
      this.submit(this.nodeAt(index), this.currentStep);
    }
  }

  private async readAsked(number: number): Promise<void> {
    const asked = [...(this.askedNodes.get(number) ?? [])];
    const live = new Set(this.zones.live());
    for (const at of asked) if (live.has(at)) await this.record.read(at, jobOf(number));
  }

  private async losePower(
    zone: number,
    empty: readonly number[],
    away: number | null,
  ): Promise<void> {
    const first = zone * NODES_PER_ZONE;
    for (let each = 0; each < NODES_PER_ZONE; each += 1) this.restartNode(first + each, REPLICAS);
    for (let each = 0; each < REPLICAS; each += 1) {
      const index = zone * REPLICAS + each;
      await this.restartReplica(index, empty.includes(each) ? 'empty' : 'kept');
      this.setAway(index, away === each);
    }
  }

  private submit(at: ZoneNode, number: number): void {
    const asked = this.askedNodes.get(number) ?? new Set<ZoneNode>();
    this.askedNodes.set(number, asked.add(at));
    void this.zones.submit(at, step(jobOf(number), number)).then((answer) => {
      if (answer === 'accepted') this.accepted.add(jobOf(number));
    });
  }

  private stepBefore(action: { readonly back: number }): number {
    return Math.max(0, this.currentStep - action.back);
  }

  private nodeAt(index: number): ZoneNode {
    return this.nodes[index] as ZoneNode;
  }

  private partition(index: number, isCut: boolean): void {
    const zone = `zone-${index + 1}`;
    if (isCut) this.zones.partitioned.add(zone);
    else this.zones.partitioned.delete(zone);
  }

  /** Ends a node and starts another one, which lists only some of its zone's replicas. */
  private restartNode(index: number, listed: number): void {
    const { zone } = this.nodeAt(index);
    this.zones.end(this.nodeAt(index));
    const addresses = this.zones.zone(zone).addresses.slice(0, listed);
    this.nodes[index] = this.zones.start(
      zone,
      (location) => location.zone !== zone || addresses.includes(location.address),
    );
  }

  private async restartReplica(index: number, disk: 'kept' | 'empty'): Promise<void> {
    const { zone, address } = this.replicaAt(index);
    const lost = this.lostDisks.get(zone) ?? new Set<string>();
    this.lostDisks.set(zone, lost);
    const mayLose = lost.has(address) || lost.size < MAX_LOST_DISKS;
    const isLost = disk === 'empty' && mayLose;
    if (isLost) lost.add(address);
    await this.zones.restartReplica(address, isLost ? 'empty' : 'kept');
  }

  private setAway(index: number, isAway: boolean): void {
    const { zone, address } = this.replicaAt(index);
    const { unreachable } = this.zones.zone(zone);
    if (isAway) unreachable.add(address);
    else unreachable.delete(address);
  }

  private replicaAt(index: number): { readonly zone: string; readonly address: string } {
    const zone = `zone-${Math.floor(index / REPLICAS) + 1}`;
    const address = this.zones.zone(zone).addresses[index % REPLICAS] ?? '';
    return { zone, address };
  }
}

const jobOf = (number: number): string => `step-${number}`;

/** Steps that nodes accept before the faults, and the actions that follow. */
interface Sequence {
  readonly earlier: readonly number[];
  readonly actions: readonly Action[];
}

const SEQUENCE: fc.Arbitrary<Sequence> = fc.record({
  earlier: fc.array(node, { minLength: 1, maxLength: 4 }),
  actions: fc.array(ACTION, { minLength: 12, maxLength: 40 }),
});

/** Performs a sequence in fresh zones; returns what readers got that contradicts earlier answers. */
async function contradictionsAfter({ earlier, actions }: Sequence): Promise<string[]> {
  const cleanups: (() => unknown)[] = [];
  const scope = { teardown: (cleanup: () => unknown) => void cleanups.push(cleanup) };
  const zones = await ZonesWithStore.open(scope as Pick<typeof t, 'teardown'>, ZONES);
  try {
    const world = new World(zones);
    for (const index of earlier) {
      await world.perform({ kind: 'next-step', submissions: [{ node: index, mode: 'up' }] });
      await zones.run(500);
    }
    for (const action of actions) await world.perform(action);
    return await world.contradictions();
  } finally {
    await zones.close();
    for (const cleanup of cleanups) await cleanup();
  }
}

t.test('every position of a job is answered alike by all gateways', async (t) => {
  const property = fc.asyncProperty(SEQUENCE, async (sequence) => {
    const contradictions = await contradictionsAfter(sequence);
    if (contradictions.length > 0) throw new Error(contradictions.join('\n'));
  });
  // The seed and the path of a failed run are in the message.
  await fc.assert(property, { seed: 51, numRuns: 30, endOnFailure: true });
  t.pass('no answer was contradicted');
});
