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
import { openReplica, temporaryFolder } from '../journal/journal-fixtures.js';
import { answer, events, ScriptedEngine } from '../serving/serving-fixtures.js';
import { specification } from './job-fixtures.js';

const GATEWAYS = 4;
const ZONES = ['zone-1', 'zone-2'];
const REPLICAS = 3;
const ITEMS = 6;

/** The item that fails at each attempt, those that are whole later, and one that never is. */
const FAILING = 'item-1';
const LATE: readonly string[] = ['item-3', 'item-4'];
const ENDLESS = 'item-5';

/** Items that are listed before anything happens. */
const LISTED_FIRST = ITEMS - LATE.length - 1;

/** Time after a confirmation at which clients come again. */
const REPEAT_DELAY: Milliseconds = 1_000;

/** Length of a disturbance: longer than a takeover takes. */
const DISTURBED: Milliseconds = 3_000;

/** Time by which all gateways answer again. */
const SETTLED: Milliseconds = 6_000;

/** Runs items at once, but for those that are late or endless. */
class ItemWorkers extends ScriptedEngine {
  /** Whether the late items are whole at their next run. */
  isLate = true;

  override async send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    const { requestId } = request;
    const isHeld = requestId === ENDLESS || (this.isLate && LATE.includes(requestId));
    if (isHeld) return super.send(request, signal);
    if (requestId === FAILING) return answer('', { status: 500 });
    return answer(events(0, 'ab'), { isStream: true });
  }
}

interface JobInFleet {
  readonly fleet: JoinedGateways;
  readonly workers: ItemWorkers;
  readonly spec: JobSpecification;
  /** What any client has read so far. */
  readonly told: JobResult[];
}

const isFailure = (value: object): value is Failure => 'detail' in value;

/** Failures by which a gateway says that it does not know now. */
const UNSURE: readonly string[] = ['ledger_unavailable', 'outcome_unknown'];

const isUnsure = (value: object): boolean => isFailure(value) && UNSURE.includes(value.kind);

function ownerIn(fleet: JoinedGateways): JoinedGateway {
  const owner = fleet.gateways.find(({ node }) => node.jobs.ownedJobs().some((job) => job.isOpen));
  if (owner === undefined) throw new Error('nobody runs the job');
  return owner;
}

function othersIn(fleet: JoinedGateways): JoinedGateway[] {
  const owner = ownerIn(fleet);
  return fleet.gateways.filter((gateway) => gateway !== owner);
}

async function addReplicas(test: Pick<typeof t, 'teardown'>, fleet: JoinedGateways): Promise<void> {
  for (const zone of ZONES) {
    for (let index = 0; index < REPLICAS; index += 1) {
      const replica = await openReplica(temporaryFolder(test));
      const node = `disk-${zone}-${index}`;
      fleet.addReplica({ node, zone, address: `address-of-${node}`, disk: replica.disk }, replica);
      test.teardown(() => replica.stop());
    }
  }
}

/** A job, of which the first items are listed. */
async function jobInFleet(
  test: Pick<typeof t, 'teardown'>,
  zonesServeAlone: boolean,
): Promise<JobInFleet> {
  const workers = new ItemWorkers();
  const fleet = new JoinedGateways(workers, { replicasOfJob: zonesServeAlone ? REPLICAS : 0 });
  test.teardown(() => fleet.stop());
  if (zonesServeAlone) await addReplicas(test, fleet);
  await fleet.start(GATEWAYS, 1, ZONES.length);
  await fleet.formed();
  fleet.register('w1');
  fleet.register('w2');
  await fleet.allKnow(['w1', 'w2']);
  const spec = { ...specification('job', ITEMS), host: HOST, path: '/rollouts/' };
  const [first] = fleet.gateways;
  if (first === undefined) throw new Error('there is no gateway');
  const refusal = await first.node.submit(spec, () => true);
  if (refusal !== undefined) throw new Error(refusal.detail);
  await eventually(() => ownerIn(fleet).node.jobs.ownedJobs()[0]?.results.length === LISTED_FIRST);
  const told = ownerIn(fleet).node.jobs.ownedJobs()[0]?.results ?? [];
  return { fleet, workers, spec, told: [...told] };
}

const endAt = ({ node }: JoinedGateway): Promise<Failure | undefined> =>
  node.jobs.cancel('job', UNRESTRICTED, () => false);

/** What one look at a gateway came to: whether it knew, and what was wrong. */
interface Look {
  readonly isSure: boolean;
  readonly wrong: readonly string[];
}

