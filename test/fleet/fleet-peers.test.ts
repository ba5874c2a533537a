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

/** Zone of each node; `node-1` is the node under test. */
const ZONES: Readonly<Record<string, string>> = {
  'node-1': 'zone-1',
  far: 'zone-2',
  near: 'zone-1',
};

interface Fixture {
  readonly peers: FleetPeers;
  readonly handler: PeerRequestHandler;
  readonly sent: { readonly address: string; readonly kind: string }[];
  /** The designated owners of the job, in order. */
  readonly owners: readonly string[];
}

/** `jobId` names the job whose owners are {@link Fixture.owners}. */
function fixture(
  isStoreUnreachable: boolean,
  answerOf: (address: string, request: PeerRequest) => unknown,
  jobId = 'job',
): Fixture {
  const sent: { address: string; kind: string }[] = [];
  const port: PeerPort = {
    async request<Kind extends PeerRequest['kind']>(address: string, request: PeerRequest) {
      sent.push({ address, kind: request.kind });
      const answer = await answerOf(address, request);
      const isMissing = answer === 'silent' || answer === 'refused';
      const outcome = isMissing ? { kind: answer } : { kind: 'answered', answer };
      return outcome as PeerOutcome<Kind>;
    },
  };
  const fleet = {
    isStoreUnreachable,
    requiresShortLease: true,
    isLive: () => true,
    liveNodes: () => Object.keys(ZONES),
    zoneOf: (node: string) => ZONES[node],
    addressOf: (node: string) => node,
    incarnationOf: (node: string) => ({ node, incarnation: 'life', address: node }),
  } as unknown as FleetRegistry;
  const unused = (): never => {
    throw new Error('unexpected call');
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
  const handler = new PeerRequestHandler({
    ...shared,
    jobs: () => JOBS as unknown as JobService,
    relay: unused,
    onUsageReported: () => t.fail('unexpected usage report'),
    decidePermits: unused,
    onWorkerCrashed: unused,
  });
  return { peers, handler, sent, owners: placement.ownersOf(jobId) };
}

/** Jobs whose owner was asked to cancel them and refused. */
const refusedCancellations: string[] = [];

const JOBS = {
  cancelOwn: async () => true,
  submitHere: async () => undefined,
  noteCancellationRequested: (job: string) => refusedCancellations.push(job),
};
const HERE = { kind: 'here', mayRunElsewhere: false };

/** A job whose first two owners are other nodes than `node-1`. */
function remoteJob(): { readonly job: string; readonly first: string; readonly second: string } {
  for (let index = 0; ; index += 1) {
    const job = `job-${index}`;
    const [first = '', second = '', third] = fixture(false, answerWithStore, job).owners;
    if (third === 'node-1') return { job, first, second };
  }
}

const answerWithStore = (address: string, request: PeerRequest): unknown =>
  request.kind === 'probe'
    ? { isAlive: true, reachesStore: true }
    : { at: address, failure: undefined };

t.test('the designated owner accepts a job', async (t) => {
  const { job, first } = remoteJob();
  const { peers, sent: asked } = fixture(false, answerWithStore);
  const path = await peers.submitElsewhere(specification(job, 1));
  t.same(path, { kind: 'answered', failure: undefined });
  t.same(asked, [{ address: first, kind: 'submit-for' }]);
});

t.test('a job that this node owns is not offered to another', async (t) => {
  let job = 0;
  while (fixture(false, answerWithStore, `job-${job}`).owners[0] !== 'node-1') job += 1;
  const { peers, sent: asked } = fixture(false, answerWithStore);
  t.same(await peers.submitElsewhere(specification(`job-${job}`, 1)), HERE);
  t.same(asked, []);
});

t.test(
  'where the owner is down or does not reach the store, the next one gets the offer',
  async (t) => {
    const { job, first, second } = remoteJob();
    const unavailable = { failure: { kind: 'ledger_unavailable' } };
    for (const answer of ['refused', unavailable]) {
      const { peers, sent: asked } = fixture(false, (address, request) =>
        address === first ? answer : answerWithStore(address, request),
      );
      const path = await peers.submitElsewhere(specification(job, 1));
      t.same(path, { kind: 'answered', failure: undefined });
      t.same(asked, [
        { address: first, kind: 'submit-for' },
        { address: second, kind: 'submit-for' },
      ]);
    }
  },
);

t.test(
  'a job that an unresponsive owner may have accepted is stored here and marked so',
  async (t) => {
    const { job } = remoteJob();
    const { peers } = fixture(false, () => 'silent');
    const path = await peers.submitElsewhere(specification(job, 1));
    t.same(path, { kind: 'here', mayRunElsewhere: true });
  },
);

t.test('a node that reaches the store forwards no requests', async (t) => {
  const { peers, sent: asked } = fixture(false, answerWithStore);
  t.equal(await peers.readElsewhere('job', 0, 0, UNRESTRICTED), undefined);
  t.equal(await peers.cancelElsewhere('job', UNRESTRICTED), undefined);
  t.same(asked, []);
});

t.test('a node without the store forwards to one of its zone that reaches it', async (t) => {
  const { peers } = fixture(true, answerWithStore);
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

t.test('where no node reaches the store, each handles its own requests', async (t) => {
  const { peers, sent: asked } = fixture(true, (_, request) =>
    request.kind === 'probe'
      ? { isAlive: true, reachesStore: false }
      : { failure: { kind: 'ledger_unavailable' } },
  );
  t.same(await peers.submitElsewhere(specification('job', 1)), HERE);
  t.ok(asked.every(({ kind }) => kind === 'probe' || kind === 'submit-for'));
});

t.test(
  'a job that another node may have accepted is not rejected as if it had not run',
  async (t) => {
    const { peers } = fixture(true, (_, request) =>
      request.kind === 'probe' ? { isAlive: true, reachesStore: true } : 'silent',
    );
    const path = await peers.submitElsewhere(specification('job', 1));
    t.match(path, { kind: 'answered', failure: { kind: 'outcome_unknown' } });
  },
);

t.test('a node without the store rejects jobs of other nodes at once', async (t) => {
  const { handler: answering } = fixture(true, answerWithStore);
  const answer = await answering.answer({
    kind: 'submit-for',
    spec: specification('job', 1),
    limit: 1_000,
  });
  t.match(answer, { failure: { kind: 'ledger_unavailable' } });
});

t.test('an owner without the store reports that and does not confirm a cancellation', async (t) => {
  const { handler: answering } = fixture(true, answerWithStore);
  const probe = await answering.answer({ kind: 'probe', owner: OWNER });
  t.same(probe, { isAlive: true, reachesStore: false, hasDuties: true });
  t.same(await answering.answer({ kind: 'end-job', job: 'job', caller: UNRESTRICTED }), {
    isEnded: false,
  });
  t.same(refusedCancellations, ['job']);
  const sound = fixture(false, answerWithStore);
  t.same(await sound.handler.answer({ kind: 'end-job', job: 'job', caller: UNRESTRICTED }), {
    isEnded: true,
  });
  t.same(refusedCancellations, ['job']);
});

t.test('the sender stops waiting for an owner that fails while it accepts a job', async (t) => {
  const { job } = remoteJob();
  const never = new Promise<never>(() => {});
  for (const probe of ['silent', { isAlive: true, reachesStore: false }]) {
    const { peers } = fixture(false, (_, request) => (request.kind === 'probe' ? probe : never));
    const startedAt = performance.now();
    const path = await peers.submitElsewhere(specification(job, 1));
    t.same(path, { kind: 'here', mayRunElsewhere: true });
    t.ok(performance.now() - startedAt < 2_000);
  }
});

t.test('the sender waits for an owner that waits for the store', async (t) => {
  const { job, first } = remoteJob();
  const slow = new Promise((resolve) => setTimeout(() => resolve({ failure: undefined }), 1_500));
  const { peers, sent: asked } = fixture(false, (_, request) =>
    request.kind === 'probe' ? { isAlive: true, reachesStore: true } : slow,
  );
  const path = await peers.submitElsewhere(specification(job, 1));
  t.same(path, { kind: 'answered', failure: undefined });
  t.same(asked[0], { address: first, kind: 'submit-for' });
});
