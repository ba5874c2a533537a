/** Guards against a job that runs although its end came, at any node, before its creation. */
import t, { type Test } from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobHead, JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { SharedStore, StoreCommit } from '../../src/shared-store/shared-store.js';
import { type CallerIdentity, UNRESTRICTED } from '../../src/tenants/tenant.js';
import { ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { AnswerRecord } from './answer-record.js';
import { always, never, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode, keepWorking } from './job-node.js';
import { SendRecorder } from './send-recorder.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { ZonesWithStore } from './zones-with-store.js';

const SLOW_COMMIT: Milliseconds = 700;

/** Time for two scans of the journals, and the listing of what they find. */
const RECOVERY_TIME: Milliseconds = 10_000;

const SPEC = specification('job', 4);

interface Nodes {
  readonly emulator: SharedStoreEmulator;
  /** The node that accepts the job, and the requests that it sends. */
  readonly node: JobNode;
  readonly engine: ScriptedEngine;
  /** Another node, which does not know that the first one may own the job. */
  readonly other: JobNode;
}

function twoNodes(
  t: Test,
  commit: (emulator: SharedStoreEmulator, change: StoreCommit) => ReturnType<SharedStore['commit']>,
): Nodes {
  const emulator = new SharedStoreEmulator();
  const store: SharedStore = {
    get: (key) => emulator.get(key),
    range: (prefix, afterKey) => emulator.range(prefix, afterKey),
    watch: (...watch) => emulator.watch(...watch),
    commit: (change) => commit(emulator, change),
    grantLease: (ttl) => emulator.grantLease(ttl),
    renewLease: (lease) => emulator.renewLease(lease),
    revokeLease: (lease) => emulator.revokeLease(lease),
  };
  const engine = new ScriptedEngine();
  const isStoreUnreachable = () => false;
  const node = jobNode(store, OWNER, engine, NO_PEERS, { isStoreUnreachable });
  const other = jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, { isStoreUnreachable });
  const tickers = [node, other].map(keepWorking);
  t.teardown(() => {
    for (const ticker of tickers) clearInterval(ticker);
    for (const { dispatcher } of [node, other]) dispatcher.stop();
  });
  node.registry.put(worker('w1'));
  return { emulator, node, engine, other };
}

function headIn(emulator: SharedStoreEmulator): JobHead {
  return JSON.parse(emulator.valueOf('job/head/job') ?? '{}') as JobHead;
}

const answeredAtOnce = (emulator: SharedStoreEmulator, change: StoreCommit) =>
  emulator.commit(change);

async function checkEnded(t: Test, { emulator, node, engine, other }: Nodes): Promise<void> {
  t.match(headIn(emulator), { ended: true, total: 4, listed: 0 });
  const sent = engine.requests.length;
  await PROCESS_CLOCK.sleep(300);
  t.equal(engine.requests.length, sent, 'no item is sent');
  for (const reader of [node, other]) {
    t.match(await reader.service.read('job', 0, 0, UNRESTRICTED), { total: 4, results: [] });
    t.equal(await reader.service.submit(SPEC, always), undefined, 'a repeated submission');
    t.equal(await reader.service.cancel('job', UNRESTRICTED, always), undefined, 'a repeated end');
  }
}

t.test('an end before the submission of its job', async (t) => {
  const nodes = twoNodes(t, answeredAtOnce);
  const answer = await nodes.other.service.cancel('job', UNRESTRICTED, always);
  t.match(answer, { kind: 'not_found' });
  t.equal(await nodes.node.service.submit(SPEC, always), undefined);
  t.equal(nodes.engine.requests.length, 0);
  await checkEnded(t, nodes);
});

