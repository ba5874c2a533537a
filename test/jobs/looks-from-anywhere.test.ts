/**
 * Other clients of a tenant look at its jobs at any gateway: they read from any position, ask for
 * bodies, end a job once more, and hand one in again whose submission was just confirmed. Whatever
 * happens to gateways meanwhile, an answer is right or says that it can't be given now; and soon
 * after, each gateway gives the right one.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { HOST, type JoinedGateway, JoinedGateways } from '../../lab/emulator/joined-gateways.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { Failure } from '../../src/errors/error-kinds.js';
import type { JobResult, JobSpecification } from '../../src/jobs/job-records.js';
import type { EngineOutcome, EngineRequest } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { answer, events, ScriptedEngine } from '../serving/serving-fixtures.js';
import { specification } from './job-fixtures.js';

const GATEWAYS = 4;
const ZONES = 2;
const ITEMS = 4;

/** The item that fails at each attempt, and the one that no worker finishes. */
const FAILING = 'item-1';
const ENDLESS = 'item-3';

/** Items that are listed while the job is open. */
const LISTED = ITEMS - 1;

/** Time after a confirmation at which clients come again. */
const REPEAT_DELAY: Milliseconds = 1_000;

/** Length of a disturbance: longer than a takeover takes. */
const DISTURBED: Milliseconds = 3_000;

/** Time by which all gateways answer again. */
const SETTLED: Milliseconds = 6_000;

/** Runs items at once, but for the endless one. */
class ItemWorkers extends ScriptedEngine {
  override async send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    if (request.requestId === ENDLESS) return super.send(request, signal);
    if (request.requestId === FAILING) return answer('', { status: 500 });
    return answer(events(0, 'ab'), { isStream: true });
  }
}

interface JobInFleet {
  readonly fleet: JoinedGateways;
  readonly spec: JobSpecification;
  /** What a caller has read. */
  readonly told: readonly JobResult[];
}

const isFailure = (value: object | undefined): value is Failure =>
  value !== undefined && 'detail' in value;

/** Failures by which a gateway says that it does not know now. */
const UNSURE: readonly string[] = ['ledger_unavailable', 'outcome_unknown'];

function ownerIn(fleet: JoinedGateways): JoinedGateway {
  const owner = fleet.gateways.find(({ node }) => node.jobs.ownedJobs().some((job) => job.isOpen));
  if (owner === undefined) throw new Error('nobody runs the job');
  return owner;
}

function othersIn(fleet: JoinedGateways): JoinedGateway[] {
  const owner = ownerIn(fleet);
  return fleet.gateways.filter((gateway) => gateway !== owner);
}

/** A job, all of which is listed but its endless item. */
async function jobInFleet(test: Pick<typeof t, 'teardown'>): Promise<JobInFleet> {
  const fleet = new JoinedGateways(new ItemWorkers());
  test.teardown(() => fleet.stop());
  await fleet.start(GATEWAYS, 1, ZONES);
  await fleet.formed();
  fleet.register('w1');
  fleet.register('w2');
  await fleet.allKnow(['w1', 'w2']);
  const spec = { ...specification('job', ITEMS), host: HOST, path: '/rollouts/' };
  const [first] = fleet.gateways;
  if (first === undefined) throw new Error('there is no gateway');
  const refusal = await first.node.submit(spec, () => true);
  if (refusal !== undefined) throw new Error(refusal.detail);
  await eventually(() => ownerIn(fleet).node.jobs.ownedJobs()[0]?.results.length === LISTED);
  const told = ownerIn(fleet).node.jobs.ownedJobs()[0]?.results ?? [];
  return { fleet, spec, told: [...told] };
}

const endAt = ({ node }: JoinedGateway): Promise<Failure | undefined> =>
  node.jobs.end('job', UNRESTRICTED, () => false);

/** What one look at a gateway came to: whether it knew, and what was wrong. */
interface Look {
  readonly isSure: boolean;
  readonly wrong: readonly string[];
}

/** All that a client may ask of an open job, at one gateway. */
async function lookAt(gateway: JoinedGateway, { spec, told }: JobInFleet): Promise<Look> {
  const { jobs } = gateway.node;
  const wrong: string[] = [];
  let isSure = true;
  const note = (what: string, found: unknown, wanted: unknown): void => {
    const failed = typeof found === 'object' && found !== null && isFailure(found);
    if (failed && UNSURE.includes(found.kind)) isSure = false;
    else if (JSON.stringify(found) !== JSON.stringify(wanted)) {
      wrong.push(`${gateway.name}: ${what}: ${JSON.stringify(found)}`);
    }
  };
  for (let position = 0; position < told.length; position += 1) {
    const read = await jobs.read('job', position, 0, UNRESTRICTED);
    const found = isFailure(read) ? read : read.results.slice(0, told.length - position);
    note(`position ${position}`, found, told.slice(position));
  }
  const body = await jobs.body('job', ENDLESS, UNRESTRICTED);
  const wanted = spec.items.find(({ id }) => id === ENDLESS)?.body;
  note('body', Buffer.isBuffer(body) ? body.toString('base64') : body, wanted);
  note('submission', await gateway.node.submit(spec, () => false), undefined);
  return { isSure, wrong };
}

