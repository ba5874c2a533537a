/** A trainer, and the faults that happen while it hands in its steps at nodes of several zones. */
import type { Milliseconds } from '../../src/core/units.js';
import { AnswerRecord } from './answer-record.js';
import { isEmpty, noteDraining } from './replica-drains.js';
import { step } from './zone-trainer.js';
import type { ZoneNode, ZonesWithStore } from './zones-with-store.js';

export const ZONES = 3;
export const NODES_PER_ZONE = 2;
export const REPLICAS = 3;

/** Disks of a zone that may be lost before all is synced: one fewer than hold each entry. */
export const MAX_LOST_DISKS = REPLICAS - 1;

/** How the store serves a node. */
export type Mode = 'up' | 'refusing' | 'silent' | 'late-and-unanswered';

/** A submission at a node, and how the store serves that node from then on. */
export interface Submission {
  readonly node: number;
  readonly mode: Mode;
  /** Time for which the caller waits. @default the usual one */
  readonly patience?: Milliseconds | undefined;
}

/** What happens next. */
export type Action =
  /** The trainer's next step, handed in at several nodes at the same time. */
  | { readonly kind: 'next-step'; readonly submissions: readonly Submission[] }
  /** Reads a step at the nodes where it was submitted. */
  | { readonly kind: 'read-asked'; readonly back: number }
  /**
   * A step that a node accepts while the store is silent for it, then a loss of all power in its
   * zone, then the same step at another node.
   */
  | {
      readonly kind: 'loss-after-acceptance';
      readonly node: number;
      readonly other: number;
      readonly empty: readonly number[];
      readonly away: number | null;
    }
  /** All of a zone restarts, with some disks empty and perhaps one replica not yet back. */
  | {
      readonly kind: 'power-loss';
      readonly zone: number;
      readonly empty: readonly number[];
      readonly away: number | null;
    }
  | {
      readonly kind: 'submit';
      readonly node: number;
      readonly back: number;
      readonly patience?: Milliseconds | undefined;
    }
  | { readonly kind: 'read'; readonly node: number; readonly back: number }
  | { readonly kind: 'store'; readonly node: number; readonly mode: Mode }
  | { readonly kind: 'store-of-all'; readonly mode: 'up' | 'silent' }
  | { readonly kind: 'apply-late'; readonly node: number }
  | { readonly kind: 'partition'; readonly zone: number; readonly isCut: boolean }
  | { readonly kind: 'restart-node'; readonly node: number; readonly listed: number }
  | { readonly kind: 'restart-replica'; readonly replica: number; readonly disk: 'kept' | 'empty' }
  | { readonly kind: 'replica-away'; readonly replica: number; readonly isAway: boolean }
  /** A machine is drained, checked by one node, and replaced once it is empty. */
  | {
      readonly kind: 'drain';
      readonly replica: number;
      readonly coordinator: number;
      /** Nodes that have learned of the drain. */
      readonly informed: readonly number[];
    }
  | { readonly kind: 'pass'; readonly duration: number };

/** A trainer whose current step is handed in at any nodes, while calls before are under way. */
export class World {
  readonly accepted = new Set<string>();
  /** Submissions of each job, and how many of them were rejected as not run. */
  private readonly submissions = new Map<string, { total: number; notRun: number }>();
  private readonly nodes: ZoneNode[] = [];
  /** Nodes at which a step was submitted. */
  private readonly askedNodes = new Map<number, Set<ZoneNode>>();
  private readonly lostDisks = new Map<string, Set<string>>();
  private readonly record: AnswerRecord;
  private currentStep = 0;
  /** Drained machines that were empty. */
  replacedDisks = 0;

  constructor(private readonly zones: ZonesWithStore) {
    this.record = new AnswerRecord(zones);
    for (const zone of zones.zones.keys()) {
      for (let each = 0; each < NODES_PER_ZONE; each += 1) this.nodes.push(zones.start(zone));
    }
  }

  async perform(action: Action): Promise<void> {
    const { zones } = this;
    if (action.kind === 'submit') {
      this.submit(this.nodeAt(action.node), this.stepBefore(action), action.patience);
    } else if (action.kind === 'next-step') this.submitNextStep(action.submissions);
    else if (action.kind === 'read-asked') await this.readAsked(this.stepBefore(action));
    else if (action.kind === 'loss-after-acceptance') {
      for (const part of partsOf(action)) await this.perform(part);
    } else if (action.kind === 'power-loss') {
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
    else if (action.kind === 'drain') await this.drain(action);
    else await zones.run(action.duration);
  }

  /**
   * Ends all faults and has nodes that were not asked before read everything. Returns what differs
   * from earlier answers, the accepted jobs that are not found, and the jobs that are found though
   * each submission was rejected as not run.
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
    for (const [job, { total, notRun }] of this.submissions) {
      if (total > notRun) continue;
      const read = await zones.read(readers[0] as ZoneNode, job);
      if (!('failure' in read)) contradictions.push(`${job}: rejected as not run, then accepted`);
    }
    return contradictions;
  }

  private submitNextStep(submissions: readonly Submission[]): void {
    this.currentStep += 1;
    for (const { node: index, mode, patience } of submissions) {
      this.zones.setStore(mode, this.nodeAt(index));
      this.submit(this.nodeAt(index), this.currentStep, patience);
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

  private submit(at: ZoneNode, number: number, patience?: Milliseconds): void {
    const counts = this.submissions.get(jobOf(number)) ?? { total: 0, notRun: 0 };
    this.submissions.set(jobOf(number), counts);
    counts.total += 1;
    const asked = this.askedNodes.get(number) ?? new Set<ZoneNode>();
    this.askedNodes.set(number, asked.add(at));
    void this.zones.submit(at, step(jobOf(number), number), patience).then((answer) => {
      if (answer === 'accepted') this.accepted.add(jobOf(number));
      if (answer === 'ledger_unavailable') counts.notRun += 1;
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

  /** The disk of a machine that was reported as empty does not count as lost. */
  private async drain(action: Extract<Action, { kind: 'drain' }>): Promise<void> {
    const { address } = this.replicaAt(action.replica);
    const coordinator = this.nodeAt(action.coordinator);
    const informed = action.informed.map((index) => this.nodeAt(index));
    noteDraining(address, [coordinator, ...informed]);
    if (!(await isEmpty(this.zones, coordinator, address))) return;
    this.replacedDisks += 1;
    await this.zones.restartReplica(address, 'empty');
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

/** Time in which a node accepts a step and lists its results. */
const LISTING_TIME = 1_000;

function partsOf(action: Extract<Action, { kind: 'loss-after-acceptance' }>): readonly Action[] {
  const { node, other, empty, away } = action;
  const zone = Math.floor(node / NODES_PER_ZONE);
  const pass = { kind: 'pass', duration: LISTING_TIME } as const;
  return [
    { kind: 'next-step', submissions: [{ node, mode: 'silent' }] },
    ...[pass, { kind: 'read-asked', back: 0 } as const],
    { kind: 'power-loss', zone, empty, away },
    { kind: 'submit', node: other, back: 0 },
    ...[pass, { kind: 'read', node: other, back: 0 } as const],
  ];
}

const jobOf = (number: number): string => `step-${number}`;
