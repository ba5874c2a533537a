/** What one node does with a job that it may not hold: it takes none, keeps nothing, and gives up what it has. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobOwner } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { JobResidency } from '../../src/placement/job-residency.js';
import { ZoneTopology } from '../../src/placement/zone-topology.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { JournalZone } from '../journal/journal-fixtures.js';
import {
  answer,
  configuration,
  events,
  ScriptedEngine,
  worker,
} from '../serving/serving-fixtures.js';
import { always, headOf, never, OTHER, OWNER, specification } from './job-fixtures.js';
import { JOB_ROUTE, type JobNode, jobNode, keepWorking, workUntil } from './job-node.js';

const REGIONS = new Map([
  ['zone-1', 'north'],
  ['zone-2', 'south'],
]);

/** Where jobs may lie, which a test may change. */
interface Limit {
  regions: readonly string[] | undefined;
}

function residencyIn(zone: string, limit: Limit): JobResidency {
  const routes = (): RouteMatcher => {
    const { regions } = limit;
    return new RouteMatcher(
      configuration([
        regions === undefined ? JOB_ROUTE : { ...JOB_ROUTE, allowedRegions: regions },
      ]),
    );
  };
  const zoneOf = (node: string): string => (node === OTHER.node ? 'zone-2' : 'zone-1');
  return new JobResidency({ topology: new ZoneTopology(zone, REGIONS), self: '', zoneOf, routes });
}

function nodeIn(
  zone: string,
  limit: Limit,
  emulator: SharedStoreEmulator,
  self: JobOwner = OWNER,
  engine = new ScriptedEngine(),
  peers = NO_PEERS,
): JobNode {
  return jobNode(emulator, self, engine, peers, { residency: residencyIn(zone, limit) });
}

t.test('a node outside takes in no job that another one hands it', async (t) => {
  const emulator = new SharedStoreEmulator();
  const { service } = nodeIn('zone-1', { regions: ['south'] }, emulator);
  const refusal = await service.submitHere(specification('job', 1), always);
  t.match(refusal, { kind: 'region_unavailable' });
  t.same(emulator.keys('job/'), []);
});

t.test('a node outside takes no job over, and reads nothing of it but its head', async (t) => {
  const emulator = new SharedStoreEmulator();
  const limit: Limit = { regions: ['south'] };
  const inside = nodeIn('zone-2', limit, emulator, OTHER);
  await inside.service.submitHere(specification('job', 2), always);
  emulator.calls.clear();
  const { service, lines } = nodeIn('zone-1', limit, emulator);
  t.equal(await service.takeOverFrom('job', OTHER, false), false);
  t.equal(await service.takeReleased('job'), false);
  t.same(service.ownedJobs(), []);
  t.equal(emulator.calls.get('range') ?? 0, 0, 'neither bodies nor results');
  t.match(lines.join(''), /job-not-adopted/);
});

t.test('what a head of an older build does not note stays in its zone’s region', async (t) => {
  const emulator = new SharedStoreEmulator();
  const spec = specification('job', 1);
  const head = { ...headOf(spec, OTHER), zone: 'zone-2' };
  await new JobStore(emulator, PROCESS_CLOCK).create(spec, head, always);
  const limit: Limit = { regions: ['south'] };
  t.equal(await nodeIn('zone-1', limit, emulator).service.takeOverFrom('job', OTHER, false), false);
  const life = { ...OTHER, incarnation: 'life-3' };
  const inside = nodeIn('zone-2', limit, emulator, life);
  t.equal(await inside.service.takeOverFrom('job', OTHER, false), true);
  inside.dispatcher.stop();
});

