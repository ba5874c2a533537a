/**
 * Guards against orders under an expired lock and answers from stale state after a suspension,
 * during which the steady clock stands still.
 */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { CoordinatorLock } from '../../src/fleet/coordinator-lock.js';
import { DirectPrefixes } from '../../src/fleet/direct-prefixes.js';
import { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { PrefixSources } from '../../src/fleet/prefix-sources.js';
import { RelayRequests } from '../../src/fleet/relay-requests.js';
import type { PeerPort } from '../../src/peers/peer-messages.js';
import { NOT_GRANTER } from '../../src/placement/cold-permits.js';
import { PermitGranter } from '../../src/placement/permit-granter.js';
import { WorkerWarmth } from '../../src/placement/worker-warmth.js';
import { type Clock, PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { OWNER } from '../jobs/job-fixtures.js';
import { recordingLog, worker } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

const SILENT_PEERS: PeerPort = { request: async () => ({ kind: 'silent' }) };

/** The clock of this process, on a machine that a test suspends. */
class SuspendableClock implements Clock {
  suspended = 0;
  now(): number {
    return PROCESS_CLOCK.now();
  }
  suspendedTime(): number {
    return this.suspended;
  }
  wallTime(): number {
    return PROCESS_CLOCK.wallTime() + this.suspended;
  }
  sleep(duration: number): Promise<void> {
    return PROCESS_CLOCK.sleep(duration);
  }
}

interface Node {
  readonly store: SharedStoreEmulator;
  readonly clock: SuspendableClock;
  readonly fleet: FleetRegistry;
  readonly lock: CoordinatorLock;
}

async function coordinator(test: Pick<typeof t, 'teardown'>): Promise<Node> {
  const store = new SharedStoreEmulator();
  const clock = new SuspendableClock();
  const { log } = recordingLog();
  const fleet = new FleetRegistry({ store, self: OWNER, zone: 'zone-1', clock, log });
  const lock = new CoordinatorLock({
    store,
    fleet,
    self: OWNER,
    peers: SILENT_PEERS,
    clock,
    log,
    transferDelay: () => 0,
    areTokensChecked: () => false,
  });
  void fleet.start();
  const ticker = setInterval(() => lock.tick(), 5);
  test.teardown(async () => {
    clearInterval(ticker);
    store.setAvailability('up');
    await fleet.stop();
  });
  await eventually(() => lock.fencingToken() !== undefined);
  return { store, clock, fleet, lock };
}

t.test('a coordinator that was suspended gives no order before its lease is renewed', async (t) => {
  const { store, clock, fleet, lock } = await coordinator(t);
  store.setAvailability('silent');
  clock.suspended += 3_000;
  t.equal(lock.fencingToken(), undefined, 'at once, before any timer or answer');
  t.ok(fleet.leaseRemaining() < 0);
  t.ok(fleet.renewalAge() >= 3_000);
  store.setAvailability('up');
  fleet.noteSuspended();
  await eventually(() => lock.fencingToken() !== undefined);
  t.ok(fleet.renewalAge() < 1_000);
});

t.test('a coordinator grants no permits for cold workers after a suspension', async (t) => {
  const { store, clock, lock } = await coordinator(t);
  const warmth = new WorkerWarmth(clock);
  const cold = worker('w1', { coldFor: 60_000 });
  warmth.noteListed();
  warmth.noteRecord(cold);
  const granter = new PermitGranter({
    ...{ clock, warmth, tokenValidity: 0, workerOf: () => cold, probe: () => {} },
    tolerance: { factor: 1, requests: 0 },
    fencingToken: () => lock.fencingToken(),
    coldStartOf: () => ({ duration: 60_000, requestsPerSecond: 9 }),
  });
  const permitRequest = { worker: 'w1', life: 'w1', permits: 1, doubtAge: undefined };
  await eventually(() => granter.answer([permitRequest]).grants[0]?.permits === 1);
  store.setAvailability('silent');
  clock.suspended += 3_000;
  t.same(granter.answer([permitRequest]), NOT_GRANTER, 'at once');
  store.lapseLeases();
  store.setAvailability('up');
  const before = granter.refreshState();
  await eventually(() => lock.fencingToken() !== undefined);
  t.equal(before, 'none');
  t.equal(granter.answer([permitRequest]).grants[0]?.permits, 0, 'a new term waits');
});

t.test('the lock expires with a lease that expired during a suspension', async (t) => {
  const { store, clock, lock } = await coordinator(t);
  const before = lock.fencingToken() ?? 0;
  store.setAvailability('silent');
  clock.suspended += 3_000;
  store.lapseLeases();
  t.equal(lock.fencingToken(), undefined);
  store.setAvailability('up');
  await eventually(() => (lock.fencingToken() ?? 0) > before);
  t.pass('it is reacquired with a higher token');
});

t.test('a suspension shorter than the lease has no effect', async (t) => {
  const { clock, fleet, lock } = await coordinator(t);
  const before = lock.fencingToken();
  await eventually(() => fleet.renewalAge() < 100);
  clock.suspended += 200;
  t.equal(lock.fencingToken(), before);
});

t.test(
  'a relay that was suspended does not report "no changes" that it cannot know of',
  async (t) => {
    const store = new SharedStoreEmulator();
    const clock = new SuspendableClock();
    store.write('workers/w1', 'ready');
    const renewedAt = clock.now();
    const direct = new DirectPrefixes({
      store,
      clock,
      renewalAge: () => clock.now() + clock.suspended - renewedAt,
      boundPrefixes: ['workers/'],
      changeBound: () => 2_000,
    });
    await direct.list('workers/');
    const request = { kind: 'follow-prefix', prefix: 'workers/', after: 1, wait: 0 } as const;
    t.match(await direct.answer(request), { isCurrent: true });
    clock.suspended += 1_500;
    t.same(await direct.answer(request), { isCurrent: false });
    t.same(direct.answerList({ kind: 'list-prefix', prefix: 'workers/' }), { isCurrent: false });
  },
);

t.test('the age of a relay answer includes a suspension of the follower', async (t) => {
  const clock = new SuspendableClock();
  const answer = { isCurrent: true, changes: [], revision: 1, freshness: { age: 0, heldFor: 0 } };
  const { log } = recordingLog();
  const requests = new RelayRequests({
    peers: {
      request: async () => {
        clock.suspended += 3_000;
        return { kind: 'answered', answer: answer as never };
      },
    },
    fleet: () => ({ addressOf: (node) => node }),
    choice: { noteAnswer: () => {}, noteSilence: () => {}, penalize: () => {} },
    sources: new PrefixSources({ clock, log }),
    clock,
    metrics: new FleetMetrics(),
  });
  const outcome = await requests.send<'follow-prefix'>({
    ...{ prefix: 'workers/', relays: ['relay'], wait: 500 },
    ...{ firstTimeout: 500, nextTimeout: 100, timeout: 800 },
    request: (wait) => ({ kind: 'follow-prefix', prefix: 'workers/', after: 1, wait }),
    superseded: new AbortController().signal,
  });
  const duration = outcome.kind === 'answered' ? outcome.duration : 0;
  t.ok(duration >= 3_000, `${duration} ms`);
});
