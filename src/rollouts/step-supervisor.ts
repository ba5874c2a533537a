/**
 * Decides which steps this node drives. The members of a step's replica group are ranked by
 * rendezvous hash; the first live one drives and says so to the others every half second. A member
 * that hears of no driver for a while, longer the lower its rank, takes the step over. A lower
 * ranked driver that hears of a higher ranked one stands back.
 */

import type { GroupRecord } from '../config-feed/configuration.js';
import { rendezvousOrder } from '../core/hashing.js';
import { identityKey, type ModelName, type NodeIdentity, sameIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { RolloutMessage } from './messages.js';
import { STEP_PREFIX, type StepRecord } from './records.js';
import { StepDriver } from './step-driver.js';
import type { StepPorts } from './step-ports.js';

/** Time between a driver's messages to the other members. */
const HEARTBEAT_INTERVAL: Milliseconds = 400;
/** Silence after which the first live member takes a step over. */
const SILENCE_LIMIT: Milliseconds = 1_300;
/** Further silence for each rank, so that members do not start together. */
const RANK_DELAY: Milliseconds = 300;
/** How often the registers are looked through for steps. */
const SCAN_INTERVAL: Milliseconds = 100;

interface KnownStep {
  readonly key: string;
  readonly firstSeen: Milliseconds;
  record: StepRecord;
  driver: StepDriver | null;
  /** When another member was last heard to drive it, or the step was first seen. */
  lastHeard: Milliseconds;
  /** Whether any member was ever known to drive it; until then the first one begins at once. */
  wasDriven: boolean;
  endedSince: Milliseconds | null;
}

/** The steps whose replica groups this node is a member of. */
export class StepSupervisor {
  private readonly steps = new Map<string, KnownStep>();
  private nextScan: Milliseconds = 0;
  private nextHeartbeat: Milliseconds = 0;

  constructor(private readonly ports: StepPorts) {}

  /** Keys of the steps this node drives now. */
  drivenSteps(): readonly string[] {
    return [...this.steps.values()]
      .filter((step) => step.driver !== null && !step.driver.isOver)
      .map((step) => step.key);
  }

  /** Samples of the steps this node drives now, by model. */
  drivenSamples(): ReadonlyMap<ModelName, number> {
    const samples = new Map<ModelName, number>();
    for (const { driver, record } of this.steps.values()) {
      if (driver === null || driver.isOver) continue;
      samples.set(record.model, (samples.get(record.model) ?? 0) + record.sampleCount);
    }
    return samples;
  }

  /** Takes in another member's message. */
  receive(from: NodeIdentity, message: RolloutMessage): void {
    for (const key of message.steps) this.heardDriver(from, key);
  }

  /** Looks for steps to drive, and drives them. */
  tick(): void {
    const now = this.ports.node.now();
    if (now >= this.nextScan) {
      this.nextScan = now + SCAN_INTERVAL;
      this.scan(now);
    }
    for (const step of this.steps.values()) this.tend(step, now);
    if (now >= this.nextHeartbeat) {
      this.nextHeartbeat = now + HEARTBEAT_INTERVAL;
      this.sendHeartbeats();
    }
  }

  /** Stops driving everything, so that other members take over. */
  abandonAll(): void {
    for (const step of this.steps.values()) {
      step.driver?.abandon();
      step.driver = null;
    }
  }

  private scan(now: Milliseconds): void {
    const present = new Set<string>();
    for (const { key, value } of this.ports.node.ledger.view.localEntries(STEP_PREFIX)) {
      if (value.kind !== 'step') continue;
      present.add(key);
      this.notice(key, value, now);
    }
    for (const step of this.steps.values()) {
      if (step.driver === null && !present.has(step.key)) this.steps.delete(step.key);
    }
  }

  private notice(key: string, record: StepRecord, now: Milliseconds): void {
    const known = this.steps.get(key);
    if (known === undefined) {
      const endedSince = record.state === 'open' ? null : now;
      const seen = { firstSeen: now, lastHeard: now, wasDriven: false };
      this.steps.set(key, { key, record, driver: null, endedSince, ...seen });
      return;
    }
    known.record = record;
    known.driver?.acknowledged(record.acknowledged);
    if (record.state !== 'open') known.endedSince ??= now;
  }

  private tend(step: KnownStep, now: Milliseconds): void {
    if (step.driver !== null) {
      step.driver.tick();
      if (step.driver.isOver) step.driver = null;
      return;
    }
    if (step.endedSince !== null) return;
    if (this.shouldDrive(step, now)) this.drive(step, now);
  }

  private shouldDrive(step: KnownStep, now: Milliseconds): boolean {
    const { node } = this.ports;
    if (node.isStopping() || !node.isConfirmed()) return false;
    const silence = now - step.lastHeard;
    if (step.wasDriven && silence < SILENCE_LIMIT) return false;
    const group = node.ledger.view.groupFor(step.record.intent, step.key);
    if (group === undefined) return false;
    if (!node.ledger.view.isActiveMember(step.record.intent, step.key)) return false;
    const rank = this.rankOf(node.self, step.key, group);
    if (rank === null) return false;
    if (!node.mechanisms['step-take-over']) return this.isFirstMember(step.key, group);
    if (rank === 0 && !step.wasDriven) return true;
    return silence >= SILENCE_LIMIT + rank * RANK_DELAY;
  }

  /** Place of a member among the live ones; `null` for others. */
  private rankOf(identity: NodeIdentity, key: string, group: GroupRecord): number | null {
    const live = group.members.filter((member) => this.isLive(member));
    const ordered = rendezvousOrder(key, live, identityKey);
    const rank = ordered.findIndex((member) => sameIdentity(member, identity));
    return rank < 0 ? null : rank;
  }

  private isLive(member: NodeIdentity): boolean {
    const { node } = this.ports;
    return sameIdentity(member, node.self) || node.isAlive(member);
  }

  private isFirstMember(key: string, group: GroupRecord): boolean {
    const first = rendezvousOrder(key, group.members, identityKey)[0];
    return first !== undefined && sameIdentity(first, this.ports.node.self);
  }

  private drive(step: KnownStep, now: Milliseconds): void {
    const { node } = this.ports;
    if (now - step.firstSeen > SILENCE_LIMIT) {
      node.counters.increment('steps_taken_over');
      node.stateChange('rollouts', 'step taken over', { step: step.key });
    }
    node.recordDecision(step.key, 'driven here', 'first live member of the replica group');
    const deadline = step.firstSeen + step.record.timeout;
    step.wasDriven = true;
    step.driver = new StepDriver(this.ports, step.key, step.record, deadline);
    step.driver.start();
    this.sendHeartbeats();
  }

  private heardDriver(from: NodeIdentity, key: string): void {
    const step = this.steps.get(key);
    if (step === undefined) return;
    step.lastHeard = this.ports.node.now();
    step.wasDriven = true;
    if (step.driver === null || !this.outranks(from, step)) return;
    this.ports.node.recordDecision(key, 'stood back', `${from.node} drives the step`);
    step.driver.abandon();
    step.driver = null;
  }

  private outranks(other: NodeIdentity, step: KnownStep): boolean {
    const { node } = this.ports;
    const group = node.ledger.view.groupFor(step.record.intent, step.key);
    if (group === undefined) return false;
    const ordered = rendezvousOrder(step.key, group.members, identityKey);
    const place = (identity: NodeIdentity): number =>
      ordered.findIndex((member) => sameIdentity(member, identity));
    return place(other) >= 0 && place(other) < place(node.self);
  }

  private sendHeartbeats(): void {
    const stepsByMember = new Map<string, { member: NodeIdentity; steps: string[] }>();
    for (const key of this.drivenSteps()) this.collectMembers(key, stepsByMember);
    for (const { member, steps } of stepsByMember.values()) {
      const body: RolloutMessage = { kind: 'steps-driven', steps };
      this.ports.node.send(member, { module: 'rollouts', body });
    }
  }

  private collectMembers(
    key: string,
    stepsByMember: Map<string, { member: NodeIdentity; steps: string[] }>,
  ): void {
    const step = this.steps.get(key);
    const { node } = this.ports;
    if (step === undefined) return;
    const group = node.ledger.view.groupFor(step.record.intent, key);
    for (const member of group?.members ?? []) {
      if (sameIdentity(member, node.self)) continue;
      const entry = stepsByMember.get(identityKey(member)) ?? { member, steps: [] };
      entry.steps.push(key);
      stepsByMember.set(identityKey(member), entry);
    }
  }
}