/** Looks at all gateways; tells what was wrong. */
async function lookEverywhere(job: JobInFleet): Promise<string[]> {
  const looks = await Promise.all(job.fleet.gateways.map((gateway) => lookAt(gateway, job)));
  return looks.flatMap(({ wrong }) => wrong);
}

/** Looks until each gateway has answered all; tells what was wrong, and who did not answer. */
async function lookUntilSure(job: JobInFleet): Promise<string[]> {
  const limit = performance.now() + SETTLED;
  const looks = job.fleet.gateways.map(async (gateway) => {
    for (;;) {
      const { isSure, wrong } = await lookAt(gateway, job);
      if (wrong.length > 0) return wrong;
      if (isSure) return [];
      if (performance.now() > limit) return [`${gateway.name} is not sure`];
      await sleep(50);
    }
  });
  return (await Promise.all(looks)).flat();
}

/** Something that happens to gateways while they are looked at; the function it gives ends it. */
interface Disturbance {
  readonly name: string;
  readonly begin: (fleet: JoinedGateways) => () => void;
}

function cut(gateways: readonly JoinedGateway[]): () => void {
  for (const { link } of gateways) link.isCut = true;
  return () => {
    for (const { link } of gateways) link.isCut = false;
  };
}

const DISTURBANCES: readonly Disturbance[] = [
  { name: 'nothing', begin: () => () => {} },
  {
    name: 'a loss of the owner',
    begin: (fleet) => {
      fleet.crash(ownerIn(fleet));
      return () => {};
    },
  },
  {
    name: 'a restart of the owner',
    begin: (fleet) => {
      const owner = ownerIn(fleet);
      fleet.crash(owner);
      fleet.add(owner.zone, owner.name);
      return () => {};
    },
  },
  {
    name: 'a restart of all gateways',
    begin: (fleet) => {
      for (const gateway of [...fleet.gateways]) {
        fleet.crash(gateway);
        fleet.add(gateway.zone, gateway.name);
      }
      return () => {};
    },
  },
  { name: 'a cut of the owner from the store', begin: (fleet) => cut([ownerIn(fleet)]) },
  { name: 'a cut of all but the owner', begin: (fleet) => cut(othersIn(fleet)) },
  {
    name: 'a cut of all but one that does not own the job',
    begin: (fleet) => {
      const [spared] = othersIn(fleet);
      return cut(fleet.gateways.filter((gateway) => gateway !== spared));
    },
  },
  {
    name: 'an outage of the store',
    begin: ({ store }) => {
      store.setAvailability('refusing');
      return () => store.setAvailability('up');
    },
  },
];

// Each fleet mostly waits.
t.jobs = 4;

t.test('an item that is given up is told as terminated, at its position', async (t) => {
  const job = await jobInFleet(t);
  const states = Object.fromEntries(job.told.map(({ id, state }) => [id, state]));
  t.same(states, { 'item-0': 'completed', [FAILING]: 'terminated', 'item-2': 'completed' });
});

for (const { name, begin } of DISTURBANCES) {
  t.test(`an open job is looked at through ${name}`, async (t) => {
    const job = await jobInFleet(t);
    await sleep(REPEAT_DELAY);
    const end = begin(job.fleet);
    const until = performance.now() + DISTURBED;
    while (performance.now() < until) {
      t.same(await lookEverywhere(job), []);
      await sleep(100);
    }
    end();
    t.same(await lookUntilSure(job), []);
  });

  t.test(`a job is ended once and again through ${name}`, async (t) => {
    const job = await jobInFleet(t);
    const end = begin(job.fleet);
    const until = performance.now() + DISTURBED;
    let isEnded = false;
    while (performance.now() < until) {
      for (const gateway of job.fleet.gateways) {
        const failure = await endAt(gateway);
        isEnded ||= failure === undefined;
        t.ok(failure === undefined || UNSURE.includes(failure.kind), failure?.detail ?? 'ended');
      }
      t.same(await lookEverywhere(job), []);
      await sleep(200);
    }
    end();
    t.ok(isEnded || name === 'an outage of the store');
    t.same(await lookUntilSure(job), []);
    for (const gateway of job.fleet.gateways) {
      t.equal(await endAt(gateway), undefined, gateway.name);
      t.same(
        gateway.node.jobs.ownedJobs().filter((owned) => owned.isOpen),
        [],
      );
    }
    t.same(await lookUntilSure(job), []);
  });
}
