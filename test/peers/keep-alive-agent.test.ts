/** Guards against one timeout per idle connection when all pooled connections are dead. */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { stringify } from 'devalue';
import t from 'tap';
import { exchangeJson } from '../../platform/json-exchange.js';
import { KeepAliveAgent } from '../../src/peers/keep-alive-agent.js';
import { PeerClient } from '../../src/peers/peer-client.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';

const CONNECTIONS = 4;
const TIMEOUT = 100;

/** Answers all calls with one body, except on connections that were silenced. */
async function silenceableServer(test: Pick<typeof t, 'teardown'>, body: string) {
  const open = new Set<Socket>();
  const silenced = new Set<Socket>();
  const server = http.createServer((request, response) => {
    request.resume();
    if (silenced.has(request.socket)) return;
    // The delay makes concurrent calls open one connection each.
    setTimeout(() => response.end(body), 20);
  });
  server.on('connection', (socket) => open.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    for (const socket of open) socket.destroy();
    server.close();
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    /** Stops answering on all connections that are open now. */
    ignoreOpen: () => {
      for (const socket of open) silenced.add(socket);
    },
  };
}

t.test('one silent call to a peer is followed by a new connection', async (t) => {
  const server = await silenceableServer(t, stringify({ isTaken: true }));
  const client = new PeerClient();
  t.teardown(() => client.stop());
  const request = () =>
    client.request<'take-job'>(server.address, { kind: 'take-job', job: 'job' }, TIMEOUT);
  const opened = await Promise.all(Array.from({ length: CONNECTIONS }, request));
  t.ok(opened.every((outcome) => outcome.kind === 'answered'));
  server.ignoreOpen();
  t.same(await request(), { kind: 'silent' });
  t.equal((await request()).kind, 'answered');
});

t.test('one silent call to the platform is followed by a new connection', async (t) => {
  const server = await silenceableServer(t, '{}');
  const agent = new KeepAliveAgent();
  t.teardown(() => agent.destroy());
  const call = { agent, address: server.address, method: 'GET', path: '/', timeout: TIMEOUT };
  const opened = await Promise.all(Array.from({ length: CONNECTIONS }, () => exchangeJson(call)));
  t.ok(opened.every((outcome) => outcome.kind === 'answered'));
  await PROCESS_CLOCK.sleep(20);
  t.equal(Object.values(agent.freeSockets).flat().length, CONNECTIONS);
  server.ignoreOpen();
  t.same(await exchangeJson(call), { kind: 'unanswered' });
  t.equal((await exchangeJson(call)).kind, 'answered');
});
