/**
 * Probing inside a zone: direct and indirect pings, suspicion and death. Only a node that itself
 * failed to reach a suspect, and kept failing until its suspicion timeout, declares it dead; so a
 * refutation has to reach that node alone in time. As in Lifeguard (Dadgar, Phillips and Currey,
 * 2018), a node that hears nothing from its helpers doubts itself first.
 */
import type { NodeId, NodeRecord } from '../core/identity.js';
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { MemberTable } from './member-table.js';
import type { EffectList } from './membership-effects.js';
import type { MembershipTiming } from './membership-options.js';
import type { Gossip, MemberUpdate } from './messages.js';
import { ProbeOrder } from './probe-order.js';

/** Rounds without any answer from helpers after which a target is suspected all the same. */
const SELF_DOUBT_ROUNDS = 2;

/** Share by which the time between probes is spread both ways. */
const PROBE_JITTER = 0.1;

interface Probe {
  readonly target: NodeRecord;
  readonly sequence: number;
  /** When the present stage ends. */
  deadline: Milliseconds;
  stage: 'direct' | 'indirect';
  helpersAsked: number;
  helpersAnswered: number;
}

interface Suspicion {
  readonly target: NodeRecord;
  readonly refutation: number;
  readonly deadline: Milliseconds;
  nextProbeAt: Milliseconds;
}

interface RelayedPing {
  readonly requester: NodeRecord;
  readonly requesterSequence: number;
  readonly deadline: Milliseconds;
}

/** What the prober asks of its owner. */
export interface ProberHost {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly table: MemberTable;
  readonly effects: EffectList;
  /** Gossip for a message to a peer. */
  gossipFor(peer: NodeRecord, now: Milliseconds): Gossip;
  /** Treats a member as dead without telling anyone. */
  assumeDead(update: MemberUpdate): void;
  /** Takes in an update made by this node. */
  apply(update: MemberUpdate, now: Milliseconds): void;
}

/** Probes the members of the own zone. */
export class Prober {
  private sequence = 0;
  private nextProbeAt: Milliseconds = 0;
  private readonly probes = new Map<number, Probe>();
  private readonly suspicions = new Map<NodeId, Suspicion>();
  private readonly relayed = new Map<number, RelayedPing>();
  private selfDoubt = 0;
  private heardAt: Milliseconds = 0;
  private readonly probeOrder: ProbeOrder;

  constructor(private readonly host: ProberHost) {
    this.probeOrder = new ProbeOrder(host.self, host.table, host.random);
  }

  /** Drops what a frozen node had begun. */
  reset(now: Milliseconds): void {
    this.probes.clear();
    this.suspicions.clear();
    this.relayed.clear();
    this.nextProbeAt = now;
    this.heardAt = now;
  }

  /** Number the next ping will carry. */
  nextSequence(): number {
    return this.sequence + 1;
  }

  /** Moves running probes and suspicions on, and starts the next probe when it is due. */
  tick(now: Milliseconds): void {
    this.advanceProbes(now);
    this.advanceSuspicions(now);
    this.expireRelayed(now);
    if (now < this.nextProbeAt) return;
    this.nextProbeAt = now + jittered(this.host.random, this.interval(), PROBE_JITTER);
    const target = this.probeOrder.next();
    if (target !== undefined) this.startProbe(target, now);
  }

  /** Sends one ping outside the usual order, such as to be confirmed. */
  ping(target: NodeRecord, now: Milliseconds): void {
    this.sequence += 1;
    this.sendPing(target, this.sequence, now);
  }

  /** Any message from a member shows that it is there. */
  heardFrom(node: NodeId, now: Milliseconds): void {
    this.heardAt = now;
    this.suspicions.delete(node);
  }

  /** Pings a target on behalf of a member that got no answer from it. */
  pingRequested(from: NodeRecord, sequence: number, target: NodeRecord, now: Milliseconds): void {
    this.sequence += 1;
    this.relayed.set(this.sequence, {
      requester: from,
      requesterSequence: sequence,
      deadline: now + this.host.timing.directTimeout,
    });
    this.sendPing(target, this.sequence, now);
  }

  /** A ping was answered: ends its probe, or passes the answer on to whoever asked for the ping. */
  acknowledged(sequence: number, now: Milliseconds): void {
    const relayed = this.relayed.get(sequence);
    if (relayed !== undefined) {
      this.relayed.delete(sequence);
      const gossip = this.host.gossipFor(relayed.requester, now);
      const answer = { kind: 'acknowledge', sequence: relayed.requesterSequence, gossip } as const;
      this.host.effects.send(relayed.requester, answer);
      return;
    }
    const probe = this.probes.get(sequence);
    if (probe === undefined) return;
    this.probes.delete(sequence);
    this.suspicions.delete(probe.target.node);
    this.selfDoubt = 0;
  }

  /** A helper is there but got no answer from the target either. */
  negativelyAcknowledged(sequence: number): void {
    const probe = this.probes.get(sequence);
    if (probe !== undefined) probe.helpersAnswered += 1;
  }

