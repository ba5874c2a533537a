/** Creation and change of replica groups, and who may vote. */
import t from 'tap';
import { type FleetNode, LedgerFleet, nodeOf } from '../../lab/bench/ledger-fleet.js';
import { SimulatedKeyValue } from '../../lab/bench/ledger-key-value.js';
import type { GroupRecord } from '../../src/config-feed/configuration.js';
import { identityKey, type NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import {
  decodeGroupRecord,
  Ledger,
  type LedgerEffect,
  type LedgerOutcome,
} from '../../src/ledger/ledger.js';
import type { LedgerContent } from '../../src/ledger/messages.js';

const ZONES = ['east', 'north', 'west'];
const KEY = 'step/1';

function startFleet(nodeCount: number, seed = 7): LedgerFleet {
  const fleet = new LedgerFleet({ seed, nodeCount, zones: ZONES, tuning: { shardsPerDomain: 1 } });
  fleet.run(3_000);
  return fleet;
}

function groupOf(fleet: LedgerFleet): GroupRecord {
  const up = fleet.nodes.find((node) => node.isUp) as FleetNode;
  return up.ledger.groupFor(fleet.domain, KEY) as GroupRecord;
}

function memberOf(fleet: LedgerFleet, place: number): FleetNode {
  const identity = groupOf(fleet).members[place];
  return nodeOf(fleet, identity as NodeRecord) as FleetNode;
}

function write(fleet: LedgerFleet, node: FleetNode, value: string): LedgerOutcome<unknown>[] {
  const outcomes: LedgerOutcome<unknown>[] = [];
  const { now } = fleet.queue;
  const apply = () => ({ kind: 'write', value }) as const;
  const request = { domain: fleet.domain, shardKey: KEY, key: KEY, deadline: now + 3_000, apply };
  fleet.operate(
    node,
    (operationId, ledger) => ledger.change({ ...request, operationId }, now),
    (outcome) => outcomes.push(outcome),
  );
  return outcomes;
}

function receive(
  fleet: LedgerFleet,
  node: FleetNode,
  record: GroupRecord,
  content: LedgerContent,
  to = identityKey(node.record),
): readonly LedgerEffect<unknown>[] {
  const { domain, shard, epoch } = record;
  const message = { domain, shard, epoch, to, request: 99, ...content };
  const stranger = { node: 'stranger', incarnation: 1 };
  return node.ledger.receive(stranger, message, fleet.queue.now);
}

const BALLOT = { epoch: 1, counter: 1_000, proposer: 'stranger#1', sequence: 1 };
const ACCEPT: LedgerContent = {
  kind: 'accept',
  key: KEY,
  shardKey: KEY,
  ballot: BALLOT,
  value: 'late',
  next: null,
};

t.test('a group spreads over zones, and replaces a dead member after the grace', async (t) => {
  const fleet = startFleet(9);
  const before = groupOf(fleet);
  const zones = before.members.map((member) => nodeOf(fleet, member)?.record.zone);
  t.equal(before.members.length, 5);
  t.equal(new Set(zones).size, 3);
  const dead = memberOf(fleet, 0);
  fleet.kill(dead);
  fleet.run(3_000);
  t.equal(groupOf(fleet).epoch, 1, 'not before the grace is over');
  fleet.run(4_000);
  const after = groupOf(fleet);
  t.equal(after.epoch, 2);
  t.equal(after.members.length, 5);
  t.notOk(after.members.some((member) => member.node === dead.record.node));
  t.match(memberOf(fleet, 0).ledger.health()[0], { aliveCount: 5, underStrength: false });
});

t.test('a sealed member votes no more in the epoch that is over', async (t) => {
  const fleet = startFleet(6);
  const record = groupOf(fleet);
  const node = memberOf(fleet, 1);
  t.match(receive(fleet, node, record, ACCEPT), [{ message: { kind: 'accepted' } }]);
  const next = { ...record, epoch: 2, previousMembers: record.members };
  const pull: LedgerContent = { kind: 'pull', record: next, cursor: 0 };
  const pages = receive(fleet, node, next, pull).filter(
    (effect) => effect.kind === 'send' && effect.message.kind === 'page',
  );
  t.match(pages, [{ message: { source: 'previous', entries: [{ value: 'late' }] } }]);
  const higher = { ...BALLOT, counter: 2_000 };
  t.match(receive(fleet, node, record, { ...ACCEPT, ballot: higher }), [
    { message: { kind: 'refused', reason: 'not-active', record: { epoch: 2 } } },
  ]);
});

t.test('a new member does not vote, or hand out copies, before it has caught up', async (t) => {
  const fleet = startFleet(6);
  const record = groupOf(fleet);
  const outsider = fleet.nodes.find(
    (node) => !record.members.some((member) => member.node === node.record.node),
  ) as FleetNode;
  const members = [...record.members.slice(1), outsider.record];
  const next = { ...record, epoch: 2, members, previousMembers: record.members };
  outsider.ledger.updateGroups([next], fleet.queue.now);
  t.match(receive(fleet, outsider, next, ACCEPT), [{ message: { kind: 'refused' } }]);
  const pull: LedgerContent = { kind: 'pull', record: next, cursor: 0 };
  t.match(receive(fleet, outsider, next, pull), [{ message: { kind: 'page-refused' } }]);
});

t.test('a restarted node never answers for its earlier life, nor votes unasked', async (t) => {
  const fleet = startFleet(5);
  const record = groupOf(fleet);
  const node = memberOf(fleet, 2);
  const earlier = identityKey(node.record);
  fleet.restart(node);
  t.strictSame(receive(fleet, node, record, ACCEPT, earlier), []);
  t.match(receive(fleet, node, record, ACCEPT), [{ message: { kind: 'refused' } }]);
  fleet.run(5_000);
  const lives = groupOf(fleet).members.filter((member) => member.node === node.record.node);
  t.match(lives, [{ incarnation: 2 }], 'it comes back as a new member');
  t.equal(node.ledger.isActiveMember(fleet.domain, KEY), true);
});

t.test('work goes on through ten minutes without the key-value service', async (t) => {
  const fleet = startFleet(5);
  fleet.keyValue.faults.isDown = true;
  fleet.kill(memberOf(fleet, 0));
  fleet.kill(memberOf(fleet, 1));
  const survivor = fleet.nodes.find((node) => node.isUp) as FleetNode;
  const outcomes: LedgerOutcome<unknown>[][] = [];
  for (let second = 0; second < 600; second += 1) {
    outcomes.push(write(fleet, survivor, `${second}`));
    fleet.run(1_000);
  }
  t.ok(outcomes.every((list) => list.length === 1 && list[0]?.kind === 'changed'));
  fleet.keyValue.faults.isDown = false;
  fleet.run(15_000);
  t.match(groupOf(fleet), { epoch: 2, members: { length: 3 } }, 'shrinks to the living');
});

t.test('a lost answer to the first creation is settled by reading', async (t) => {
  const fleet = new LedgerFleet({ seed: 3, nodeCount: 5, zones: ZONES });
  fleet.keyValue.faults.lostAnswers = 1;
  fleet.run(20_000);
  const records = [...fleet.keyValue.entries()];
  t.equal(records.length, 8);
  t.ok(records.every((entry) => decodeGroupRecord(entry.value)?.epoch === 1));
  t.same(records.map((entry) => entry.modRevision).sort(), [1, 2, 3, 4, 5, 6, 7, 8]);
});

t.test('of two racing creations one wins and the other takes over its record', async (t) => {
  const keyValue = new SimulatedKeyValue(createRandomSource(1));
  const racers = ['node-a', 'node-b'].map((node) => {
    const record = { node, incarnation: 1, zone: 'east', region: 'r', address: '', machine: node };
    const random = createRandomSource(1);
    const ledger = new Ledger<string>({ self: record, random, shardsPerDomain: 1 });
    // Neither sees the other, so that both act at once.
    ledger.updateMembers([{ record, alive: true }], [{ name: 'east', zones: ['east'] }], 0);
    return { ledger, effects: [...ledger.tick(2_000)] };
  });
  for (let turn = 0; turn < 6; turn += 1) {
    for (const racer of racers) {
      const asked = racer.effects.filter((effect) => effect.kind === 'key-value');
      racer.effects = [];
      for (const { requestId, operation } of asked) {
        const result = keyValue.execute(operation);
        racer.effects.push(...racer.ledger.keyValueResult(requestId, result, 2_000 + turn));
      }
    }
  }
  for (const racer of racers) racer.effects.push(...racer.ledger.tick(3_000));
  const loser = racers[1];
  t.equal([...keyValue.entries()][0]?.modRevision, 1);
  for (const effect of loser?.effects ?? []) {
    if (effect.kind !== 'key-value') continue;
    const result = keyValue.execute(effect.operation);
    loser?.ledger.keyValueResult(effect.requestId, result, 3_001);
  }
  t.match(loser?.ledger.groupFor('east', KEY), { epoch: 1, members: [{ node: 'node-a' }] });
});

t.test('a read that joins later is not answered by answers given before it began', async (t) => {
  const node = (name: string) => ({ node: name, incarnation: 1 });
  const self = { ...node('reader'), zone: 'east', region: 'r', address: '', machine: 'm' };
  const ledger = new Ledger<string>({ self, random: createRandomSource(1), shardsPerDomain: 1 });
  const members = ['node-a', 'node-b', 'node-c'].map(node);
  const record = { domain: 'east', shard: 0, epoch: 1, members, previousMembers: [] };
  ledger.updateGroups([record], 0);
  const read = { domain: 'east', shardKey: KEY, key: KEY, deadline: 1_000 };
  const sent = ledger.read({ ...read, operationId: 'first' }, 0);
  const request = sent[0]?.kind === 'send' ? sent[0].message.request : -1;
  const header = { domain: 'east', shard: 0, epoch: 1, to: 'reader#1', request };
  const empty = { ...header, kind: 'register', accepted: null, value: null } as const;
  ledger.receive(node('node-a'), empty, 1);
  t.strictSame(ledger.read({ ...read, operationId: 'second' }, 2), []);
  const effects = ledger.receive(node('node-b'), empty, 3);
  const ended = effects.filter((effect) => effect.kind === 'completed');
  t.match(ended, [{ operationId: 'first', outcome: { kind: 'changed', value: null } }]);
  t.equal(ended.length, 1);
  const asked = effects.filter((effect) => effect.kind === 'send');
  t.match(asked, [{ message: { kind: 'read' } }, {}, {}]);
});
