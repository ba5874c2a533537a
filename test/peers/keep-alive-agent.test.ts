/** Guards against one timeout per idle connection when all pooled connections are dead. */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { stringify } from 'devalue';
import t from 'tap';
import { exchangeJson } from '../../platform/json-exchange.js';
import { KeepAliveAgent } from '../../src/peers/keep-alive-agent.js';
import { PeerClient } from '../../src/peers/peer-client.js';
import { eventually } from '../fleet/fleet-fixtures.js';

const CONNECTIONS = 4;

/** Limit of calls that get no answer. */
const TIMEOUT = 100;

/** Limit of calls that are answered; a busy machine may suspend this process for a while. */
const ANSWER_TIMEOUT = 10_000;

/** Answers all calls with one body, except on connections that were silenced. */
async function silenceableServer(test: Pick<typeof t, 'teardown'>, body: string) {
  const open = new Set<Socket>();
  const silenced = new Set<Socket>();
  const counts = { connections: 0, unanswered: 0 };
  const server = http.createServer((request, response) => {
    request.resume();
    if (silenced.has(request.socket)) {
      counts.unanswered += 1;
      return;
    }
    // The delay makes concurrent calls open one connection each.
    setTimeout(() => response.end(body), 20);
  });
  // Idle connections are closed by the client only.
  server.keepAliveTimeout = 0;
  server.on('connection', (socket) => {
    counts.connections += 1;
    open.add(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    for (const socket of open) socket.destroy();
    server.close();
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    counts,
    /** Stops answering on all connections that are open now. */
    ignoreOpen: () => {
      for (const socket of open) silenced.add(socket);
    },
  };
}

/** Milliseconds until a call settles, without the time in which this process was suspended. */
async function runningTimeOf(call: Promise<unknown>): Promise<number> {
  let elapsed = 0;
  const timer = setInterval(() => {
    elapsed += 1;
  }, 1);
  await call.finally(() => clearInterval(timer));
  return elapsed;
}

t.test('one silent call to a peer is followed by a new connection', async (t) => {
  const server = await silenceableServer(t, stringify({ isTaken: true }));
  const client = new PeerClient();
  t.teardown(() => client.stop());
  const request = (limit: number) =>
    client.request<'take-job'>(server.address, { kind: 'take-job', job: 'job' }, limit);
  const opened = await Promise.all(
    Array.from({ length: CONNECTIONS }, () => request(ANSWER_TIMEOUT)),
  );
  t.ok(opened.every((outcome) => outcome.kind === 'answered'));
  server.ignoreOpen();
  t.same(await request(TIMEOUT), { kind: 'silent' });
  const next = request(ANSWER_TIMEOUT);
  t.ok((await runningTimeOf(next)) < TIMEOUT);
  t.equal((await next).kind, 'answered');
  t.same(server.counts, { connections: CONNECTIONS + 1, unanswered: 1 });
});

t.test('one silent call to the platform is followed by a new connection', async (t) => {
  const server = await silenceableServer(t, '{}');
  const agent = new KeepAliveAgent();
  t.teardown(() => agent.destroy());
  const call = { agent, address: server.address, method: 'GET', path: '/' };
  const request = (timeout: number) => exchangeJson({ ...call, timeout });
  const opened = await Promise.all(
    Array.from({ length: CONNECTIONS }, () => request(ANSWER_TIMEOUT)),
  );
  t.ok(opened.every((outcome) => outcome.kind === 'answered'));
  await eventually(() => Object.values(agent.freeSockets).flat().length === CONNECTIONS);
  server.ignoreOpen();
  t.same(await request(TIMEOUT), { kind: 'unanswered' });
  const next = request(ANSWER_TIMEOUT);
  t.ok((await runningTimeOf(next)) < TIMEOUT);
  t.equal((await next).kind, 'answered');
  t.same(server.counts, { connections: CONNECTIONS + 1, unanswered: 1 });
});