t.test('a gateway outside passes results on, and keeps none', async (t) => {
  const emulator = new SharedStoreEmulator();
  const limit: Limit = { regions: ['south'] };
  const engine = new ScriptedEngine([answer(events(0, 'ab'), { isStream: true })]);
  const inside = nodeIn('zone-2', limit, emulator, OTHER, engine);
  inside.registry.put(worker('w1'));
  await inside.service.submitHere(specification('job', 1), always);
  await workUntil(inside, () => inside.service.ownedJobs()[0]?.results.length === 1);
  for (const [zone, kept] of [
    ['zone-1', false],
    ['zone-2', true],
  ] as const) {
    emulator.setAvailability('up');
    const { service } = nodeIn(zone, limit, emulator);
    t.match(await service.read('job', 0, 0, UNRESTRICTED), { results: [{ text: 'a\nb' }] });
    t.ok(Buffer.isBuffer(await service.itemBody('job', 'item-0', UNRESTRICTED)));
    emulator.setAvailability('refusing');
    const again = await service.read('job', 0, 0, UNRESTRICTED);
    t.equal('results' in again, kept, `${zone}: results`);
    t.equal(
      Buffer.isBuffer(await service.itemBody('job', 'item-0', UNRESTRICTED)),
      kept,
      `${zone}: body`,
    );
  }
});

