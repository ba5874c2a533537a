/**
 * Guards against cancellations and releases that wait without limit behind a page of results that
 * the store does not accept.
 */
import { setTimeout } from 'node:timers/promises';
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { answer, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, never, OWNER, specification } from './job-fixtures.js';
import { jobNode, keepWorking } from './job-node.js';

/** Longer than any wait limit; the store outage ends only after the answers. */
const OUTAGE: Milliseconds = 10_000;

/** A node with a page of results that the store does not accept. */
async function blockedListing(test: Pick<typeof t, 'teardown'>) {
  const emulator = new SharedStoreEmulator();
  const engine = new ScriptedEngine([answer(events(0, 'ab'), { isStream: true })]);
  const node = jobNode(emulator, OWNER, engine);
  node.registry.put(worker('w1'));
  await node.service.submit(specification('job', 2), always);
  emulator.setAvailability('refusing');
  const ticker = keepWorking(node);
  test.teardown(() => {
    clearInterval(ticker);
    node.dispatcher.stop();
    emulator.setAvailability('up');
  });
  const job = node.service.ownedJobs()[0];
  if (job === undefined) throw new Error('the node owns no job');
  await eventually(() => job.unlistedResults().length === 1);
  await PROCESS_CLOCK.sleep(100);
  return { emulator, node, job };
}

/** Whether an operation completes before the outage ends. */
async function isInTime(work: Promise<unknown>): Promise<boolean> {
  const abort = new AbortController();
  const late = setTimeout(OUTAGE, false, { signal: abort.signal }).catch(() => false);
  const inTime = await Promise.race([work.then(() => true), late]);
  abort.abort();
  return inTime;
}

t.test(
  'a cancellation is rejected in time while a page waits for the store, and is stored later',
  async (t) => {
    const { emulator, node, job } = await blockedListing(t);
    const cancellation = node.service.cancel('job', UNRESTRICTED, never);
    t.ok(await isInTime(cancellation));
    emulator.setAvailability('up');
    t.equal((await cancellation)?.kind, 'ledger_unavailable');
    await eventually(() => job.closeReason === 'ended');
    t.equal(await node.service.cancel('job', UNRESTRICTED, never), undefined);
    t.equal(job.results.length, 1, 'the completed result is listed');
  },
);

t.test('a release does not wait for a page that the store does not accept', async (t) => {
  const { node } = await blockedListing(t);
  t.ok(await isInTime(node.service.release(never)));
});
