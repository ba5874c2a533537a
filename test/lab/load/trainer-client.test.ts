import http from 'node:http';
import type net from 'node:net';
import t, { type Test } from 'tap';
import { TrainerClient } from '../../../lab/load/trainer-client.js';
import { TrainerReport } from '../../../lab/load/trainer-report.js';
import { createRandomSource } from '../../../src/core/random.js';

/** Told apart from all other waits by its length. */
const TRAINING_TIME = 12_345;

/** Runs a trainer until the end of its first training; gives the steps submitted by then. */
async function stepsWhileTraining(t: Test, drawsAhead: boolean): Promise<readonly string[]> {
  const submitted: string[] = [];
  const read: string[] = [];
  const server = http.createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const isSubmission = request.method === 'POST' && request.url === '/v1/rollouts';
    if (isSubmission) submitted.push(JSON.parse(Buffer.concat(parts).toString()).step_id);
    if (request.method === 'GET') read.push(request.url ?? '');
    response.writeHead(isSubmission ? 202 : 200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ state: 'complete', next_cursor: 0, samples: [] }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const { port } = server.address() as net.AddressInfo;

  let trainingStarted: (end: () => void) => void = () => undefined;
  const training = new Promise<() => void>((resolve) => {
    trainingStarted = resolve;
  });
  const realSetTimeout = globalThis.setTimeout;
  t.teardown(() => {
    globalThis.setTimeout = realSetTimeout;
  });
  globalThis.setTimeout = ((listener: () => void, delay?: number) => {
    if (delay !== TRAINING_TIME) return realSetTimeout(listener, delay);
    trainingStarted(listener);
    return undefined;
  }) as typeof setTimeout;

  const trainer = new TrainerClient(
    {
      name: 'trainer',
      token: 'token',
      model: 'model',
      addresses: () => [`127.0.0.1:${port}`],
      samplesPerStep: 1,
      trainingTime: TRAINING_TIME,
      drawsAhead,
      stepTimeout: 1_000,
      random: createRandomSource(1),
      events: () => undefined,
    },
    new TrainerReport(),
  );
  const run = trainer.run();
  const endTraining = await training;
  while (drawsAhead && read.length < 2) await new Promise((resolve) => setImmediate(resolve));
  const steps = [...submitted];
  trainer.stop();
  endTraining();
  await run;
  t.same(submitted, steps, 'a stopped trainer submits no more');
  return steps;
}

t.test('a trainer draws ahead while it trains, where it is asked to', async (t) => {
  t.same(await stepsWhileTraining(t, true), ['trainer-1', 'trainer-2']);
});

t.test('a trainer draws one step after another otherwise', async (t) => {
  t.same(await stepsWhileTraining(t, false), ['trainer-1']);
});
