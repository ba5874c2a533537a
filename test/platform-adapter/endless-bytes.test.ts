/** Guards against memory, connections and items that are held by workers whose bytes never end. */
import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { EngineClient } from '../../platform/engine-client.js';
import { KIBIBYTE, MEBIBYTE, type Milliseconds } from '../../src/core/units.js';
import { readAnswerBody } from '../../src/serving/attempt.js';
import type { EngineRequest } from '../../src/serving/engine-port.js';
import { worker } from '../serving/serving-fixtures.js';

/** Time after which the connection to such a worker has to be closed. */
const CLOSED_AFTER: Milliseconds = 3_000;

/** Most bytes that may be taken from one of these workers, with those in buffers of both sides. */
const MAX_TAKEN_BYTES = 24 * MEBIBYTE;

/** Beginning of an answer, and what follows it without end. */
interface Shape {
  readonly head: string;
  readonly endless: Buffer;
}

const PIECE = Buffer.alloc(64 * KIBIBYTE, 'x');
const LARGE_CHUNK = Buffer.concat([Buffer.from('10000\r\n'), PIECE, Buffer.from('\r\n')]);
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(1_000));

const BODIES: Readonly<Record<string, Shape>> = {
  'without a length': { head: 'HTTP/1.1 200 OK\r\n', endless: PIECE },
  'in chunks': { head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n', endless: LARGE_CHUNK },
  'in chunks of a byte': {
    head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n',
    endless: SMALL_CHUNKS,
  },
  'of a failure': { head: 'HTTP/1.1 500 Failed\r\n', endless: PIECE },
  'with a length that is never reached': {
    head: 'HTTP/1.1 200 OK\r\nContent-Length: 9007199254740991\r\n',
    endless: PIECE,
  },
};

/** A worker that answers each request with bytes without end. */
class EndlessWorker {
  readonly client = new EngineClient();
  private readonly server = net.createServer((socket) => this.serve(socket));
  private readonly sockets = new Set<net.Socket>();
  bytesSent = 0;

  constructor(private readonly shape: Shape) {}

  async start(test: Pick<typeof t, 'teardown'>): Promise<EngineRequest> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    const { port } = this.server.address() as net.AddressInfo;
    test.teardown(() => {
      this.client.forget('i-1');
      for (const socket of this.sockets) socket.destroy();
      this.server.close();
    });
    return {
      worker: worker('i-1', { address: `127.0.0.1:${port}` }),
      ...{ requestId: 'request-1', method: 'POST', path: '/a/x', host: 'site.example' },
      ...{ headers: [], body: Buffer.from('b'), remaining: undefined },
    };
  }

  /** Connections that are still open. */
  get openConnections(): number {
    return this.sockets.size;
  }

  private serve(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    socket.once('data', () => {
      const stamp = 'X-Wardwing-Request-Id: request-1\r\nX-Wardwing-Server-Stamp: s\r\n';
      socket.write(`${this.shape.head}${stamp}\r\n`);
      this.pump(socket);
    });
  }

  private pump(socket: net.Socket): void {
    if (socket.destroyed || this.shape.endless.length === 0) return;
    this.bytesSent += this.shape.endless.length;
    if (socket.write(this.shape.endless)) setImmediate(() => this.pump(socket));
    else socket.once('drain', () => this.pump(socket));
  }
}

async function checkClosed(test: Pick<typeof t, 'ok'>, endless: EndlessWorker): Promise<void> {
  const giveUpAt = performance.now() + CLOSED_AFTER;
  while (endless.openConnections > 0 && performance.now() < giveUpAt) await sleep(10);
  test.ok(endless.openConnections === 0, `${endless.openConnections} connections still open`);
  test.ok(endless.bytesSent <= MAX_TAKEN_BYTES, `${endless.bytesSent} bytes were taken`);
}

for (const [name, shape] of Object.entries(BODIES)) {
  t.test(`a body without end is given up: ${name}`, async (t) => {
    const endless = new EndlessWorker(shape);
    const request = await endless.start(t);
    const outcome = await endless.client.send(request, new AbortController().signal);
    if (outcome.kind !== 'answered') return t.fail(`the outcome is ${outcome.kind}`);
    const isGivenUp = readAnswerBody(outcome).then((body) => body === undefined);
    await checkClosed(t, endless);
    if (endless.openConnections === 0) t.equal(await isGivenUp, true);
    else outcome.discard();
  });
}

t.test('the connection of a rejection whose body has no end is closed', async (t) => {
  const head = 'HTTP/1.1 503 Full\r\nX-Wardwing-Not-Run: 1\r\n';
  for (const endless of [PIECE, Buffer.alloc(0)]) {
    const rejecting = new EndlessWorker({ head, endless });
    const request = await rejecting.start(t);
    const outcome = await rejecting.client.send(request, new AbortController().signal);
    t.match(outcome, { kind: 'not-run', reason: 'full' });
    await checkClosed(t, rejecting);
  }
});

t.test('a report without end is given up', async (t) => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
  const endless = new EndlessWorker({ head, endless: PIECE });
  const request = await endless.start(t);
  t.equal(await endless.client.report(request.worker), undefined);
  await checkClosed(t, endless);
});