t.test('an end while a creation is under way at an unknown node', async (t) => {
  const nodes = twoNodes(t, async (emulator, change) => {
    await PROCESS_CLOCK.sleep(SLOW_COMMIT);
    return emulator.commit(change);
  });
  const submission = nodes.node.service.submit(SPEC, always);
  await PROCESS_CLOCK.sleep(SLOW_COMMIT / 2);
  t.match(await nodes.other.service.cancel('job', UNRESTRICTED, always), { kind: 'not_found' });
  t.equal(await submission, undefined);
  await checkEnded(t, nodes);
});

t.test('an end between a creation without an answer and its late effect', async (t) => {
  const late: StoreCommit[] = [];
  const { emulator, node, other } = twoNodes(t, async (_emulator, change) => {
    late.push(change);
    return { kind: 'failed', effect: 'unknown' };
  });
  t.match(await node.service.submit(SPEC, never), { kind: 'outcome_unknown' });
  t.match(await other.service.cancel('job', UNRESTRICTED, always), { kind: 'not_found' });
  for (const change of late) await emulator.commit(change);
  t.equal(emulator.valueOf('job/head/job'), undefined, 'the store does not create the job');
});

t.test('an early start of a job that was ended before is held back', async (t) => {
  const nodes = twoNodes(t, async (emulator, change) => {
    await PROCESS_CLOCK.sleep(SLOW_COMMIT);
    return emulator.commit(change);
  });
  await nodes.other.service.cancel('job', UNRESTRICTED, always);
  t.equal(await nodes.node.service.submit(SPEC, always), undefined);
  t.equal(nodes.engine.requests.length, 0);
});

t.test('an end by another tenant does not end a new job', async (t) => {
  const { emulator, node, other } = twoNodes(t, answeredAtOnce);
  for (const name of ['tenant-b', 'tenant-c']) {
    const tenant = { name, keyDigests: [], priority: undefined };
    const stranger: CallerIdentity = { kind: 'tenant', tenant };
    t.match(await other.service.cancel('job', stranger, always), { kind: 'not_found' }, name);
  }
  const spec: JobSpecification = { ...SPEC, tenant: 'tenant-a' };
  t.equal(await node.service.submit(spec, always), undefined);
  t.equal(headIn(emulator).ended, false);
});

for (const isOwnerLost of [false, true]) {
  const loss = isOwnerLost ? ', recovered by another node' : '';
  t.test(`a job that only a journal has is ended when the store gets it${loss}`, async (t) => {
    const zones = await ZonesWithStore.open(t, 2);
    const record = new AnswerRecord(zones);
    const engine = new SendRecorder(zones.clock);
    const owner = zones.start('zone-1', undefined, engine);
    const other = zones.start('zone-2');
    await acceptStep(zones, owner, 0);
    const before = owner.service.cancel('before-0', UNRESTRICTED, always);
    t.equal(await zones.answerOf(before), undefined);
    zones.setStore('refusing', owner);
    t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 1))), 'accepted');
    engine.completing.add('item-0');
    await zones.run(LISTING_TIME);
    await record.read(owner, JOB);
    t.equal(record.told.length, 1, 'the owner told a result');
    zones.partitioned.add('zone-1');
    const answer = await zones.answerOf(other.service.cancel(JOB, UNRESTRICTED, always));
    t.match(answer, { kind: 'ledger_unavailable' });
    zones.partitioned.clear();
    const recovering = new SendRecorder(zones.clock);
    if (isOwnerLost) {
      zones.end(owner);
      zones.start('zone-1', undefined, recovering);
    } else zones.setStore('up', owner);
    await zones.run(RECOVERY_TIME);
    const head = await new JobStore(zones.store, zones.clock).head(JOB);
    t.match(head, { kind: 'found', value: { head: { ended: true, listed: 1 } } });
    const healedAt = zones.clock.now();
    await zones.run(LISTING_TIME);
    t.equal(engine.sentAfter(healedAt).length, 0);
    t.equal(recovering.sends.length, 0);
    t.same(await record.contradictionsAt([...zones.live(), zones.start('zone-1')]), []);
    await zones.close();
  });
}
