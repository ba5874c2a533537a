import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobResult, JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { EngineOutcome } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import {
  answer,
  BROKEN,
  brokenAnswer,
  events,
  NOT_RUN,
  type Script,
  ScriptedEngine,
  worker,
} from '../serving/serving-fixtures.js';
import { always, headOf, never, OTHER, OWNER, scoredSpecification } from './job-fixtures.js';
import { isFinished, type JobNode, jobNode, workUntil } from './job-node.js';

const text = (letters: string): EngineOutcome =>
  answer(events(0, letters), { isStream: true, signature: 'text-signature' });

const scored = (signature: string): EngineOutcome => answer('judged', { signature });

interface Scenario {
  readonly node: JobNode;
  readonly engine: ScriptedEngine;
  readonly store: SharedStoreEmulator;
}

/** A node with one worker for items and some for scores. */
function startScenario(scripts: Script[], scorers = ['s1'], slots = 4): Scenario {
  const store = new SharedStoreEmulator();
  const engine = new ScriptedEngine(scripts);
  const node = jobNode(store, OWNER, engine);
  node.registry.put(worker('w1'));
  for (const id of scorers) node.registry.put(worker(id, { service: 'scorers', slots }));
  return { node, engine, store };
}

async function resultsOf(node: JobNode, job = 'job'): Promise<readonly JobResult[]> {
  const read = await node.service.read(job, 0, 0, UNRESTRICTED);
  if ('detail' in read) throw new Error(read.detail);
  return read.results;
}

async function runToEnd({ node }: Scenario, spec: JobSpecification): Promise<JobResult[]> {
  await node.service.submit(spec, always);
  await workUntil(node, isFinished(node));
  return [...(await resultsOf(node))];
}

t.test(
  'a result is listed with the signature of the answer to its own score request',
  async (t) => {
    const scenario = startScenario([text('ab'), scored('score-signature')]);
    const results = await runToEnd(scenario, scoredSpecification('job', 1));
    t.match(results, [{ state: 'completed', text: 'a\nb', score: 'score-signature' }]);
    const [item, score] = scenario.engine.requests;
    t.equal(item?.requestId, 'item-0');
    t.match(score, {
      requestId: 'score-0',
      method: 'POST',
      path: '/score/0',
      host: 'scorer.example',
    });
    t.equal(score?.body.toString(), 'score 0');
    t.ok((score?.remaining ?? 0) > 1_000, 'the request carries a time budget');
  },
);

t.test('no score is requested before the text is complete', async (t) => {
  const scenario = startScenario([brokenAnswer(events(0, 'a'), { isStream: true })]);
  await scenario.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length >= 2);
  t.equal(scenario.engine.requests[1]?.requestId, 'item-0');
  t.equal(scenario.engine.requests[1]?.lastEventId, 0);
  scenario.node.dispatcher.stop();
});

t.test('nothing is listed as completed while the score is missing', async (t) => {
  const scenario = startScenario([text('ab'), 'hang']);
  await scenario.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 2);
  t.same(await resultsOf(scenario.node), []);
  scenario.node.dispatcher.stop();
});

t.test(
  'a score request is retried after a rejection, a broken connection and a truncated body',
  async (t) => {
    const bad = [NOT_RUN, BROKEN, brokenAnswer('jud', { signature: 'broken' })];
    const scenario = startScenario([text('ab'), ...bad, scored('good')], ['s1', 's2']);
    const results = await runToEnd(scenario, scoredSpecification('job', 1));
    t.match(results, [{ state: 'completed', score: 'good' }]);
    t.equal(scenario.engine.requests.filter(({ requestId }) => requestId === 'item-0').length, 1);
  },
);

t.test('a successful response without a signature is not a score', async (t) => {
  const unsigned = answer('judged', { signature: undefined });
  const scenario = startScenario([text('ab'), unsigned, scored('good')], ['s1', 's2']);
  t.match(await runToEnd(scenario, scoredSpecification('job', 1)), [{ score: 'good' }]);
});

t.test('an item whose score attempts all fail is terminated', async (t) => {
  const failed = (): EngineOutcome => answer('', { status: 500, signature: 'failure' });
  const scenario = startScenario([text('ab'), failed(), failed(), failed()], ['s1', 's2', 's3']);
  const results = await runToEnd(scenario, scoredSpecification('job', 1));
  t.match(results, [{ state: 'terminated', text: '' }]);
  t.equal(results[0]?.score, undefined);
  t.equal(
    scenario.engine.requests.length,
    4,
    'exactly as many score calls as the route allows attempts',
  );
});

t.test(
  'a late score request is hedged on a second worker, and the slower call is cancelled',
  async (t) => {
    const scenario = startScenario([text('ab'), 'hang', scored('second')], ['s1', 's2']);
    const startedAt = performance.now();
    const results = await runToEnd(scenario, scoredSpecification('job', 1));
    t.match(results, [{ score: 'second' }]);
    t.ok(performance.now() - startedAt < 1_400, 'long before the timeout of the route');
    const [, first, second] = scenario.engine.requests;
    t.not(first?.worker.id, second?.worker.id);
    t.same(scenario.engine.cancelled, [first?.worker.id]);
  },
);

