import http from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { StoreClient } from '../../platform/store-client.js';

interface Call {
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

/** Response of the stub to a call; `cut` closes the connection without an answer. */
type Reply = { readonly status: number; readonly body?: unknown } | 'cut';

async function startStore(
  test: Pick<typeof t, 'teardown'>,
  ...replies: Reply[]
): Promise<{ client: StoreClient; calls: Call[]; unreadable: string[] }> {
  const calls: Call[] = [];
  const unreadable: string[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const { method = '', url = '' } = request;
      calls.push({ method, url, body: Buffer.concat(chunks).toString() });
      const reply = replies.shift() ?? { status: 500 };
      if (reply === 'cut') request.socket.destroy();
      else response.writeHead(reply.status).end(JSON.stringify(reply.body ?? {}));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const client = new StoreClient(`127.0.0.1:${port}`, (call) => unreadable.push(call));
  return { client, calls, unreadable };
}

const base64 = (text: string): string => Buffer.from(text).toString('base64');

t.test('a key is read, or is absent', async (t) => {
  const body = { tls_key: 'a', value: base64('one'), revision: 4, made: 4, lease: 0, at: 9 };
  const { client, calls } = await startStore(t, { status: 200, body }, { status: 404 });
  const found = await client.get('a');
  t.same(found, { kind: 'item', item: { key: 'a', value: 'one', revision: 4 } });
  t.same(await client.get('b'), { kind: 'item', item: undefined });
  t.equal(calls[0]?.url, '/wardwing/kv-key?tls_key=a');
});

t.test('a long range is read page by page', async (t) => {
  const item = (key: string) => ({ tls_key: key, value: base64(key), revision: 1 });
  const { client, calls } = await startStore(
    t,
    { status: 200, body: { requests: [item('p/1'), item('p/2')], more: true, at: 5 } },
    { status: 200, body: { requests: [item('p/3')], more: false, at: 6 } },
  );
  const range = await client.range('p/');
  t.equal(range.kind === 'items' && range.items.map((entry) => entry.key).join(), 'p/1,p/2,p/3');
  t.equal(
    range.kind === 'items' && range.revision,
    5,
    'a watch continues from the revision of the first page',
  );
  t.match(calls[1]?.url, /after_revision=p%2F2/);
});

t.test('a watch reports changes, deletions and compacted history', async (t) => {
  const events = [
    { tls_key: 'p/1', value: base64('x'), revision: 7 },
    { tls_key: 'p/2', revision: 8, gone: true },
  ];
  const { client, calls } = await startStore(
    t,
    { status: 200, body: { events, at: 8 } },
    { status: 410 },
  );
  const { signal } = new AbortController();
  t.same(await client.watch('p/', 6, 1_000, signal), {
    kind: 'changes',
    revision: 8,
    changes: [
      { key: 'p/1', value: 'x', revision: 7 },
      { key: 'p/2', value: undefined, revision: 8 },
    ],
  });
  t.match(calls[0]?.url, /after_revision=6&wait_ms=1000/);
  t.same(await client.watch('p/', 8, 1_000, signal), { kind: 'compacted' });
});

t.test('a commit carries conditions, writes and removals', async (t) => {
  const { client, calls } = await startStore(
    t,
    { status: 200, body: { revision: 12 } },
    { status: 412, body: { requests: [] } },
    { status: 404 },
  );
  const commit = {
    expected: [{ key: 'a', revision: 3 }],
    put: [{ key: 'a', value: 'two', lease: 5 }],
    remove: ['b'],
  };
  t.same(await client.commit(commit), { kind: 'committed', revision: 12 });
  t.same(JSON.parse(calls[0]?.body ?? ''), {
    expected_revision: [{ tls_key: 'a', revision: 3 }],
    put: [{ tls_key: 'a', value: base64('two'), lease: 5 }],
    remove: ['b'],
  });
  t.same(await client.commit(commit), { kind: 'conflict' });
  t.same(await client.commit(commit), { kind: 'lease-gone' });
});

t.test('failures without effect are distinguished from unknown outcomes', async (t) => {
  const { client } = await startStore(t, { status: 503 }, { status: 429 }, 'cut', { status: 500 });
  const commit = { expected: [], remove: ['a'] };
  t.same(await client.commit(commit), { kind: 'failed', effect: 'not-done' });
  t.same(await client.commit(commit), { kind: 'failed', effect: 'not-done' });
  t.same(await client.commit(commit), { kind: 'failed', effect: 'unknown' });
  t.same(await client.commit(commit), { kind: 'failed', effect: 'unknown' });
});

t.test('leases are granted and renewed, and expire', async (t) => {
  const { client, calls } = await startStore(
    t,
    { status: 200, body: { lease: 77, ttl_ms: 2_000 } },
    { status: 200, body: { ttl_ms: 2_000 } },
    { status: 404 },
  );
  t.same(await client.grantLease(2_000), { kind: 'granted', lease: 77, ttl: 2_000 });
  t.same(await client.renewLease(77), { kind: 'kept' });
  t.same(await client.renewLease(77), { kind: 'gone' });
  t.equal(calls[1]?.url, '/wardwing/kv-keep/77');
});

t.test('a successful answer of another shape is reported, a rejection is not', async (t) => {
  const odd = { status: 200, body: { other: 1 } };
  const { client, unreadable } = await startStore(t, odd, odd, odd, odd, { status: 503 });
  t.match(await client.get('a'), { kind: 'failed' });
  t.match(await client.range('p/'), { kind: 'failed' });
  t.match(await client.commit({ expected: [] }), { kind: 'failed', effect: 'unknown' });
  t.match(await client.grantLease(1_000), { kind: 'failed' });
  t.match(await client.get('a'), { kind: 'failed', effect: 'not-done' });
  t.same(unreadable, ['get', 'range', 'commit', 'grant']);
});
