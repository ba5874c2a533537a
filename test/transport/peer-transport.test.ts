import { createServer } from 'node:http';
import { type AddressInfo, createServer as createSocketServer, type Server } from 'node:net';
import { firstValueFrom, take, toArray } from 'rxjs';
import t, { type Test } from 'tap';
import type { PeerMessage } from '../../src/node/peer-message.js';
import { decodeEnvelope, encodeEnvelope } from '../../src/transport/peer-envelope.js';
import { PeerTransport } from '../../src/transport/peer-transport.js';
import type { TransportOptions } from '../../src/transport/transport-options.js';

const message = (text: string) =>
  ({ module: 'ledger', body: { kind: 'unused', text } }) as unknown as PeerMessage;
const record = (node: string) => {
  return { node, incarnation: 1, zone: 'z', region: 'r', address: '127.0.0.1:0', machine: node };
};
const transport = (node: string, options: Partial<TransportOptions> = {}) =>
  new PeerTransport({
    self: record(node),
    listen: { host: '127.0.0.1', port: 0 },
    token: 'secret',
    ...options,
  });

/** A transport that stops with its test. */
function stopping(t: Test, started: PeerTransport): PeerTransport {
  t.teardown(() => started.stop());
  return started;
}

/** Listens on a free port and gives the address; closes with the test. */
async function listening(t: Test, server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Resolves when a counter is above zero; polls, as counters have no events. */
async function counted(of: PeerTransport, counter: 'droppedRequestFailed' | 'batchesSent') {
  while (of.stats()[counter] === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  return of.stats();
}

t.test('messages of one moment travel in one batch, to the life that is meant', async (t) => {
  const [sender, receiver] = [stopping(t, transport('a')), stopping(t, transport('b'))];
  const from = await sender.start();
  const { address } = await receiver.start();
  const received = firstValueFrom(receiver.received.pipe(take(3), toArray()));
  const to = { node: 'b', incarnation: 1 };
  for (const text of ['x', 'line\nbreak', 'ü']) sender.send(to, address, message(text));
  const messages = await received;
  t.same(
    messages.map((entry) => entry.message),
    ['x', 'line\nbreak', 'ü'].map(message),
  );
  t.match(messages[0], { to, from: { ...record('a'), address: from.address } });
  t.match(await counted(sender, 'batchesSent'), { batchesSent: 1, messagesSent: 3 });
  t.match(receiver.stats(), { batchesReceived: 1, messagesReceived: 3 });
});

t.test('a message is sent as it was when it was handed over', async (t) => {
  const [sender, receiver] = [stopping(t, transport('a')), stopping(t, transport('b'))];
  const { address } = await receiver.start();
  const received = firstValueFrom(receiver.received);
  const changing = message('before');
  sender.send(null, address, changing);
  (changing.body as unknown as { text: string }).text = 'after';
  t.same((await received).message, message('before'));
});

t.test('a wrong token is refused and the loss counted', async (t) => {
  const [sender, receiver] = [transport('a', { token: 'other' }), transport('b')];
  t.teardown(() => Promise.all([sender.stop(), receiver.stop()]));
  const { address } = await receiver.start();
  receiver.received.subscribe(() => t.fail('nothing is received'));
  sender.send(null, address, message('x'));
  t.match(await counted(sender, 'droppedRequestFailed'), { droppedRequestFailed: 1 });
  t.match(receiver.stats(), { refusedToken: 1, messagesReceived: 0 });
  t.throws(() => transport('c', { token: '' }), RangeError);
});

t.test('a refused connection drops the batch, a later one arrives', async (t) => {
  const [sender, gone, receiver] = [transport('a'), transport('b'), transport('b')];
  t.teardown(() => Promise.all([sender.stop(), receiver.stop()]));
  const { address } = await gone.start();
  await gone.stop();
  sender.send(null, address, message('x'));
  sender.send(null, address, message('y'));
  t.match(await counted(sender, 'droppedRequestFailed'), { droppedRequestFailed: 2 });
  const next = await receiver.start();
  const received = firstValueFrom(receiver.received);
  sender.send(null, next.address, message('z'));
  t.same((await received).message, message('z'));
});

t.test(
  'a peer that never answers costs its batches, and what waits beyond the bound',
  async (t) => {
    const silent = createSocketServer((socket) => socket.on('error', () => undefined));
    const limits = { requestTimeout: 10, maxBatchBytes: 1, maxOutboxMessages: 5 };
    const address = await listening(t, silent);
    const sender = stopping(t, transport('a', limits));
    for (let count = 0; count < 10; count += 1) sender.send(null, address, message('x'));
    t.equal(sender.stats().droppedOutboxFull, 5);
    t.match(await counted(sender, 'droppedRequestFailed'), { messagesSent: 0 });
  },
);

t.test('at most two requests are under way to one peer', async (t) => {
  let open = 0;
  let most = 0;
  let answered = 0;
  const server = createServer((request, response) => {
    open += 1;
    most = Math.max(most, open);
    const answer = () => {
      open -= 1;
      answered += 1;
      response.writeHead(204).end();
    };
    request.resume().on('end', () => setTimeout(answer, 5));
  });
  const sender = transport('a', { maxBatchBytes: 1 });
  const address = await listening(t, server);
  t.teardown(() => sender.stop());
  for (let count = 0; count < 8; count += 1) sender.send(null, address, message('x'));
  while (answered < 8) await new Promise((resolve) => setTimeout(resolve, 1));
  t.equal(most, 2);
});

t.test('bodies that are too large, too slow or no envelope are refused', async (t) => {
  const receiver = transport('b', { maxBodyBytes: 1_000 });
  const impatient = transport('c', { bodyTimeout: 10 });
  t.teardown(() => Promise.all([receiver.stop(), impatient.stop()]));
  const { address } = await receiver.start();
  const slow = await impatient.start();
  const post = (body: string | ReadableStream, to = address, extra: object = {}) =>
    fetch(`http://${to}/v1/peer`, {
      method: 'POST',
      headers: { 'wardwing-peer-token': 'secret' },
      body,
      ...extra,
    }).then((response) => response.status);
  const unknown = { module: 'x', body: { kind: 'y' } } as unknown as PeerMessage;
  t.equal(await post('[]'), 400);
  t.equal(await post(encodeEnvelope({ from: record('a'), to: null, messages: [unknown] })), 400);
  t.equal(await post('x'.repeat(1_001)), 413);
  const endless = new ReadableStream({
    start: (controller) => controller.enqueue(Buffer.from('x')),
  });
  t.equal(await post(endless, slow.address, { duplex: 'half' }), 408);
  t.same([receiver.stats().refusedBody, impatient.stats().refusedBody], [3, 1]);
});

t.test('an answer other than accepted counts as loss', async (t) => {
  const server = createServer((_, response) => response.writeHead(500).end());
  const sender = transport('a');
  t.teardown(() => sender.stop());
  sender.send(null, await listening(t, server), message('x'));
  t.match(await counted(sender, 'droppedRequestFailed'), { messagesSent: 0 });
});

t.test('an envelope is read back as it was', async (t) => {
  const body = { kind: 'unused', map: new Map([['k', 1n]]), none: undefined };
  const sent = { module: 'routing', body } as unknown as PeerMessage;
  const envelope = { from: record('a'), to: null, messages: [sent, sent] };
  const decoded = decodeEnvelope(encodeEnvelope(envelope));
  t.same(decoded.isOk && decoded.value, envelope);
  t.ok(decodeEnvelope('').isErr);
});

t.test('messages of every module are taken', (t) => {
  const modules: Readonly<Record<PeerMessage['module'], true>> = {
    membership: true,
    'config-feed': true,
    'machine-feed': true,
    ledger: true,
    dispatch: true,
    rollouts: true,
    routing: true,
    status: true,
  };
  for (const module of Object.keys(modules)) {
    const messages = [{ module, body: { kind: 'unused' } }] as unknown as readonly PeerMessage[];
    const decoded = decodeEnvelope(encodeEnvelope({ from: record('a'), to: null, messages }));
    t.ok(decoded.isOk, module);
  }
  t.end();
});
