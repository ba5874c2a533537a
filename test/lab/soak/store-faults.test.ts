/** Faults of the store towards groups of gateways that a soak draws from its seed. */
import t from 'tap';
import { SharedStoreEmulator } from '../../../lab/emulator/shared-store-emulator.js';
import { QUIET_END, QUIET_START } from '../../../lab/soak/fault-schedule.js';
import { jobOwnerIn, struckGateways } from '../../../lab/soak/store-fault-runner.js';
import {
  LATE_COMMIT_BOUNDS,
  planStoreFaults,
  SHORTEST_PAUSE,
  TURNED_AWAY_BOUNDS,
} from '../../../lab/soak/store-faults.js';

const GATEWAYS = [1, 2, 3, 4, 5].map((number) => ({
  name: `gateway-${number}`,
  zone: number % 2 === 1 ? 'zone-a' : 'zone-b',
}));

t.test('a seed gives the same faults each time, another seed others', async (t) => {
  t.same(planStoreFaults(7, 60_000), planStoreFaults(7, 60_000));
  t.not(JSON.stringify(planStoreFaults(7, 60_000)), JSON.stringify(planStoreFaults(8, 60_000)));
});

t.test('each fault keeps the bounds of its kind, and all kinds and groups come up', async (t) => {
  const faults = planStoreFaults(3, 600_000);
  for (const bounds of [LATE_COMMIT_BOUNDS, TURNED_AWAY_BOUNDS]) {
    const ofKind = faults.filter(({ effect }) => bounds.effects.includes(effect));
    t.ok(ofKind.length > 20);
    for (const { duration, struck } of ofKind) {
      t.ok(duration >= bounds.shortest && duration <= bounds.longest);
      t.ok(bounds.groups.includes(struck));
    }
    t.equal(new Set(ofKind.map(({ effect }) => effect)).size, new Set(bounds.effects).size);
    t.equal(new Set(ofKind.map(({ struck }) => struck)).size, new Set(bounds.groups).size);
  }
});

t.test('kinds overlap, and between episodes nothing is under way', async (t) => {
  const faults = planStoreFaults(3, 600_000);
  let end = QUIET_START;
  let overlaps = 0;
  for (const [index, { at, duration }] of faults.entries()) {
    t.ok(at >= (faults[index - 1]?.at ?? QUIET_START), 'in order');
    if (at < end) overlaps += 1;
    else t.ok(index === 0 || at >= end + SHORTEST_PAUSE || at <= end + 2_000);
    end = Math.max(end, at + duration);
  }
  t.ok(overlaps > 10);
  t.ok(end <= 600_000 - QUIET_END);
});

t.test('each short soak has such faults', async (t) => {
  for (let seed = 0; seed < 100; seed += 1) t.ok(planStoreFaults(seed, 45_000).length >= 2);
});

t.test('a group leaves the gateways out that it promises to serve', async (t) => {
  const struckBy = (struck: Parameters<typeof struckGateways>[0]['struck'], target: number) =>
    struckGateways({ struck, target }, GATEWAYS, (zone) =>
      zone === 'zone-a' ? 'gateway-3' : undefined,
    ).map(({ name }) => name);
  t.equal(struckBy('all', 1).length, GATEWAYS.length);
  t.same(struckBy('zone', 0), ['gateway-1', 'gateway-3', 'gateway-5']);
  t.same(struckBy('zone-but-one', 0), ['gateway-3', 'gateway-5']);
  t.same(struckBy('zone-but-one', 1), ['gateway-2']);
  t.same(struckBy('half', 4), ['gateway-5', 'gateway-1', 'gateway-2']);
  t.same(struckBy('job-owner', 0), ['gateway-3']);
  t.same(struckBy('job-owner', 1), ['gateway-2', 'gateway-4'], 'the zone, as no owner is known');
});

t.test('the job owner of a zone is that of the job submitted there last', async (t) => {
  const store = new SharedStoreEmulator();
  const head = (job: string, zone: string, node: string, submittedAt: number): void => {
    const owner = { node, incarnation: 'one', address: '127.0.0.1:1' };
    const counts = { total: 1, listed: 0, pages: 0, ended: false, specificationParts: 1 };
    const value = JSON.stringify({ owner, zone, submittedAt, changeId: 'change', ...counts });
    store.write(`job/head/${job}`, value);
  };
  head('a', 'zone-a', 'gateway-1', 10);
  head('b', 'zone-a', 'gateway-3', 20);
  head('c', 'zone-b', 'gateway-2', 30);
  t.equal(jobOwnerIn('zone-a', store), 'gateway-3');
  t.equal(jobOwnerIn('zone-c', store), undefined);
});