t.test('the score calls of a cancelled job are cancelled', async (t) => {
  const scenario = startScenario([text('ab'), 'hang']);
  await scenario.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 2);
  t.equal(await scenario.node.service.cancel('job', UNRESTRICTED, always), undefined);
  t.same(scenario.engine.cancelled, ['s1']);
  await workUntil(scenario.node, always);
  t.equal(scenario.engine.requests.length, 2);
});

t.test('the last slots of a worker are reserved for interactive requests', async (t) => {
  const scenario = startScenario([text('ab'), scored('late')]);
  const scorer = scenario.node.registry.get('s1');
  if (scorer === undefined) throw new Error('worker s1 is not registered');
  scorer.inFlight = 3;
  await scenario.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(
    scenario.node,
    () => scenario.node.service.ownedJobs()[0]?.unscored().length === 1,
  );
  await PROCESS_CLOCK.sleep(50);
  t.equal(scenario.engine.requests.length, 1, 'three of four slots are occupied');
  scorer.inFlight = 1;
  await workUntil(scenario.node, isFinished(scenario.node));
  t.match(await resultsOf(scenario.node), [{ score: 'late' }]);
});

t.test(
  'a new owner requests the score of a complete text and does not run the item again',
  async (t) => {
    const store = new SharedStoreEmulator();
    const records = new JobStore(store, PROCESS_CLOCK);
    const spec = scoredSpecification('job', 1);
    const created = await records.create(spec, headOf(spec, OTHER), never);
    if (created.kind !== 'changed') throw new Error('the job was not created');
    const complete = { events: ['a', 'b'], lastEventId: 1, versions: [1], isWhole: true };
    const stored = { 'item-0': complete };
    const released = await records.replace('job', created.current, { owner: null }, never, stored);
    if (released.kind !== 'changed') throw new Error('the job was not released');
    const engine = new ScriptedEngine([scored('anew')]);
    const node = jobNode(store, OWNER, engine);
    node.registry.put(worker('w1'));
    node.registry.put(worker('s1', { service: 'scorers' }));
    t.equal(await node.service.takeOver('job', released.current), true);
    await workUntil(node, isFinished(node));
    t.match(await resultsOf(node), [{ text: 'a\nb', score: 'anew' }]);
    t.same(
      engine.requests.map(({ requestId }) => requestId),
      ['score-0'],
    );
  },
);

t.test('a complete text is stored with each commit while its score is missing', async (t) => {
  const scenario = startScenario([text('ab'), 'hang']);
  await scenario.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 2);
  const progress = scenario.node.service.ownedJobs()[0]?.unfinishedProgress();
  t.match(progress, { 'item-0': { events: ['a', 'b'], isWhole: true } });
  scenario.node.dispatcher.stop();
});

/** Cancels a first job while one of its items hangs, and submits `next` to the same node. */
async function resubmit(next: JobSpecification, scripts: Script[]): Promise<Scenario> {
  const scenario = startScenario([...scripts]);
  await scenario.node.service.submit(scoredSpecification('first', 2), always);
  const firstJobResults = (): JobResult[] =>
    scenario.node.service.ownedJobs()[0]?.finishedResults() ?? [];
  await workUntil(scenario.node, () => firstJobResults().length === 1);
  await scenario.node.service.cancel('first', UNRESTRICTED, always);
  await scenario.node.service.submit(next, always);
  return scenario;
}

t.test('a score of an earlier job is reused for the same score request', async (t) => {
  const scripts: Script[] = [text('ab'), 'hang', scored('earlier')];
  const spec = scoredSpecification('job', 2);
  const scenario = await resubmit({ ...spec, items: spec.items.slice(1) }, scripts);
  await workUntil(scenario.node, () => scenario.node.service.ownedJobs()[1]?.isOpen === false);
  const [result] = await resultsOf(scenario.node);
  t.equal(result?.score, 'earlier');
  t.equal(scenario.engine.requests.length, 3);
});

t.test('a text of an earlier job is scored again for another score request', async (t) => {
  const spec = scoredSpecification('job', 2);
  const items = spec.items.map((item) => ({
    ...item,
    scoreRequest: { id: 'another', host: 'scorer.example', path: '/score/x', body: '' },
  }));
  const scripts: Script[] = [text('ab'), 'hang', scored('earlier'), scored('new')];
  const scenario = await resubmit({ ...spec, items: items.slice(1) }, scripts);
  await workUntil(scenario.node, () => scenario.node.service.ownedJobs()[1]?.isOpen === false);
  t.match(await resultsOf(scenario.node), [{ text: 'a\nb', score: 'new' }]);
  t.equal(scenario.engine.requests.at(-1)?.requestId, 'another');
});

/** Score requests may fill three quarters of the near worker's slots; the far worker is idle. */
t.test('score requests without a free slot in their region go to another region', async (t) => {
  const engine = new ScriptedEngine([text('ab'), scored('far')]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine, undefined, {
    distanceBetween: (one, other) => (one === other ? 'same-zone' : 'other-region'),
  });
  node.registry.put(worker('w1'));
  node.registry.put(worker('near', { service: 'scorers', slots: 4 }));
  node.registry.put(worker('far', { service: 'scorers', slots: 4, zone: 'zone-2' }));
  const near = node.registry.get('near');
  if (near !== undefined) near.inFlight = 3;
  await node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(node, isFinished(node));
  t.equal(engine.requests.at(-1)?.worker.id, 'far');
});
