import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { CoordinatorLock } from '../../src/fleet/coordinator-lock.js';
import { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { FENCING_TOKEN_VALIDITY } from '../../src/fleet/transfer-wait.js';
import type { JobOwner } from '../../src/jobs/job-records.js';
import type { PeerOutcome, PeerPort } from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { OTHER, OWNER } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

const SILENT_PEERS: PeerPort = { request: async () => ({ kind: 'silent' }) };

interface Candidate {
  readonly fleet: FleetRegistry;
  readonly lock: CoordinatorLock;
  stop(): Promise<void>;
  /** Stops attempts to acquire the lock; the node still answers requests. */
  stopTrying(): void;
  /** Stops the node without revoking its lease, as a crash does. */
  crash(): void;
}

function startCandidate(
  store: SharedStoreEmulator,
  self: JobOwner,
  transferDelay: number,
  areTokensChecked = false,
  /** How the previous holder answers a request to resign. */
  peers: PeerPort = SILENT_PEERS,
): Candidate {
  const { log } = recordingLog();
  const clock = PROCESS_CLOCK;
  const fleet = new FleetRegistry({ store, self, zone: 'zone-1', clock, log });
  const lock = new CoordinatorLock({
    store,
    fleet,
    self,
    peers,
    clock,
    log,
    transferDelay: () => transferDelay,
    areTokensChecked: () => areTokensChecked,
  });
  fleet.start();
  const ticker = setInterval(() => lock.tick(), 5);
  const stop = (): Promise<void> => {
    clearInterval(ticker);
    return fleet.stop();
  };
  const crash = (): void => {
    clearInterval(ticker);
    store.revokeLease = async () => {};
    void fleet.stop();
  };
  return { fleet, lock, stop, stopTrying: () => clearInterval(ticker), crash };
}

/** Returns when the store last committed a change of the lock, so that a stall is not counted. */
function timeOfLastLockCommit(store: SharedStoreEmulator): () => Milliseconds {
  const commit = store.commit.bind(store);
  let lastCommitAt: Milliseconds = Number.POSITIVE_INFINITY;
  store.commit = async (request) => {
    const outcome = await commit(request);
    const changesLock = request.put?.some(({ key }) => key === 'fleet/coordinator') === true;
    if (outcome.kind === 'committed' && changesLock) lastCommitAt = performance.now();
    return outcome;
  };
  return () => lastCommitAt;
}

t.test('one of two nodes holds the lock, and each new holder has a higher token', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const successor = startCandidate(store, OTHER, 0);
  await eventually(() => successor.lock.holder === 'node-1');
  const firstToken = holder.lock.fencingToken() ?? 0;
  t.equal(successor.lock.fencingToken(), undefined);
  await holder.stop();
  await eventually(() => successor.lock.fencingToken() !== undefined);
  t.ok((successor.lock.fencingToken() ?? 0) > firstToken);
  t.equal(successor.lock.holder, 'node-2');
  await successor.stop();
});

t.test('a new holder waits for the orders of the previous one', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 60_000);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const successor = startCandidate(store, OTHER, 60_000);
  await eventually(() => successor.lock.holder === 'node-1');
  await holder.stop();
  await eventually(() => successor.lock.holder === 'node-2');
  t.equal(successor.lock.fencingToken(), undefined);
  await successor.stop();
});

t.test('the last holder reacquires an expired lock at once, with a higher token', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 60_000);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const firstToken = holder.lock.fencingToken() ?? 0;
  store.lapseLeases();
  await eventually(() => (holder.lock.fencingToken() ?? 0) > firstToken);
  t.pass('no wait although the transfer delay is a minute');
  await holder.stop();
});

