/**
 * Guards against jobs being stored, read or taken over outside the regions that their limit allows,
 * also during partitions and after changes of the limit.
 */
import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { always } from '../jobs/job-fixtures.js';
import { eventually } from './fleet-fixtures.js';
import {
  jobOn,
  type Limits,
  RegionalGateways,
  type Replicas,
  replicasInAllZones,
} from './regional-gateways.js';

/** Three gateways in each region, so that a rendezvous hash alone would select owners in both. */
const LAYOUT = {
  ...{ 'n-1': 'north-1', 'n-2': 'north-1', 'n-3': 'north-2' },
  ...{ 's-1': 'south-1', 's-2': 'south-1', 's-3': 'south-2' },
};
const SOUTHERN = ['s-1', 's-2', 's-3'];
const LIMITED_TO_SOUTH: Limits = { routes: { pinned: ['south'] } };
const JOBS = ['job-1', 'job-2', 'job-3', 'job-4', 'job-5', 'job-6'];

async function fleetWith(limits: Limits, replicas?: Replicas): Promise<RegionalGateways> {
  const fleet = new RegionalGateways(replicas);
  await fleet.start(LAYOUT, limits);
  return fleet;
}

/** Polls a job until all of its results are listed. */
async function untilResultsListed(fleet: RegionalGateways, at: string, job: string): Promise<void> {
  const { node } = fleet.gatewayNamed(at);
  let listed = 0;
  const read = async (): Promise<void> => {
    const answer = await node.jobs.read(job, 0, 0, UNRESTRICTED);
    listed = 'results' in answer ? answer.results.length : 0;
  };
  await eventually(() => {
    void read();
    return listed === 2;
  });
}

t.test(
  'a job is stored, run and read in its region, whichever gateway its caller uses',
  async (t) => {
    const fleet = await fleetWith(LIMITED_TO_SOUTH);
    for (const [index, job] of JOBS.entries()) {
      const at = ['n-1', 's-1', 'n-3'][index % 3] ?? 'n-1';
      t.equal(
        await fleet.gatewayNamed(at).node.submit(jobOn('pinned', job), always),
        undefined,
        job,
      );
      await untilResultsListed(fleet, at, job);
    }
    t.same(fleet.workerRegions(), ['south']);
    const north = fleet.deliveries.filter(({ to }) => to.startsWith('n'));
    t.ok(
      north.every(({ by }) => by === 'job-results'),
      'results go to the caller’s own gateway only',
    );
    t.notOk(
      north.some(({ to }) => to === 'n-2'),
      'no caller is connected there',
    );
    t.equal(fleet.reachedIn('south').length > 0, true, 'the recorder sees bodies');
    await fleet.stop();
  },
);

t.test(
  'disjoint limits of a route and a tenant allow no region, and jobs are rejected at once',
  async (t) => {
    const fleet = await fleetWith({ ...LIMITED_TO_SOUTH, tenants: { owner: ['north'] } });
    const startedAt = PROCESS_CLOCK.now();
    for (const { node } of fleet.all()) {
      const refusal = await node.submit(jobOn('pinned', 'job', 'owner'), always);
      t.match(refusal, { kind: 'region_unavailable' });
    }
    t.ok(PROCESS_CLOCK.now() - startedAt < 1_000);
    t.same(fleet.deliveries, []);
    t.same(fleet.engine.requests, []);
    t.match(fleet.gatewayNamed('n-1').lines.join(''), /job-refused/);
    await fleet.stop();
  },
);

t.test('the limit of a tenant applies on a route without one', async (t) => {
  const fleet = await fleetWith({ tenants: { owner: ['south'] } });
  for (const job of JOBS) {
    await fleet.gatewayNamed('n-1').node.submit(jobOn('free', job, 'owner'), always);
  }
  await eventually(() => fleet.engine.requests.length >= 2 * JOBS.length);
  t.same(fleet.workerRegions(), ['south']);
  t.same(fleet.reachedIn('north'), []);
  await fleet.stop();
});

t.test('a limit to an unknown region allows no region, and is logged', async (t) => {
  const fleet = await fleetWith({ routes: { pinned: ['suoth'] } });
  const { node, lines } = fleet.gatewayNamed('n-1');
  t.match(lines.join(''), /"limits":"route pinned".*"region":"suoth".*region-unknown/);
  t.match(await node.submit(jobOn('pinned', 'job'), always), { kind: 'region_unavailable' });
  t.same(fleet.deliveries, []);
  t.equal(await node.submit(jobOn('free', 'other'), always), undefined, 'other work continues');
  await fleet.stop();
});

