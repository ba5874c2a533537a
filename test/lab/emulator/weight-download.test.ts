import http from 'node:http';
import type net from 'node:net';
import t, { type Test } from 'tap';
import { startEngineEmulator } from '../../../lab/emulator/engine-emulator.js';
import { DEFAULT_ENGINE_SETTINGS } from '../../../lab/emulator/engine-settings.js';
import { WeightDownloads } from '../../../lab/emulator/weight-download.js';
import { startWeightStoreEmulator } from '../../../lab/emulator/weight-store-emulator.js';
import { createRandomSource } from '../../../src/core/random.js';
import { EngineClient } from '../../../src/platform/engine-client.js';
import type { WorkerRecord } from '../../../src/platform/worker.js';

/** A store that answers with the given statuses in turn, and keeps the paths. */
async function storeOf(t: Test, statuses: readonly number[]) {
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    const status = statuses[paths.length] ?? 500;
    paths.push(request.url ?? '');
    if (status === 0) return;
    response.writeHead(status, status === 429 ? { 'retry-after': '0.02' } : {});
    response.end('{}');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, paths };
}

/** Random numbers that count how often one was taken. */
function countedRandom() {
  const counted = { ...createRandomSource(1), taken: 0 };
  const { fraction } = counted;
  counted.fraction = () => {
    counted.taken += 1;
    return fraction();
  };
  return counted;
}

t.test('a busy store is asked again after a jittered wait', async (t) => {
  const { address, paths } = await storeOf(t, [429, 429, 200]);
  const random = countedRandom();
  const downloads = new WeightDownloads({ address, model: 'model-bench', random });
  t.equal(await downloads.fetch(4), true);
  t.same(paths, Array(3).fill('/weights/model-bench/4'));
  t.equal(random.taken, 2, 'each wait is jittered');
});

t.test('a load fails where the store refuses, is gone, or stays busy too long', async (t) => {
  const random = createRandomSource(1);
  const refusing = await storeOf(t, [404]);
  const { address } = refusing;
  t.equal(await new WeightDownloads({ address, model: 'm', random }).fetch(2), false);
  t.equal(refusing.paths.length, 1, 'a refusal is not repeated');
  const gone = new WeightDownloads({ address: '127.0.0.1:1', model: 'm', random });
  t.equal(await gone.fetch(2), false);
  const busy = await storeOf(t, Array(100).fill(429));
  const impatient = { address: busy.address, model: 'm', random, timeLimit: 100 };
  t.equal(await new WeightDownloads(impatient).fetch(2), false);
});

t.test('downloads that are given up end, also while they wait', async (t) => {
  const random = createRandomSource(1);
  const silent = await storeOf(t, [0]);
  const downloads = new WeightDownloads({ address: silent.address, model: 'm', random });
  const fetched = downloads.fetch(2);
  while (silent.paths.length === 0) await new Promise((resolve) => setImmediate(resolve));
  downloads.cancelAll();
  t.equal(await fetched, false);
});

interface Fleet {
  readonly client: EngineClient;
  readonly workers: readonly WorkerRecord[];
  setFaults(worker: WorkerRecord, faults: object): Promise<unknown>;
}

/** Engines that load from one store. */
async function fleetOf(t: Test, count: number, weightStore: string): Promise<Fleet> {
  const client = new EngineClient();
  t.teardown(() => client.close());
  const workers: WorkerRecord[] = [];
  for (let index = 1; index <= count; index += 1) {
    const worker = `worker-${index}`;
    const settings = { ...DEFAULT_ENGINE_SETTINGS, worker, reportLag: 0 };
    const server = await startEngineEmulator({ port: 0, settings, model: 'm', weightStore });
    t.teardown(() => server.close());
    workers.push({ worker, model: 'm', zone: 'z', address: server.address, slots: 16 });
  }
  const setFaults = ({ address }: WorkerRecord, faults: object): Promise<unknown> =>
    fetch(`http://${address}/lab/faults`, { method: 'POST', body: JSON.stringify(faults) });
  return { client, workers, setFaults };
}

t.test('engines load through the limits of the emulated store', async (t) => {
  const rates = { bytesPerSecond: 1_000, versionBytes: 20, concurrency: 1 };
  const store = await startWeightStoreEmulator({ port: 0, ...rates });
  t.teardown(() => store.close());
  const { client, workers } = await fleetOf(t, 3, store.address);
  const order = { epoch: 1, action: { kind: 'load', version: 2 } } as const;
  const results = await Promise.all(workers.map((worker) => client.order(worker, order)));
  t.same(results, Array(3).fill({ kind: 'done' }));
  for (const worker of workers) t.match(await client.report(worker), { loadedVersions: [1, 2] });
});

t.test('a load fails with its store, and with a failing swap; the old version stays', async (t) => {
  const { address } = await storeOf(t, [500, 200, 200]);
  const { client, workers, setFaults } = await fleetOf(t, 1, address);
  const worker = workers[0] as WorkerRecord;
  const order = { epoch: 1, action: { kind: 'load', version: 2 } } as const;
  t.match(await client.order(worker, order), { kind: 'failed' });
  await setFaults(worker, { loadFailureRate: 1 });
  t.match(await client.order(worker, order), { kind: 'failed' });
  t.match(await client.report(worker), { activeVersion: 1, loadedVersions: [1] });
  await setFaults(worker, { loadFailureRate: 0 });
  t.same(await client.order(worker, order), { kind: 'done' });
});

t.test('a crash ends a load, and its download says nothing to the next life', async (t) => {
  const { address, paths } = await storeOf(t, [0, 200]);
  const { client, workers, setFaults } = await fleetOf(t, 1, address);
  const worker = workers[0] as WorkerRecord;
  const order = { epoch: 5, action: { kind: 'load', version: 2 } } as const;
  const result = client.order(worker, order);
  while (paths.length === 0) await new Promise((resolve) => setImmediate(resolve));
  await setFaults(worker, { crashed: true });
  t.match(await result, { kind: 'failed' });
  await setFaults(worker, { crashed: false });
  t.match(await client.report(worker), { epoch: 0, loadedVersions: [1] });
  t.same(await client.order(worker, { ...order, epoch: 1 }), { kind: 'done' });
});
