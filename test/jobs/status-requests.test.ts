/**
 * Guards against wrong answers to status requests at any gateway during faults, and answers that
 * stay unavailable afterwards.
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

/** The item whose attempts all fail, those that complete later, and one that never completes. */
const FAILING = 'item-1';
const LATE: readonly string[] = ['item-3', 'item-4'];
const ENDLESS = 'item-5';

/** Number of items listed before the disturbance. */
const LISTED_FIRST = ITEMS - LATE.length - 1;

/** Time after the submission at which clients repeat it. */
const REPEAT_DELAY: Milliseconds = 1_000;

/** Duration of a disturbance; longer than a takeover. */
const DISTURBANCE_TIME: Milliseconds = 3_000;

/** Time within which all gateways answer again. */
const RECOVERY_TIMEOUT: Milliseconds = 6_000;

/** Completes items immediately, except the late and the endless ones. */
class ItemWorkers extends ScriptedEngine {
  /** Whether the late items still hang. */
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
  /** Results that any client has read so far. */
  readonly seen: JobResult[];
}

const isFailure = (value: object): value is Failure => 'detail' in value;

/** Kinds of failures that mean that a gateway cannot answer now. */
const UNAVAILABLE_KINDS: readonly string[] = ['ledger_unavailable', 'outcome_unknown'];

const isUnavailable = (value: object): boolean =>
  isFailure(value) && UNAVAILABLE_KINDS.includes(value.kind);

