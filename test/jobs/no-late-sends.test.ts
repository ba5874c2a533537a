/**
 * Guards against an item that is sent long after the end of its job was acknowledged, by any node
 * whose lease is renewed, under any mix of store faults of single nodes, partitions and restarts.
 */
import * as fc from 'fast-check';
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { takeOverOrphans } from './orphan-takeover.js';
import { SendRecorder } from './send-recorder.js';
import type { StorePortMode } from './store-port.js';
import { step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** Items may reach workers for this long after the cancellation of their job. */
const MAX_SEND_DELAY: Milliseconds = 3_000;

const ZONES = 2;
const REPLICAS = 3;
/** Zones of the nodes. */
const NODE_ZONES = ['zone-1', 'zone-1', 'zone-2'] as const;

type Action =
  | { readonly kind: 'submit'; readonly node: number }
  | { readonly kind: 'finish-item' }
  /** A cancellation by a zone that does not reach the job's owner, while the store is faulty for it. */
  | {
      readonly kind: 'cancel-unnoticed';
      readonly owner: number;
      readonly mode: StorePortMode;
      readonly isItemFinished: boolean;
    }
  | { readonly kind: 'cancel'; readonly node: number; readonly back: number }
  | { readonly kind: 'store'; readonly node: number; readonly mode: StorePortMode }
  | { readonly kind: 'apply-late'; readonly node: number }
  | { readonly kind: 'lease'; readonly node: number; readonly isLost: boolean }
  | { readonly kind: 'partition'; readonly zone: number; readonly isCut: boolean }
  | { readonly kind: 'replica'; readonly replica: number; readonly isAway: boolean }
  | { readonly kind: 'take-over'; readonly node: number; readonly back: number }
  | { readonly kind: 'restart'; readonly node: number }
  | { readonly kind: 'pass'; readonly duration: Milliseconds };

const node = fc.constantFrom(0, 0, 1, 2);
const back = fc.constantFrom(0, 0, 0, 1);
const kind = <Kind extends Action['kind']>(name: Kind) => fc.constant(name);
const MODE: fc.Arbitrary<StorePortMode> = fc.constantFrom(
  ...(['up', 'up', 'slow', 'refusing', 'silent', 'late-and-unanswered'] as const),
  ...(['commits-unanswered', 'reads-refusing', 'reads-silent', 'keys-silent'] as const),
);
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: kind('submit'), node }) },
  { weight: 3, arbitrary: fc.record({ kind: kind('finish-item') }) },
  { weight: 4, arbitrary: fc.record({ kind: kind('cancel'), node, back }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: kind('cancel-unnoticed'),
      ...{ owner: fc.constantFrom(0, 0, 1), mode: MODE, isItemFinished: fc.boolean() },
    }),
  },
  { weight: 8, arbitrary: fc.record({ kind: kind('store'), node, mode: MODE }) },
  fc.record({ kind: kind('apply-late'), node }),
  fc.record({ kind: kind('lease'), node, isLost: fc.boolean() }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind('partition'),
      zone: fc.integer({ min: 1, max: ZONES }),
      isCut: fc.boolean(),
    }),
  },
  fc.record({ kind: kind('replica'), replica: fc.nat(REPLICAS - 1), isAway: fc.boolean() }),
  { weight: 2, arbitrary: fc.record({ kind: kind('take-over'), node, back }) },
  fc.record({ kind: kind('restart'), node }),
  {
    weight: 8,
    arbitrary: fc.record({
      kind: kind('pass'),
      duration: fc.constantFrom(50, 300, 1_000, 2_500, 5_000),
    }),
  },
);

interface Sequence {
  readonly hasJournals: boolean;
  readonly actions: readonly Action[];
}

const SEQUENCE: fc.Arbitrary<Sequence> = fc.record({
  hasJournals: fc.constantFrom(true, true, true, false),
  actions: fc.array(ACTION, { minLength: 6, maxLength: 20 }),
});

/** A step whose items have ids of their own. */
function stepOf(number: number): JobSpecification {
  const spec = step(jobOf(number), number);
  return { ...spec, items: spec.items.map((item) => ({ ...item, id: `${spec.id}/${item.id}` })) };
}

function jobOf(number: number): string {
  return `job-${number}`;
}

/** Nodes that run a trainer's jobs, and when the ends of the jobs were acknowledged. */
class World {
  private readonly nodes: ZoneNode[] = [];
  private readonly engines: SendRecorder[] = [];
  private readonly cancelledAt = new Map<string, Milliseconds>();
  private current = -1;

  constructor(private readonly zones: ZonesWithStore) {
    for (const zone of NODE_ZONES) this.nodes.push(this.start(zone));
  }

  async perform(action: Action): Promise<void> {
    const { zones } = this;
    if (action.kind === 'submit') this.submit(this.nodeAt(action.node));
    else if (action.kind === 'finish-item') this.finishItem();
    else if (action.kind === 'cancel-unnoticed') {
      for (const part of partsOf(action)) await this.perform(part);
    } else if (action.kind === 'cancel') this.cancel(this.nodeAt(action.node), this.jobAt(action));
    else if (action.kind === 'store') zones.setStore(action.mode, this.nodeAt(action.node));
    else if (action.kind === 'apply-late') await this.nodeAt(action.node).port.applyLateCommits();
    else if (action.kind === 'lease') {
      toggle(zones.withoutLease, this.nodeAt(action.node), action.isLost);
    } else if (action.kind === 'partition') {
      toggle(zones.partitioned, `zone-${action.zone}`, action.isCut);
    } else if (action.kind === 'replica') {
      const { addresses, unreachable } = zones.zone('zone-1');
      const address = addresses[action.replica];
      if (address !== undefined) toggle(unreachable, address, action.isAway);
    } else if (action.kind === 'take-over') {
      await this.takeOver(this.nodeAt(action.node), this.jobAt(action));
    } else if (action.kind === 'restart') await this.restart(action.node);
    else await zones.run(action.duration);
  }