  private interval(): Milliseconds {
    const { probeInterval, largestProbeInterval, smallZone } = this.host.timing;
    const size = this.host.table.presentInZone(this.host.self.zone).length;
    return Math.max(
      probeInterval,
      Math.min(largestProbeInterval, (probeInterval * size) / smallZone),
    );
  }

  private startProbe(target: NodeRecord, now: Milliseconds): void {
    this.sequence += 1;
    this.probes.set(this.sequence, {
      target,
      sequence: this.sequence,
      deadline: now + this.host.timing.directTimeout,
      stage: 'direct',
      helpersAsked: 0,
      helpersAnswered: 0,
    });
    this.sendPing(target, this.sequence, now);
  }

  private sendPing(target: NodeRecord, sequence: number, now: Milliseconds): void {
    const gossip = this.host.gossipFor(target, now);
    this.host.effects.send(target, { kind: 'ping', sequence, gossip });
  }

  private advanceProbes(now: Milliseconds): void {
    for (const probe of this.probes.values()) {
      if (now < probe.deadline) continue;
      if (probe.stage === 'direct') this.askHelpers(probe, now);
      else this.probeFailed(probe, now);
    }
  }

  private askHelpers(probe: Probe, now: Milliseconds): void {
    probe.stage = 'indirect';
    probe.deadline = now + this.host.timing.indirectTimeout;
    const helpers = this.chooseHelpers(probe.target.node);
    probe.helpersAsked = helpers.length;
    for (const helper of helpers) this.sendPingRequest(helper, probe.sequence, probe.target, now);
    this.sendPing(probe.target, probe.sequence, now);
  }

  private sendPingRequest(
    helper: NodeRecord,
    sequence: number,
    target: NodeRecord,
    now: Milliseconds,
  ): void {
    const gossip = this.host.gossipFor(helper, now);
    this.host.effects.send(helper, { kind: 'ping-request', sequence, target, gossip });
  }

  private chooseHelpers(targetNode: NodeId): NodeRecord[] {
    const candidates = this.probeOrder.peers().filter((record) => record.node !== targetNode);
    const helpers: NodeRecord[] = [];
    while (helpers.length < this.host.timing.helpers && candidates.length > 0) {
      const chosen = this.host.random.integer(candidates.length);
      helpers.push(...candidates.splice(chosen, 1));
    }
    return helpers;
  }

  private probeFailed(probe: Probe, now: Milliseconds): void {
    this.probes.delete(probe.sequence);
    const unheard = probe.helpersAsked > 0 && probe.helpersAnswered === 0;
    if (unheard && this.selfDoubt < SELF_DOUBT_ROUNDS) {
      this.selfDoubt += 1;
      return;
    }
    this.suspect(probe.target, now);
  }

  private suspect(target: NodeRecord, now: Milliseconds): void {
    const current = this.host.table.find(target.node);
    if (current === undefined || current.state === 'dead') return;
    if (current.record.incarnation !== target.incarnation) return;
    if (this.suspicions.has(target.node)) return;
    this.suspicions.set(target.node, {
      target,
      refutation: current.refutation,
      deadline: now + this.host.timing.suspicionTimeout,
      nextProbeAt: now,
    });
    if (current.state === 'alive') this.host.apply({ ...current, state: 'suspect' }, now);
  }

  private advanceSuspicions(now: Milliseconds): void {
    for (const [node, suspicion] of this.suspicions) {
      const current = this.host.table.find(node);
      if (current === undefined || this.isOutdated(suspicion, current)) {
        this.suspicions.delete(node);
      } else if (now >= suspicion.deadline) {
        this.suspicions.delete(node);
        this.declareDead(current, now);
      } else if (now >= suspicion.nextProbeAt) {
        suspicion.nextProbeAt = now + this.host.timing.suspectProbeInterval;
        this.probeSuspect(suspicion.target, now);
      }
    }
  }

  /** A node that hears from nobody is more likely cut off than alone; it keeps that to itself. */
  private declareDead(update: MemberUpdate, now: Milliseconds): void {
    const isCutOff = now - this.heardAt > this.host.timing.isolationTimeout;
    const hasOthers = this.probeOrder.peers().length > 1 || this.host.table.zones().length > 1;
    if (isCutOff && hasOthers) this.host.assumeDead(update);
    else this.host.apply({ ...update, state: 'dead' }, now);
  }

  private isOutdated(suspicion: Suspicion, current: MemberUpdate): boolean {
    return (
      current.state === 'dead' ||
      current.record.incarnation !== suspicion.target.incarnation ||
      current.refutation > suspicion.refutation
    );
  }

  /** Asks the suspect directly and through fresh helpers; its answer carries the refutation. */
  private probeSuspect(target: NodeRecord, now: Milliseconds): void {
    this.startProbe(target, now);
    const sequence = this.sequence;
    for (const helper of this.chooseHelpers(target.node)) {
      this.sendPingRequest(helper, sequence, target, now);
    }
  }

  private expireRelayed(now: Milliseconds): void {
    for (const [sequence, relayed] of this.relayed) {
      if (now < relayed.deadline) continue;
      this.relayed.delete(sequence);
      const answer = { kind: 'negative-acknowledge', sequence: relayed.requesterSequence } as const;
      this.host.effects.send(relayed.requester, answer);
    }
  }
}