function ownerIn(fleet: JoinedGateways): JoinedGateway {
  const owner = fleet.gateways.find(({ node }) => node.jobs.ownedJobs().some((job) => job.isOpen));
  if (owner === undefined) throw new Error('no gateway runs the job');
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

/** A fleet with a job whose first items are listed. */
async function jobInFleet(
  test: Pick<typeof t, 'teardown'>,
  areZonesAutonomous: boolean,
): Promise<JobInFleet> {
  const workers = new ItemWorkers();
  const fleet = new JoinedGateways(workers, { replicasOfJob: areZonesAutonomous ? REPLICAS : 0 });
  test.teardown(() => fleet.stop());
  if (areZonesAutonomous) await addReplicas(test, fleet);
  await fleet.start(GATEWAYS, 1, ZONES.length);
  await fleet.formed();
  fleet.register('w1');
  fleet.register('w2');
  await fleet.allKnow(['w1', 'w2']);
  const spec = { ...specification('job', ITEMS), host: HOST, path: '/rollouts/' };
  const [first] = fleet.gateways;
  if (first === undefined) throw new Error('there is no gateway');
  const rejection = await first.node.submit(spec, () => true);
  if (rejection !== undefined) throw new Error(rejection.detail);
  await eventually(() => ownerIn(fleet).node.jobs.ownedJobs()[0]?.results.length === LISTED_FIRST);
  const seen = ownerIn(fleet).node.jobs.ownedJobs()[0]?.results ?? [];
  return { fleet, workers, spec, seen: [...seen] };
}

const cancelAt = ({ node }: JoinedGateway): Promise<Failure | undefined> =>
  node.jobs.cancel('job', UNRESTRICTED, () => false);

/** Outcome of checking one gateway: whether it could answer all requests, and wrong answers. */
interface CheckOutcome {
  readonly isAvailable: boolean;
  readonly errors: readonly string[];
}

/** Whether a read agrees with the results seen before and lacks none; adds new ones. */
function mergeRead(
  seen: JobResult[],
  seenBefore: number,
  position: number,
  read: JobResult[],
): boolean {
  const known = seen.slice(position, position + read.length);
  seen.push(...read.slice(known.length));
  const isSame = JSON.stringify(read.slice(0, known.length)) === JSON.stringify(known);
  return isSame && (read.length > 0 || position >= seenBefore);
}

/** Sends all status requests of a client to one gateway and checks the answers. */
async function checkGateway(
  gateway: JoinedGateway,
  { spec, seen }: JobInFleet,
): Promise<CheckOutcome> {
  const { jobs } = gateway.node;
  const errors: string[] = [];
  let isAvailable = true;
  const check = (request: string, answered: object | undefined, isRight: boolean): void => {
    if (answered !== undefined && isUnavailable(answered)) isAvailable = false;
    else if (!isRight) errors.push(`${gateway.name}: ${request}: ${JSON.stringify(answered)}`);
  };
  for (let position = 0; position <= seen.length; position += 1) {
    const before = seen.length;
    const read = await jobs.read('job', position, 0, UNRESTRICTED);
    const isRight = !isFailure(read) && mergeRead(seen, before, position, [...read.results]);
    check(`position ${position} of ${before}`, read, isRight);
  }
  const body = await jobs.itemBody('job', ENDLESS, UNRESTRICTED);
  const expected = spec.items.find(({ id }) => id === ENDLESS)?.body;
  check('body', body, Buffer.isBuffer(body) && body.toString('base64') === expected);
  const rejection = await gateway.node.submit(spec, () => false);
  check('submission', rejection, rejection === undefined);
  return { isAvailable, errors };
}

/** Checks all gateways; returns the wrong answers. */
async function checkAll(job: JobInFleet): Promise<string[]> {
  const checks = await Promise.all(job.fleet.gateways.map((gateway) => checkGateway(gateway, job)));
  return checks.flatMap(({ errors }) => errors);
}

/** Checks each gateway until it answers all requests; returns wrong and missing answers. */
async function checkUntilAvailable(job: JobInFleet): Promise<string[]> {
  const limit = performance.now() + RECOVERY_TIMEOUT;
  const checks = job.fleet.gateways.map(async (gateway) => {
    for (;;) {
      const { isAvailable, errors } = await checkGateway(gateway, job);
      if (errors.length > 0) return errors;
      if (isAvailable) return [];
      if (performance.now() > limit) return [`${gateway.name} does not answer`];
      await sleep(50);
    }
  });
  return (await Promise.all(checks)).flat();
}

/** A fault during the checks; `begin` returns the function that ends it. */
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

/** Partitions the zone of a gateway from the store and from the other zone. */
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

// The fleets mostly wait, so several tests run at a time.
t.jobs = 6;

t.test('an item whose attempts all fail is listed as terminated, at its position', async (t) => {
  const job = await jobInFleet(t, false);
  const states = Object.fromEntries(job.seen.map(({ id, state }) => [id, state]));
  t.same(states, { 'item-0': 'completed', [FAILING]: 'terminated', 'item-2': 'completed' });
});

for (const areZonesAutonomous of [false, true]) {
  const where = areZonesAutonomous ? ' with autonomous zones' : '';
  for (const { name, begin } of DISTURBANCES) {
    t.test(`status requests for an open job during ${name}${where}`, async (t) => {
      const job = await jobInFleet(t, areZonesAutonomous);
      await sleep(REPEAT_DELAY);
      const end = begin(job.fleet);
      job.workers.isLate = false;
      const until = performance.now() + DISTURBANCE_TIME;
      while (performance.now() < until) {
        t.same(await checkAll(job), []);
        await sleep(100);
      }
      end();
      t.same(await checkUntilAvailable(job), []);
    });

    t.test(`repeated cancellations of a job during ${name}${where}`, async (t) => {
      const job = await jobInFleet(t, areZonesAutonomous);
      const end = begin(job.fleet);
      job.workers.isLate = false;
      const until = performance.now() + DISTURBANCE_TIME;
      // Long enough for another owner to list more.
      await sleep(DISTURBANCE_TIME / 2);
      while (performance.now() < until) {
        t.same(await checkAll(job), []);
        for (const gateway of job.fleet.gateways) {
          const failure = await cancelAt(gateway);
          t.ok(failure === undefined || isUnavailable(failure), failure?.detail ?? 'ended');
        }
        t.same(await checkAll(job), []);
        await sleep(200);
      }
      end();
      t.same(await checkUntilAvailable(job), []);
      for (const gateway of job.fleet.gateways) {
        t.equal(await cancelAt(gateway), undefined, gateway.name);
        const open = gateway.node.jobs.ownedJobs().filter((owned) => owned.isOpen);
        t.same(open, [], gateway.name);
      }
      t.same(await checkUntilAvailable(job), []);
    });
  }
}
