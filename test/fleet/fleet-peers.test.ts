import t from 'tap';
import { FleetPeers } from '../../src/fleet/fleet-peers.js';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { JobPlacement } from '../../src/fleet/job-placement.js';
import { PeerRequestHandler } from '../../src/fleet/peer-request-handler.js';
import type { JobService } from '../../src/jobs/job-service.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { OWNER, specification } from '../jobs/job-fixtures.js';

/** Zone of each node; `node-1` is the one on trial. */
const ZONES: Readonly<Record<string, string>> = {
  'node-1': 'zone-1',
  far: 'zone-2',
  near: 'zone-1',
};

interface Fixture {
  readonly peers: FleetPeers;
  readonly answering: PeerRequestHandler;
  readonly asked: { readonly address: string; readonly kind: string }[];
  /** The nodes that are to run the job, in order. */
  readonly owners: readonly string[];
}

/** `jobId` names the job of which {@link Fixture.owners} tells. */
function fixture(
  isStoreUnreachable: boolean,
  answerOf: (address: string, request: PeerRequest) => unknown,
  jobId = 'job',
): Fixture {
  const asked: { address: string; kind: string }[] = [];
  const port: PeerPort = {
    async request<Kind extends PeerRequest['kind']>(address: string, request: PeerRequest) {
      asked.push({ address, kind: request.kind });
      const answer = await answerOf(address, request);
      const isMissing = answer === 'silent' || answer === 'refused';
      const outcome = isMissing ? { kind: answer } : { kind: 'answered', answer };
      return outcome as PeerOutcome<Kind>;
    },
  };
  const fleet = {
    isStoreUnreachable: isStoreUnreachable,
    requiresShortLease: true,
    isLive: () => true,
    liveNodes: () => Object.keys(ZONES),
    zoneOf: (node: string) => ZONES[node],
    addressOf: (node: string) => node,
    incarnationOf: (node: string) => ({ node, incarnation: 'life', address: node }),
  } as unknown as FleetRegistry;
  const unused = (): never => {
    throw new Error('not used');
  };
  const placement = new JobPlacement({
    liveNodes: () => Object.keys(ZONES),
    capacityOf: () => 1,
    clock: PROCESS_CLOCK,
  });
  const shared = {
    ...{ port, fleet, placement, self: OWNER, zone: 'zone-1', clock: PROCESS_CLOCK },
    metrics: new FleetMetrics(),
    lock: unused,
    acceptsJobsWithoutStore: () => false,
    onWeightChanged: () => {},
    onWeightsNeeded: unused,
  };
  const peers = new FleetPeers(shared);
  const answering = new PeerRequestHandler({
    ...shared,
    jobs: () => JOBS as unknown as JobService,
    relay: unused,
    onUsageReported: () => t.fail('nobody told usage'),
    permits: unused,
    onWorkerCrashed: unused,
  });
  return { peers, answering, asked, owners: placement.ownersOf(jobId) };
}

const JOBS = { cancelOwn: async () => true, submitHere: async () => undefined };
const HERE = { kind: 'here', mayRunElsewhere: false };

/** A job that other nodes than `node-1` are to run first, in this order. */
function jobOfOthers(): { readonly job: string; readonly first: string; readonly second: string } {
  for (let index = 0; ; index += 1) {
    const job = `job-${index}`;
    const [first = '', second = '', third] = fixture(false, reaching, job).owners;
    if (third === 'node-1') return { job, first, second };
  }
}

const reaching = (address: string, request: PeerRequest): unknown =>
  request.kind === 'probe'
    ? { isAlive: true, reachesStore: true }
    : { at: address, failure: undefined };

t.test('the node that is to run a job takes it in', async (t) => {
  const { job, first } = jobOfOthers();
  const { peers, asked } = fixture(false, reaching);
  const path = await peers.submitElsewhere(specification(job, 1));
  t.same(path, { kind: 'answered', failure: undefined });
  t.same(asked, [{ address: first, kind: 'submit-for' }]);
});

t.test('a job that this node is to run is offered to nobody', async (t) => {
  let job = 0;
  while (fixture(false, reaching, `job-${job}`).owners[0] !== 'node-1') job += 1;
  const { peers, asked } = fixture(false, reaching);
  t.same(await peers.submitElsewhere(specification(`job-${job}`, 1)), HERE);
  t.same(asked, []);
});

