/**
 * Guards against responses without a length that are reset right behind their last bytes and still
 * reach callers, batch jobs and the adapter's own calls as complete.
 */
import net from 'node:net';
import t from 'tap';
import { EngineClient } from '../../platform/engine-client.js';
import { StoreClient } from '../../platform/store-client.js';
import { createRandomSource } from '../../src/core/random.js';
import type { EngineRequest } from '../../src/serving/engine-port.js';
import { readAll, readChunks } from '../../src/serving/read-chunks.js';
import { worker } from '../serving/serving-fixtures.js';

/** How the peer ends the connection after the last byte of its response. */
type Ending = 'close' | 'reset' | 'later-reset' | 'close-and-reset';

const ENDINGS: readonly Ending[] = ['close', 'reset', 'later-reset', 'close-and-reset'];

const SIZES = [3, 400, 20_000, 65_536, 90_000] as const;

/** Pauses before pieces, in milliseconds; pieces without one may arrive together. */
const PAUSES = [0, 0, 1, 3] as const;

/** What the kernel sends at once over a new connection. */
const SENT_AT_ONCE_BYTES = 50_000;

/** Larger than the buffers of a connection, so that the peer can answer before it is all sent. */
const UPLOAD_BYTES = 16 * 1_048_576;

interface PeerOptions {
  readonly head: (request: string) => string;
  readonly pieces: readonly string[];
  readonly ending: Ending;
  /** Pause before a piece, by its index, in milliseconds; 0 sends it at once. */
  readonly pauseBefore?: (index: number) => number;
  /** Whether the peer leaves most of the request unread until it ends the connection. */
  readonly leavesUpload?: boolean;
}

const pause = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

async function answer(socket: net.Socket, request: string, options: PeerOptions): Promise<void> {
  const { head, pieces, ending, pauseBefore = () => 0 } = options;
  socket.write(head(request));
  for (const [index, piece] of pieces.entries()) {
    const milliseconds = pauseBefore(index);
    if (milliseconds > 0) await pause(milliseconds);
    const isLast = index === pieces.length - 1;
    const isFlushed = new Promise<void>((resolve) => {
      if (isLast && ending.startsWith('close')) socket.end(piece, resolve);
      else socket.write(piece, () => resolve());
    });
    if (isLast) await isFlushed;
  }
  if (ending === 'close') return;
  if (ending === 'later-reset') await pause(5);
  socket.resetAndDestroy();
}

async function startPeer(test: Pick<typeof t, 'teardown'>, options: PeerOptions): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', (chunk: Buffer) => {
      if (options.leavesUpload === true) socket.pause();
      void answer(socket, chunk.toString('latin1'), options);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** The head of a worker's answer that has no length. */
function unframedHead(request: string, ...headers: string[]): string {
  const id = /x-wardwing-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  const lines = ['HTTP/1.1 200 OK', `X-Wardwing-Request-Id: ${id}`, 'X-Wardwing-Server-Stamp: s'];
  return `${[...lines, ...headers].join('\r\n')}\r\n\r\n`;
}

function engineRequest(address: string, fields: Partial<EngineRequest> = {}): EngineRequest {
  return {
    worker: worker('i-1', { address }),
    requestId: 'request-1',
    method: 'POST',
    path: '/',
    host: 'h',
    headers: [],
    body: Buffer.from('question'),
    remaining: undefined,
    ...fields,
  };
}

/** Sends a request; returns the body, or `undefined` where it was reported as broken. */
async function bodyFrom(
  address: string,
  fields?: Partial<EngineRequest>,
): Promise<string | undefined> {
  const client = new EngineClient();
  const request = engineRequest(address, fields);
  const outcome = await client.send(request, new AbortController().signal);
  if (outcome.kind !== 'answered') return undefined;
  const body = await readAll(outcome.body, Number.POSITIVE_INFINITY);
  client.forget('i-1');
  return body?.toString('latin1');
}

/** What may be read; bytes still in transit are lost if a reset follows the close. */
function expectedBodies(whole: string, ending: Ending): readonly (string | undefined)[] {
  if (ending === 'close') return [whole];
  if (ending !== 'close-and-reset') return [undefined];
  return whole.length < SENT_AT_ONCE_BYTES ? [whole] : [whole, undefined];
}

