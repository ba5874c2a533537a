/** Guards against items and score requests being dispatched to a worker zone under evacuation. */
import { Readable } from 'node:stream';
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { SendRules } from '../../src/placement/send-rules.js';
import { ZoneEvacuations } from '../../src/placement/zone-evacuations.js';
import type { EngineOutcome } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import {
  answer,
  brokenAnswer,
  events,
  type Script,
  ScriptedEngine,
  worker,
} from '../serving/serving-fixtures.js';
import { always, OWNER, scoredSpecification, specification } from './job-fixtures.js';
import { isFinished, type JobNode, jobNode, workUntil } from './job-node.js';

interface Scenario {
  readonly node: JobNode;
  readonly engine: ScriptedEngine;
  readonly evacuations: ZoneEvacuations;
  /** Ids of the workers that received requests, in order. */
  readonly sentTo: () => string[];
}

/** A node with one item worker and one scorer in each of two zones; zone-1 is registered first. */
function startScenario(scripts: Script[], slots = 4): Scenario {
  const engine = new ScriptedEngine(scripts);
  const evacuations = new ZoneEvacuations();
  const rules = new SendRules([evacuations]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine, NO_PEERS, { rules });
  for (const zone of ['zone-1', 'zone-2']) {
    node.registry.put(worker(`in-${zone}`, { zone, slots }));
    node.registry.put(worker(`scorer-${zone}`, { zone, service: 'scorers' }));
  }
  return {
    node,
    engine,
    evacuations,
    sentTo: () => engine.requests.map((request) => request.worker.id),
  };
}

const textAnswer = (letters: string): EngineOutcome =>
  answer(events(0, letters), { isStream: true });

/** A stream that sends its first events immediately and the rest after `resume`. */
function heldStream(first: string, rest: string): { stream: EngineOutcome; resume: () => void } {
  const body = new Readable({ read: () => {} });
  body.push(first);
  const resume = (): void => {
    body.push(rest);
    body.push(null);
  };
  return { stream: answer('', { body, isStream: true }), resume };
}

async function textOf({ node }: Scenario): Promise<string | undefined> {
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  return 'detail' in read ? undefined : read.results[0]?.text;
}

t.test('a run in progress in a zone when its evacuation begins completes there', async (t) => {
  const { stream, resume } = heldStream(events(0, 'a'), events(1, 'b'));
  const scenario = startScenario([stream]);
  await scenario.node.service.submit(specification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 1);
  scenario.evacuations.begin('zone-1');
  resume();
  await workUntil(scenario.node, isFinished(scenario.node));
  t.equal(await textOf(scenario), 'a\nb');
  t.same(scenario.sentTo(), ['in-zone-1']);
});

t.test('an item whose run breaks in an evacuated zone resumes in another zone', async (t) => {
  const scenario = startScenario([
    brokenAnswer(events(0, 'a'), { isStream: true }),
    answer(events(1, 'b'), { isStream: true }),
  ]);
  await scenario.node.service.submit(specification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 1);
  scenario.evacuations.begin('zone-1');
  await workUntil(scenario.node, isFinished(scenario.node));
  t.same(scenario.sentTo(), ['in-zone-1', 'in-zone-2']);
  t.equal(scenario.engine.requests[1]?.lastEventId, 0);
  t.equal(await textOf(scenario), 'a\nb');
});

t.test('a stalled run does not move to a worker in an evacuated zone', async (t) => {
  const { stream, resume } = heldStream(events(0, 'a'), events(1, 'b'));
  const scenario = startScenario([stream]);
  scenario.evacuations.begin('zone-2');
  await scenario.node.service.submit(specification('job', 1), always);
  const startedAt = performance.now();
  await workUntil(scenario.node, () => performance.now() - startedAt > 1_000);
  t.same(scenario.sentTo(), ['in-zone-1']);
  resume();
  await workUntil(scenario.node, isFinished(scenario.node));
  t.same(scenario.sentTo(), ['in-zone-1']);
});

t.test('a run that stalls in an evacuated zone moves out and not back', async (t) => {
  const held = heldStream(events(0, 'a'), '');
  const scenario = startScenario([held.stream, 'hang', answer(events(1, 'b'), { isStream: true })]);
  await scenario.node.service.submit(specification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 1);
  scenario.evacuations.begin('zone-1');
  // The other worker sends nothing for 2.5 s, after which the first one would be tried again.
  await workUntil(scenario.node, isFinished(scenario.node));
  t.same(scenario.sentTo(), ['in-zone-1', 'in-zone-2', 'in-zone-2']);
});

t.test(
  'waiting items go to free slots in other zones, and to the zone after its evacuation',
  async (t) => {
    const scenario = startScenario([], 2);
    scenario.evacuations.begin('zone-2');
    await scenario.node.service.submit(specification('job', 6), always);
    await workUntil(scenario.node, () => scenario.engine.requests.length === 2);
    const startedAt = performance.now();
    await workUntil(scenario.node, () => performance.now() - startedAt > 200);
    t.same(scenario.sentTo(), ['in-zone-1', 'in-zone-1']);
    scenario.evacuations.end('zone-2');
    await workUntil(scenario.node, () => scenario.engine.requests.length === 4);
    t.same(scenario.sentTo().slice(2), ['in-zone-2', 'in-zone-2'], 'as many as it has slots');
    scenario.node.dispatcher.stop();
  },
);

t.test('scores are requested outside an evacuated zone, also when hedged', async (t) => {
  const scenario = startScenario([
    textAnswer('ab'),
    'hang',
    answer('judged', { signature: 'good' }),
  ]);
  scenario.evacuations.begin('zone-1');
  await scenario.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(scenario.node, () => scenario.engine.requests.length === 2);
  // Waits until a hedge would be due; the only other scorer is in the evacuated zone.
  const startedAt = performance.now();
  await workUntil(scenario.node, () => performance.now() - startedAt > 400);
  t.same(scenario.sentTo(), ['in-zone-2', 'scorer-zone-2']);
  scenario.evacuations.end('zone-1');
  await workUntil(scenario.node, isFinished(scenario.node));
  t.same(scenario.sentTo().slice(2), ['scorer-zone-1']);
});
