import t from 'tap';
import { percentile } from '../../lab/common/statistics.js';
import { EngineCore } from '../../lab/emulator/engine-core.js';
import { DEFAULT_ENGINE_SETTINGS } from '../../lab/emulator/engine-settings.js';
import { runDeployment } from '../../lab/experiments/deployment-model.js';
import { DEPLOYMENTS } from '../../lab/experiments/deployment-settings.js';
import { EngineHost } from '../../lab/experiments/engine-host.js';
import { bestBaseline, compare } from '../../lab/experiments/targets.js';
import { variantsOf } from '../../lab/experiments/variants.js';
import { EventQueue } from '../../lab/simulation/event-queue.js';
import { createRandomSource } from '../../src/core/random.js';

const SMALL = { ...DEPLOYMENTS.cooperative, samplesPerStep: 48, trainingWorkers: 3 };

const LOOKUP = {
  requestId: 'r',
  account: 'clerk',
  intent: 'lookup',
  model: 'writer',
  trafficClass: 'interactive' as const,
  prompt: 'p',
  maxTokens: 100,
  samplingSeed: 1,
  repeatable: true,
  oldestVersion: 0,
  promptGroup: 'g',
};

function createHost(queue: EventQueue): EngineHost {
  const settings = { ...DEFAULT_ENGINE_SETTINGS, worker: 'w', medianTokens: 1_000 };
  const record = { worker: 'w', model: 'writer', zone: 'hall', address: '', slots: 16 };
  return new EngineHost(record, new EngineCore(settings, createRandomSource(1)), queue);
}

t.test('the same seed gives the same figures', async (t) => {
  const variant = variantsOf('cooperative').find((each) => each.role === 'ours');
  if (variant === undefined) return t.fail('ours is missing');
  t.same(runDeployment(SMALL, variant, 3), runDeployment(SMALL, variant, 3));
  return undefined;
});

t.test('no variant uses a sample behind its bound, whatever crashes', async (t) => {
  const faults = { ...SMALL.faults, timeBetweenCrashes: 300_000, loadFailureRate: 0.3 };
  for (const variant of variantsOf('association')) {
    const figures = runDeployment({ ...SMALL, faults }, variant, 4);
    const bound = variant.drawingBound ?? SMALL.stalenessBound;
    t.ok(figures.steps_used > 0, `${variant.name} makes progress`);
    t.ok(figures.staleness_p99_versions <= bound, variant.name);
  }
});

t.test('a frozen engine says nothing, and goes on where it was', async (t) => {
  const queue = new EventQueue();
  const host = createHost(queue);
  const finished: number[] = [];
  host.listener = (output) => {
    if (output.kind === 'stream' && output.event.kind === 'finished') finished.push(queue.now);
  };
  host.start('plain', LOOKUP, undefined);
  queue.runUntil(60_000);
  host.start('frozen', LOOKUP, undefined);
  queue.runUntil(60_200);
  host.freeze(30_000);
  t.equal(host.report(), undefined);
  queue.runUntil(200_000);
  const [plain = 0, frozen = 0] = finished;
  const delay = frozen - 60_000 - plain;
  t.ok(Math.abs(delay - 30_000) < 100, `finished ${delay} ms later`);
});

t.test('a wake time that rounding put before the event does not loop', async (t) => {
  const queue = new EventQueue();
  const host = createHost(queue);
  let finished = 0;
  host.listener = (output) => {
    if (output.kind === 'stream' && output.event.kind === 'finished') finished += 1;
  };
  for (let round = 0; round < 200; round += 1) {
    queue.runUntil(queue.now + 1_000 / 3);
    host.freeze(0.1 + round / 7);
    host.start(`dispatch-${round}`, LOOKUP, undefined);
  }
  queue.runUntil(queue.now + 600_000);
  t.ok(finished > 0);
});

t.test('percentiles are by nearest rank', async (t) => {
  t.equal(percentile([3, 1, 2], 0.5), 2);
  t.equal(percentile([1, 2, 3, 4], 0.99), 4);
  t.ok(Number.isNaN(percentile([], 0.5)));
});

t.test('a target needs lower idle time and no more staleness', async (t) => {
  const [variant] = variantsOf('cooperative');
  if (variant === undefined) return t.fail('no variant');
  const base = runDeployment(SMALL, variant, 5);
  const figures = { ...base, idle_share: 0.5, staleness_p99_seconds: 100 };
  const outcome = (idle_share: number) => ({
    variant,
    median: { ...figures, idle_share },
    runs: [],
  });
  const best = bestBaseline('cooperative', [outcome(0.5), outcome(0.4), outcome(0.6)]);
  t.equal(best.median.idle_share, 0.4);
  const at = (change: object) => compare('cooperative', { ...figures, ...change }, best).reached;
  t.ok(at({ idle_share: 0.24 }));
  t.notOk(at({ idle_share: 0.25 }));
  t.notOk(at({ idle_share: 0.2, staleness_p99_seconds: 101 }));
  t.notOk(at({ idle_share: 0.2, staleness_p99_versions: figures.staleness_p99_versions + 1 }));
  return undefined;
});