t.test('a body without a length is complete only if its connection was closed', async (t) => {
  for (let seed = 1; seed <= 120; seed += 1) {
    const random = createRandomSource(seed);
    const ending = ENDINGS[random.integer(ENDINGS.length)] ?? 'close';
    const size = SIZES[random.integer(SIZES.length)] ?? 1;
    const pieces = Array.from({ length: 1 + random.integer(5) }, (_, index) =>
      String(index).repeat(size),
    );
    const pauses = pieces.map(() => PAUSES[random.integer(PAUSES.length)] ?? 0);
    const pauseBefore = (index: number): number => pauses[index] ?? 0;
    const address = await startPeer(t, { head: unframedHead, pieces, ending, pauseBefore });
    const body = await bodyFrom(address);
    const isExpected = expectedBodies(pieces.join(''), ending).includes(body);
    t.ok(isExpected, `seed ${seed}: ${ending}, ${pieces.length} pieces of ${size} bytes`);
  }
});

t.test('a transfer coding other than chunked does not frame a body', async (t) => {
  const head = (request: string): string => unframedHead(request, 'Transfer-Encoding: identity');
  for (const ending of ENDINGS) {
    const address = await startPeer(t, { head, pieces: ['all of it'], ending });
    t.ok(expectedBodies('all of it', ending).includes(await bodyFrom(address)), ending);
  }
});

t.test('the answer to a HEAD request ends with its head', async (t) => {
  const address = await startPeer(t, { head: unframedHead, pieces: [''], ending: 'close' });
  t.equal(await bodyFrom(address, { method: 'HEAD', body: Buffer.alloc(0) }), '');
});

t.test('a reset is detected while a request is still being written', async (t) => {
  for (const ending of ['reset', 'later-reset'] as const) {
    const pieces = ['all', ' of it'];
    const address = await startPeer(t, { head: unframedHead, pieces, ending, leavesUpload: true });
    t.equal(await bodyFrom(address, { body: Buffer.alloc(UPLOAD_BYTES) }), undefined, ending);
  }
});

t.test('a stream whose reader falls behind is judged by its connection', async (t) => {
  for (const ending of ENDINGS) {
    const pieces = Array.from({ length: 8 }, () => 'x'.repeat(40_000));
    const address = await startPeer(t, { head: unframedHead, pieces, ending });
    const client = new EngineClient();
    t.teardown(() => client.forget('i-1'));
    const outcome = await client.send(engineRequest(address), new AbortController().signal);
    if (outcome.kind !== 'answered') return t.fail(`${ending}: ${outcome.kind}`);
    const { body } = outcome;
    let bytes = 0;
    const end = await readChunks(body, (chunk) => {
      bytes += chunk.length;
      body.pause();
      setTimeout(() => body.resume(), 2);
      return true;
    });
    if (ending === 'close') t.same([end, bytes], ['ended', 320_000], ending);
    else if (ending === 'close-and-reset') t.ok(end === 'broken' || bytes === 320_000, ending);
    else t.equal(end, 'broken', ending);
  }
});

t.test('a call to the store whose answer is reset counts as unanswered', async (t) => {
  const head = (): string => 'HTTP/1.1 404 Not Found\r\n\r\n';
  for (const ending of ENDINGS) {
    const address = await startPeer(t, { head, pieces: ['{}'], ending });
    const { kind } = await new StoreClient(address).get('key');
    t.equal(kind, ending.startsWith('close') ? 'item' : 'failed', ending);
  }
});

t.test('an answer without a length that is cancelled unread raises no error', async (t) => {
  const address = await startPeer(t, {
    head: unframedHead,
    pieces: ['part', 'rest'],
    ending: 'close',
    pauseBefore: (index) => 200 * index,
  });
  const client = new EngineClient();
  const abort = new AbortController();
  const outcome = await client.send(engineRequest(address), abort.signal);
  t.equal(outcome.kind, 'answered');
  abort.abort();
  await pause(50);
  t.ok(outcome.kind === 'answered' && outcome.body.destroyed);
  client.forget('i-1');
});
