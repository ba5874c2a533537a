/** Guards against sending items of an ended job while the store answers renewals of the lease only. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { recordingLog, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, OTHER, OWNER, specification } from './job-fixtures.js';
import { jobNode, keepWorking } from './job-node.js';
import { StorePort, type StorePortMode } from './store-port.js';

/** Several renewals of the lease, and longer than a failed one takes to count as an outage. */
const OBSERVATION: Milliseconds = 3_000;

const MODES: readonly StorePortMode[] = [
  'slow',
  'reads-refusing',
  'reads-silent',
  'commits-unanswered',
  'keys-silent',
];

t.jobs = MODES.length;

for (const mode of MODES) {
  t.test(`no items of an ended job are sent, ${mode}`, { buffered: true }, async (t) => {
    const job = { ...specification('job', 4), submittedAt: Date.now() };
    const emulator = new SharedStoreEmulator();
    const first = jobNode(emulator, OWNER);
    await first.service.submit(job, always);
    t.equal(await first.service.cancel(job.id, UNRESTRICTED, always), undefined);
    first.dispatcher.stop();
    const port = new StorePort(emulator, PROCESS_CLOCK);
    const { log } = recordingLog();
    const shared = { self: OTHER, zone: 'zone-1', clock: PROCESS_CLOCK, log };
    const fleet = new FleetRegistry({ ...shared, store: port });
    await fleet.start();
    fleet.requireShortLease();
    await eventually(() => fleet.hasShortLease);
    const engine = new ScriptedEngine();
    const node = jobNode(port, OTHER, engine, NO_PEERS, {
      isStoreUnreachable: () => fleet.isStoreUnreachable,
    });
    node.registry.put(worker('w1'));
    const ticker = keepWorking(node);
    t.teardown(async () => {
      clearInterval(ticker);
      node.dispatcher.stop();
      port.mode = 'up';
      await fleet.stop();
    });
    port.mode = mode;
    const limit = performance.now() + OBSERVATION;
    void node.service.submit(job, () => performance.now() < limit);
    await PROCESS_CLOCK.sleep(OBSERVATION);
    t.equal(engine.requests.length, 0);
  });
}
