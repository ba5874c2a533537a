import http from 'node:http';
import net from 'node:net';
import t from 'tap';
import { EngineClient } from '../../platform/engine-client.js';
import type { EngineOutcome, EngineRequest } from '../../src/serving/engine-port.js';
import { worker } from '../serving/serving-fixtures.js';

/** Writes the raw response of the stub worker to one request. */
type Script = (requestId: string, socket: net.Socket) => void;

interface WorkerStub {
  readonly client: EngineClient;
  readonly requests: string[];
  /** Number of connections opened so far. */
  connections(): number;
  send(fields?: Partial<EngineRequest>, signal?: AbortSignal): Promise<EngineOutcome>;
}

async function startWorker(
  test: Pick<typeof t, 'teardown'>,
  ...scripts: Script[]
): Promise<WorkerStub> {
  const requests: string[] = [];
  const sockets = new Set<net.Socket>();
  let opened = 0;
  const server = net.createServer((socket) => {
    opened += 1;
    sockets.add(socket);
    let pending = '';
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      pending += chunk.toString('latin1');
      const bodyLength = Number(/content-length: (\d+)/i.exec(pending)?.[1] ?? 0);
      const head = pending.indexOf('\r\n\r\n');
      if (head < 0 || pending.length < head + 4 + bodyLength) return;
      requests.push(pending);
      const id = /x-wardwing-request-id: (\S+)/i.exec(pending)?.[1] ?? '';
      pending = '';
      scripts.shift()?.(id, socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new EngineClient();
  const target = worker('i-1', { address: `127.0.0.1:${port}` });
  test.teardown(() => {
    client.forget('i-1');
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  let sent = 0;
  const send: WorkerStub['send'] = (fields = {}, signal = new AbortController().signal) => {
    sent += 1;
    const request: EngineRequest = {
      worker: target,
      requestId: `request-${sent}`,
      method: 'POST',
      path: '/a/x?y=1',
      host: 'site.example',
      headers: ['X-Own', 'kept', 'Connection', 'close', 'X-Wardwing-Deadline-Ms', '9999'],
      body: Buffer.from('question'),
      remaining: 1_234.5,
      ...fields,
    };
    return client.send(request, signal);
  };
  return { client, requests, connections: () => opened, send };
}

function reply(status: string, headers: readonly string[], body: string): string {
  const lines = [`HTTP/1.1 ${status}`, ...headers, `Content-Length: ${body.length}`];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

const stamped = (id: string): string[] => [
  `X-Wardwing-Request-Id: ${id}`,
  'X-Wardwing-Server-Stamp: s',
];

const answers =
  (body: string, ...headers: string[]): Script =>
  (id, socket) =>
    socket.write(reply('200 OK', [...stamped(id), ...headers], body));

async function bodyOf(outcome: EngineOutcome): Promise<string> {
  if (outcome.kind !== 'answered') return outcome.kind;
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of outcome.body) chunks.push(chunk as Buffer);
  } catch {
    return 'broken off';
  }
  return Buffer.concat(chunks).toString();
}

t.test('a request carries headers of the caller and those of the adapter', async (t) => {
  const worker = await startWorker(t, answers('reply', 'X-Wardwing-Server-Load: 3,1,8'));
  const outcome = await worker.send();
  t.equal(await bodyOf(outcome), 'reply');
  t.same(outcome.kind === 'answered' && outcome.load, { running: 3, waiting: 1, slots: 8 });
  const sent = worker.requests[0] ?? '';
  t.match(sent, /^POST \/a\/x\?y=1 HTTP\/1.1\r\n/);
  t.match(sent, /Host: site.example\r\n/);
  t.match(sent, /X-Own: kept\r\n/);
  t.match(sent, /x-wardwing-expect-instance: i-1\r\n/);
  t.match(sent, /x-wardwing-deadline-ms: 1234\r\n/);
  t.notMatch(sent, /9999/);
  t.notMatch(sent, /Connection: close/);
  t.match(sent, /\r\n\r\nquestion$/);
});

t.test('an empty body has a length and is not sent in chunks', async (t) => {
  const methods = ['POST', 'PUT', 'PATCH', 'REPORT', 'GET', 'DELETE', 'OPTIONS'];
  const worker = await startWorker(t, ...methods.map(() => answers('reply')));
  for (const method of methods) {
    await bodyOf(await worker.send({ method, body: Buffer.alloc(0) }));
    const sent = worker.requests.at(-1) ?? '';
    t.notMatch(sent, /transfer-encoding/i, method);
    if (methods.indexOf(method) < 4) t.match(sent, /Content-Length: 0\r\n/, method);
  }
});

t.test('a connection is reused after a complete response', async (t) => {
  const worker = await startWorker(t, answers('one'), answers('two'));
  t.equal(await bodyOf(await worker.send()), 'one');
  await new Promise((resolve) => setTimeout(resolve, 10));
  t.equal(await bodyOf(await worker.send()), 'two');
  t.equal(worker.connections(), 1);
});

t.test('a request can use a new connection', async (t) => {
  const silent: Script = () => {};
  const worker = await startWorker(t, answers('one'), answers('two'), silent, answers('four'));
  const pooled = await Promise.all([worker.send(), worker.send()]);
  t.same(await Promise.all(pooled.map(bodyOf)), ['one', 'two']);
  await new Promise((resolve) => setTimeout(resolve, 10));
  const abort = new AbortController();
  const lost = worker.send({}, abort.signal);
  const newConnectionOutcome = await worker.send({ wantsNewConnection: true });
  t.equal(await bodyOf(newConnectionOutcome), 'four');
  t.equal(worker.connections(), 3, 'the other pooled connection stays open');
  abort.abort();
  t.match(await lost, { kind: 'failed', cause: 'cancelled' });
});

t.test('only a marked rejection guarantees that nothing ran', async (t) => {
  const refusal: Script = (_id, socket) =>
    socket.write(reply('503 Service Unavailable', ['X-Wardwing-Not-Run: 1'], ''));
  const moved: Script = (_id, socket) => socket.write(reply('421 Misdirected Request', [], ''));
  const unmarked: Script = (_id, socket) => socket.write(reply('503 Service Unavailable', [], ''));
  const worker = await startWorker(t, refusal, moved, unmarked);
  t.match(await worker.send(), { kind: 'not-run', reason: 'full' });
  t.match(await worker.send(), { kind: 'not-run', reason: 'gone' });
  t.match(await worker.send(), { kind: 'failed', mayHaveRun: true, cause: 'wrong-answer' });
});

t.test('a response to another request, or without a signature, is never forwarded', async (t) => {
  const other: Script = (_id, socket) =>
    socket.write(reply('200 OK', stamped('another-request'), 'stale'));
  const unsigned: Script = (id, socket) =>
    socket.write(reply('200 OK', [`X-Wardwing-Request-Id: ${id}`], 'odd'));
  const worker = await startWorker(t, other, unsigned, answers('fine'));
  t.match(await worker.send(), { kind: 'failed', cause: 'wrong-answer' });
  t.match(await worker.send(), { kind: 'failed', cause: 'wrong-answer' });
  t.equal(await bodyOf(await worker.send()), 'fine');
  t.equal(worker.connections(), 3, 'each connection with an invalid response was closed');
});

t.test('a surplus response is never matched to the next request', async (t) => {
  let resolveClosed = (): void => {};
  const whenClosed = new Promise<void>((resolve) => {
    resolveClosed = resolve;
  });
  const twice: Script = (id, socket) => {
    socket.once('close', resolveClosed);
    socket.write(reply('200 OK', stamped(id), 'one'));
    setTimeout(() => socket.write(reply('200 OK', stamped(id), 'surplus')), 10);
  };
  const worker = await startWorker(t, twice, answers('two'));
  t.equal(await bodyOf(await worker.send()), 'one');
  await whenClosed;
  t.equal(await bodyOf(await worker.send()), 'two');
  t.equal(worker.connections(), 2);
});

t.test('a truncated response fails with and without a content length', async (t) => {
  const short: Script = (id, socket) => {
    const head = reply('200 OK', stamped(id), 'x'.repeat(100)).slice(0, -50);
    socket.write(head, () => socket.destroy());
  };
  const reset: Script = (id, socket) => {
    const head = `HTTP/1.1 200 OK\r\n${stamped(id).join('\r\n')}\r\n\r\npart`;
    socket.write(head, () => setTimeout(() => socket.resetAndDestroy(), 10));
  };
  const worker = await startWorker(t, short, reset);
  t.equal(await bodyOf(await worker.send()), 'broken off');
  t.equal(await bodyOf(await worker.send()), 'broken off');
});

t.test('a response without a length is complete if its connection ends normally', async (t) => {
  const unframed: Script = (id, socket) => {
    socket.end(`HTTP/1.1 200 OK\r\n${stamped(id).join('\r\n')}\r\n\r\nall of it`);
  };
  const worker = await startWorker(t, unframed);
  t.equal(await bodyOf(await worker.send()), 'all of it');
});

t.test('after a malformed response the work may have run', async (t) => {
  const noise: Script = (_id, socket) => socket.write('this is no answer\r\n\r\n');
  const worker = await startWorker(t, noise);
  t.match(await worker.send(), { kind: 'failed', mayHaveRun: true, cause: 'broken' });
});

t.test('after a refused connection the work cannot have run', async (t) => {
  const client = new EngineClient();
  const server = net.createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const request: EngineRequest = {
    worker: worker('i-1', { address: `127.0.0.1:${port}` }),
    requestId: 'r',
    method: 'GET',
    path: '/',
    host: 'h',
    headers: [],
    body: Buffer.alloc(0),
    remaining: undefined,
  };
  const outcome = await client.send(request, new AbortController().signal);
  t.match(outcome, { kind: 'failed', mayHaveRun: false, cause: 'refused-connection' });
});

t.test('a cancelled request closes its connection', async (t) => {
  let resolveClosed = (): void => {};
  const whenClosed = new Promise<void>((resolve) => {
    resolveClosed = resolve;
  });
  const silent: Script = (_id, socket) => socket.once('close', resolveClosed);
  const worker = await startWorker(t, silent);
  const abort = new AbortController();
  const outcome = worker.send({}, abort.signal);
  setTimeout(() => abort.abort(), 20);
  t.match(await outcome, { kind: 'failed', cause: 'cancelled' });
  await whenClosed;
});

t.test('a connection with a response before the end of the request is not reused', async (t) => {
  let opened = 0;
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    opened += 1;
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', (chunk: Buffer) => {
      const id = /x-wardwing-request-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1] ?? '';
      socket.pause();
      socket.write(reply('413 Payload Too Large', stamped(id), 'too long'));
      setTimeout(() => socket.resume(), 30);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new EngineClient();
  t.teardown(() => {
    client.forget('i-1');
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const request = (requestId: string): EngineRequest => ({
    worker: worker('i-1', { address: `127.0.0.1:${port}` }),
    requestId,
    method: 'POST',
    path: '/',
    host: 'h',
    headers: [],
    body: Buffer.alloc(16 * 1_048_576),
    remaining: undefined,
  });
  const { signal } = new AbortController();
  t.equal(await bodyOf(await client.send(request('one'), signal)), 'too long');
  t.equal(await bodyOf(await client.send(request('two'), signal)), 'too long');
  t.equal(opened, 2);
});

t.test('a report of another shape is ignored and reported as unreadable', async (t) => {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  let unreadable = 0;
  const client = new EngineClient(() => {
    unreadable += 1;
  });
  t.teardown(() => {
    client.forget('i-1');
    server.close();
  });
  const target = worker('i-1', { address: `127.0.0.1:${port}` });
  t.equal(await client.report(target), undefined);
  t.equal(unreadable, 1);
});

t.test('the worker receives the tenant from the gateway only, and never a key', async (t) => {
  const fixture = await startWorker(t, (id, socket) =>
    socket.write(reply('200 OK', stamped(id), 'ok')),
  );
  const headers = [
    ...['X-WARDWING-TENANT', 'forged', 'x-wardwing-tenant', 'forged', 'X-Own', 'kept'],
    ...['X-Wardwing-Key', 'secret-1', 'x-wardwing-KEY', 'secret-2'],
  ];
  await fixture.send({ headers, tenant: 'north' });
  const [request = ''] = fixture.requests;
  t.same(request.match(/x-wardwing-tenant: (.*)/gi), ['x-wardwing-tenant: north']);
  t.notMatch(request, /secret|forged/);
  t.match(request, /X-Own: kept/);
});

t.test('a worker that restarted under its id is another incarnation', async (t) => {
  const report = { models: [], busy: false, sequence: 0, waiting: 0, running: 0, born: 2_000 };
  const server = http.createServer((request, response) => {
    const isReport = request.url === '/wardwing/report';
    response.writeHead(200, { 'x-wardwing-instance-id': 'i-1' });
    response.end(isReport ? JSON.stringify(report) : '');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new EngineClient();
  t.teardown(() => {
    client.forget('i-1');
    server.close();
  });
  const address = `127.0.0.1:${port}`;
  const livenessOf = (startedAt?: number) =>
    client.probeLiveness(worker('i-1', { address, startedAt }), '/health');
  t.equal(await livenessOf(1_000), 'ended');
  t.equal(await livenessOf(2_000), 'lives');
  t.equal(await livenessOf(), 'lives');
  t.equal((await client.report(worker('i-1', { address })))?.startedAt, 2_000);
});

t.test('a worker whose address cannot be called gets nothing, and no call rejects', async (t) => {
  const client = new EngineClient();
  const signal = new AbortController().signal;
  for (const address of ['127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:-1', 'no address']) {
    const target = worker('i-odd', { address });
    const request: EngineRequest = {
      ...{ worker: target, requestId: 'request-1', method: 'POST', path: '/a/x' },
      ...{ host: 'site.example', headers: [], body: Buffer.from('b'), remaining: 500 },
    };
    t.match(await client.send(request, signal), { kind: 'failed', mayHaveRun: false }, address);
    t.equal(await client.report(target), undefined);
    t.not(await client.probeLiveness(target, '/health'), 'lives');
    t.equal(await client.probeColdTime(target, '/health'), undefined);
    const order = { worker: target, model: 'm', version: 2, mode: 'wait', holder: 'h' } as const;
    const outcome = await client.order({ ...order, fencingToken: 1, expectedSequence: 0 });
    t.not(outcome, 'started');
  }
  client.forget('i-odd');
});

t.test('a reported load that is no count of requests is ignored', async (t) => {
  const stub = await startWorker(t, (id, socket) => {
    const head = `X-Wardwing-Request-Id: ${id}\r\nX-Wardwing-Server-Stamp: s\r\n`;
    const load = 'X-Wardwing-Server-Load: many,1e999,-3\r\n';
    socket.write(`HTTP/1.1 200 OK\r\n${head}${load}Content-Length: 2\r\n\r\nok`);
  });
  const outcome = await stub.send();
  t.match(outcome, { kind: 'answered', load: undefined });
});
