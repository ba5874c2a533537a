import { Readable } from 'node:stream';
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { EngineOutcome } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import {
  answer,
  brokenAnswer,
  events,
  ScriptedEngine,
  worker,
} from '../serving/serving-fixtures.js';
import { always, never, OTHER, OWNER, specification } from './job-fixtures.js';
import { isFinished, jobNode, workUntil } from './job-node.js';

const streamAnswer = (letters: string, first = 0): EngineOutcome =>
  answer(events(first, letters), { isStream: true });

t.test('a job is run, listed and read by position, on its owner and on another node', async (t) => {
  const emulator = new SharedStoreEmulator();
  const engine = new ScriptedEngine([streamAnswer('ab'), streamAnswer('cd')]);
  const node = jobNode(emulator, OWNER, engine);
  node.registry.put(worker('w1'));
  t.equal(await node.service.submit(specification('job', 2), always), undefined);
  await workUntil(node, isFinished(node));
  const readHere = await node.service.read('job', 0, 0, UNRESTRICTED);
  if ('detail' in readHere) throw new Error(readHere.detail);
  t.equal(readHere.total, 2);
  t.equal(readHere.nextPosition, 2);
  t.same(readHere.results.map((result) => result.text).sort(), ['a\nb', 'c\nd']);
  const other = jobNode(emulator, OTHER);
  const there = await other.service.read('job', 1, 0, UNRESTRICTED);
  t.same(there, { total: 2, results: readHere.results.slice(1), nextPosition: 2 });
});

