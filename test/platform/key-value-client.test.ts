import http from 'node:http';
import type net from 'node:net';
import t, { type Test } from 'tap';
import { startKeyValueEmulator } from '../../lab/emulator/key-value-emulator.js';
import type { KeyValueOperation, KeyValueWatchEvent } from '../../src/platform/key-value.js';
import { KeyValueClient, type KeyValueClientOptions } from '../../src/platform/key-value-client.js';

interface Setting {
  readonly client: KeyValueClient;
  setFaults(faults: object): Promise<void>;
}

async function setUp(t: Test, options: Partial<KeyValueClientOptions> = {}): Promise<Setting> {
  const server = await startKeyValueEmulator({ port: 0 });
  const client = new KeyValueClient({ address: server.address, ...options });
  t.teardown(async () => {
    client.close();
    await server.close();
  });
  const setFaults = async (faults: object): Promise<void> => {
    const body = JSON.stringify(faults);
    await fetch(`http://${server.address}/lab/faults`, { method: 'POST', body });
  };
  return { client, setFaults };
}

function put(key: string, modRevision: number, value: string): KeyValueOperation {
  const writes = [{ kind: 'put', key, value } as const];
  return { kind: 'transaction', compares: [{ key, modRevision }], writes };
}

const RANGE: KeyValueOperation = { kind: 'range', key: 'p/', prefix: true };

/** Collects the events of a watch; `until` waits for one that holds. */
function collector(): {
  listener: (event: KeyValueWatchEvent) => void;
  until(holds: (event: KeyValueWatchEvent) => boolean): Promise<KeyValueWatchEvent>;
} {
  const events: KeyValueWatchEvent[] = [];
  let notify = (): void => {};
  return {
    listener: (event) => {
      events.push(event);
      notify();
    },
    until: (holds) =>
      new Promise((resolve) => {
        notify = () => {
          const found = events.find(holds);
          if (found !== undefined) resolve(found);
        };
        notify();
      }),
  };
}

t.test('compare-and-swap and ranges, also of text outside ASCII', async (t) => {
  const { client } = await setUp(t);
  t.match(await client.perform(put('p/a', 0, 'grüße')), { succeeded: true, revision: 2 });
  t.match(await client.perform(put('p/a', 0, 'late')), { succeeded: false, revision: 2 });
  t.same(await client.perform(RANGE), {
    kind: 'range',
    revision: 2,
    entries: [{ key: 'p/a', value: 'grüße', modRevision: 2 }],
  });
  const writes = [{ kind: 'delete', key: 'p/a' } as const];
  await client.perform({ kind: 'transaction', compares: [], writes });
  t.match(await client.perform(RANGE), { revision: 3, entries: [] });
});

t.test('a write whose answer is lost may have applied, and has', async (t) => {
  const { client, setFaults } = await setUp(t);
  await setFaults({ lostAnswerRate: 1 });
  t.match(await client.perform(put('p/a', 0, '1')), {
    kind: 'failed',
    reason: 'unavailable',
    mayHaveApplied: true,
  });
  t.match(await client.perform(RANGE), { entries: [{ value: '1' }] });
});

t.test('rate-limited, refused, hanging and unreachable', async (t) => {
  const { client, setFaults } = await setUp(t, { requestTimeout: 100 });
  await setFaults({ rateLimitPerSecond: 0.001 });
  t.match(await client.perform(put('p/a', 0, '1')), {
    reason: 'rate-limited',
    mayHaveApplied: false,
    retryAfter: 1_000,
  });
  await setFaults({ rateLimitPerSecond: null, outage: 'refuse' });
  const refused = { reason: 'unavailable', mayHaveApplied: true };
  t.match(await client.perform(put('p/a', 0, '1')), refused, '5xx proves nothing of a write');
  await setFaults({ outage: 'hang' });
  t.match(await client.perform(put('p/a', 0, '1')), { mayHaveApplied: true });
  t.match(await client.perform(RANGE), { kind: 'failed', mayHaveApplied: false });
  await setFaults({ outage: 'none' });
  t.match(await client.perform(RANGE), { revision: 1, entries: [] });
  const unreachable = new KeyValueClient({ address: '127.0.0.1:1' });
  t.match(await unreachable.perform(put('p/a', 0, '1')), { mayHaveApplied: false });
  unreachable.close();
});

t.test('a watch reports old and new changes, and confirms revisions without any', async (t) => {
  const { client } = await setUp(t, { progressInterval: 20 });
  await client.perform(put('p/a', 0, '1'));
  const { listener, until } = collector();
  client.watch('p/', 1, listener);
  const old = await until((event) => event.kind === 'changes' && event.changes.length > 0);
  t.match(old, { revision: 2, changes: [{ key: 'p/a', value: '1', modRevision: 2 }] });
  await client.perform(put('other', 0, '1'));
  const progress = await until((event) => event.kind === 'changes' && event.revision === 3);
  t.match(progress, { changes: [] });
  const writes = [{ kind: 'delete', key: 'p/a' } as const];
  await client.perform({ kind: 'transaction', compares: [], writes });
  const deleted = await until((event) => event.kind === 'changes' && event.revision === 4);
  t.match(deleted, { changes: [{ key: 'p/a', value: null }] });
});

t.test('a watch is lost when the service refuses, and when it falls silent', async (t) => {
  const { client, setFaults } = await setUp(t, { progressInterval: 20, watchSilenceLimit: 150 });
  const refused = collector();
  client.watch('p/', 1, refused.listener);
  await refused.until((event) => event.kind === 'changes');
  await setFaults({ outage: 'refuse' });
  t.same(await refused.until((event) => event.kind === 'lost'), { kind: 'lost', compacted: false });
  await setFaults({ outage: 'none' });
  const silent = collector();
  client.watch('p/', 1, silent.listener);
  await silent.until((event) => event.kind === 'changes');
  await setFaults({ outage: 'hang' });
  t.same(await silent.until((event) => event.kind === 'lost'), { kind: 'lost', compacted: false });
});

t.test('a compacted watch says so; answers that break the schema are failures', async (t) => {
  const server = http.createServer((request, response) => {
    const canceled = { header: { revision: '9' }, canceled: true, compact_revision: '5' };
    const watches = request.url === '/v3/watch';
    response.write(`${JSON.stringify(watches ? { result: canceled } : { header: {} })}\n`);
    if (!watches) response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new KeyValueClient({ address: `127.0.0.1:${port}` });
  t.teardown(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });
  const { listener, until } = collector();
  client.watch('p/', 2, listener);
  t.same(await until(() => true), { kind: 'lost', compacted: true });
  t.match(await client.perform(RANGE), { kind: 'failed', mayHaveApplied: false });
  t.match(await client.perform(put('a', 0, '')), { kind: 'failed', mayHaveApplied: true });
});
