import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import t from 'tap';
import { checkColdTime, checkLiveness } from '../../platform/worker-health-check.js';
import { worker } from '../serving/serving-fixtures.js';

const HEALTH = '/health';

async function listening(test: Pick<typeof t, 'teardown'>, server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

t.test('a worker that answers its health check is live, healthy or not', async (t) => {
  for (const status of [200, 503, 429]) {
    const server = http.createServer((request, response) => {
      t.equal(request.url, HEALTH);
      t.equal(request.headers['x-wardwing-expect-instance'], 'w1');
      response.writeHead(status, { 'x-wardwing-instance-id': 'w1' }).end();
    });
    const address = await listening(t, server);
    t.equal(await checkLiveness(worker('w1', { address }), HEALTH), 'lives');
  }
});

t.test('another worker at the address means that the worker has terminated', async (t) => {
  for (const [status, id] of [
    [421, undefined],
    [200, 'w2'],
  ] as const) {
    const server = http.createServer((_request, response) => {
      response.writeHead(status, id === undefined ? {} : { 'x-wardwing-instance-id': id }).end();
    });
    const address = await listening(t, server);
    t.equal(await checkLiveness(worker('w1', { address }), HEALTH), 'ended');
  }
});

t.test('a refused connection means that the worker has terminated', async (t) => {
  const server = net.createServer();
  const address = await listening(t, server);
  await new Promise((resolve) => server.close(resolve));
  t.equal(await checkLiveness(worker('w1', { address }), HEALTH), 'ended');
});

t.test('a worker that accepts the connection and is too busy to answer is live', async (t) => {
  const sockets: net.Socket[] = [];
  const address = await listening(
    t,
    net.createServer((socket) => sockets.push(socket)),
  );
  t.equal(await checkLiveness(worker('w1', { address }), HEALTH), 'lives');
  for (const socket of sockets) socket.destroy();
});

t.test('a connection that is closed at once leaves the liveness unknown', async (t) => {
  const address = await listening(
    t,
    net.createServer((socket) => socket.destroy()),
  );
  t.equal(await checkLiveness(worker('w1', { address }), HEALTH), 'unknown');
});

t.test('a health answer reports how long the worker stays cold', async (t) => {
  const cases = [
    [{ 'x-wardwing-cold-ms': '1250' }, 1_250],
    [{ 'x-wardwing-cold-ms': '0' }, 0],
    [{}, undefined],
    [{ 'x-wardwing-cold-ms': 'soon' }, undefined],
    [{ 'x-wardwing-cold-ms': '-5' }, undefined],
    [{ 'x-wardwing-cold-ms': '1250', 'x-wardwing-instance-id': 'w2' }, undefined],
  ] as const;
  for (const [headers, coldFor] of cases) {
    const server = http.createServer((_request, response) => {
      response.writeHead(503, headers).end();
    });
    const address = await listening(t, server);
    t.equal(await checkColdTime(worker('w1', { address }), HEALTH), coldFor);
  }
  const nobody = worker('w1', { address: '127.0.0.1:1' });
  t.equal(await checkColdTime(nobody, HEALTH), undefined);
});
