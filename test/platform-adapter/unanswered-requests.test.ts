/**
 * Guards against callers that get neither an answer nor the end of their connection at their route's
 * timeout when a worker's answer stalls after its head, or has a status that no response may have.
 */
import http from 'node:http';
import net from 'node:net';
import t from 'tap';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { StallMeter } from '../fleet/stall-meter.js';
import { startWorkerGateway, type WorkerGateway } from './worker-gateway.js';

const TIMEOUT: Milliseconds = 700;

/** Time after the timeout by which each caller has an answer or a closed connection. */
const SLACK: Milliseconds = 500;

/** Time after which a caller gives up; far beyond the slack. */
const PATIENCE: Milliseconds = 4_000;

/** Callers that send at a time; more would wait for each other in this process. */
const CLIENTS = 6;

const IDLE_TIMEOUT: Milliseconds = 1_000;

const ROUTE = { host: 'h', service: 's', timeout_ms: TIMEOUT, target_latency_ms: 60 };

const CONFIGURATION = {
  version: 1,
  routes: [
    { ...ROUTE, name: 'look', path_prefix: '/look/', kind: 'read_only', max_attempts: 3 },
    { ...ROUTE, name: 'draw', path_prefix: '/draw/', kind: 'mutating', max_attempts: 3 },
    { ...ROUTE, name: 'talk', path_prefix: '/talk/', kind: 'streaming', max_attempts: 3 },
    { ...ROUTE, name: 'keep', path_prefix: '/keep/', kind: 'streaming', resumable: true },
  ],
  services: [{ name: 's', health_path: '/health' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: IDLE_TIMEOUT,
  },
};

const PATHS = ['/look/', '/draw/', '/talk/', '/keep/'] as const;

const LENGTH = ['Content-Length: 20'];
const CHUNKED = ['Transfer-Encoding: chunked'];
const EVENTS = [...CHUNKED, 'Content-Type: text/event-stream'];

/** Status line, further headers and the beginning of the body; then nothing more. */
const REACTIONS = {
  'no head': undefined,
  'a head with a length': ['200 OK', LENGTH, ''],
  'half a body with a length': ['200 OK', LENGTH, 'ten bytes.'],
  'a chunked head': ['200 OK', CHUNKED, ''],
  'a chunk': ['200 OK', CHUNKED, 'a\r\nten bytes.\r\n'],
  'a head without a length': ['200 OK', [], ''],
  'some of a body without a length': ['200 OK', [], 'ten bytes.'],
  'the head of a stream': ['200 OK', EVENTS, ''],
  'an event': ['200 OK', EVENTS, '13\r\nid: 0\ndata: piece\n\n\r\n'],
  'status 0': ['000 OK', ['Content-Length: 2'], 'ok'],
  'status 99': ['099 OK', ['Content-Length: 2'], 'ok'],
  'status 600': ['600 OK', ['Content-Length: 2'], 'ok'],
  'status 999': ['999 OK', ['Content-Length: 2'], 'ok'],
  'another protocol': ['101 Switching Protocols', ['Upgrade: x', 'Connection: Upgrade'], ''],
  'a whole answer': ['200 OK', ['Content-Length: 2'], 'ok'],
} as const;

type Reaction = keyof typeof REACTIONS;

const REACTION_NAMES = Object.keys(REACTIONS) as Reaction[];

/** A worker over bare TCP; `react` gets the path of each request. */
async function startWorker(
  test: Pick<typeof t, 'teardown'>,
  react: (path: string, head: string, socket: net.Socket) => void,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      const text = chunk.toString('latin1');
      const path = text.split(' ')[1] ?? '';
      const id = /x-wardwing-request-id: (\S+)/i.exec(text)?.[1] ?? '';
      if (path === '/health') socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      else if (id !== '') {
        react(path, `X-Wardwing-Request-Id: ${id}\r\nX-Wardwing-Server-Stamp: s`, socket);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Writes the beginning of an answer, as far as a reaction says. */
function write(reaction: Reaction, head: string, socket: net.Socket): void {
  const parts = REACTIONS[reaction];
  if (parts === undefined) return;
  const [status, headers, body] = parts;
  socket.write([`HTTP/1.1 ${status}`, head, ...headers, '', body].join('\r\n'));
}

function startGateway(
  test: Pick<typeof t, 'teardown'>,
  addresses: readonly string[],
): Promise<WorkerGateway> {
  const workers = new Map(addresses.map((address, index) => [`w${index}`, address]));
  return startWorkerGateway(test, { configuration: CONFIGURATION, workers, slots: 100 });
}

/**
 * Sends a request; resolves with the time until its answer was whole or its connection ended, or with
 * that until it was given up.
 */
function timeUntilEnd(port: number, path: string, id: string): Promise<Milliseconds> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(patience);
      request.destroy();
      resolve(performance.now() - sentAt);
    };
    const patience = setTimeout(() => finish(), PATIENCE);
    const headers = { host: 'h', 'x-wardwing-request-id': id };
    const options = { port, host: '127.0.0.1', method: 'POST', path, headers, agent: false };
    const request = http.request(options, (response) => {
      response.on('error', finish);
      response.on('end', finish);
      response.resume();
    });
    request.on('error', finish);
    request.end('question');
  });
}

