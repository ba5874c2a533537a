import http from 'node:http';
import type net from 'node:net';
import t, { type Test } from 'tap';
import { startEngineEmulator } from '../../lab/emulator/engine-emulator.js';
import {
  DEFAULT_ENGINE_SETTINGS,
  type EngineSettings,
} from '../../lab/emulator/engine-settings.js';
import { expectedText } from '../../lab/emulator/generated-text.js';
import type { GenerationRequest } from '../../src/core/generation.js';
import { EngineClient } from '../../src/platform/engine-client.js';
import type { EngineEvent, WorkerRecord } from '../../src/platform/worker.js';

interface Setting {
  readonly client: EngineClient;
  readonly worker: WorkerRecord;
  setFaults(faults: object): Promise<void>;
}

async function setUp(t: Test, changes: Partial<EngineSettings> = {}): Promise<Setting> {
  const lengths = { medianTokens: 100_000, lengthSpread: 0, loadTime: 10, reportLag: 0 };
  const settings = { ...DEFAULT_ENGINE_SETTINGS, worker: 'worker-1', ...lengths, ...changes };
  const server = await startEngineEmulator({ port: 0, settings, timeScale: 10 });
  const client = new EngineClient();
  t.teardown(async () => {
    client.close();
    await server.close();
  });
  const setFaults = async (faults: object): Promise<void> => {
    const body = JSON.stringify(faults);
    await fetch(`http://${server.address}/lab/faults`, { method: 'POST', body });
  };
  return { client, worker: workerAt(server.address), setFaults };
}

function workerAt(address: string): WorkerRecord {
  return { worker: 'worker-1', model: 'model-bench', zone: 'abdali-hall', address, slots: 16 };
}

function request(maxTokens: number): GenerationRequest {
  return {
    requestId: 'request-1',
    account: 'trainer',
    intent: 'intent',
    model: 'model-bench',
    trafficClass: 'training',
    prompt: 'a prompt',
    maxTokens,
    samplingSeed: 5,
    repeatable: true,
    oldestVersion: 0,
    promptGroup: 'group',
  };
}

/** Runs a generation to its last event; `onSegment` is called after each segment. */
function generate(
  { client, worker }: Pick<Setting, 'client' | 'worker'>,
  maxTokens: number,
  onSegment: () => void = () => {},
): Promise<EngineEvent> {
  return new Promise((resolve) => {
    client.generate(worker, request(maxTokens), (event) => {
      if (event.kind === 'segment') onSegment();
      else resolve(event);
    });
  });
}

t.test('an answer whose version changes names both versions', async (t) => {
  const setting = await setUp(t);
  const { client, worker } = setting;
  const load = { epoch: 2, action: { kind: 'load', version: 2 } } as const;
  t.same(await client.order(worker, load), { kind: 'done' });
  const activate = { epoch: 2, action: { kind: 'activate', version: 2 } } as const;
  let activated: Promise<unknown> | undefined;
  const event = await generate(setting, 300, () => {
    activated ??= client.order(worker, activate);
  });
  t.same(await activated, { kind: 'done' });
  t.match(event, { kind: 'finished', result: { tokenCount: 300, finishReason: 'length' } });
  if (event.kind !== 'finished') return;
  t.match(event.result.segments, [{ version: 1, firstToken: 0 }, { version: 2 }]);
  t.equal(event.result.text, expectedText('a prompt', 5, event.result.segments));
  t.match(await client.report(worker), { activeVersion: 2, epoch: 2, loadedVersions: [1, 2] });
  const old = { epoch: 1, action: { kind: 'activate', version: 1 } } as const;
  t.same(await client.order(worker, old), { kind: 'refused-epoch', epoch: 2 });
});

t.test('a full queue and a refused connection did not run', async (t) => {
  const setting = await setUp(t, { slots: 1, queueLimit: 0 });
  const stop = await new Promise<() => void>((resolve) => {
    const cancel = setting.client.generate(setting.worker, request(100_000), () => resolve(cancel));
  });
  t.match(await generate(setting, 1), { kind: 'failed', ran: 'no' });
  stop();
  const { client } = setting;
  const unreachable = { client, worker: workerAt('127.0.0.1:1') };
  t.match(await generate(unreachable, 1), { kind: 'failed', ran: 'no' });
  t.equal(await client.report(unreachable.worker), undefined);
  t.match(
    await client.order(unreachable.worker, { epoch: 1, action: { kind: 'load', version: 2 } }),
    {
      kind: 'failed',
    },
  );
});

t.test('cancelling ends the work on the engine and no event follows', async (t) => {
  const { client, worker } = await setUp(t);
  let events = 0;
  await new Promise<void>((resolve) => {
    const cancel = client.generate(worker, request(100_000), () => {
      events += 1;
      cancel();
      resolve();
    });
  });
  let running = 1;
  while (running > 0) running = (await client.report(worker))?.running ?? 1;
  t.equal(events, 1);
});

t.test('after a crash in the middle it is unknown whether the work ran', async (t) => {
  const setting = await setUp(t);
  let crash: Promise<void> | undefined;
  const event = await generate(setting, 100_000, () => {
    crash ??= setting.setFaults({ crashed: true });
  });
  t.match(event, { kind: 'failed', ran: 'unknown' });
  await crash;
  t.match(await generate(setting, 1), { ran: 'unknown' }, 'a reset connection proves nothing');
  t.equal(await setting.client.report(setting.worker), undefined);
  await setting.setFaults({ crashed: false, leaving: true });
  t.match(await setting.client.report(setting.worker), { leaving: true, epoch: 0 });
});

t.test('a stream with a gap, without an end, or without versions is a failure', async (t) => {
  const segment = (firstToken: number): string => {
    const wardwing = { segment: { version: 1, firstToken, tokenCount: 2 } };
    const choices = [{ text: 'x', finish_reason: null }];
    return `data: ${JSON.stringify({ choices, wardwing })}\n\n`;
  };
  const answers = [segment(0) + segment(3), segment(0), 'data: {}\n\n', 'data: [DONE]\n\n'];
  const remaining = [...answers];
  const server = http.createServer((_request, response) => response.end(remaining.shift()));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new EngineClient();
  t.teardown(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });
  for (const answer of answers) {
    const event = await generate({ client, worker: workerAt(`127.0.0.1:${port}`) }, 9);
    t.match(event, { kind: 'failed', ran: 'unknown' }, answer);
  }
});

t.test('an answer goes on after given tokens, and is whole', async (t) => {
  const { client, worker } = await setUp(t);
  const segments = [{ version: 7, firstToken: 0, tokenCount: 30 }];
  const resume = { text: expectedText('a prompt', 5, segments), segments };
  const reported: number[] = [];
  const last = await new Promise<EngineEvent>((resolve) => {
    client.generate(worker, { ...request(50), resume }, (event) => {
      if (event.kind === 'segment') reported.push(event.segment.version);
      else resolve(event);
    });
  });
  if (last.kind !== 'finished') throw new Error(last.kind);
  const { result } = last;
  t.equal(reported[0], 7, 'the given tokens are reported first');
  t.equal(result.tokenCount, 50);
  t.same(result.segments[0], segments[0]);
  t.equal(result.text, expectedText('a prompt', 5, result.segments));
});
