/** Guards against accepted items that wait without any line or metric that says why. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { ItemNeeds } from '../../src/jobs/item-placement.js';
import { PlacementRound } from '../../src/jobs/placement-round.js';
import type { SendRule } from '../../src/placement/send-rules.js';
import { SendRules } from '../../src/placement/send-rules.js';
import { KnownWorker } from '../../src/serving/worker-registry.js';
import { worker } from '../serving/serving-fixtures.js';
import { always, ManualClock, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode } from './job-node.js';

const NOW: Milliseconds = 10_000;
const NEEDS: ItemNeeds = {
  model: 'model-a',
  minVersion: 2,
  relativeLength: 1,
  boundVersion: undefined,
};

function known(id: string, version: number): KnownWorker {
  return new KnownWorker(worker(id, { models: [{ name: 'model-a', version }] }));
}

/** The reason for which no worker takes an item. */
function reasonFor(
  workers: readonly KnownWorker[],
  needs: Partial<ItemNeeds> = {},
  rules = new SendRules(),
): string | undefined {
  const round = new PlacementRound(workers, NOW, undefined, rules);
  const wanted = { ...NEEDS, ...needs };
  return round.place(wanted, undefined) === undefined ? round.obstacleTo(wanted).reason : undefined;
}

t.test('a placement that fails names the requirement that excludes the last worker', async (t) => {
  t.equal(reasonFor([]), 'no-worker');
  t.equal(reasonFor([known('old', 1)]), 'weights-too-old');
  t.equal(reasonFor([known('old', 1), known('new', 3)], { boundVersion: 2 }), 'weights-differ');
  const loading = known('loading', 2);
  loading.noteLoading('model-a', NOW + 1);
  t.equal(reasonFor([loading, known('old', 1)]), 'weights-loading');
  const failed = known('failed', 2);
  failed.noteOutcome('failure', NOW);
  t.equal(reasonFor([failed, known('old', 1)]), 'workers-penalized');
  const full = known('full', 2);
  full.inFlight = full.record.slots;
  t.equal(reasonFor([full, failed]), 'workers-full');
  const evacuated: SendRule = { rejectionOf: () => 'zone-evacuated' };
  t.equal(reasonFor([known('sound', 2)], {}, new SendRules([evacuated])), 'zone-evacuated');
  t.equal(reasonFor([known('sound', 2), full]), undefined);
});

/** The fields of the lines that say why an item waits. */
function waitingLines(node: JobNode): Record<string, unknown>[] {
  return node.lines
    .map((line) => JSON.parse(line) as Record<string, unknown>)
    .filter(({ msg }) => msg === 'item-waiting');
}

t.test('an item that waits for a second has a line with reason, inputs and times', async (t) => {
  const clock = new ManualClock();
  clock.time = Date.now();
  const node = jobNode(new SharedStoreEmulator(), OWNER, undefined, undefined, { clock });
  await node.service.submit(specification('job', 1, 2), always);
  const runFor = (time: Milliseconds): void => {
    for (let passed = 0; passed < time; passed += 100) {
      clock.time += 100;
      node.dispatcher.tick();
    }
  };
  runFor(900);
  t.equal(waitingLines(node).length, 0, 'no line about a short wait');
  runFor(1_200);
  t.match(waitingLines(node), [
    { item: 'item-0', job: 'job', work: 'run', reason: 'no-worker', workers: 0 },
  ]);
  node.registry.put(worker('old'));
  runFor(1_500);
  const [, changed] = waitingLines(node);
  t.match(changed, { reason: 'weights-too-old', workers: 1, candidates: 1, minVersion: 2 });
  t.ok(Number(changed?.idleMs) > Number(changed?.reasonMs), 'since when, and since when for this');
  t.same(node.dispatcher.waitingCounts, { 'run.weights-too-old': 1 });
  const metrics = await node.metrics.text();
  t.match(metrics, 'waiting_items{work="run",reason="weights-too-old"} 1');
  t.notMatch(metrics, 'reason="no-worker"');
});
