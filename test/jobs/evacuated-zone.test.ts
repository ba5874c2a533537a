/** Items and scores while the zone of some workers is evacuated. */
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
  /** Workers that were sent something, in order. */
  readonly sentTo: () => string[];
}

/** A node with a worker for items in each of two zones; the one of zone-1 is known first. */
function scenario(scripts: Script[], slots = 4): Scenario {
  const engine = new ScriptedEngine(scripts);
  const evacuations = new ZoneEvacuations();
  const rules = new SendRules([evacuations]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine, NO_PEERS, { rules });
  for (const zone of ['zone-1', 'zone-2']) {
    node.registry.put(worker(`in-${zone}`, { zone, slots }));
    node.registry.put(worker(`scorer-${zone}`, { zone, service: 'scorers' }));
  }
  return { node, engine, evacuations, sentTo: () => engine.requests.map((one) => one.worker.id) };
}

const text = (letters: string): EngineOutcome => answer(events(0, letters), { isStream: true });

/** A stream that gives its first events at once and goes on when it is told to. */
function heldStream(first: string, rest: string): { stream: EngineOutcome; goOn: () => void } {
  const body = new Readable({ read: () => {} });
  body.push(first);
  const goOn = (): void => {
    body.push(rest);
    body.push(null);
  };
  return { stream: answer('', { body, isStream: true }), goOn };
}

async function textOf({ node }: Scenario): Promise<string | undefined> {
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  return 'detail' in read ? undefined : read.results[0]?.text;
}

t.test('a run that is under way in a zone as it is evacuated ends there', async (t) => {
  const { stream, goOn } = heldStream(events(0, 'a'), events(1, 'b'));
  const run = scenario([stream]);
  await run.node.service.submit(specification('job', 1), always);
  await workUntil(run.node, () => run.engine.requests.length === 1);
  run.evacuations.begin('zone-1');
  goOn();
  await workUntil(run.node, isFinished(run.node));
  t.equal(await textOf(run), 'a\nb');
  t.same(run.sentTo(), ['in-zone-1']);
});

t.test('an item whose run breaks in an evacuated zone goes on elsewhere', async (t) => {
  const run = scenario([
    brokenAnswer(events(0, 'a'), { isStream: true }),
    answer(events(1, 'b'), { isStream: true }),
  ]);
  await run.node.service.submit(specification('job', 1), always);
  await workUntil(run.node, () => run.engine.requests.length === 1);
  run.evacuations.begin('zone-1');
  await workUntil(run.node, isFinished(run.node));
  t.same(run.sentTo(), ['in-zone-1', 'in-zone-2']);
  t.equal(run.engine.requests[1]?.lastEventId, 0);
  t.equal(await textOf(run), 'a\nb');
});

t.test('no run moves to a worker of an evacuated zone, though its own one pauses', async (t) => {
  const { stream, goOn } = heldStream(events(0, 'a'), events(1, 'b'));
  const run = scenario([stream]);
  run.evacuations.begin('zone-2');
  await run.node.service.submit(specification('job', 1), always);
  const startedAt = performance.now();
  await workUntil(run.node, () => performance.now() - startedAt > 1_000);
  t.same(run.sentTo(), ['in-zone-1']);
  goOn();
  await workUntil(run.node, isFinished(run.node));
  t.same(run.sentTo(), ['in-zone-1']);
});

t.test('a run that pauses in an evacuated zone moves out of it and not back', async (t) => {
  const held = heldStream(events(0, 'a'), '');
  const run = scenario([held.stream, 'hang', answer(events(1, 'b'), { isStream: true })]);
  await run.node.service.submit(specification('job', 1), always);
  await workUntil(run.node, () => run.engine.requests.length === 1);
  run.evacuations.begin('zone-1');
  // The worker elsewhere says nothing for 2.5 s; the one before would be asked next.
  await workUntil(run.node, isFinished(run.node));
  t.same(run.sentTo(), ['in-zone-1', 'in-zone-2', 'in-zone-2']);
});

t.test('what waits goes where there is room, and into the zone once it is back', async (t) => {
  const run = scenario([], 2);
  run.evacuations.begin('zone-2');
  await run.node.service.submit(specification('job', 6), always);
  await workUntil(run.node, () => run.engine.requests.length === 2);
  const startedAt = performance.now();
  await workUntil(run.node, () => performance.now() - startedAt > 200);
  t.same(run.sentTo(), ['in-zone-1', 'in-zone-1']);
  run.evacuations.end('zone-2');
  await workUntil(run.node, () => run.engine.requests.length === 4);
  t.same(run.sentTo().slice(2), ['in-zone-2', 'in-zone-2'], 'as many as have a place there');
  run.node.dispatcher.stop();
});

t.test('scores are asked for elsewhere, also the second time', async (t) => {
  const run = scenario([text('ab'), 'hang', answer('judged', { signature: 'good' })]);
  run.evacuations.begin('zone-1');
  await run.node.service.submit(scoredSpecification('job', 1), always);
  await workUntil(run.node, () => run.engine.requests.length === 2);
  // The answer is late; the other scorer lies in the evacuated zone.
  const startedAt = performance.now();
  await workUntil(run.node, () => performance.now() - startedAt > 400);
  t.same(run.sentTo(), ['in-zone-2', 'scorer-zone-2']);
  run.evacuations.end('zone-1');
  await workUntil(run.node, isFinished(run.node));
  t.same(run.sentTo().slice(2), ['scorer-zone-1']);
});
