import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import t, { type Test } from 'tap';
import { TcpProxy, type TcpProxyOptions } from '../../../lab/faults/tcp-proxy.js';

/** A server that sends back what it gets, behind a proxy; gives the proxy and its address. */
async function echoBehindProxy(
  t: Test,
  options: Omit<TcpProxyOptions, 'target'> = {},
): Promise<{ readonly proxy: TcpProxy; readonly port: number }> {
  const server = createServer((socket) => socket.on('error', () => undefined).pipe(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const proxy = new TcpProxy({ target, ...options });
  const address = await proxy.start();
  t.teardown(async () => {
    await proxy.close();
    server.close();
  });
  return { proxy, port: Number(address.split(':')[1]) };
}

function open(t: Test, port: number): Socket {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  return socket;
}

/** Sends a text; resolves with what comes back, or `closed`. */
function exchange(socket: Socket, text: string): Promise<string> {
  return new Promise((resolve) => {
    socket.once('data', (data: Buffer) => resolve(data.toString()));
    socket.once('close', () => resolve('closed'));
    socket.write(text);
  });
}

t.test('an open link passes everything on, a cut one breaks once', async (t) => {
  const { proxy, port } = await echoBehindProxy(t);
  const socket = open(t, port);
  t.equal(await exchange(socket, 'one'), 'one');
  const answer = new Promise((resolve) => socket.once('close', resolve));
  proxy.cut();
  await answer;
  t.equal(await exchange(open(t, port), 'two'), 'two');
});

t.test('a refused link breaks, old or new', async (t) => {
  const { proxy, port } = await echoBehindProxy(t);
  const old = open(t, port);
  t.equal(await exchange(old, 'one'), 'one');
  const closed = new Promise((resolve) => old.once('close', resolve));
  proxy.set('refuse');
  await closed;
  t.equal(await exchange(open(t, port), 'two'), 'closed');
  proxy.set('open');
  t.equal(await exchange(open(t, port), 'three'), 'three');
});

t.test('what was swallowed never comes, and its link breaks when it is opened', async (t) => {
  const { proxy, port } = await echoBehindProxy(t);
  const socket = open(t, port);
  t.equal(await exchange(socket, 'one'), 'one');
  proxy.set('black-hole');
  const answer = exchange(socket, 'two');
  const other = open(t, port);
  const otherAnswer = exchange(other, 'three');
  await new Promise<void>((resolve) => other.once('connect', () => setImmediate(resolve)));
  while (proxy.swallowedLinks < 2) await new Promise((resolve) => setImmediate(resolve));
  proxy.set('open');
  t.same(await Promise.all([answer, otherAnswer]), ['closed', 'closed']);
});

t.test('a fault of one sender leaves the others alone', async (t) => {
  const { proxy, port } = await echoBehindProxy(t, { senders: ['north', 'south'] });
  proxy.set('refuse', 'north');
  t.equal(await exchange(open(t, port), '{"north" to "south"}'), 'closed');
  t.equal(await exchange(open(t, port), '{"south" to "north"}'), '{"south" to "north"}');
});

t.test('silenced links stay open and carry nothing, new ones work', async (t) => {
  const { proxy, port } = await echoBehindProxy(t);
  const silenced = open(t, port);
  t.equal(await exchange(silenced, 'one'), 'one');
  proxy.silence();
  const answer = exchange(silenced, 'two');
  t.equal(await exchange(open(t, port), 'three'), 'three');
  const pause = new Promise((resolve) => setTimeout(() => resolve('nothing'), 100));
  t.equal(await Promise.race([answer, pause]), 'nothing');
  t.notOk(silenced.destroyed);
  const spared = open(t, port);
  t.equal(await exchange(spared, 'four'), 'four');
  proxy.silence(() => false);
  t.equal(await exchange(spared, 'five'), 'five');
});

t.test('when a delay ends, nothing overtakes what was held back', async (t) => {
  const { proxy, port } = await echoBehindProxy(t);
  const socket = open(t, port);
  t.equal(await exchange(socket, 'one '), 'one ');
  let got = '';
  socket.on('data', (data: Buffer) => {
    got += data.toString();
  });
  proxy.delay = 60;
  socket.write('two ');
  await new Promise((resolve) => setTimeout(resolve, 20));
  proxy.delay = 0;
  socket.write('three');
  while (got.length < 'two three'.length) await new Promise((resolve) => setTimeout(resolve, 5));
  t.equal(got, 'two three');
});
