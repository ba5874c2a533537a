/** Guards against a released job that is not offered because its head was being read meanwhile. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import { always, OWNER, specification } from './job-fixtures.js';
import { jobNode } from './job-node.js';

/** The next read of the head is due then. */
const CONFIRMATION_AGE: Milliseconds = 1_300;

/** Delays of the store: reads are carried out late, commits are answered late. */
const DELAYS: readonly { readonly read: Milliseconds; readonly commit: Milliseconds }[] = [
  { read: 0, commit: 0 },
  { read: 20, commit: 40 },
  { read: 40, commit: 20 },
  { read: 100, commit: 150 },
];

for (const { read, commit } of DELAYS) {
  t.test(`a job is offered whatever its reads show, ${read} and ${commit} ms`, async (t) => {
    const emulator = new SharedStoreEmulator();
    let isSlow = false;
    const store: SharedStore = {
      get: async (key) => {
        if (isSlow) await PROCESS_CLOCK.sleep(read);
        return emulator.get(key);
      },
      range: (prefix, afterKey) => emulator.range(prefix, afterKey),
      watch: (...watch) => emulator.watch(...watch),
      commit: async (change) => {
        const outcome = await emulator.commit(change);
        if (isSlow) await PROCESS_CLOCK.sleep(commit);
        return outcome;
      },
      grantLease: (ttl) => emulator.grantLease(ttl),
      renewLease: (lease) => emulator.renewLease(lease),
      revokeLease: (lease) => emulator.revokeLease(lease),
    };
    const offered: string[] = [];
    const peers = { ...NO_PEERS, offerReleased: async (job: string) => void offered.push(job) };
    const node = jobNode(store, OWNER, new ScriptedEngine(), peers, {
      isStoreUnreachable: () => false,
    });
    await node.service.submit(specification('job', 2), always);
    await PROCESS_CLOCK.sleep(CONFIRMATION_AGE);
    isSlow = true;
    node.service.tick();
    node.dispatcher.stop();
    await node.service.release(always);
    t.equal(node.service.ownedJobs()[0]?.closeReason, 'released');
    t.same(offered, ['job']);
  });
}
