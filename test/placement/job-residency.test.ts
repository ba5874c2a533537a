/**
 * Guards against a job being stored, offered or probed for outside the regions that its routes and
 * its tenant allow.
 */
import fc from 'fast-check';
import t from 'tap';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { JobPlacement } from '../../src/fleet/job-placement.js';
import type { PeerRequester } from '../../src/fleet/peer-requester.js';
import { SubmissionRouter } from '../../src/fleet/submission-router.js';
import { JobResidency } from '../../src/placement/job-residency.js';
import { localitiesOf } from '../../src/placement/locality.js';
import { ZoneTopology } from '../../src/placement/zone-topology.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import { ManualClock, OWNER, scoredSpecification, specification } from '../jobs/job-fixtures.js';
import { JOB_ROUTE, SCORE_ROUTE } from '../jobs/job-node.js';
import { configuration, route } from '../serving/serving-fixtures.js';

const REGIONS = new Map([
  ['north-1', 'north'],
  ['south-1', 'south'],
  ['west-1', 'west'],
]);

interface Limits {
  readonly job?: readonly string[] | undefined;
  readonly score?: readonly string[];
  readonly tenant?: readonly string[] | undefined;
}

const limited = (regions: readonly string[] | undefined): object =>
  regions === undefined ? {} : { allowedRegions: regions };

function matcherOf({ job, score, tenant }: Limits): RouteMatcher {
  const routes = [
    { ...JOB_ROUTE, ...limited(job) },
    { ...SCORE_ROUTE, ...limited(score) },
    route({ name: 'other', host: 'other.example', allowedRegions: ['west'] }),
  ];
  const tenantRecord = { name: 'owner', keyDigests: [], priority: undefined, ...limited(tenant) };
  return new RouteMatcher({ ...configuration(routes), tenants: [tenantRecord] });
}

function residencyOf(limits: Limits, own = 'north-1', zones = REGIONS): JobResidency {
  const matcher = matcherOf(limits);
  return new JobResidency({
    topology: new ZoneTopology(own, zones),
    self: 'node-1',
    zoneOf: (node) => (zones.has(node) ? node : undefined),
    routes: () => matcher,
  });
}

t.test(
  'a job is limited by its routes, the routes of its items and scores, and its tenant',
  async (t) => {
    const spec = { ...scoredSpecification('job', 2), tenant: 'owner' };
    t.equal(residencyOf({}).regionsForSpec(spec), undefined);
    t.same(residencyOf({ job: ['north', 'south'] }).regionsForSpec(spec), ['north', 'south']);
    t.same(residencyOf({ job: ['north', 'south'], score: ['south'] }).regionsForSpec(spec), [
      'south',
    ]);
    t.same(residencyOf({ job: ['north'], tenant: ['south'] }).regionsForSpec(spec), []);
    t.same(residencyOf({ tenant: ['west'] }).regionsForSpec(spec), ['west']);
  },
);

t.test('the head of a job gives the same regions as its specification', async (t) => {
  const spec = { ...scoredSpecification('job', 8), tenant: 'owner' };
  const limits = { job: ['north', 'south'], score: ['south', 'west'], tenant: ['south'] };
  const residency = residencyOf(limits);
  const { requests } = residency.headFieldsFor(spec);
  t.equal(requests?.length, 2, 'one request for each route');
  const head = { tenant: 'owner', zone: 'north-1', requests };
  t.same(residency.regionsForOrigin(head), residency.regionsForSpec(spec));
  const inOneRegion = new Map([['north-1', 'north']]);
  t.same(
    residencyOf(limits, 'north-1', inOneRegion).headFieldsFor(spec),
    {},
    'a fleet in one region needs no fields',
  );
});

t.test('a job without a matching route stays in the region that accepted it', async (t) => {
  const residency = residencyOf({ job: ['north'] });
  const unmatched = { zone: 'south-1', requests: [{ host: 'gone.example', path: '/' }] };
  t.same(residency.regionsForOrigin(unmatched), ['south']);
  t.same(residency.regionsForOrigin({ zone: 'south-1' }), ['south'], 'a head without requests');
  t.same(residency.regionsForOrigin({ zone: 'south-1', tenant: 'nobody' }), ['south']);
  t.equal(residency.regionsForOrigin({}), undefined, 'the accepting zone is unknown');
});

