import t, { type Test } from 'tap';
import { startEngineEmulator } from '../../../lab/emulator/engine-emulator.js';
import {
  DEFAULT_ENGINE_SETTINGS,
  type EngineSettings,
} from '../../../lab/emulator/engine-settings.js';
import { expectedText } from '../../../lab/emulator/generated-text.js';
import type { CacheEvent } from '../../../lab/emulator/prefix-cache.js';
import type { TokenSegment } from '../../../src/core/generation.js';
import type { EngineOrder, WorkerOrderResult } from '../../../src/platform/worker.js';

const TIME_SCALE = 10;

interface Engine {
  readonly url: string;
  order(order: EngineOrder): Promise<WorkerOrderResult>;
  post(path: string, body: unknown): Promise<Response>;
}

async function setUp(t: Test, changes: Partial<EngineSettings> = {}): Promise<Engine> {
  const lengths = { medianTokens: 100_000, lengthSpread: 0, reportLag: 0 };
  const settings = { ...DEFAULT_ENGINE_SETTINGS, worker: 'worker-1', ...lengths, ...changes };
  const server = await startEngineEmulator({ port: 0, settings, timeScale: TIME_SCALE });
  t.teardown(() => server.close());
  const url = `http://${server.address}`;
  const post = (path: string, body: unknown): Promise<Response> =>
    fetch(url + path, { method: 'POST', body: JSON.stringify(body) });
  const order = async (given: EngineOrder): Promise<WorkerOrderResult> =>
    (await (await post('/orders', given)).json()) as WorkerOrderResult;
  return { url, post, order };
}

function completion(maxTokens: number, prompt = 'a prompt'): object {
  const wardwing = {
    requestId: 'request-1',
    priority: 'training',
    oldestVersion: 0,
    promptGroup: 'group',
  };
  return { model: 'm', prompt, max_tokens: maxTokens, seed: 5, stream: true, wardwing };
}

interface Chunk {
  readonly id: string;
  readonly choices: readonly [{ readonly text: string; readonly finish_reason: string | null }];
  readonly wardwing: { readonly segment: TokenSegment | null };
}

/** The chunks of a completion as they come. */
async function* chunksOf(response: Response): AsyncGenerator<Chunk> {
  const decoder = new TextDecoder();
  let text = '';
  for await (const part of response.body ?? []) {
    text += decoder.decode(part as Uint8Array, { stream: true });
    const lines = text.split('\n\n');
    text = lines.pop() ?? '';
    for (const line of lines) if (line !== 'data: [DONE]') yield JSON.parse(line.slice(6));
  }
}

async function modelNames({ url }: Engine): Promise<readonly string[]> {
  const list = (await (await fetch(`${url}/v1/models`)).json()) as { data: { id: string }[] };
  return list.data.map(({ id }) => id);
}

t.test('an adapter is loaded once, and not by an order of an older epoch', async (t) => {
  const engine = await setUp(t);
  const load = (epoch: number, adapter: string): EngineOrder => {
    return { epoch, action: { kind: 'load-adapter', adapter } };
  };
  t.same(await engine.order(load(3, 'tone')), { kind: 'done' });
  t.same(await engine.order(load(3, 'tone')), { kind: 'done' });
  t.same(await engine.order(load(2, 'old')), { kind: 'refused-epoch', epoch: 3 });
  t.same(await modelNames(engine), ['model', 'tone']);
  await engine.post('/lab/faults', { loadFailureRate: 1 });
  t.match(await engine.order(load(3, 'broken')), { kind: 'failed' });
  t.same(await modelNames(engine), ['model', 'tone']);
  await engine.post('/lab/faults', { crashed: true });
  await engine.post('/lab/faults', { crashed: false });
  t.same(await modelNames(engine), ['model'], 'adapters are lost with the process');
});

