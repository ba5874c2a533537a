/**
 * Guards against the loss of service and of jobs in a region that is partitioned from the other
 * region or only from the store.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { JoinedGateways } from '../../lab/emulator/joined-gateways.js';
import type { EngineOutcome, EnginePort, EngineRequest } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { always, specification } from '../jobs/job-fixtures.js';
import { answer, events, ScriptedEngine } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

const REGIONS = new Map([
  ['zone-1', 'north'],
  ['zone-2', 'south'],
]);
const SOUTH = 'zone-2';
const ITEMS = 6;

/** Time after the first unanswered call until a node considers the store unreachable. */
const OUTAGE_NOTICE_TIME = 500;

/** Workers that answer lookups at once, and items after a while. */
class RegionalWorkers extends ScriptedEngine implements EnginePort {
  itemTime = 5;

  override async send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    this.requests.push(request);
    if (request.path.startsWith('/look/')) return answer(`from ${request.worker.zone}`);
    await sleep(this.itemTime, undefined, { signal }).catch(() => {});
    if (signal.aborted) return { kind: 'failed', mayHaveRun: true, cause: 'cancelled' };
    return answer(events(0, request.path.at(-1) ?? ''), { isStream: true });
  }

  /** Zones of the workers that received items. */
  itemZones(): Set<string> {
    const items = this.requests.filter(({ path }) => path.startsWith('/rollouts/'));
    return new Set(items.map(({ worker }) => worker.zone));
  }
}

