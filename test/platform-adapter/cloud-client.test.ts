import http from 'node:http';
import type net from 'node:net';
import t from 'tap';
import { CloudClient } from '../../platform/cloud-client.js';

const HOLDER = { holder: 'node-1', fencingToken: 12 };

interface Call {
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: unknown;
}

/** Starts a cloud interface that answers with the given statuses; 0 resets the connection. */
async function startCloud(
  test: Pick<typeof t, 'teardown'>,
  ...statuses: number[]
): Promise<{ readonly client: CloudClient; readonly calls: Call[] }> {
  const calls: Call[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString());
      calls.push({ path: `${request.method} ${request.url}`, headers: request.headers, body });
      const status = statuses.shift() ?? 200;
      if (status === 0) request.socket.destroy();
      else response.writeHead(status).end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as net.AddressInfo;
  return { client: new CloudClient(`127.0.0.1:${port}`), calls };
}

t.test('calls carry the holder and its fencing token', async (t) => {
  const { client, calls } = await startCloud(t);
  const report = { window: 353_445_120, counts: { north: 412 } };
  t.equal(await client.reportUsage(report, HOLDER), 'accepted');
  const order = { service: 's', zone: 'z', desiredCount: 6 };
  t.equal(await client.orderWorkers(order, HOLDER), 'accepted');
  const headers = { 'x-wardwing-duty-holder': 'node-1', 'x-wardwing-fencing-token': '12' };
  t.match(calls, [
    { path: 'POST /usage', headers, body: report },
    { path: 'POST /scale', headers, body: { service: 's', zone: 'z', desired_count: 6 } },
  ]);
});

t.test('statuses map to outcomes; a call that may still take effect is unknown', async (t) => {
  const statuses = [409, 429, 503, 400, 500, 0];
  const { client } = await startCloud(t, ...statuses);
  const outcomes: string[] = [];
  for (const _ of statuses)
    outcomes.push(await client.reportUsage({ window: 1, counts: {} }, HOLDER));
  t.same(outcomes, ['superseded', 'throttled', 'unavailable', 'refused', 'unknown', 'unknown']);
});

t.test('a refused connection means that the call had no effect', async (t) => {
  const client = new CloudClient('127.0.0.1:1');
  t.equal(await client.reportUsage({ window: 1, counts: {} }, HOLDER), 'unavailable');
});
