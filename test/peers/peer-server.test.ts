import t from 'tap';
import { PeerClient } from '../../src/peers/peer-client.js';
import type { PeerHandler } from '../../src/peers/peer-messages.js';
import { PeerServer } from '../../src/peers/peer-server.js';

const OWNER = { node: 'node-1', incarnation: 'life-1', address: '127.0.0.1:1' };

t.test('a failed request is reported, and its sender gets no answer', async (t) => {
  const faults: unknown[] = [];
  const handler: PeerHandler = {
    answer: async (request) => {
      if (request.kind === 'probe') throw new Error('simulated failure of the handler');
      return { isTaken: true };
    },
  };
  const server = new PeerServer(handler, (error) => faults.push(error));
  const port = await server.listen('127.0.0.1', 0);
  const client = new PeerClient();
  t.teardown(() => {
    client.stop();
    server.stop();
  });
  const address = `127.0.0.1:${port}`;
  t.same(await client.request<'probe'>(address, { kind: 'probe', owner: OWNER }, 1_000), {
    kind: 'silent',
  });
  t.match(faults, [{ message: 'simulated failure of the handler' }]);
  t.same(await client.request<'take-job'>(address, { kind: 'take-job', job: 'job' }, 1_000), {
    kind: 'answered',
    answer: { isTaken: true },
  });
});

t.test('an answer to many requests is encoded once', async (t) => {
  let reads = 0;
  const shared = {
    get isTaken(): boolean {
      reads += 1;
      return true;
    },
  };
  const server = new PeerServer({ answer: async () => shared });
  const port = await server.listen('127.0.0.1', 0);
  const client = new PeerClient();
  t.teardown(() => {
    client.stop();
    server.stop();
  });
  const request = () =>
    client.request<'take-job'>(`127.0.0.1:${port}`, { kind: 'take-job', job: 'job' }, 1_000);
  t.same(await request(), { kind: 'answered', answer: { isTaken: true } });
  const readsOfOne = reads;
  t.same(await request(), { kind: 'answered', answer: { isTaken: true } });
  t.equal(reads, readsOfOne);
});