t.test('an item resumes where its stream broke, on another worker', async (t) => {
  const brokenStream = brokenAnswer(`${events(0, 'ab')}id: 2\nda`, { isStream: true });
  const engine = new ScriptedEngine([brokenStream, streamAnswer('cd', 2)]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  node.registry.put(worker('w2'));
  await node.service.submit(specification('job', 1), always);
  await workUntil(node, isFinished(node));
  t.equal(engine.requests[1]?.lastEventId, 1);
  t.not(engine.requests[0]?.worker.id, engine.requests[1]?.worker.id);
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  t.equal('results' in read && read.results[0]?.text, 'a\nb\nc\nd');
});

/** A stream that sends some events and then stalls. */
function stallingAnswer(letters: string): EngineOutcome {
  const body = new Readable({ read: () => {} });
  body.push(Buffer.from(events(0, letters)));
  return answer('', { body, isStream: true });
}

t.test('an item whose stream stalls resumes on another worker', async (t) => {
  const engine = new ScriptedEngine([stallingAnswer('ab'), streamAnswer('cd', 2)]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  node.registry.put(worker('w2'));
  await node.service.submit(specification('job', 1), always);
  await workUntil(node, isFinished(node));
  t.equal(engine.requests[1]?.lastEventId, 1);
  t.not(engine.requests[0]?.worker.id, engine.requests[1]?.worker.id);
  const moved = node.lines.map((line) => JSON.parse(line)).find((l) => l.msg === 'item-run-moved');
  t.match(moved, { cause: 'stalled', events: 2 });
});

t.test('an item without any response is retried over a new connection', async (t) => {
  const engine = new ScriptedEngine(['hang', streamAnswer('abcd')]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  node.registry.put(worker('w2'));
  await node.service.submit(specification('job', 1), always);
  await workUntil(node, isFinished(node));
  t.same(
    engine.requests.map(({ wantsNewConnection = false }) => wantsNewConnection),
    [false, true],
  );
});

t.test('an item whose stream stalls stays if no other worker can run it', async (t) => {
  const engine = new ScriptedEngine([stallingAnswer('ab')]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  node.registry.put(worker('w2', { draining: true }));
  await node.service.submit(specification('job', 1), always);
  const startedAt = performance.now();
  await workUntil(node, () => performance.now() - startedAt > 600);
  t.equal(engine.requests.length, 1);
  node.dispatcher.stop();
});

t.test('the last run of a job moves to a moderately faster worker, once', async (t) => {
  const script = [stallingAnswer('ab'), streamAnswer('xy'), streamAnswer('cd', 2)];
  const engine = new ScriptedEngine(script);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('slow'));
  await node.service.submit(specification('job', 2), always);
  node.dispatcher.tick();
  await eventually(() => engine.requests.length === 2);
  node.registry.put(worker('fast'));
  // Event intervals so long that the run does not count as stalled.
  node.registry.get('slow')?.noteEventInterval(390);
  node.registry.get('fast')?.noteEventInterval(300);
  await workUntil(node, isFinished(node));
  t.equal(engine.requests[2]?.worker.id, 'fast');
  const moved = node.lines
    .map((line) => JSON.parse(line))
    .filter((l) => l.msg === 'item-run-moved');
  t.equal(moved.length, 1);
  t.match(moved[0], { cause: 'faster-elsewhere', worker: 'slow' });
});

t.test('an item whose attempts all fail is listed as terminated', async (t) => {
  const failed = (): EngineOutcome => answer('', { status: 500 });
  const engine = new ScriptedEngine([failed(), failed(), failed()]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  await node.service.submit(specification('job', 1), always);
  await workUntil(node, isFinished(node));
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  t.equal('results' in read && read.results[0]?.state, 'terminated');
  t.equal(engine.requests.length, 3);
});

t.test('no item is sent to a worker with older weights than the job allows', async (t) => {
  const engine = new ScriptedEngine();
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('old', { models: [{ name: 'model-a', version: 4 }] }));
  await node.service.submit(specification('job', 1, 5), always);
  node.dispatcher.tick();
  t.equal(engine.requests.length, 0);
  node.registry.put(worker('new', { models: [{ name: 'model-a', version: 5 }] }));
  await workUntil(node, () => engine.requests.length === 1);
  t.equal(engine.requests[0]?.worker.id, 'new');
});

t.test(
  'an unknown job is reported as not found, an unavailable store as unavailable',
  async (t) => {
    const emulator = new SharedStoreEmulator();
    const node = jobNode(emulator, OWNER);
    const absent = await node.service.read('none', 0, 0, UNRESTRICTED);
    t.equal('kind' in absent && absent.kind, 'not_found');
    emulator.setAvailability('refusing');
    const unavailable = await node.service.read('none', 0, 0, UNRESTRICTED);
    t.equal('kind' in unavailable && unavailable.kind, 'ledger_unavailable');
  },
);

t.test('any node returns item bodies unchanged', async (t) => {
  const emulator = new SharedStoreEmulator();
  await jobNode(emulator, OWNER).service.submit(specification('job', 2), always);
  const body = await jobNode(emulator, OTHER).service.itemBody('job', 'item-1', UNRESTRICTED);
  t.equal(Buffer.isBuffer(body) && body.toString(), 'body 1');
  const none = await jobNode(emulator, OTHER).service.itemBody('job', 'item-9', UNRESTRICTED);
  t.equal('kind' in none && none.kind, 'not_found');
});

t.test('any node cancels a job, also repeatedly', async (t) => {
  const emulator = new SharedStoreEmulator();
  const owner = jobNode(emulator, OWNER);
  await owner.service.submit(specification('job', 2), always);
  const other = jobNode(emulator, OTHER);
  t.equal(await other.service.cancel('job', UNRESTRICTED, always), undefined);
  t.equal(await other.service.cancel('job', UNRESTRICTED, always), undefined);
  t.equal((await other.service.cancel('none', UNRESTRICTED, always))?.kind, 'not_found');
  await workUntil(owner, isFinished(owner));
  t.equal(owner.service.ownedJobs()[0]?.closeReason, 'ended');
});

t.test(
  'items start before an unresponsive store has accepted the job, and are listed afterwards',
  async (t) => {
    const emulator = new SharedStoreEmulator();
    const engine = new ScriptedEngine([streamAnswer('a')]);
    const node = jobNode(emulator, OWNER, engine);
    node.registry.put(worker('w1'));
    emulator.setAvailability('silent');
    const submission = node.service.submit(specification('job', 1), always);
    await workUntil(node, () => engine.requests.length === 1);
    t.same(emulator.keys('job/'), []);
    emulator.setAvailability('up');
    t.equal(await submission, undefined);
    await workUntil(node, isFinished(node));
    const read = await jobNode(emulator, OTHER).service.read('job', 0, 0, UNRESTRICTED);
    t.equal('results' in read && read.results[0]?.text, 'a');
  },
);

t.test('a rejection never reports a job whose items have started as not run', async (t) => {
  const emulator = new SharedStoreEmulator();
  const idleNode = jobNode(emulator, OWNER);
  emulator.setAvailability('refusing');
  const rejection = await idleNode.service.submit(specification('one', 1), never);
  t.equal(rejection?.kind, 'ledger_unavailable');
  const engine = new ScriptedEngine();
  const node = jobNode(emulator, OWNER, engine);
  node.registry.put(worker('w1'));
  let isStillNeeded = true;
  const submission = node.service.submit(specification('two', 1), () => isStillNeeded);
  await workUntil(node, () => engine.requests.length === 1);
  isStillNeeded = false;
  t.equal((await submission)?.kind, 'outcome_unknown');
  t.same(engine.cancelled, ['w1']);
});

t.test('a repeated submission to the same node shares the outcome of the first one', async (t) => {
  const emulator = new SharedStoreEmulator();
  const engine = new ScriptedEngine();
  const node = jobNode(emulator, OWNER, engine);
  node.registry.put(worker('w1'));
  emulator.setAvailability('silent');
  const spec = specification('job', 1);
  const both = [node.service.submit(spec, always), node.service.submit(spec, always)];
  await workUntil(node, () => engine.requests.length === 1);
  emulator.setAvailability('up');
  t.same(await Promise.all(both), [undefined, undefined]);
  t.equal(node.service.ownedJobs().length, 1);
});

t.test('a released job resumes on another node after the last event', async (t) => {
  const emulator = new SharedStoreEmulator();
  const open = answer('', { isStream: true, body: openStream(events(0, 'ab')) });
  const previousOwner = jobNode(emulator, OWNER, new ScriptedEngine([open]));
  previousOwner.registry.put(worker('w1'));
  await previousOwner.service.submit(specification('job', 1), always);
  await workUntil(
    previousOwner,
    () => previousOwner.service.ownedJobs()[0]?.unfinishedProgress()['item-0'] !== undefined,
  );
  await previousOwner.service.release(always);
  const engine = new ScriptedEngine([streamAnswer('cd', 2)]);
  const nextOwner = jobNode(emulator, OTHER, engine);
  nextOwner.registry.put(worker('w1'));
  t.ok(await nextOwner.service.takeReleased('job'));
  await workUntil(nextOwner, isFinished(nextOwner));
  t.equal(engine.requests[0]?.lastEventId, 1);
  const read = await nextOwner.service.read('job', 0, 0, UNRESTRICTED);
  t.equal('results' in read && read.results[0]?.text, 'a\nb\nc\nd');
});

/** A body that sends some bytes and stays open. */
function openStream(bytes: string): Readable {
  let isSent = false;
  return new Readable({
    read() {
      if (!isSent) this.push(Buffer.from(bytes));
      isSent = true;
    },
  });
}

t.test('a stopping node accepts a job for another node to run', async (t) => {
  const emulator = new SharedStoreEmulator();
  const offered: string[] = [];
  const peers = { ...NO_PEERS, offerReleased: async (job: string) => void offered.push(job) };
  const engine = new ScriptedEngine();
  const node = jobNode(emulator, OWNER, engine, peers);
  node.registry.put(worker('w1'));
  await node.service.release(always);
  t.equal(await node.service.submit(specification('job', 1), always), undefined);
  node.dispatcher.tick();
  t.same(offered, ['job']);
  t.equal(engine.requests.length, 0);
  t.ok(await jobNode(emulator, OTHER).service.takeReleased('job'));
});

t.test('finished jobs are removed after their retention, open ones are not', async (t) => {
  const emulator = new SharedStoreEmulator();
  const node = jobNode(emulator, OWNER);
  const old = (id: string) => ({ ...specification(id, 2), submittedAt: Date.now() - 600_000 });
  await node.service.submit(old('ended'), always);
  await node.service.cancel('ended', UNRESTRICTED, always);
  await node.service.submit(old('open'), always);
  await node.service.submit(specification('recent', 2), always);
  await node.service.cancel('recent', UNRESTRICTED, always);
  await node.service.removeExpired();
  t.same(emulator.keys('job/head/'), ['job/head/open', 'job/head/recent']);
  t.same(
    emulator.keys('job/').filter((key) => key.includes('/ended')),
    [],
  );
});