const CONFIGURATION = {
  version: 2,
  routes: [
    { ...routeOf('lookups', 'site.example', '/look/', 'read_only'), service: 'lookups' },
    { ...routeOf('rollouts', 'trainer.example', '/rollouts/', 'rollout'), service: 'models' },
  ],
  services: [{ name: 'lookups' }, { name: 'models' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 2_000_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

function routeOf(name: string, host: string, path: string, kind: string) {
  return { name, host, path_prefix: path, kind, max_attempts: 2, timeout_ms: 5_000 };
}

/** Four gateways and a worker of each service in each of two regions. */
async function startFleet(test: Pick<typeof t, 'teardown'>) {
  const engine = new RegionalWorkers();
  const fleet = new JoinedGateways(engine, { regions: REGIONS });
  await fleet.start(8, 2, 2);
  test.teardown(() => fleet.stop());
  await fleet.formed();
  fleet.store.write('op/config', JSON.stringify(CONFIGURATION));
  for (const zone of REGIONS.keys()) {
    fleet.register(`lookups-${zone}`, zone);
    const models = [{ name: 'model-a', version: 1 }];
    const record = { service: 'models', address: '10.0.0.2:80', zone, slots: 8, state: 'ready' };
    fleet.store.write(`servers/models-${zone}`, JSON.stringify({ ...record, models }));
  }
  await eventually(() =>
    fleet.gateways.every(
      ({ node }) => node.registry.all().length === 4 && node.configuration.version === 2,
    ),
  );
  const inSouth = fleet.gateways.filter((_, index) => index % 2 === 1);
  return { engine, fleet, inSouth };
}

type Started = Awaited<ReturnType<typeof startFleet>>;
type Gateway = Started['inSouth'][number];

/** Expires the leases of the southern nodes. */
function expireSouthLeases({ fleet, inSouth }: Started): void {
  for (const { name } of inSouth) fleet.store.erase(`fleet/node/${name}`);
}

/** Resolves once all southern nodes know that they do not reach the store. */
async function outageNoticed({ inSouth }: Started): Promise<void> {
  const isNoticed = (line: string): boolean => line.includes('store-lost');
  await eventually(() => inSouth.every(({ lines }) => lines.some(isNoticed)));
  await sleep(OUTAGE_NOTICE_TIME);
}

/** Reads a job at one gateway until all results are listed; returns them in order. */
async function readAll({ node }: Gateway, job: string): Promise<readonly string[]> {
  const texts: string[] = [];
  while (texts.length < ITEMS) {
    const read = await node.jobs.read(job, texts.length, 0, UNRESTRICTED);
    if (!('detail' in read)) texts.push(...read.results.map(({ id, text }) => `${id} ${text}`));
    await sleep(50);
  }
  return texts;
}

t.test('without failures a region serves its own callers and jobs', async (t) => {
  const { engine, fleet, inSouth } = await startFleet(t);
  for (const gateway of inSouth) {
    t.equal((await fleet.ask(gateway, '/look/a', 'x')).body, `from ${SOUTH}`);
  }
  const [southGateway] = inSouth;
  if (southGateway === undefined) return t.fail('no gateway');
  t.equal(await southGateway.node.submit(specification('job', ITEMS), always), undefined);
  t.equal((await readAll(southGateway, 'job')).length, ITEMS);
  t.same([...engine.itemZones()], [SOUTH]);
  const owners = fleet.gateways.filter(({ node }) => node.jobs.ownedJobs().length > 0);
  t.equal(owners.length, 1);
  t.ok(
    owners.every((gateway) => inSouth.includes(gateway)),
    'a node of the region runs the job',
  );
});

t.test('a region partitioned from the other serves lookups and rejects jobs', async (t) => {
  const started = await startFleet(t);
  const { engine, fleet, inSouth } = started;
  fleet.isLinkUp = false;
  fleet.withoutStore.add('south');
  await outageNoticed(started);
  engine.requests.length = 0;
  for (let round = 0; round < 5; round += 1) {
    for (const gateway of inSouth) {
      t.equal((await fleet.ask(gateway, '/look/a', 'x')).body, `from ${SOUTH}`);
    }
  }
  t.ok(engine.requests.every(({ worker }) => worker.zone === SOUTH));
  const [southGateway] = inSouth;
  if (southGateway === undefined) return t.fail('no gateway');
  let isWanted = true;
  setTimeout(() => {
    isWanted = false;
  }, 1_000);
  const refusal = await southGateway.node.submit(specification('job', ITEMS), () => isWanted);
  t.ok(refusal !== undefined, 'no job is confirmed that only this region would store');
  fleet.isLinkUp = true;
  fleet.withoutStore.clear();
  await eventually(() => fleet.gateways.every(({ node }) => node.liveNodes === 8));
  t.equal(await southGateway.node.submit(specification('job', ITEMS), always), undefined);
  t.equal((await readAll(southGateway, 'job')).length, ITEMS);
});

t.test('a job of a partitioned region goes on in the other, with each result once', async (t) => {
  const started = await startFleet(t);
  const { engine, fleet, inSouth } = started;
  const [southGateway] = inSouth;
  const inNorth = fleet.gateways.find((gateway) => !inSouth.includes(gateway));
  if (southGateway === undefined || inNorth === undefined) return t.fail('no gateway');
  engine.itemTime = 400;
  t.equal(await southGateway.node.submit(specification('job', ITEMS), always), undefined);
  fleet.isLinkUp = false;
  fleet.withoutStore.add('south');
  expireSouthLeases(started);
  const atNorth = await readAll(inNorth, 'job');
  t.equal(new Set(atNorth).size, ITEMS, 'each item once');
  const partitionedRead = await southGateway.node.jobs.read('job', 0, 0, UNRESTRICTED);
  const results = 'detail' in partitionedRead ? [] : partitionedRead.results;
  t.same(results, [], 'the partitioned region returns no result that the store has not confirmed');
  fleet.isLinkUp = true;
  fleet.withoutStore.clear();
  t.same(await readAll(southGateway, 'job'), atNorth, 'the same results at the same positions');
});

t.test('a region that only lost the store has its jobs accepted by the other', async (t) => {
  const started = await startFleet(t);
  const { fleet, inSouth } = started;
  fleet.withoutStore.add('south');
  await outageNoticed(started);
  const [southGateway] = inSouth;
  if (southGateway === undefined) return t.fail('no gateway');
  t.equal(await southGateway.node.submit(specification('job', ITEMS), always), undefined);
  t.equal((await readAll(southGateway, 'job')).length, ITEMS);
  t.equal((await fleet.ask(southGateway, '/look/a', 'x')).body, `from ${SOUTH}`);
});
