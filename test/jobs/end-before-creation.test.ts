/** Guards against a job that runs after its end because that came while its creation was undecided. */
import t, { type Test } from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobPeers } from '../../src/jobs/job-peers.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { SharedStore, StoreCommit } from '../../src/shared-store/shared-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, never, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode, keepWorking } from './job-node.js';

const SLOW_COMMIT: Milliseconds = 700;
const JOB = specification('job', 4);

function storeWith(emulator: SharedStoreEmulator, commit: SharedStore['commit']): SharedStore {
  return {
    get: (key) => emulator.get(key),
    range: (prefix, afterKey) => emulator.range(prefix, afterKey),
    watch: (...watch) => emulator.watch(...watch),
    commit,
    grantLease: (ttl) => emulator.grantLease(ttl),
    renewLease: (lease) => emulator.renewLease(lease),
    revokeLease: (lease) => emulator.revokeLease(lease),
  };
}

function runningNode(t: Test, store: SharedStore): JobNode {
  const node = jobNode(store, OWNER, new ScriptedEngine(), NO_PEERS, {
    isStoreUnreachable: () => false,
  });
  const ticker = keepWorking(node);
  t.teardown(() => {
    clearInterval(ticker);
    node.dispatcher.stop();
  });
  node.registry.put(worker('w1'));
  return node;
}

/** Another node, which asks the first one as the likely owner of the job. */
function otherNode(emulator: SharedStoreEmulator, first: JobNode): JobNode {
  const peers: JobPeers = {
    ...NO_PEERS,
    likelyOwners: () => [OWNER],
    cancelAtOwner: (_owner, job, caller) => first.service.cancelOwn(job, caller),
  };
  return jobNode(emulator, OTHER, new ScriptedEngine(), peers, { isStoreUnreachable: () => false });
}

function slowStore(emulator: SharedStoreEmulator): SharedStore {
  return storeWith(emulator, async (commit) => {
    await PROCESS_CLOCK.sleep(SLOW_COMMIT);
    return emulator.commit(commit);
  });
}

for (const place of ['the accepting node', 'another node'] as const) {
  t.test(`an end at ${place} waits for the creation of its job`, async (t) => {
    const emulator = new SharedStoreEmulator();
    const node = runningNode(t, slowStore(emulator));
    const submission = node.service.submit(JOB, always);
    await PROCESS_CLOCK.sleep(SLOW_COMMIT / 2);
    const cancelling = place === 'another node' ? otherNode(emulator, node) : node;
    t.equal(await cancelling.service.cancel(JOB.id, UNRESTRICTED, always), undefined);
    t.equal(await submission, undefined);
    const read = JSON.parse(emulator.valueOf('job/head/job') ?? '{}');
    t.equal(read.ended, true);
  });

  t.test(
    `an end at ${place} is not answered as unknown while the job may be created`,
    async (t) => {
      const emulator = new SharedStoreEmulator();
      const late: StoreCommit[] = [];
      const node = runningNode(
        t,
        storeWith(emulator, async (commit) => {
          late.push(commit);
          return { kind: 'failed', effect: 'unknown' };
        }),
      );
      t.match(await node.service.submit(JOB, never), { kind: 'outcome_unknown' });
      const cancelling = place === 'another node' ? otherNode(emulator, node) : node;
      const answer = await cancelling.service.cancel(JOB.id, UNRESTRICTED, never);
      t.match(answer, { kind: 'ledger_unavailable' });
    },
  );
}