t.test('an engine that only reads prompts refuses to decode; the change is fenced', async (t) => {
  const engine = await setUp(t);
  const change = (epoch: number, role: 'mixed' | 'prefill' | 'decode'): EngineOrder => {
    return { epoch, action: { kind: 'change-role', role } };
  };
  const running = chunksOf(await engine.post('/v1/completions', completion(400)));
  t.same(await engine.order(change(3, 'prefill')), { kind: 'done' });
  t.equal((await engine.post('/v1/completions', completion(1))).status, 503);
  t.same(await engine.order(change(2, 'mixed')), { kind: 'refused-epoch', epoch: 3 });
  t.equal((await engine.post('/v1/completions', completion(1))).status, 503, 'still refused');
  let last: Chunk | undefined;
  for await (const chunk of running) last = chunk;
  t.equal(last?.choices[0].finish_reason, 'length', 'running work goes on');
  t.same(await engine.order(change(3, 'decode')), { kind: 'done' });
  t.equal((await engine.post('/v1/completions', completion(1))).status, 200);
});

t.test('orders that are no orders are refused and carry nothing out', async (t) => {
  const engine = await setUp(t);
  const bad = [
    { kind: 'change-role', role: 'idle' },
    { kind: 'load-adapter', adapter: '' },
    { kind: 'load-adapter', version: 2 },
    { kind: 'load', adapter: 'tone' },
  ];
  for (const action of bad) {
    t.equal((await engine.post('/orders', { epoch: 9, action })).status, 400);
  }
  const order: EngineOrder = { epoch: 1, action: { kind: 'change-role', role: 'mixed' } };
  t.same(await engine.order(order), { kind: 'done' }, 'their epoch was not taken');
});

t.test('tokens exported over HTTP are taken over by another engine', async (t) => {
  const [source, target] = [await setUp(t), await setUp(t, { initialVersion: 2 })];
  const running = chunksOf(await source.post('/v1/completions', completion(10_000)));
  const first = (await running.next()).value as Chunk;
  const exported = await source.post('/kv/export', { completion: first.id });
  const { handle } = (await exported.json()) as { handle: string };
  await running.return(undefined);
  t.equal((await target.post('/kv/import', { handle })).status, 200);

  const other = chunksOf(await target.post('/v1/completions', completion(50, 'another prompt')));
  t.equal(((await other.next()).value as Chunk).wardwing.segment?.version, 2, 'only its request');
  await other.return(undefined);
  const segments: TokenSegment[] = [];
  let text = '';
  for await (const chunk of chunksOf(await target.post('/v1/completions', completion(10_000)))) {
    if (chunk.wardwing.segment !== null) segments.push(chunk.wardwing.segment);
    text += chunk.choices[0].text;
    if (segments.length === 3) break;
  }
  t.equal(segments[0]?.version, 1, 'made by the first engine');
  t.equal(segments.at(-1)?.version, 2, 'made by the second');
  t.equal(text, expectedText('a prompt', 5, segments));
});

t.test('an export of what does not run and an import of no handle are refused', async (t) => {
  const engine = await setUp(t);
  t.equal((await engine.post('/kv/export', { completion: 'cmpl-7' })).status, 404);
  t.equal((await engine.post('/kv/export', {})).status, 400);
  const gap = { answer: 1, segments: [{ version: 1, firstToken: 4, tokenCount: 2 }] };
  for (const handle of ['nonsense', Buffer.from(JSON.stringify(gap)).toString('base64url')]) {
    t.equal((await engine.post('/kv/import', { handle })).status, 400);
  }
});

t.test('cache events come late, in order, with gaps, and once', async (t) => {
  const cacheEventLag = 2_000;
  const engine = await setUp(t, { cacheEventLag, cacheEventLossRate: 0.5 });
  const prompt = 'words of a prompt '.repeat(200);
  await (await engine.post('/v1/completions', completion(1, prompt))).text();
  const events: CacheEvent[] = [];
  while (events.length === 0) {
    const due = (await (await fetch(`${engine.url}/cache-events`)).json()) as CacheEvent[];
    // The engine runs in this process, on the same clock.
    const now = performance.now() * TIME_SCALE;
    for (const event of due) t.ok(event.at + cacheEventLag <= now, 'never before its lag is over');
    events.push(...due);
  }
  const sequences = events.map((event) => event.sequence);
  t.same(
    sequences,
    [...new Set(sequences)].sort((a, b) => a - b),
  );
  const span = (sequences.at(-1) ?? 0) - (sequences[0] ?? 0) + 1;
  t.ok(span > sequences.length, 'some are missing');
  t.same(await (await fetch(`${engine.url}/cache-events`)).json(), [], 'given out once');
});
