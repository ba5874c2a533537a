/** Bodies: kept on a majority, repaired, bounded, removed for good. */
import t from 'tap';
import { type FleetNode, LedgerFleet, nodeOf } from '../../lab/bench/ledger-fleet.js';
import type { GroupRecord } from '../../src/config-feed/configuration.js';
import { contentDigest } from '../../src/core/hashing.js';
import { BodyStore } from '../../src/ledger/body-store.js';
import type { Ledger, LedgerEffect, LedgerOutcome } from '../../src/ledger/ledger.js';

const ZONES = ['east', 'north', 'west'];
const SHARD_KEY = 'step-1';

type Start = (operationId: string, ledger: Ledger<unknown>) => readonly LedgerEffect<unknown>[];

function startFleet(nodeCount: number, bodyBytesLimit = 100_000): LedgerFleet {
  const tuning = { shardsPerDomain: 1, bodyBytesLimit, pageEntries: 4, bodyFetchWindow: 2 };
  const fleet = new LedgerFleet({ seed: 11, nodeCount, zones: ZONES, tuning });
  fleet.run(3_000);
  return fleet;
}

function run(fleet: LedgerFleet, start: Start): LedgerOutcome<unknown> | undefined {
  let outcome: LedgerOutcome<unknown> | undefined;
  const node = fleet.nodes.find((candidate) => candidate.isUp) as FleetNode;
  fleet.operate(node, start, (result) => {
    outcome = result;
  });
  fleet.run(2_000);
  return outcome;
}

function store(fleet: LedgerFleet, body: string) {
  const digest = contentDigest(body);
  const { now } = fleet.queue;
  const request = { domain: fleet.domain, shardKey: SHARD_KEY, deadline: now + 1_500 };
  return run(fleet, (operationId, ledger) =>
    ledger.storeBody({ ...request, operationId, body, digest }, now),
  );
}

function fetch(fleet: LedgerFleet, body: string) {
  const digest = contentDigest(body);
  const { now } = fleet.queue;
  const request = { domain: fleet.domain, shardKey: SHARD_KEY, deadline: now + 1_500 };
  return run(fleet, (operationId, ledger) =>
    ledger.fetchBody({ ...request, operationId, digest }, now),
  );
}

function groupOf(fleet: LedgerFleet): GroupRecord {
  const up = fleet.nodes.find((node) => node.isUp) as FleetNode;
  return up.ledger.groupFor(fleet.domain, SHARD_KEY) as GroupRecord;
}

t.test('bodies outlive every first holder, one after the other', async (t) => {
  const fleet = startFleet(12);
  const bodies = Array.from({ length: 30 }, (_, index) => `body number ${index}`);
  for (const body of bodies) t.equal(store(fleet, body)?.kind, 'stored');
  const firstHolders = groupOf(fleet).members;
  const bytes = bodies.reduce((sum, body) => sum + body.length, 0);
  for (const holder of firstHolders) {
    fleet.kill(nodeOf(fleet, holder) as FleetNode);
    fleet.run(10_000);
  }
  const members = groupOf(fleet).members.flatMap((member) => nodeOf(fleet, member) ?? []);
  t.equal(members.length, 5);
  t.ok(members.every((node) => node.ledger.usage.bodyBytes === bytes));
  for (const body of bodies) t.match(fetch(fleet, body), { kind: 'body', body });
  t.match(fetch(fleet, 'never stored'), { kind: 'body-missing' });
});

t.test('a full group refuses clearly and still serves what it has', async (t) => {
  const fleet = startFleet(5, 100);
  t.match(store(fleet, 'a'.repeat(60)), { kind: 'stored' });
  t.match(store(fleet, 'b'.repeat(60)), { kind: 'full' });
  t.match(fetch(fleet, 'a'.repeat(60)), { kind: 'body' });
});

t.test('removed bodies free their room and do not come back', async (t) => {
  const fleet = startFleet(5, 100);
  const body = 'a'.repeat(60);
  t.match(store(fleet, body), { kind: 'stored' });
  const node = fleet.nodes[0] as FleetNode;
  const { queue, domain } = fleet;
  fleet.operate(
    node,
    (_, ledger) => ledger.removeBodies(domain, SHARD_KEY, [contentDigest(body)], queue.now),
    () => {},
  );
  fleet.run(1_000);
  t.ok(fleet.nodes.every((holder) => holder.ledger.usage.bodyBytes === 0));
  t.match(store(fleet, body), { kind: 'unavailable' });
  t.match(store(fleet, 'b'.repeat(60)), { kind: 'stored' });
});

t.test('removed registers free their room on all members, and are refused later', async (t) => {
  const fleet = startFleet(5);
  const { domain, queue } = fleet;
  const write = () => {
    const apply = () => ({ kind: 'write', value: 1 }) as const;
    const request = { domain, shardKey: SHARD_KEY, key: 'page/step-1/0', apply };
    const deadline = queue.now + 1_500;
    return run(fleet, (operationId, ledger) =>
      ledger.change({ ...request, operationId, deadline }, queue.now),
    );
  };
  t.match(write(), { kind: 'changed' });
  t.ok(fleet.nodes.every((node) => node.ledger.usage.registers === 1));
  // One member misses the first message and gets the repeated one.
  fleet.freeze(fleet.nodes[3] as FleetNode, 500);
  run(fleet, (_, ledger) => ledger.removeKeys(domain, SHARD_KEY, 'page/step-1/', queue.now));
  t.ok(fleet.nodes.every((node) => node.ledger.usage.registers === 0));
  t.match(write(), { kind: 'unavailable', mayHaveApplied: false });
  t.ok(fleet.nodes.every((node) => node.ledger.usage.registers === 0));
});

t.test('a body that does not match its digest is not stored; old ones expire', async (t) => {
  const bodies = new BodyStore({ bytes: 0, limit: 100 });
  const name = { shardKey: SHARD_KEY, digest: contentDigest('body') };
  t.equal(bodies.store(name, 'bodY', 10), 'corrupt');
  t.equal(bodies.store(name, 'body', 10), 'stored');
  bodies.expire(9);
  t.equal(bodies.has(name), true);
  bodies.expire(10);
  t.equal(bodies.has(name), false);
});
