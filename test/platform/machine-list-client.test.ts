import t from 'tap';
import { startMachineListEmulator } from '../../lab/emulator/machine-list-emulator.js';
import { startWeightStoreEmulator } from '../../lab/emulator/weight-store-emulator.js';
import { MachineListClient } from '../../src/platform/machine-list-client.js';
import type { MachineRecord } from '../../src/platform/worker.js';

const MACHINE: MachineRecord = {
  machine: 'machine-1',
  zone: 'abdali-hall',
  state: 'live',
  nodeAddresses: ['127.0.0.1:7401'],
  workers: [],
};

t.test('the list is seen late, and not at all when the service is gone', async (t) => {
  const server = await startMachineListEmulator({ port: 0, lag: 60_000 });
  const client = new MachineListClient({ address: server.address });
  t.teardown(() => client.close());
  t.same(await client.list(), []);
  const set = (machines: readonly MachineRecord[]): Promise<Response> => {
    const body = JSON.stringify(machines);
    return fetch(`http://${server.address}/lab/machines`, { method: 'POST', body });
  };
  await set([MACHINE]);
  await set([{ ...MACHINE, state: 'leaving' }]);
  t.same(await client.list(), [MACHINE], 'the change is not seen yet');
  t.equal(await client.list(), await client.list(), 'an unchanged list is decoded once');
  await server.close();
  t.equal(await client.list(), undefined);
});

t.test('the same answer is the same array object, a changed answer another', async (t) => {
  const server = await startMachineListEmulator({ port: 0, lag: 0 });
  const client = new MachineListClient({ address: server.address });
  t.teardown(() => server.close());
  t.teardown(() => client.close());
  const empty = await client.list();
  t.equal(await client.list(), empty);
  const body = JSON.stringify([MACHINE]);
  await fetch(`http://${server.address}/lab/machines`, { method: 'POST', body });
  const changed = await client.list();
  t.same(changed, [MACHINE]);
  t.equal(await client.list(), changed);
});

t.test('the weight store answers 429 past its concurrency limit', async (t) => {
  const server = await startWeightStoreEmulator({
    port: 0,
    bytesPerSecond: 1,
    versionBytes: 1_000,
    concurrency: 0,
  });
  t.teardown(() => server.close());
  const answer = await fetch(`http://${server.address}/weights/model-bench/2`);
  t.equal(answer.status, 429);
  t.equal(answer.headers.get('retry-after'), '1000');
  t.equal((await fetch(`http://${server.address}/weights/none`)).status, 404);
});