t.test('each caller has an answer or a closed connection at its timeout', async (t) => {
  const { SEED = '7' } = process.env;
  const random = createRandomSource(Number(SEED));
  const workers = await Promise.all(
    [1, 2, 3].map(() =>
      startWorker(t, (path, head, socket) => {
        const name = decodeURIComponent(path.split('/')[2] ?? '') as Reaction;
        // A retry or a hedge may get any other reaction.
        const isDrawn = random.integer(4) === 0;
        const drawn = REACTION_NAMES[random.integer(REACTION_NAMES.length)] ?? name;
        write(isDrawn ? drawn : name, head, socket);
      }),
    ),
  );
  const { ingress, port } = await startGateway(t, workers);
  const cases = PATHS.flatMap((path) => REACTION_NAMES.map((name) => ({ path, name })));
  const late: string[] = [];
  const stallMeter = new StallMeter();
  t.teardown(() => stallMeter.stop());
  const client = async (): Promise<void> => {
    for (let next = cases.shift(); next !== undefined; next = cases.shift()) {
      const { path, name } = next;
      const sentAt = performance.now();
      const url = `${path}${encodeURIComponent(name)}`;
      const time = await timeUntilEnd(port, url, `request-${cases.length}`);
      // Gateway, workers and clients share this process, so none of them runs during its stalls.
      const stalled = stallMeter.stalledWithin(sentAt, sentAt + time);
      if (time - stalled > TIMEOUT + SLACK) late.push(`${path}: ${name}, ${Math.round(time)} ms`);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, client));
  t.same(late, [], `seed ${SEED}`);
  await eventually(() => ingress.requestsInFlight === 0);
  t.pass('no request stays in flight');
});

/** Sends a request and reads nothing of its answer; resolves once the gateway closes the connection. */
async function readNothing(port: number, path: string): Promise<net.Socket> {
  const socket = net.connect({ port, host: '127.0.0.1' });
  socket.on('error', () => {});
  const headers = 'Host: h\r\nX-Wardwing-Request-Id: request-1\r\nContent-Length: 0';
  socket.write(`POST ${path} HTTP/1.1\r\n${headers}\r\n\r\n`);
  socket.pause();
  return socket;
}

t.test('a stream whose caller reads nothing ends at its timeout', async (t) => {
  const worker = await startWorker(t, (_path, head, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\nContent-Type: text/event-stream\r\n\r\n`);
    let id = 0;
    const event = (): string => `id: ${id++}\ndata: ${'x'.repeat(60_000)}\n\n`;
    const fill = (): void => {
      while (!socket.destroyed && socket.write(event()));
    };
    socket.on('drain', fill);
    fill();
  });
  const { ingress, port } = await startGateway(t, [worker]);
  const socket = await readNothing(port, '/talk/x');
  await eventually(() => ingress.requestsInFlight === 1);
  const stallMeter = new StallMeter();
  t.teardown(() => stallMeter.stop());
  const startedAt = performance.now();
  await eventually(() => ingress.requestsInFlight === 0);
  const endedAt = performance.now();
  const time = endedAt - startedAt - stallMeter.stalledWithin(startedAt, endedAt);
  t.ok(time < TIMEOUT + SLACK, `${Math.round(time)} ms`);
  socket.destroy();
});

t.test('a caller that reads nothing of a whole answer is disconnected', async (t) => {
  const body = Buffer.alloc(30_000_000);
  const worker = await startWorker(t, (_path, head, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\nContent-Length: ${body.length}\r\n\r\n`);
    socket.write(body);
  });
  const { ingress, port } = await startGateway(t, [worker]);
  const socket = await readNothing(port, '/draw/x');
  await eventually(() => ingress.requestsInFlight === 1);
  await eventually(() => ingress.requestsInFlight === 0);
  t.pass('once nothing was read for the idle timeout');
  socket.destroy();
});
