/**
 * What was seen, with whole gateways whose zone was cut off: an end came to the owner of a job while a
 * page of results waited for the store, and was answered only after the cut. Changes of a job are made
 * one at a time, and the page is repeated until the store takes it; the end waited for its turn, however
 * long the caller would wait. So did a stopping node that gives its jobs up.
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

/** Without a limit the wait is as long as the outage, which ends only after the answer here. */
const OUTAGE: Milliseconds = 10_000;

/** A node with a page of results that the store does not take. */
async function heldListing(test: Pick<typeof t, 'teardown'>) {
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
  if (job === undefined) throw new Error('the job is not run');
  await eventually(() => job.unlistedResults().length === 1);
  await PROCESS_CLOCK.sleep(100);
  return { emulator, node, job };
}

/** Whether something is over before the outage is. */
async function isInTime(work: Promise<unknown>): Promise<boolean> {
  const abort = new AbortController();
  const late = setTimeout(OUTAGE, false, { signal: abort.signal }).catch(() => false);
  const inTime = await Promise.race([work.then(() => true), late]);
  abort.abort();
  return inTime;
}

t.test('an end is refused in time while a page waits for the store, and holds after', async (t) => {
  const { emulator, node, job } = await heldListing(t);
  const ending = node.service.cancel('job', UNRESTRICTED, never);
  t.ok(await isInTime(ending));
  emulator.setAvailability('up');
  t.equal((await ending)?.kind, 'ledger_unavailable');
  await eventually(() => job.closeReason === 'ended');
  t.equal(await node.service.cancel('job', UNRESTRICTED, never), undefined);
  t.equal(job.results.length, 1, 'what was whole is listed');
});

t.test('a stop does not wait for a page that the store does not take', async (t) => {
  const { node } = await heldListing(t);
  t.ok(await isInTime(node.service.release(never)));
});
