import t from 'tap';
import { EngineCore, type EngineOutput } from '../../../lab/emulator/engine-core.js';
import {
  DEFAULT_ENGINE_SETTINGS,
  type EngineSettings,
} from '../../../lab/emulator/engine-settings.js';
import { expectedText, versionsInText } from '../../../lab/emulator/generated-text.js';
import { PrefixCache } from '../../../lab/emulator/prefix-cache.js';
import type { GenerationRequest, GenerationResult } from '../../../src/core/generation.js';
import { createRandomSource } from '../../../src/core/random.js';

/** Answers always reach `maxTokens`, so that lengths are known. */
const SETTINGS: EngineSettings = {
  ...DEFAULT_ENGINE_SETTINGS,
  worker: 'worker-1',
  medianTokens: 100_000,
  lengthSpread: 0,
  loadTime: 50,
  reportLag: 0,
};

function engine(changes: Partial<EngineSettings> = {}): EngineCore {
  return new EngineCore({ ...SETTINGS, ...changes }, createRandomSource(7));
}

function request(changes: Partial<GenerationRequest> = {}): GenerationRequest {
  return {
    requestId: 'request-1',
    account: 'trainer',
    intent: 'intent',
    model: 'model-bench',
    trafficClass: 'training',
    prompt: 'a prompt',
    maxTokens: 100,
    samplingSeed: 5,
    repeatable: true,
    oldestVersion: 0,
    promptGroup: 'group',
    ...changes,
  };
}

/** Lets an engine run until it is idle, and notes when it says something. */
function untilIdle(core: EngineCore): { readonly at: number }[] {
  const times: { at: number }[] = [];
  for (let at = core.nextEventAt(); at !== undefined; at = core.nextEventAt()) {
    core.advance(at);
    times.push({ at });
  }
  return times;
}

/** Lets an engine run until it is idle. */
function runToEnd(core: EngineCore): EngineOutput[] {
  const outputs: EngineOutput[] = [];
  for (let at = core.nextEventAt(); at !== undefined; at = core.nextEventAt()) {
    outputs.push(...core.advance(at));
  }
  return outputs;
}

function resultOf(
  outputs: readonly EngineOutput[],
  dispatchId: string,
): GenerationResult | undefined {
  for (const output of outputs) {
    if (output.kind !== 'stream' || output.dispatchId !== dispatchId) continue;
    if (output.event.kind === 'finished') return output.event.result;
  }
  return undefined;
}

function loadAndActivate(core: EngineCore, version: number, now: number): EngineOutput[] {
  core.order('load', { epoch: 1, action: { kind: 'load', version } }, now);
  const loaded = core.advance(now + SETTINGS.loadTime);
  const order = { epoch: 1, action: { kind: 'activate', version } } as const;
  core.order('activate', order, now + SETTINGS.loadTime);
  return [...loaded, ...core.advance(now + SETTINGS.loadTime)];
}

t.test('a version activated under a running answer starts a new segment', async (t) => {
  const core = engine();
  core.start('d', request(), 0);
  const outputs = [...loadAndActivate(core, 2, 100), ...runToEnd(core)];
  const result = resultOf(outputs, 'd');
  t.match(result, {
    tokenCount: 100,
    finishReason: 'length',
    segments: [{ version: 1 }, { version: 2 }],
  });
  const [first, second] = result?.segments ?? [];
  t.equal(second?.firstToken, first?.tokenCount);
  t.equal((first?.tokenCount ?? 0) + (second?.tokenCount ?? 0), 100);
  t.equal(result?.text, expectedText('a prompt', 5, result?.segments ?? []));
  const versions = versionsInText(result?.text ?? '');
  t.equal(versions.filter((version) => version === 1).length, first?.tokenCount);
  t.not(result?.text, expectedText('a prompt', 6, result?.segments ?? []));
});