t.test(
  'while regions are partitioned, a gateway outside rejects jobs that are not stored',
  async (t) => {
    const fleet = await fleetWith(LIMITED_TO_SOUTH);
    fleet.areRegionsPartitioned = true;
    const refusal = await fleet.gatewayNamed('n-1').node.submit(jobOn('pinned', 'job'), always);
    t.match(refusal, { kind: 'region_unavailable' }, 'it was sent to no node');
    t.same(fleet.deliveries, []);
    t.same(fleet.runnersOf('job'), []);
    fleet.areRegionsPartitioned = false;
    t.equal(await fleet.gatewayNamed('s-1').node.submit(jobOn('pinned', 'job'), always), undefined);
    fleet.areRegionsPartitioned = true;
    t.equal(
      await fleet.gatewayNamed('n-2').node.submit(jobOn('pinned', 'job'), always),
      undefined,
      'a repetition of a stored job is accepted',
    );
    await fleet.stop();
  },
);

t.test(
  'jobs limited to a region wait for it after all of its owners have terminated',
  async (t) => {
    const fleet = await fleetWith(LIMITED_TO_SOUTH);
    fleet.engine.holds = true;
    await fleet.gatewayNamed('n-1').node.submit(jobOn('pinned', 'job'), always);
    const [owner = ''] = fleet.runnersOf('job');
    t.ok(SOUTHERN.includes(owner), owner);
    for (const name of SOUTHERN) fleet.store.erase(`fleet/node/${name}`);
    fleet.areRegionsPartitioned = true;
    // Longer than the delays of all nodes that scan for the jobs of a lost owner.
    await PROCESS_CLOCK.sleep(3_500);
    t.notOk(fleet.runnersOf('job').some((name) => name.startsWith('n')));
    t.same(fleet.reachedIn('north'), []);
    await fleet.stop();
  },
);

t.test('a job is taken over within its region, whichever node finds it orphaned', async (t) => {
  const fleet = await fleetWith(LIMITED_TO_SOUTH);
  fleet.engine.holds = true;
  for (const job of JOBS) await fleet.gatewayNamed('n-1').node.submit(jobOn('pinned', job), always);
  const [lost = ''] = fleet.runnersOf('job-1');
  await fleet.gatewayNamed(lost).node.stop();
  await eventually(() => JOBS.every((job) => fleet.runnersOf(job).some((name) => name !== lost)));
  const runners = JOBS.flatMap((job) => fleet.runnersOf(job));
  t.ok(
    runners.every((name) => SOUTHERN.includes(name)),
    runners.join(),
  );
  t.same(fleet.reachedIn('north'), []);
  await fleet.stop();
});

t.test(
  'a limit added while a job runs transfers the job, and later items stay in the region',
  async (t) => {
    const fleet = await fleetWith({ routes: { pinned: ['north'] } });
    fleet.engine.holds = true;
    for (const job of JOBS)
      await fleet.gatewayNamed('n-1').node.submit(jobOn('pinned', job), always);
    t.ok(JOBS.flatMap((job) => fleet.runnersOf(job)).every((name) => name.startsWith('n')));
    fleet.configure(LIMITED_TO_SOUTH);
    await fleet.configured();
    const sentBefore = fleet.engine.requests.length;
    await eventually(() =>
      JOBS.every((job) => {
        const runners = fleet.runnersOf(job);
        return runners.length === 1 && SOUTHERN.includes(runners[0] ?? '');
      }),
    );
    fleet.engine.holds = false;
    const later = fleet.engine.requests.slice(sentBefore).map(({ worker }) => worker.zone);
    t.ok(
      later.every((zone) => zone === 'south-1'),
      later.join(),
    );
    await fleet.stop();
  },
);

t.test('a job whose route is removed stays in the region that accepted it', async (t) => {
  const fleet = await fleetWith({ routes: { pinned: ['south'], other: ['north'] } });
  fleet.engine.holds = true;
  await fleet.gatewayNamed('s-1').node.submit(jobOn('pinned', 'job'), always);
  fleet.configure({ routes: { other: ['north'] } });
  await fleet.configured();
  const [lost = ''] = fleet.runnersOf('job');
  await fleet.gatewayNamed(lost).node.stop();
  await eventually(() => fleet.runnersOf('job').some((name) => name !== lost));
  t.ok(fleet.runnersOf('job').every((name) => SOUTHERN.includes(name)));
  t.same(fleet.reachedIn('north'), []);
  await fleet.stop();
});