/** A node whose job has ended before its group was whole; `limit` may change afterwards. */
async function withEndedJob(limit: Limit): Promise<JobNode> {
  const engine = new ScriptedEngine([answer(events(0, 'ab'), { isStream: true })]);
  const node = nodeIn('zone-1', limit, new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  await node.service.submitHere(specification('job', 2), always);
  await workUntil(node, () => node.service.ownedJobs()[0]?.results.length === 1);
  await node.service.cancel('job', UNRESTRICTED, always);
  return node;
}

const ITEMS = ['item-0', 'item-1'];

t.test('kept work is told to nodes that may hold it, and to no others', async (t) => {
  const { service } = await withEndedJob({ regions: ['north'] });
  t.equal(service.cachedWorkOf(ITEMS, 'zone-1').size, 1);
  t.equal(service.cachedWorkOf(ITEMS, 'zone-2').size, 0);
  t.equal(service.cachedWorkOf(ITEMS).size, 0, 'an older build does not tell its zone');
  const unlimited = await withEndedJob({ regions: undefined });
  t.equal(unlimited.service.cachedWorkOf(ITEMS).size, 1);
});

t.test('a limit that comes later binds on work that was kept before', async (t) => {
  const limit: Limit = { regions: undefined };
  const { service } = await withEndedJob(limit);
  limit.regions = ['north'];
  t.equal(service.cachedWorkOf(ITEMS, 'zone-2').size, 0);
  t.equal(service.cachedWorkOf(ITEMS, 'zone-1').size, 1);
});

t.test(
  'an owner gives its work up to a node that may hold it, and its job in any case',
  async (t) => {
    for (const [zone, handed] of [
      ['zone-1', 1],
      ['zone-2', 0],
    ] as const) {
      const limit: Limit = { regions: ['north'] };
      const pausing = answer(events(0, 'ab'), { isStream: true });
      const engine = new ScriptedEngine([pausing]);
      const node = nodeIn('zone-1', limit, new SharedStoreEmulator(), OWNER, engine);
      node.registry.put(worker('w1'));
      await node.service.submitHere(specification('job', 1), always);
      const [job] = node.service.ownedJobs();
      if (job === undefined) throw new Error('no job');
      const made = { id: 'item-0', state: 'completed', text: 'ab', versions: [1] } as const;
      for (const entry of job.items.values()) job.finish(entry, { ...made, versions: [1] });
      t.equal(node.service.releaseTakenOver('job', zone).size, handed, zone);
      t.equal(job.isOpen, false);
      node.dispatcher.stop();
    }
  },
);

t.test('a closed job that may no longer lie here is forgotten', async (t) => {
  const limit: Limit = { regions: ['north'] };
  const node = await withEndedJob(limit);
  node.service.tick();
  t.equal(node.service.ownedJobs().length, 1);
  limit.regions = ['south'];
  await workUntil(node, () => node.service.ownedJobs().length === 0);
  t.same(node.service.ownItemBody('job', 'item-0'), { isOwner: false });
});

t.test('a job that may no longer lie here is offered again until a node takes it', async (t) => {
  const limit: Limit = { regions: ['north'] };
  const offers: unknown[] = [];
  const peers = {
    ...NO_PEERS,
    transferMisplaced: async (job: string, owner: JobOwner, allowed: unknown) => {
      offers.push([job, owner.node, allowed]);
      return offers.length > 1;
    },
  };
  const emulator = new SharedStoreEmulator();
  const node = nodeIn('zone-1', limit, emulator, OWNER, new ScriptedEngine(), peers);
  await node.service.submitHere(specification('job', 1), always);
  const ticker = keepWorking(node);
  await PROCESS_CLOCK.sleep(600);
  t.same(offers, [], 'it lies where it may');
  limit.regions = ['south'];
  await eventually(() => offers.length >= 2).finally(() => clearInterval(ticker));
  t.same(offers[0], ['job', OWNER.node, ['south']]);
  t.match(node.lines.join(''), /job-moved-by-region/);
  node.dispatcher.stop();
});

t.test('a step that was handed in outside is not taken in without the store', async (t) => {
  const emulator = new SharedStoreEmulator();
  const zone = await JournalZone.open(t);
  const journals = zone.journals(`${OWNER.node}/${OWNER.incarnation}`);
  const node = jobNode(emulator, OWNER, new ScriptedEngine(), NO_PEERS, { journals });
  t.teardown(() => node.dispatcher.stop());
  const step = (id: string, number: number) => ({ ...specification(id, 1), step: number });
  t.equal(await node.service.submitHere(step('own-0', 0), always), undefined);
  t.equal(await node.service.submitHere(step('far-9', 9), always, true), undefined);
  emulator.setAvailability('refusing');
  const refusal = await node.service.submitHere(step('far-10', 10), never, true);
  t.match(refusal, { kind: 'ledger_unavailable' }, 'another zone may be handed it too');
  const started = await node.service.submitHere(step('own-1', 1), always);
  t.equal(started, undefined, 'the zone’s own trainer goes on, whatever step the other is at');
  emulator.setAvailability('up');
});

t.test(
  'a job that was moved to another region writes no more to the journal of the first',
  async (t) => {
    for (const [regions, mayAppend] of [
      [['south'], false],
      [['north', 'south'], true],
    ] as const) {
      const emulator = new SharedStoreEmulator();
      const zone = await JournalZone.open(t);
      const limit: Limit = { regions: ['north'] };
      const journaled = (self: JobOwner, where: string, engine = new ScriptedEngine()): JobNode =>
        jobNode(emulator, self, engine, NO_PEERS, {
          journals: zone.journals(`${self.node}/${self.incarnation}`, where),
          residency: residencyIn(where, limit),
        });
      const first = journaled(OWNER, 'zone-1');
      await first.service.submitHere(specification('job', 1), always);
      limit.regions = regions;
      const engine = new ScriptedEngine([answer(events(0, 'ab'), { isStream: true })]);
      const next = journaled(OTHER, 'zone-2', engine);
      t.equal(await next.service.takeOverFrom('job', OWNER, false), true);
      emulator.setAvailability('refusing');
      next.registry.put(worker('w1'));
      const appended = (): boolean =>
        zone.asked.some((asked) => asked.kind === 'journal-append' && asked.entries.length > 0);
      const ticker = keepWorking(next);
      if (mayAppend) await eventually(appended);
      else await PROCESS_CLOCK.sleep(800);
      t.equal(appended(), mayAppend, regions.join());
      emulator.setAvailability('up');
      await eventually(() => next.service.ownedJobs()[0]?.results.length === 1);
      clearInterval(ticker);
      first.dispatcher.stop();
      next.dispatcher.stop();
    }
  },
);
