import t from 'tap';
import { FleetPeers } from '../../src/fleet/fleet-peers.js';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import type { JobService } from '../../src/jobs/job-service.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { OWNER, specification } from '../jobs/job-fixtures.js';

/** Zone of each node; `node-1` is the one on trial. */
const ZONES: Readonly<Record<string, string>> = {
  'node-1': 'zone-1',
  far: 'zone-2',
  near: 'zone-1',
};

interface Fixture {
  readonly peers: FleetPeers;
  readonly asked: { readonly address: string; readonly kind: string }[];
}

function fixture(
  isCutOff: boolean,
  answerOf: (address: string, request: PeerRequest) => unknown,
): Fixture {
  const asked: { address: string; kind: string }[] = [];
  const port: PeerPort = {
    async ask<Kind extends PeerRequest['kind']>(address: string, request: PeerRequest) {
      asked.push({ address, kind: request.kind });
      const answer = answerOf(address, request);
      const outcome = answer === 'silent' ? { kind: 'silent' } : { kind: 'answered', answer };
      return outcome as PeerOutcome<Kind>;
    },
  };
  const fleet = {
    isCutOff,
    liveNodes: () => Object.keys(ZONES),
    zoneOf: (node: string) => ZONES[node],
    addressOf: (node: string) => node,
    ownerOf: (node: string) => ({ node, incarnation: 'life', address: node }),
  } as unknown as FleetRegistry;
  const unused = (): never => {
    throw new Error('not used');
  };
  const peers = new FleetPeers({
    port,
    fleet,
    self: OWNER,
    zone: 'zone-1',
    clock: PROCESS_CLOCK,
    metrics: new FleetMetrics(),
    jobs: () => ({ endOwn: async () => true }) as unknown as JobService,
    lock: unused,
    relay: unused,
    weightsNeeded: unused,
  });
  return { peers, asked };
}

const reaching = (address: string, request: PeerRequest): unknown =>
  request.kind === 'probe' ? { isAlive: true, reachesStore: true } : { at: address };

t.test('a node that reaches the store asks nobody', async (t) => {
  const { peers, asked } = fixture(false, reaching);
  t.equal(await peers.submitElsewhere(specification('job', 1)), undefined);
  t.equal(await peers.readElsewhere('job', 0, 0), undefined);
  t.equal(await peers.endElsewhere('job'), undefined);
  t.same(asked, []);
});

t.test('a node that is cut off asks one of its zone that reaches the store', async (t) => {
  const { peers } = fixture(true, reaching);
  t.same(await peers.submitElsewhere(specification('job', 1)), { at: 'near' });
  t.same(await peers.endElsewhere('job'), { at: 'near' });
  const farOnly = fixture(true, (address, request) =>
    request.kind === 'probe'
      ? { isAlive: true, reachesStore: address === 'far' }
      : { read: { at: address } },
  );
  t.same(await farOnly.peers.readElsewhere('job', 0, 0), { at: 'far' });
});

t.test('where no node reaches the store, each does what it can by itself', async (t) => {
  const { peers, asked } = fixture(true, () => ({ isAlive: true, reachesStore: false }));
  t.equal(await peers.submitElsewhere(specification('job', 1)), undefined);
  t.ok(asked.every(({ kind }) => kind === 'probe'));
});

t.test('a job that another node may have taken is not refused as if it had not run', async (t) => {
  const { peers } = fixture(true, (_, request) =>
    request.kind === 'probe' ? { isAlive: true, reachesStore: true } : 'silent',
  );
  const passedOn = await peers.submitElsewhere(specification('job', 1));
  t.match(passedOn, { failure: { kind: 'outcome_unknown' } });
});

t.test('an owner that is cut off says so, and does not claim to have ended a job', async (t) => {
  const { peers } = fixture(true, reaching);
  const probe = await peers.answer({ kind: 'probe', owner: OWNER });
  t.same(probe, { isAlive: true, reachesStore: false });
  t.same(await peers.answer({ kind: 'end-job', job: 'job' }), { isEnded: false });
  const sound = fixture(false, reaching);
  t.same(await sound.peers.answer({ kind: 'end-job', job: 'job' }), { isEnded: true });
});