t.test('a zone without a known region may store only unlimited jobs', async (t) => {
  const residency = residencyOf({ job: ['north'] });
  t.equal(residency.mayHoldIn('nowhere', ['north']), false);
  t.equal(residency.mayHoldIn(undefined, ['north']), false);
  t.equal(residency.mayHoldIn(undefined, undefined), true);
  t.equal(residency.mayHold('node-unknown', ['north']), false);
  t.equal(residency.mayHoldHere(['north']), true, 'the own zone is in the settings');
});

/** Region of each zone, zone of each node, limits, terminated nodes and outcomes of peer requests. */
const FLEETS = fc.record({
  regionOfZone: fc.array(fc.nat(3), { minLength: 1, maxLength: 6 }),
  zoneOfNode: fc.array(fc.nat(7), { minLength: 1, maxLength: 14 }),
  terminated: fc.array(fc.nat(13)),
  job: fc.option(fc.array(fc.nat(4), { maxLength: 3 }), { nil: undefined }),
  tenant: fc.option(fc.array(fc.nat(4), { maxLength: 3 }), { nil: undefined }),
  areZonesAutonomous: fc.boolean(),
  isStoreUnreachable: fc.boolean(),
  outcomes: fc.infiniteStream(fc.constantFrom('refused', 'silent', 'unavailable', 'taken')),
});

t.test('no node outside its regions is offered a job, owns it or stores it', async (t) => {
  const spec = { ...specification('job', 2), tenant: 'owner' };
  const property = fc.asyncProperty(FLEETS, async (fleet) => {
    const zoneName = (zone: number): string => `zone-${zone}`;
    const regionName = (region: number): string => `region-${region}`;
    const zones = new Map(fleet.regionOfZone.map((r, zone) => [zoneName(zone), regionName(r)]));
    const zoneOf = (node: string): string | undefined => {
      const zone = fleet.zoneOfNode[Number(node.slice('node-'.length))];
      return zone === undefined ? undefined : zoneName(zone);
    };
    const names = fleet.zoneOfNode.map((_, index) => `node-${index}`);
    const live = names.filter((_, index) => index === 0 || !fleet.terminated.includes(index));
    const limits = { job: fleet.job?.map(regionName), tenant: fleet.tenant?.map(regionName) };
    const routes = matcherOf(limits);
    const own = zoneOf('node-0') ?? '';
    const topology = new ZoneTopology(own, zones);
    const residency = new JobResidency({ topology, self: 'node-0', zoneOf, routes: () => routes });
    const isInside = (node: string): boolean => {
      const region = zones.get(zoneOf(node) ?? '') ?? 'unknown';
      const isAllowedBy = (limit: readonly string[] | undefined): boolean =>
        limit === undefined || limit.includes(region);
      return isAllowedBy(limits.job) && isAllowedBy(limits.tenant);
    };
    const clock = new ManualClock();
    const localities = localitiesOf(topology, fleet.areZonesAutonomous);
    const placement = new JobPlacement({
      ...{ liveNodes: () => live, capacityOf: () => 1, clock },
      localities: localities && { ...localities, zoneOf },
    });
    const requestedNodes: string[] = [];
    const calls = {
      request: async (node: string) => {
        requestedNodes.push(node);
        const kind = fleet.outcomes.next().value;
        if (kind === 'refused' || kind === 'silent') return { kind };
        const failure = kind === 'taken' ? undefined : { kind: 'ledger_unavailable' };
        return { kind: 'answered', answer: { failure } };
      },
      isAlive: async (node: string) => {
        requestedNodes.push(node);
        return fleet.outcomes.next().value !== 'silent';
      },
      canReachStore: async () => true,
      findNodeReachingStore: async (_: string, mayAsk: (node: string) => boolean) =>
        live.filter((node) => node !== 'node-0').find(mayAsk),
    } as unknown as PeerRequester;
    const router = new SubmissionRouter({
      ...{ requester: calls, placement, clock, residency },
      fleet: { isStoreUnreachable: fleet.isStoreUnreachable } as unknown as FleetRegistry,
      self: { ...OWNER, node: 'node-0' },
      acceptsJobsWithoutStore: () => false,
    });
    const owners = placement.ownersOf(
      'job',
      undefined,
      residency.holderFilter(residency.regionsForSpec(spec)),
    );
    const isAnyInside = live.some(isInside);
    const path = await router.route(spec);
    const isKeptInside = path.kind !== 'here' || isInside('node-0');
    const canBeOwned = isAnyInside === owners.length > 0;
    return [...requestedNodes, ...owners].every(isInside) && isKeptInside && canBeOwned;
  });
  await fc.assert(property, { numRuns: 1_000 });
  t.pass('over generated topologies, limits and live nodes');
});