  /** Ends all faults; returns the items that were sent too late by nodes with leases. */
  async lateSends(): Promise<string[]> {
    await this.zones.run(MAX_SEND_DELAY);
    await this.zones.heal();
    const sends = this.engines.flatMap((engine) => engine.sends);
    const late = sends.filter(({ id, at, hasLease }) => {
      const cancelledAt = this.cancelledAt.get(id.split('/')[0] ?? '');
      return hasLease && cancelledAt !== undefined && at > cancelledAt + MAX_SEND_DELAY;
    });
    return late.map(({ id, at }) => `${id} at ${at}`);
  }

  private start(zone: string): ZoneNode {
    const hasLease = (): boolean => !['silent', 'refusing'].includes(started.port.mode);
    const engine = new SendRecorder(this.zones.clock, hasLease);
    const started = this.zones.start(zone, undefined, engine);
    this.engines.push(engine);
    return started;
  }

  private submit(at: ZoneNode): void {
    this.current += 1;
    void this.zones.submit(at, stepOf(this.current));
  }

  /** Has one more item of the current step completed when it is sent next. */
  private finishItem(): void {
    const items = this.current < 0 ? [] : stepOf(this.current).items;
    for (const { completing } of this.engines) {
      const next = items.find(({ id }) => !completing.has(id));
      // The last item stays unfinished, so that the job stays open.
      if (next !== undefined && next !== items.at(-1)) completing.add(next.id);
    }
  }

  private cancel(at: ZoneNode, job: string): void {
    const limit = this.zones.clock.now() + 4_000;
    const isStillNeeded = (): boolean => this.zones.clock.now() < limit;
    void at.service.cancel(job, UNRESTRICTED, isStillNeeded).then((failure) => {
      if (failure !== undefined || this.cancelledAt.has(job)) return;
      this.cancelledAt.set(job, this.zones.clock.now());
    });
  }

  private async takeOver(at: ZoneNode, job: string): Promise<void> {
    const read = await new JobStore(this.zones.store, this.zones.clock).head(job);
    if (read.kind === 'found') void at.service.takeOver(job, read.value, true);
  }

  private async restart(index: number): Promise<void> {
    const ended = this.nodeAt(index);
    this.zones.end(ended);
    this.nodes[index] = this.start(ended.zone);
    await this.zones.run(50);
    await takeOverOrphans(this.zones);
  }

  private nodeAt(index: number): ZoneNode {
    return this.nodes[index] as ZoneNode;
  }

  private jobAt({ back: steps }: { readonly back: number }): string {
    return jobOf(Math.max(0, this.current - steps));
  }
}

function partsOf(action: Extract<Action, { kind: 'cancel-unnoticed' }>): Action[] {
  const { owner, mode, isItemFinished } = action;
  const finished: Action[] = isItemFinished ? [{ kind: 'finish-item' }] : [];
  return [
    { kind: 'submit', node: owner },
    { kind: 'pass', duration: 1_000 },
    { kind: 'store', node: owner, mode },
    ...finished,
    { kind: 'pass', duration: 300 },
    { kind: 'partition', zone: 2, isCut: true },
    { kind: 'cancel', node: 2, back: 0 },
    { kind: 'pass', duration: 5_000 },
    { kind: 'partition', zone: 2, isCut: false },
  ];
}

function toggle<Value>(set: Set<Value>, value: Value, isMember: boolean): void {
  if (isMember) set.add(value);
  else set.delete(value);
}

/** Performs a sequence in fresh zones; returns the items that were sent too late. */
async function lateSendsOf({ hasJournals, actions }: Sequence): Promise<string[]> {
  const cleanups: (() => unknown)[] = [];
  const scope = { teardown: (cleanup: () => unknown) => void cleanups.push(cleanup) };
  const replicas = hasJournals ? REPLICAS : 0;
  const zones = await ZonesWithStore.open(scope as Pick<typeof t, 'teardown'>, ZONES, replicas);
  try {
    const world = new World(zones);
    await world.perform({ kind: 'submit', node: 0 });
    await zones.run(500);
    for (const action of actions) await world.perform(action);
    return await world.lateSends();
  } finally {
    await zones.close();
    for (const cleanup of cleanups) await cleanup();
  }
}

t.test('no item is sent long after the acknowledged end of its job', async (t) => {
  const property = fc.asyncProperty(SEQUENCE, async (sequence) => {
    const late = await lateSendsOf(sequence);
    if (late.length > 0) throw new Error(late.slice(0, 5).join('\n'));
  });
  // The seed and the path of a failed run are in the message.
  const { SEED = '7', RUNS = '20' } = process.env;
  await fc.assert(property, { seed: Number(SEED), numRuns: Number(RUNS), endOnFailure: true });
  t.pass('no item was sent late');
});
