/**
 * The same cause at another place: each idle connection to a place has a wait of its own. Where all
 * open connections have gone silent, each call takes one of them and waits in full, though a new
 * connection would be answered at once. Evidence: this test, where as many calls failed as there
 * were idle connections.
 */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { stringify } from 'devalue';
import t from 'tap';
import { exchangeJson } from '../../platform/json-exchange.js';
import { KeptConnections } from '../../src/peers/kept-connections.js';
import { PeerClient } from '../../src/peers/peer-client.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';

const CONNECTIONS = 4;
const LIMIT = 100;

/** Answers all calls with one body, but for those over connections that it was told to ignore. */
async function deafServer(test: Pick<typeof t, 'teardown'>, body: string) {
  const open = new Set<Socket>();
  const ignored = new Set<Socket>();
  const server = http.createServer((request, response) => {
    request.resume();
    if (ignored.has(request.socket)) return;
    // Late enough for calls that come together to take a connection each.
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
    /** All connections that are open now are read no more. */
    ignoreOpen: () => {
      for (const socket of open) ignored.add(socket);
    },
  };
}

t.test('one silent call to a peer is followed by a new connection', async (t) => {
  const server = await deafServer(t, stringify({ isTaken: true }));
  const client = new PeerClient();
  t.teardown(() => client.stop());
  const ask = () =>
    client.request<'take-job'>(server.address, { kind: 'take-job', job: 'job' }, LIMIT);
  const opened = await Promise.all(Array.from({ length: CONNECTIONS }, ask));
  t.ok(opened.every((outcome) => outcome.kind === 'answered'));
  server.ignoreOpen();
  t.same(await ask(), { kind: 'silent' });
  t.equal((await ask()).kind, 'answered');
});

t.test('one silent call to the platform is followed by a new connection', async (t) => {
  const server = await deafServer(t, '{}');
  const agent = new KeptConnections();
  t.teardown(() => agent.destroy());
  const call = { agent, address: server.address, method: 'GET', path: '/', timeout: LIMIT };
  const opened = await Promise.all(Array.from({ length: CONNECTIONS }, () => exchangeJson(call)));
  t.ok(opened.every((outcome) => outcome.kind === 'answered'));
  await PROCESS_CLOCK.sleep(20);
  t.equal(Object.values(agent.freeSockets).flat().length, CONNECTIONS);
  server.ignoreOpen();
  t.same(await exchangeJson(call), { kind: 'unanswered' });
  t.equal((await exchangeJson(call)).kind, 'answered');
});
