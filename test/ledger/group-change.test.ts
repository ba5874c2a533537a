/** Which members the next record of a group names. */
import t from 'tap';
import type { GroupRecord } from '../../src/config-feed/configuration.js';
import { identityKey, type NodeRecord } from '../../src/core/identity.js';
import { type GroupSituation, planChange, planCreation } from '../../src/ledger/group-change.js';
import { fillMembers, targetSize } from '../../src/ledger/placement.js';

function nodes(count: number): NodeRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    node: `node-${index}`,
    incarnation: 1,
    zone: `zone-${index % 3}`,
    region: 'region',
    address: '',
    machine: `machine-${index >> 1}`,
  }));
}

function situation(
  live: readonly NodeRecord[],
  gone: readonly string[],
  isSettled = false,
): GroupSituation {
  const isGone = (identity: string): boolean => gone.includes(identity);
  const liveZones = new Set(live.map((record) => record.zone));
  const liveRecord = (identity: string) => live.find((item) => identityKey(item) === identity);
  const group = { domain: 'd', shard: 0, replicaCount: 5 };
  const isMisplaced = (): boolean => false;
  return { ...group, live, liveRecord, liveZones, isSettled, isGone, isMisplaced };
}

function recordOf(members: readonly NodeRecord[]): GroupRecord {
  return { domain: 'd', shard: 0, epoch: 4, members, previousMembers: [] };
}

t.test('sizes are odd where that costs nothing', async (t) => {
  t.same(
    [0, 1, 2, 3, 4, 5, 9].map((live) => targetSize(live, 5)),
    [0, 1, 2, 3, 3, 5, 5],
  );
});

t.test('members spread over zones first and machines second', async (t) => {
  const members = fillMembers('key', [], nodes(12), 5);
  t.equal(new Set(members.map((member) => member.zone)).size, 3);
  t.equal(new Set(members.map((member) => member.machine)).size, 5);
  t.equal(planCreation(situation([], [])), undefined);
});

t.test('at most a minority is replaced, and a majority always stays', async (t) => {
  const all = nodes(9);
  const current = recordOf(all.slice(0, 5));
  for (let dead = 1; dead <= 5; dead += 1) {
    const gone = all.slice(0, dead);
    const next = planChange(current, situation(all.slice(dead), gone.map(identityKey)));
    if (dead > 2) {
      t.equal(next, undefined, `${dead} gone`);
      continue;
    }
    const kept = next?.members.filter((member) =>
      current.members.some((old) => identityKey(old) === identityKey(member)),
    );
    t.equal(kept?.length, 5 - dead);
    t.match(next, { epoch: 5, members: { length: 5 }, previousMembers: { length: 5 } });
  }
});

t.test('a silent member within the grace is neither replaced nor doubled', async (t) => {
  const all = nodes(9);
  const current = recordOf(all.slice(0, 5));
  t.equal(planChange(current, situation(all.slice(1), [])), undefined);
  const next = planChange(current, situation(all.slice(2), [identityKey(all[1] as NodeRecord)]));
  t.equal(next?.members.length, 5);
  t.ok(next?.members.some((member) => member.node === 'node-0'));
});

t.test('a zone without members gets one back once the fleet has settled', async (t) => {
  const all = nodes(9);
  const inZones = (zones: readonly number[]) => zones.map((index) => all[index] as NodeRecord);
  const uneven = recordOf(inZones([0, 3, 6, 1, 4]));
  t.equal(planChange(uneven, situation(all, [])), undefined, 'not while nodes come and go');
  const next = planChange(uneven, situation(all, [], true));
  const zones = next?.members.map((member) => Number(member.node.at(-1)) % 3);
  t.same(zones?.sort(), [0, 0, 1, 1, 2]);
  const even = recordOf(inZones([0, 3, 1, 4, 2]));
  t.equal(planChange(even, situation(all, [], true)), undefined);
});
