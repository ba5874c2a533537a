/** Time without service after a kill and in a long outage of the key-value service. */
import type { NodeIdentity } from '../../src/core/identity.js';
import { type FleetNode, LedgerFleet, nodeOf } from './ledger-fleet.js';
import type { ModelledDesign } from './ledger-model-network.js';
import { ServiceProbe } from './ledger-service-probe.js';

const ZONES = ['east', 'north', 'west'];
const DOMAIN_KEY = 'probe';
const DEADLINE_MILLISECONDS = 2_000;
const SETTLE_MILLISECONDS = 6_000;
const WATCH_MILLISECONDS = 10_000;
const OUTAGE_MILLISECONDS = 600_000;
const GAP_THRESHOLD_MILLISECONDS = 100;
/** A writer of a modelled design tries again after this long, as the ledger's own resends do. */
const MODEL_RETRY_MILLISECONDS = 100;

/** Time a writer waits after each answer, in milliseconds. */
const THINK_MILLISECONDS = 5;
const OUTAGE_THINK_MILLISECONDS = 20;

function startFleet(seed: number, nodeCount: number): LedgerFleet {
  const tuning = { shardsPerDomain: 1 };
  const fleet = new LedgerFleet({ seed, nodeCount, zones: ZONES, tuning, encodes: false });
  fleet.run(SETTLE_MILLISECONDS);
  return fleet;
}

function members(fleet: LedgerFleet): readonly NodeIdentity[] {
  return fleet.nodes[0]?.ledger.groupFor(fleet.domain, DOMAIN_KEY)?.members ?? [];
}

/** Writes one after the other on a node that stays alive. */
function probeFleet(fleet: LedgerFleet, writer: FleetNode, think: number): ServiceProbe {
  const probe = new ServiceProbe();
  let count = 0;
  const next = (): void => {
    const { now } = fleet.queue;
    count += 1;
    const value = count;
    const apply = () => ({ kind: 'write', value }) as const;
    const deadline = now + DEADLINE_MILLISECONDS;
    const place = { domain: fleet.domain, shardKey: DOMAIN_KEY, key: DOMAIN_KEY };
    fleet.operate(
      writer,
      (operationId, ledger) => ledger.change({ ...place, operationId, apply, deadline }, now),
      (outcome) => {
        if (outcome.kind === 'changed') probe.completed(fleet.queue.now);
        fleet.queue.after(think, next);
      },
    );
  };
  next();
  return probe;
}

/** Longest time without a commit around the kill of a random member, in milliseconds. */
export function leaderlessKill(seed: number, nodeCount: number): number {
  const fleet = startFleet(seed, nodeCount);
  const group = members(fleet);
  const victim = nodeOf(fleet, group[fleet.random.integer(group.length)] as NodeIdentity);
  const others = fleet.nodes.filter((node) => node !== victim);
  const writer = others[fleet.random.integer(others.length)] as FleetNode;
  const probe = probeFleet(fleet, writer, THINK_MILLISECONDS);
  fleet.run(1_000 + fleet.random.fraction() * 500);
  const killedAt = fleet.queue.now;
  if (victim !== undefined) fleet.kill(victim);
  fleet.run(WATCH_MILLISECONDS);
  return probe.longestGap(killedAt, fleet.queue.now);
}

/** Milliseconds without service in an outage of ten minutes with a kill half-way. */
export function leaderlessOutage(seed: number): number {
  const fleet = startFleet(seed, 10);
  const group = members(fleet);
  const victim = nodeOf(fleet, group[0] as NodeIdentity) as FleetNode;
  const writer = fleet.nodes.find((node) => node !== victim) as FleetNode;
  const probe = probeFleet(fleet, writer, OUTAGE_THINK_MILLISECONDS);
  fleet.run(1_000);
  const startedAt = fleet.queue.now;
  fleet.keyValue.faults.isDown = true;
  fleet.run(OUTAGE_MILLISECONDS / 2);
  fleet.kill(victim);
  fleet.run(OUTAGE_MILLISECONDS / 2);
  return probe.timeWithoutService(startedAt, fleet.queue.now, GAP_THRESHOLD_MILLISECONDS);
}

/** Writes one after the other at whichever node of a modelled group serves. */
function probeModel(design: ModelledDesign, think: number): ServiceProbe {
  const probe = new ServiceProbe();
  const { queue } = design.network;
  let attempt = 0;
  const next = (): void => {
    attempt += 1;
    const current = attempt;
    const isTaken = design.write('x', () => {
      if (current !== attempt) return;
      probe.completed(queue.now);
      queue.after(think, next);
    });
    const wait = isTaken ? MODEL_RETRY_MILLISECONDS : think;
    queue.after(wait, () => {
      if (current === attempt) next();
    });
  };
  next();
  return probe;
}

/** Longest time without a commit after the serving node is killed, in milliseconds. */
export function modelKill(design: ModelledDesign): number {
  const { network } = design;
  const { queue } = network;
  queue.runUntil(SETTLE_MILLISECONDS);
  const probe = probeModel(design, THINK_MILLISECONDS);
  queue.runUntil(queue.now + 1_000 + network.random.fraction() * 1_000);
  const killedAt = queue.now;
  const serving = design.servingNode();
  if (serving !== undefined) network.isUp[serving] = false;
  queue.runUntil(queue.now + WATCH_MILLISECONDS);
  return probe.longestGap(killedAt, queue.now);
}

/** Milliseconds without service in an outage of ten minutes with a kill half-way. */
export function modelOutage(design: ModelledDesign): number {
  const { network } = design;
  const { queue } = network;
  queue.runUntil(SETTLE_MILLISECONDS);
  const probe = probeModel(design, OUTAGE_THINK_MILLISECONDS);
  queue.runUntil(queue.now + 1_000);
  const startedAt = queue.now;
  network.isKeyValueDown = true;
  queue.runUntil(startedAt + OUTAGE_MILLISECONDS / 2);
  const serving = design.servingNode();
  if (serving !== undefined) network.isUp[serving] = false;
  queue.runUntil(startedAt + OUTAGE_MILLISECONDS);
  return probe.timeWithoutService(startedAt, queue.now, GAP_THRESHOLD_MILLISECONDS);
}

/** Messages and bytes of one sample with its body, and of an idle second, in a modelled group. */
export function modelCost(design: ModelledDesign, samples: number, rate: number) {
  const { network } = design;
  const { queue } = network;
  queue.runUntil(SETTLE_MILLISECONDS);
  const idleBefore = network.messages;
  queue.runUntil(queue.now + 10_000);
  const idleMessagesPerSecond = (network.messages - idleBefore) / 10;
  const before = { messages: network.messages, bytes: network.bytes };
  const entry = { sample: 'sample-1', digest: 'd'.repeat(64), attempt: 1 };
  const payload = JSON.stringify({ ...entry, body: 'word '.repeat(200) });
  for (let sample = 0; sample < samples; sample += 1) {
    design.write(payload, () => {});
    queue.runUntil(queue.now + 1_000 / rate);
  }
  return {
    messagesPerSample: (network.messages - before.messages) / samples,
    bytesPerSample: Math.round((network.bytes - before.bytes) / samples),
    idleMessagesPerSecond,
  };
}