/** Whether a read agrees with what others were told, and lacks nothing of it; takes in the rest. */
function takeRead(
  told: JobResult[],
  toldBefore: number,
  position: number,
  read: JobResult[],
): boolean {
  const known = told.slice(position, position + read.length);
  told.push(...read.slice(known.length));
  const isSame = JSON.stringify(read.slice(0, known.length)) === JSON.stringify(known);
  return isSame && (read.length > 0 || position >= toldBefore);
}

/** All that a client may ask of a job, at one gateway. */
async function lookAt(gateway: JoinedGateway, { spec, told }: JobInFleet): Promise<Look> {
  const { jobs } = gateway.node;
  const wrong: string[] = [];
  let isSure = true;
  const note = (what: string, answered: object | undefined, isRight: boolean): void => {
    if (answered !== undefined && isUnsure(answered)) isSure = false;
    else if (!isRight) wrong.push(`${gateway.name}: ${what}: ${JSON.stringify(answered)}`);
  };
  for (let position = 0; position <= told.length; position += 1) {
    const before = told.length;
    const read = await jobs.read('job', position, 0, UNRESTRICTED);
    const isRight = !isFailure(read) && takeRead(told, before, position, [...read.results]);
    note(`position ${position} of ${before}`, read, isRight);
  }
  const body = await jobs.itemBody('job', ENDLESS, UNRESTRICTED);
  const wanted = spec.items.find(({ id }) => id === ENDLESS)?.body;
  note('body', body, Buffer.isBuffer(body) && body.toString('base64') === wanted);
  const refusal = await gateway.node.submit(spec, () => false);
  note('submission', refusal, refusal === undefined);
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

/** Cuts the zone of a gateway off from the store and from the other zone. */
function cutZone(fleet: JoinedGateways, { zone }: JoinedGateway): () => void {
  fleet.cutZones.add(zone);
  const restore = cut(fleet.gateways.filter((gateway) => gateway.zone === zone));
  return () => {
    fleet.cutZones.delete(zone);
    restore();
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
  { name: "a cut of the owner's zone", begin: (fleet) => cutZone(fleet, ownerIn(fleet)) },
  {
    name: 'an outage of the store',
    begin: ({ store }) => {
      store.setAvailability('refusing');
      return () => store.setAvailability('up');
    },
  },
];

// Each fleet mostly waits.
t.jobs = 6;

t.test('an item that is given up is told as terminated, at its position', async (t) => {
  const job = await jobInFleet(t, false);
  const states = Object.fromEntries(job.told.map(({ id, state }) => [id, state]));
  t.same(states, { 'item-0': 'completed', [FAILING]: 'terminated', 'item-2': 'completed' });
});

for (const zonesServeAlone of [false, true]) {
  const where = zonesServeAlone ? ' where zones serve alone' : '';
  for (const { name, begin } of DISTURBANCES) {
    t.test(`an open job is looked at through ${name}${where}`, async (t) => {
      const job = await jobInFleet(t, zonesServeAlone);
      await sleep(REPEAT_DELAY);
      const end = begin(job.fleet);
      job.workers.isLate = false;
      const until = performance.now() + DISTURBED;
      while (performance.now() < until) {
        t.same(await lookEverywhere(job), []);
        await sleep(100);
      }
      end();
      t.same(await lookUntilSure(job), []);
    });

    t.test(`a job is ended once and again through ${name}${where}`, async (t) => {
      const job = await jobInFleet(t, zonesServeAlone);
      const end = begin(job.fleet);
      job.workers.isLate = false;
      const until = performance.now() + DISTURBED;
      // Long enough for another owner to list more.
      await sleep(DISTURBED / 2);
      while (performance.now() < until) {
        t.same(await lookEverywhere(job), []);
        for (const gateway of job.fleet.gateways) {
          const failure = await endAt(gateway);
          t.ok(failure === undefined || isUnsure(failure), failure?.detail ?? 'ended');
        }
        t.same(await lookEverywhere(job), []);
        await sleep(200);
      }
      end();
      t.same(await lookUntilSure(job), []);
      for (const gateway of job.fleet.gateways) {
        t.equal(await endAt(gateway), undefined, gateway.name);
        const open = gateway.node.jobs.ownedJobs().filter((owned) => owned.isOpen);
        t.same(open, [], gateway.name);
      }
      t.same(await lookUntilSure(job), []);
    });
  }
}