t.test('an engine refuses an epoch lower than one it has seen', async (t) => {
  const core = engine();
  core.order('new', { epoch: 3, action: { kind: 'activate', version: 1 } }, 0);
  core.order('old', { epoch: 2, action: { kind: 'activate', version: 1 } }, 0);
  core.order('unloaded', { epoch: 3, action: { kind: 'activate', version: 9 } }, 0);
  t.match(core.advance(0), [
    { orderId: 'new', result: { kind: 'done' } },
    { orderId: 'old', result: { kind: 'refused-epoch', epoch: 3 } },
    { orderId: 'unloaded', result: { kind: 'failed' } },
  ]);
});

t.test('a failing load leaves the version out', async (t) => {
  const core = engine({ loadFailureRate: 1 });
  const outputs = loadAndActivate(core, 2, 0);
  t.match(outputs, [{ result: { kind: 'failed' } }, { result: { kind: 'failed' } }]);
  t.equal(core.activeVersion, 1);
});

t.test('interactive work preempts training work, which keeps its tokens', async (t) => {
  const core = engine({ slots: 1 });
  core.start('training', request(), 0);
  core.advance(400);
  core.start('interactive', request({ trafficClass: 'interactive', maxTokens: 5 }), 400);
  t.match(core.report(400), { running: 1, waiting: 1 });
  const outputs = runToEnd(core);
  const finished = outputs.flatMap((output) =>
    output.kind === 'stream' && output.event.kind === 'finished' ? [output.dispatchId] : [],
  );
  t.same(finished, ['interactive', 'training']);
  const result = resultOf(outputs, 'training');
  t.equal(result?.tokenCount, 100);
  t.equal(result?.text, expectedText('a prompt', 5, result?.segments ?? []));
});

t.test(
  'a full queue refuses, and a cancelled answer makes room and says nothing more',
  async (t) => {
    const core = engine({ slots: 1, queueLimit: 1 });
    t.equal(core.start('a', request(), 0), 'accepted');
    t.equal(core.start('b', request(), 0), 'accepted');
    t.equal(core.start('c', request(), 0), 'refused');
    core.cancel('a', 300);
    t.equal(core.start('c', request(), 300), 'accepted');
    const outputs = runToEnd(core);
    t.notOk(outputs.some((output) => output.kind === 'stream' && output.dispatchId === 'a'));
    t.ok(resultOf(outputs, 'b'));
    t.ok(resultOf(outputs, 'c'));
  },
);

t.test('a crash fails all streams; a restart forgets versions and epoch', async (t) => {
  const core = engine();
  core.start('d', request(), 0);
  loadAndActivate(core, 2, 0);
  core.crash(200);
  t.match(core.advance(200).at(-1), { event: { kind: 'failed', ran: 'unknown' } });
  t.equal(core.start('e', request(), 210), 'refused');
  core.restart(300);
  t.match(core.report(300), { activeVersion: 1, epoch: 0, running: 0, loadedVersions: [1] });
});

t.test('a report lags by up to the named time', async (t) => {
  const core = engine({ reportLag: 1_000 });
  core.start('d', request({ maxTokens: 1_000 }), 100);
  t.equal(core.report(999).running, 0);
  t.equal(core.report(1_000).running, 1);
});

t.test('tokens exported from one engine are not made again by another', async (t) => {
  const core = engine();
  core.start('d', request(), 0);
  core.advance(600);
  const exported = core.exportCache('d', 600);
  const other = engine();
  other.start('d', request(), 0, exported);
  const exportedTokens = exported?.segments.at(0)?.tokenCount ?? 0;
  t.ok(exportedTokens > 0);
  const stepTime = SETTINGS.baseStepTime + SETTINGS.stepTimePerSequence;
  const result = resultOf(other.advance((100 - exportedTokens) * stepTime + 1), 'd');
  t.equal(result?.tokenCount, 100, 'finished after the time of the missing tokens');
  t.equal(result?.text, expectedText('a prompt', 5, result?.segments ?? []));
});