t.test('where the owner is gone or does not reach the store, the next one is asked', async (t) => {
  const { job, first, second } = jobOfOthers();
  const unavailable = { failure: { kind: 'ledger_unavailable' } };
  for (const answer of ['refused', unavailable]) {
    const { peers, asked } = fixture(false, (address, request) =>
      address === first ? answer : reaching(address, request),
    );
    const path = await peers.submitElsewhere(specification(job, 1));
    t.same(path, { kind: 'answered', failure: undefined });
    t.same(asked, [
      { address: first, kind: 'submit-for' },
      { address: second, kind: 'submit-for' },
    ]);
  }
});

t.test('a job that a silent owner may have taken is stored here, and not forgotten', async (t) => {
  const { job } = jobOfOthers();
  const { peers } = fixture(false, () => 'silent');
  const path = await peers.submitElsewhere(specification(job, 1));
  t.same(path, { kind: 'here', mayRunElsewhere: true });
});

t.test('a node that reaches the store asks nobody', async (t) => {
  const { peers, asked } = fixture(false, reaching);
  t.equal(await peers.readElsewhere('job', 0, 0, UNRESTRICTED), undefined);
  t.equal(await peers.cancelElsewhere('job', UNRESTRICTED), undefined);
  t.same(asked, []);
});

t.test('a node that is cut off asks one of its zone that reaches the store', async (t) => {
  const { peers } = fixture(true, reaching);
  const path = await peers.submitElsewhere(specification('job', 1));
  t.same(path, { kind: 'answered', failure: undefined });
  t.match(await peers.cancelElsewhere('job', UNRESTRICTED), { at: 'near' });
  const farOnly = fixture(true, (address, request) =>
    request.kind === 'probe'
      ? { isAlive: true, reachesStore: address === 'far' }
      : { read: { at: address } },
  );
  t.same(await farOnly.peers.readElsewhere('job', 0, 0, UNRESTRICTED), { at: 'far' });
});

t.test('where no node reaches the store, each does what it can by itself', async (t) => {
  const { peers, asked } = fixture(true, (_, request) =>
    request.kind === 'probe'
      ? { isAlive: true, reachesStore: false }
      : { failure: { kind: 'ledger_unavailable' } },
  );
  t.same(await peers.submitElsewhere(specification('job', 1)), HERE);
  t.ok(asked.every(({ kind }) => kind === 'probe' || kind === 'submit-for'));
});

t.test('a job that another node may have taken is not refused as if it had not run', async (t) => {
  const { peers } = fixture(true, (_, request) =>
    request.kind === 'probe' ? { isAlive: true, reachesStore: true } : 'silent',
  );
  const path = await peers.submitElsewhere(specification('job', 1));
  t.match(path, { kind: 'answered', failure: { kind: 'outcome_unknown' } });
});

t.test('a node that is cut off refuses at once to take a job in for another', async (t) => {
  const { answering } = fixture(true, reaching);
  const answer = await answering.answer({
    kind: 'submit-for',
    spec: specification('job', 1),
    limit: 1_000,
  });
  t.match(answer, { failure: { kind: 'ledger_unavailable' } });
});

t.test('an owner that is cut off says so, and does not claim to have ended a job', async (t) => {
  const { answering } = fixture(true, reaching);
  const probe = await answering.answer({ kind: 'probe', owner: OWNER });
  t.same(probe, { isAlive: true, reachesStore: false, hasDuties: true });
  t.same(await answering.answer({ kind: 'end-job', job: 'job', caller: UNRESTRICTED }), {
    isEnded: false,
  });
  const sound = fixture(false, reaching);
  t.same(await sound.answering.answer({ kind: 'end-job', job: 'job', caller: UNRESTRICTED }), {
    isEnded: true,
  });
});

t.test('an owner that stops answering while it takes a job in is not waited for', async (t) => {
  const { job } = jobOfOthers();
  const never = new Promise<never>(() => {});
  for (const probe of ['silent', { isAlive: true, reachesStore: false }]) {
    const { peers } = fixture(false, (_, request) => (request.kind === 'probe' ? probe : never));
    const startedAt = performance.now();
    const path = await peers.submitElsewhere(specification(job, 1));
    t.same(path, { kind: 'here', mayRunElsewhere: true });
    t.ok(performance.now() - startedAt < 2_000);
  }
});

t.test('an owner that waits for the store is waited for', async (t) => {
  const { job, first } = jobOfOthers();
  const slow = new Promise((resolve) => setTimeout(() => resolve({ failure: undefined }), 1_500));
  const { peers, asked } = fixture(false, (_, request) =>
    request.kind === 'probe' ? { isAlive: true, reachesStore: true } : slow,
  );
  const path = await peers.submitElsewhere(specification(job, 1));
  t.same(path, { kind: 'answered', failure: undefined });
  t.same(asked[0], { address: first, kind: 'submit-for' });
});
