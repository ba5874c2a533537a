/** Guards against sending items of an ended job that is submitted again while the store is slow. */
import t, { type Test } from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode, keepWorking } from './job-node.js';

/** Longer than a node waits for the store before it starts the items of a new job. */
const SLOW_COMMIT: Milliseconds = 600;

const JOB = specification('job', 4);

/** The store with slow commits, and reads that are answered, refused or not answered. */
function slowStore(
  emulator: SharedStoreEmulator,
  reads: 'answered' | 'refused' | 'hanging' = 'answered',
): SharedStore {
  return {
    get: (key) => {
      if (reads === 'hanging') return new Promise(() => {});
      if (reads === 'refused') return Promise.resolve({ kind: 'failed', effect: 'not-done' });
      return emulator.get(key);
    },
    range: (prefix, afterKey) => emulator.range(prefix, afterKey),
    watch: (...watch) => emulator.watch(...watch),
    commit: async (commit) => {
      await PROCESS_CLOCK.sleep(SLOW_COMMIT);
      return emulator.commit(commit);
    },
    grantLease: (ttl) => emulator.grantLease(ttl),
    renewLease: (lease) => emulator.renewLease(lease),
    revokeLease: (lease) => emulator.revokeLease(lease),
  };
}

/** A node with a worker that the slow store serves, and the number of requests that it sent. */
function nodeWithWorker(
  t: Test,
  store: SharedStore,
): { readonly node: JobNode; readonly sent: () => number } {
  const engine = new ScriptedEngine();
  const node = jobNode(store, OTHER, engine, NO_PEERS, { isStoreUnreachable: () => false });
  node.registry.put(worker('w1'));
  const ticker = keepWorking(node);
  t.teardown(() => {
    clearInterval(ticker);
    node.dispatcher.stop();
  });
  return { node, sent: () => engine.requests.length };
}

/** A store in which another node has accepted the job, and has ended it for its caller. */
async function storeWithEndedJob(): Promise<SharedStoreEmulator> {
  const emulator = new SharedStoreEmulator();
  const first = jobNode(emulator, OWNER);
  await first.service.submit(JOB, always);
  await first.service.cancel(JOB.id, UNRESTRICTED, always);
  first.dispatcher.stop();
  return emulator;
}

for (const reads of ['answered', 'refused', 'hanging'] as const) {
  t.test(`no items of an ended job are sent, reads ${reads}`, async (t) => {
    const store = slowStore(await storeWithEndedJob(), reads);
    const { node, sent } = nodeWithWorker(t, store);
    void node.service.submit(JOB, () => false);
    await PROCESS_CLOCK.sleep(SLOW_COMMIT - 100);
    t.equal(sent(), 0);
    await PROCESS_CLOCK.sleep(300);
    t.equal(sent(), 0);
  });
}

t.test('items of a new job are sent before a slow commit is answered', async (t) => {
  const { node, sent } = nodeWithWorker(t, slowStore(new SharedStoreEmulator()));
  const startedAt = performance.now();
  const submission = node.service.submit(JOB, always);
  await eventually(() => sent() > 0);
  t.ok(performance.now() - startedAt < SLOW_COMMIT);
  t.equal(await submission, undefined);
});

t.test(
  'items of a new job are sent once its creation is answered, though reads are lost',
  async (t) => {
    const emulator = new SharedStoreEmulator();
    const { node, sent } = nodeWithWorker(t, slowStore(emulator, 'hanging'));
    t.equal(await node.service.submit(JOB, always), undefined);
    await eventually(() => sent() > 0);
    t.equal(node.service.ownedJobs()[0]?.isUnconfirmed, false);
  },
);