t.test('a restarted holder reacquires its own lock at once, with a higher token', async (t) => {
  const store = new SharedStoreEmulator();
  const before = startCandidate(store, OWNER, 60_000);
  await eventually(() => before.lock.fencingToken() !== undefined);
  const firstToken = before.lock.fencingToken() ?? 0;
  const other = startCandidate(store, OTHER, 60_000);
  await eventually(() => other.lock.holder === 'node-1');
  before.crash();
  const after = startCandidate(store, { ...OWNER, incarnation: 'life-after' }, 60_000);
  await eventually(() => after.lock.fencingToken() !== undefined);
  t.ok((after.lock.fencingToken() ?? 0) > firstToken);
  t.equal(other.lock.fencingToken(), undefined);
  await after.stop();
  await other.stop();
});

t.test('a node of the same name at another address is another holder', async (t) => {
  const store = new SharedStoreEmulator();
  const before = startCandidate(store, OWNER, 60_000);
  await eventually(() => before.lock.fencingToken() !== undefined);
  before.crash();
  const moved = { ...OWNER, incarnation: 'life-after', address: '127.0.0.1:77' };
  const after = startCandidate(store, moved, 60_000);
  await eventually(() => after.lock.holder === 'node-1');
  t.equal(after.lock.fencingToken(), undefined);
  const lockBefore = store.valueOf('fleet/coordinator');
  store.lapseLeases();
  await eventually(() => (store.valueOf('fleet/coordinator') ?? lockBefore) !== lockBefore);
  await eventually(() => after.lock.holder === 'node-1');
  t.equal(after.lock.fencingToken(), undefined, 'it waits for the orders of the previous holder');
  await after.stop();
});

t.test('no orders without a lease that is certainly valid', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  store.setAvailability('refusing');
  await eventually(() => holder.lock.fencingToken() === undefined);
  t.equal(holder.lock.holder, 'node-1', 'no change of the lock was reported');
  store.setAvailability('up');
  await holder.stop();
});

t.test('a new lease does not restore a lock that expired with the previous lease', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const lease = holder.fleet.leaseId;
  const firstToken = holder.lock.fencingToken() ?? 0;
  // This node's watch reports neither the lost lock nor its next holder.
  store.deafenWatches();
  store.lapseLease(lease);
  const lock = { node: 'node-2', address: '127.0.0.1:2', nonce: 'other' };
  store.write('fleet/coordinator', JSON.stringify(lock));
  await eventually(() => holder.fleet.leaseId !== lease && holder.fleet.leaseRemaining() > 1_500);
  t.equal(holder.lock.fencingToken(), undefined, `token ${firstToken} is not used again`);
  store.compact();
  await eventually(() => holder.lock.holder === 'node-2');
  t.equal(holder.lock.fencingToken(), undefined);
  await holder.stop();
});

t.test('a node whose lock expired unnoticed reacquires it with few calls', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 60_000);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const firstToken = holder.lock.fencingToken() ?? 0;
  store.deafenWatches();
  store.lapseLease(holder.fleet.leaseId);
  const before = store.calls.get('commit') ?? 0;
  await eventually(() => (holder.lock.fencingToken() ?? 0) > firstToken);
  const commits = (store.calls.get('commit') ?? 0) - before;
  t.ok(commits <= 5, `${commits} commits`);
  store.compact();
  await holder.stop();
});

t.test('a token that a worker rejected is not used again', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 60_000);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const refused = holder.lock.fencingToken() ?? 0;
  holder.lock.noteRefused(refused);
  t.not(holder.lock.fencingToken(), refused);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  t.ok((holder.lock.fencingToken() ?? 0) > refused, 'only a newer one is used');
  await holder.stop();
});

t.test('a new holder waits for as long as the previous one may rely on its lease', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const successor = startCandidate(store, OTHER, 0);
  await eventually(() => successor.lock.holder === 'node-1');
  // The lock is removed while its holder may still rely on its lease.
  holder.crash();
  const lastCommitAt = timeOfLastLockCommit(store);
  store.erase('fleet/coordinator');
  await eventually(() => successor.lock.holder === 'node-2');
  t.equal(successor.lock.fencingToken(), undefined);
  await eventually(() => successor.lock.fencingToken() !== undefined);
  t.ok(performance.now() - lastCommitAt() >= FENCING_TOKEN_VALIDITY);
  await successor.stop();
});