t.test('tokens whose cache is not at hand are read like a prompt, and kept as given', async (t) => {
  const segments = [
    { version: 1, firstToken: 0, tokenCount: 60 },
    { version: 2, firstToken: 60, tokenCount: 20 },
  ];
  const resume = { text: expectedText('a prompt', 5, segments), segments };
  const timeOf = (core: EngineCore, made: GenerationRequest): number => {
    core.start('d', made, 0);
    return Math.max(...untilIdle(core).map(({ at }) => at));
  };
  const whole = timeOf(engine(), request());
  const core = engine();
  const rest = timeOf(core, request({ resume }));
  const stepTime = SETTINGS.baseStepTime + SETTINGS.stepTimePerSequence;
  const saved = 80 * stepTime - 80 * SETTINGS.prefillTimePerToken;
  t.ok(Math.abs(whole - rest - saved) < 1, 'reading costs time, making is saved');
  t.equal(core.made.of('training'), 20);
  const other = engine();
  other.start('d', request({ resume }), 0);
  const result = resultOf(runToEnd(other), 'd');
  t.equal(result?.text, expectedText('a prompt', 5, result?.segments ?? []));
  t.same(
    result?.segments.map((segment) => segment.version),
    [1, 2, 1],
  );
  const spoiled = engine();
  spoiled.start('d', request({ resume: { ...resume, text: 'too short ' } }), 0);
  t.equal(resultOf(runToEnd(spoiled), 'd')?.segments.length, 1, 'made from its start');
});

t.test('a retry has the same length, and lengths have a long tail', async (t) => {
  const lengths = Array.from({ length: 300 }, (_, samplingSeed) => {
    const core = engine({ medianTokens: 200, lengthSpread: 0.9 });
    core.start(
      'd',
      request({ maxTokens: 1_000_000, samplingSeed, promptGroup: `g${samplingSeed % 50}` }),
      0,
    );
    return resultOf(runToEnd(core), 'd')?.tokenCount ?? 0;
  });
  const sorted = [...lengths].sort((left, right) => left - right);
  const median = sorted[150] ?? 0;
  t.ok(median > 120 && median < 330, `median ${median}`);
  t.ok((sorted[297] ?? 0) > 4 * median, 'the 99th percentile is far above the median');
});

t.test('the prefix cache keeps within its limit and publishes late and with gaps', async (t) => {
  const settings = { prefixCacheTokens: 64, cacheEventLag: 100, cacheEventLossRate: 0.5 };
  const cache = new PrefixCache(settings, createRandomSource(3));
  const prompt = 'x'.repeat(128);
  t.equal(cache.read(prompt, 0), 32);
  t.equal(cache.read(`${prompt}tail`, 0), 1, 'only the tail is read again');
  for (let at = 1; at <= 10; at += 1) cache.read(String(at).repeat(64), at);
  t.equal(cache.tokenCount, 64);
  t.equal(cache.read(prompt, 11), 32, 'the least recently used blocks were dropped');
  t.same(cache.takeEvents(50), []);
  const sequences = cache.takeEvents(1_000).map((event) => event.sequence);
  t.ok(sequences.length > 0 && sequences.length < (sequences.at(-1) ?? 0), 'some are missing');
});

t.test('an external load lasts until its end is told, which counts once', (t) => {
  const core = new EngineCore(SETTINGS, createRandomSource(7), true);
  const load = { epoch: 1, action: { kind: 'load', version: 2 } } as const;
  core.order('load', load, 0);
  t.same(core.takeExternalLoads(), [{ orderId: 'load', version: 2 }]);
  t.same(core.takeExternalLoads(), [], 'handed out once');
  t.equal(core.nextEventAt(), undefined);
  t.same(core.advance(1_000 * SETTINGS.loadTime), [], 'time alone ends nothing');
  core.endExternalLoad('load', true, 1_000 * SETTINGS.loadTime);
  core.endExternalLoad('load', false, 1_000 * SETTINGS.loadTime);
  const now = 1_000 * SETTINGS.loadTime;
  t.same(core.advance(now), [{ kind: 'order', orderId: 'load', result: { kind: 'done' } }]);
  core.order('lost', { ...load, action: { kind: 'load', version: 3 } }, now);
  core.crash(now);
  core.restart(now);
  core.endExternalLoad('lost', true, now);
  t.match(core.advance(now), [{ orderId: 'lost', result: { kind: 'failed' } }]);
  t.same(core.takeExternalLoads(), [], 'a crash withdraws loads not handed out');
  t.same(core.report(now).loadedVersions, [1]);
  t.end();
});
