/** Guards against a node that accepts, caches or retains a job that it may not store. */
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

/** Regions that may store jobs; tests change them. */
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

t.test('a node outside the allowed regions accepts no job from another node', async (t) => {
  const emulator = new SharedStoreEmulator();
  const { service } = nodeIn('zone-1', { regions: ['south'] }, emulator);
  const rejection = await service.submitHere(specification('job', 1), always);
  t.match(rejection, { kind: 'region_unavailable' });
  t.same(emulator.keys('job/'), []);
});

t.test(
  'a node outside the allowed regions takes over no job, and reads only its head',
  async (t) => {
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
  },
);

t.test(
  'a job of an older build without region fields stays in the region of its zone',
  async (t) => {
    const emulator = new SharedStoreEmulator();
    const spec = specification('job', 1);
    const head = { ...headOf(spec, OTHER), zone: 'zone-2' };
    await new JobStore(emulator, PROCESS_CLOCK).create(spec, head, always);
    const limit: Limit = { regions: ['south'] };
    t.equal(
      await nodeIn('zone-1', limit, emulator).service.takeOverFrom('job', OTHER, false),
      false,
    );
    const newIncarnation = { ...OTHER, incarnation: 'life-3' };
    const inside = nodeIn('zone-2', limit, emulator, newIncarnation);
    t.equal(await inside.service.takeOverFrom('job', OTHER, false), true);
    inside.dispatcher.stop();
  },
);

t.test('a gateway outside the allowed regions forwards results without caching them', async (t) => {
  const emulator = new SharedStoreEmulator();
  const limit: Limit = { regions: ['south'] };
  const engine = new ScriptedEngine([answer(events(0, 'ab'), { isStream: true })]);
  const inside = nodeIn('zone-2', limit, emulator, OTHER, engine);
  inside.registry.put(worker('w1'));
  await inside.service.submitHere(specification('job', 1), always);
  await workUntil(inside, () => inside.service.ownedJobs()[0]?.results.length === 1);
  for (const [zone, isCached] of [
    ['zone-1', false],
    ['zone-2', true],
  ] as const) {
    emulator.setAvailability('up');
    const { service } = nodeIn(zone, limit, emulator);
    t.match(await service.read('job', 0, 0, UNRESTRICTED), { results: [{ text: 'a\nb' }] });
    t.ok(Buffer.isBuffer(await service.itemBody('job', 'item-0', UNRESTRICTED)));
    emulator.setAvailability('refusing');
    const again = await service.read('job', 0, 0, UNRESTRICTED);
    t.equal('results' in again, isCached, `${zone}: results`);
    t.equal(
      Buffer.isBuffer(await service.itemBody('job', 'item-0', UNRESTRICTED)),
      isCached,
      `${zone}: body`,
    );
  }
});

/** A node whose job was cancelled before its group was completed; `limit` may change later. */
async function nodeWithCancelledJob(limit: Limit): Promise<JobNode> {
  const engine = new ScriptedEngine([answer(events(0, 'ab'), { isStream: true })]);
  const node = nodeIn('zone-1', limit, new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  await node.service.submitHere(specification('job', 2), always);
  await workUntil(node, () => node.service.ownedJobs()[0]?.results.length === 1);
  await node.service.cancel('job', UNRESTRICTED, always);
  return node;
}

const ITEM_IDS = ['item-0', 'item-1'];

t.test('cached work is sent only to nodes that may store it', async (t) => {
  const { service } = await nodeWithCancelledJob({ regions: ['north'] });
  t.equal(service.cachedWorkOf(ITEM_IDS, 'zone-1').size, 1);
  t.equal(service.cachedWorkOf(ITEM_IDS, 'zone-2').size, 0);
  t.equal(service.cachedWorkOf(ITEM_IDS).size, 0, 'an older build does not send its zone');
  const unlimited = await nodeWithCancelledJob({ regions: undefined });
  t.equal(unlimited.service.cachedWorkOf(ITEM_IDS).size, 1);
});

t.test('a later limit applies to work that is already cached', async (t) => {
  const limit: Limit = { regions: undefined };
  const { service } = await nodeWithCancelledJob(limit);
  limit.regions = ['north'];
  t.equal(service.cachedWorkOf(ITEM_IDS, 'zone-2').size, 0);
  t.equal(service.cachedWorkOf(ITEM_IDS, 'zone-1').size, 1);
});

t.test(
  'an owner sends its work only to a node that may store it, and closes its job in any case',
  async (t) => {
    for (const [zone, releasedItems] of [
      ['zone-1', 1],
      ['zone-2', 0],
    ] as const) {
      const limit: Limit = { regions: ['north'] };
      const stream = answer(events(0, 'ab'), { isStream: true });
      const engine = new ScriptedEngine([stream]);
      const node = nodeIn('zone-1', limit, new SharedStoreEmulator(), OWNER, engine);
      node.registry.put(worker('w1'));
      await node.service.submitHere(specification('job', 1), always);
      const [job] = node.service.ownedJobs();
      if (job === undefined) throw new Error('the node owns no job');
      const completed = { id: 'item-0', state: 'completed', text: 'ab', versions: [1] } as const;
      for (const entry of job.items.values()) job.finish(entry, { ...completed, versions: [1] });
      t.equal(node.service.releaseTakenOver('job', zone).size, releasedItems, zone);
      t.equal(job.isOpen, false);
      node.dispatcher.stop();
    }
  },
);

t.test('a closed job that this node may no longer store is dropped', async (t) => {
  const limit: Limit = { regions: ['north'] };
  const node = await nodeWithCancelledJob(limit);
  node.service.tick();
  t.equal(node.service.ownedJobs().length, 1);
  limit.regions = ['south'];
  await workUntil(node, () => node.service.ownedJobs().length === 0);
  t.same(node.service.ownItemBody('job', 'item-0'), { isOwner: false });
});

t.test(
  'a job that this node may no longer store is offered until another node takes it over',
  async (t) => {
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
    t.same(offers, [], 'the node may store the job');
    limit.regions = ['south'];
    await eventually(() => offers.length >= 2).finally(() => clearInterval(ticker));
    t.same(offers[0], ['job', OWNER.node, ['south']]);
    t.match(node.lines.join(''), /job-moved-by-region/);
    node.dispatcher.stop();
  },
);

t.test(
  'a step that was submitted outside the allowed regions is not accepted without the store',
  async (t) => {
    const emulator = new SharedStoreEmulator();
    const zone = await JournalZone.open(t);
    const journals = zone.journals(`${OWNER.node}/${OWNER.incarnation}`);
    const node = jobNode(emulator, OWNER, new ScriptedEngine(), NO_PEERS, { journals });
    t.teardown(() => node.dispatcher.stop());
    const step = (id: string, number: number) => ({ ...specification(id, 1), step: number });
    t.equal(await node.service.submitHere(step('own-0', 0), always), undefined);
    t.equal(await node.service.submitHere(step('far-9', 9), always, true), undefined);
    emulator.setAvailability('refusing');
    const rejection = await node.service.submitHere(step('far-10', 10), never, true);
    t.match(rejection, { kind: 'ledger_unavailable' }, 'another zone may receive it too');
    const started = await node.service.submitHere(step('own-1', 1), always);
    t.equal(
      started,
      undefined,
      'the next step of the zone’s own trainer is accepted, whatever step the other trainer is at',
    );
    emulator.setAvailability('up');
  },
);

t.test(
  'a job that moved to another region no longer writes to the journal of its former region',
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
        zone.requests.some((asked) => asked.kind === 'journal-append' && asked.entries.length > 0);
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