t.test('where workers check tokens, a new holder waits only for the transfer delay', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0, true);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const successor = startCandidate(store, OTHER, 0, true);
  await eventually(() => successor.lock.holder === 'node-1');
  holder.crash();
  store.erase('fleet/coordinator');
  await eventually(() => successor.lock.holder === 'node-2');
  t.not(successor.lock.fencingToken(), undefined);
  await successor.stop();
});

/** Peers that pass a request to resign on to a holder. */
function resigningPeers(holder: () => CoordinatorLock): PeerPort {
  return {
    request: async () => {
      const answer = { lastOrderAge: holder().resign() };
      return { kind: 'answered', answer } as unknown as PeerOutcome<never>;
    },
  };
}

t.test('a holder that resigns shortens the wait by the age of its last order', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  t.not(holder.lock.beginOrder(), undefined);
  holder.lock.endOrder();
  holder.stopTrying();
  await PROCESS_CLOCK.sleep(300);
  const successor = startCandidate(
    store,
    OTHER,
    1_500,
    false,
    resigningPeers(() => holder.lock),
  );
  await eventually(() => successor.lock.holder === 'node-1');
  store.lapseLease(holder.fleet.leaseId);
  await eventually(() => successor.lock.holder === 'node-2');
  const takenAt = performance.now();
  t.equal(successor.lock.fencingToken(), undefined, 'the last order is not old enough');
  await eventually(() => successor.lock.fencingToken() !== undefined);
  t.ok(performance.now() - takenAt < 1_400, 'in place of 2,500 ms');
  t.equal(holder.lock.fencingToken(), undefined);
  await holder.stop();
  await successor.stop();
});

t.test('an order in flight makes the next holder wait for the full delay', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  holder.lock.beginOrder();
  t.equal(holder.lock.resign(), 0);
  t.equal(holder.lock.fencingToken(), undefined);
  holder.lock.endOrder();
  await holder.stop();
});

t.test('a suspected holder that resigns loses the lock although its lease is valid', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const successor = startCandidate(
    store,
    OTHER,
    0,
    false,
    resigningPeers(() => holder.lock),
  );
  await eventually(() => successor.lock.holder === 'node-1');
  await successor.lock.takeOverFrom(OWNER);
  await eventually(() => successor.lock.fencingToken() !== undefined);
  t.equal(holder.lock.fencingToken(), undefined);
  await holder.stop();
  await successor.stop();
});

t.test(
  'a suspected holder that does not answer keeps the lock until its lease expires',
  async (t) => {
    const store = new SharedStoreEmulator();
    const holder = startCandidate(store, OWNER, 0);
    await eventually(() => holder.lock.fencingToken() !== undefined);
    const successor = startCandidate(store, OTHER, 0);
    await eventually(() => successor.lock.holder === 'node-1');
    await successor.lock.takeOverFrom(OWNER);
    await PROCESS_CLOCK.sleep(100);
    t.equal(successor.lock.holder, 'node-1');
    t.not(holder.lock.fencingToken(), undefined);
    await holder.stop();
    await successor.stop();
  },
);

t.test('the lock of a holder whose process has terminated is free at once', async (t) => {
  const store = new SharedStoreEmulator();
  const holder = startCandidate(store, OWNER, 0);
  await eventually(() => holder.lock.fencingToken() !== undefined);
  const refusing: PeerPort = { request: async () => ({ kind: 'refused' }) };
  const successor = startCandidate(store, OTHER, 0, true, refusing);
  await eventually(() => successor.lock.holder === 'node-1');
  holder.crash();
  await successor.lock.takeOverFrom(OWNER);
  await eventually(() => successor.lock.fencingToken() !== undefined);
  t.pass('before the lease of the previous holder expires');
  await successor.stop();
});