t.test('a gateway without the store reads results within their region', async (t) => {
  const fleet = await fleetWith(LIMITED_TO_SOUTH);
  await fleet.gatewayNamed('s-1').node.submit(jobOn('pinned', 'job'), always);
  await untilResultsListed(fleet, 's-1', 'job');
  fleet.withoutStore.add('n-1');
  await PROCESS_CLOCK.sleep(1_500);
  fleet.deliveries.length = 0;
  const read = await fleet.gatewayNamed('n-1').node.jobs.read('job', 0, 0, UNRESTRICTED);
  t.match(read, { total: 2, results: { length: 2 } });
  t.ok(fleet.deliveries.every(({ to }) => to === 'n-1' || SOUTHERN.includes(to)));
  await fleet.stop();
});

t.test('a gateway outside caches the owner of a job and reads the store no more', async (t) => {
  const fleet = await fleetWith(LIMITED_TO_SOUTH);
  await fleet.gatewayNamed('s-1').node.submit(jobOn('pinned', 'job'), always);
  await untilResultsListed(fleet, 'n-1', 'job');
  fleet.store.calls.clear();
  const { node } = fleet.gatewayNamed('n-1');
  for (const after of [0, 1, 2, 0]) {
    t.match(await node.jobs.read('job', after, 0, UNRESTRICTED), {
      results: { length: 2 - after },
    });
  }
  t.equal(fleet.store.calls.get('get') ?? 0, 0);
  await fleet.stop();
});

t.test('without limits the other region takes over the jobs of a failed region', async (t) => {
  const fleet = await fleetWith({});
  fleet.engine.holds = true;
  await fleet.gatewayNamed('s-1').node.submit(jobOn('free', 'job'), always);
  const [owner = ''] = fleet.runnersOf('job');
  t.ok(SOUTHERN.includes(owner), owner);
  fleet.areRegionsPartitioned = true;
  for (const name of SOUTHERN) fleet.store.erase(`fleet/node/${name}`);
  await eventually(() => fleet.runnersOf('job').some((name) => name.startsWith('n')));
  t.pass('only its limit keeps a limited job back');
  await fleet.stop();
});

t.test('without limits jobs run in the region in which they were submitted', async (t) => {
  const fleet = await fleetWith({});
  fleet.engine.holds = true;
  const jobs = Array.from({ length: 20 }, (_, index) => `job-${index}`);
  const handedInAt = (at: string): string[] => jobs.map((job) => `${at}-${job}`);
  for (const at of ['n-1', 's-1']) {
    for (const job of handedInAt(at)) {
      t.equal(await fleet.gatewayNamed(at).node.submit(jobOn('free', job), always), undefined);
    }
  }
  const runnersOf = (at: string): string[] =>
    handedInAt(at).flatMap((job) => [...fleet.runnersOf(job)]);
  t.equal(runnersOf('n-1').length, jobs.length, 'each job has one owner');
  t.ok(runnersOf('n-1').every((name) => name.startsWith('n-')));
  t.equal(runnersOf('s-1').length, jobs.length);
  t.ok(runnersOf('s-1').every((name) => SOUTHERN.includes(name)));
  await fleet.stop();
});

t.test(
  'with autonomous zones a job and its journal are stored in the region of the job',
  async (t) => {
    const fleet = await fleetWith(LIMITED_TO_SOUTH, await replicasInAllZones(t));
    await fleet.gatewayNamed('n-1').node.submit(jobOn('pinned', 'first'), always);
    // Jobs are written to the journal while the store is slow.
    fleet.commitTime = 300;
    for (const [index, job] of JOBS.entries()) {
      const at = ['n-1', 's-1', 'n-3'][index % 3] ?? 'n-1';
      t.equal(
        await fleet.gatewayNamed(at).node.submit(jobOn('pinned', job), always),
        undefined,
        job,
      );
      await untilResultsListed(fleet, at, job);
    }
    t.same(fleet.workerRegions(), ['south']);
    const north = fleet.deliveries.filter(({ to }) => to.startsWith('n'));
    t.ok(north.every(({ by }) => by === 'job-results'));
    t.ok(
      fleet.deliveries.some(({ to, by }) => to.startsWith('replica') && by === 'journal-append'),
    );
    t.same(
      fleet.reachedIn('north').filter((name) => name.startsWith('replica')),
      [],
    );
    // The journal's entries are repeated until the store has them.
    fleet.commitTime = 0;
    const listed = (job: string): boolean =>
      fleet.store.valueOf(`job/head/${job}`)?.includes('"listed":2') === true;
    await eventually(() => JOBS.every(listed));
    await fleet.stop();
  },
);