t.test('a new incarnation reports no orders only since its own start', async (t) => {
  const store = new SharedStoreEmulator();
  const candidate = startCandidate(store, OWNER, 60_000);
  const startedAt = performance.now();
  await PROCESS_CLOCK.sleep(100);
  const age = candidate.lock.resign();
  t.ok(age >= 90 && age <= performance.now() - startedAt + 50, `${age} ms`);
  await candidate.stop();
});

/** Two nodes of which the first has acted as coordinator and crashed, and the second has the lock. */
async function crashedAndWaiting(store: SharedStoreEmulator): Promise<Candidate> {
  const first = startCandidate(store, OWNER, 0);
  await eventually(() => first.lock.fencingToken() !== undefined);
  const second = startCandidate(store, OTHER, 60_000);
  await eventually(() => second.lock.holder === 'node-1');
  first.crash();
  store.erase('fleet/coordinator');
  await eventually(() => second.lock.holder === 'node-2');
  return second;
}

t.test('a holder that ended while it waited for earlier orders waits again', async (t) => {
  const store = new SharedStoreEmulator();
  const waiting = await crashedAndWaiting(store);
  t.equal(waiting.lock.fencingToken(), undefined);
  waiting.crash();
  const lockBefore = store.valueOf('fleet/coordinator');
  const restarted = startCandidate(store, { ...OTHER, incarnation: 'life-after' }, 60_000);
  await eventually(() => (store.valueOf('fleet/coordinator') ?? lockBefore) !== lockBefore);
  await PROCESS_CLOCK.sleep(50);
  t.equal(restarted.lock.holder, 'node-2');
  t.equal(restarted.lock.fencingToken(), undefined, 'the first node may just have given an order');
  await restarted.stop();
});

t.test('a holder that resigns while it waits reports the age of earlier orders', async (t) => {
  const store = new SharedStoreEmulator();
  const waiting = await crashedAndWaiting(store);
  t.equal(waiting.lock.resign(), 0, 'not the time since its start, as it gave no order');
  await waiting.stop();
});

t.test('once its wait is over, a restarted holder acts at once', async (t) => {
  const store = new SharedStoreEmulator();
  const first = startCandidate(store, OWNER, 0);
  await eventually(() => first.lock.fencingToken() !== undefined);
  const second = startCandidate(store, OTHER, 100);
  await eventually(() => second.lock.holder === 'node-1');
  first.crash();
  store.erase('fleet/coordinator');
  await eventually(() => second.lock.fencingToken() !== undefined);
  await eventually(() => (store.valueOf('fleet/coordinator-term') ?? '').includes('Holders":[]'));
  second.crash();
  const restarted = startCandidate(store, { ...OTHER, incarnation: 'life-after' }, 60_000);
  await eventually(() => restarted.lock.fencingToken() !== undefined);
  t.pass('no wait although the transfer delay is a minute');
  await restarted.stop();
});

t.test('a term of an older build does not say who gave the last orders', async (t) => {
  const store = new SharedStoreEmulator();
  const { node, address } = OWNER;
  store.write('fleet/coordinator-term', JSON.stringify({ node, address, nonce: 'older' }));
  const restarted = startCandidate(store, OWNER, 60_000);
  await eventually(() => restarted.lock.holder === 'node-1');
  t.equal(restarted.lock.fencingToken(), undefined);
  await restarted.stop();
});

t.test('a lock that is acquired after its node resigned is not used', async (t) => {
  const store = new SharedStoreEmulator();
  const commit = store.commit.bind(store);
  let answerCommit = (): void => {};
  const candidate = startCandidate(store, OWNER, 0);
  store.commit = async (request) => {
    const outcome = await commit(request);
    const isLock = request.put?.some(({ key }) => key === 'fleet/coordinator') === true;
    if (isLock) await new Promise<void>((resolve) => (answerCommit = resolve));
    return outcome;
  };
  await eventually(() => store.valueOf('fleet/coordinator') !== undefined);
  candidate.lock.resign();
  answerCommit();
  await PROCESS_CLOCK.sleep(50);
  t.equal(candidate.lock.fencingToken(), undefined);
  await candidate.stop();
});
