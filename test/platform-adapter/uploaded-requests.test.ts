import t from 'tap';
import { createRandomSource } from '../../src/core/random.js';
import { type UploadEnd, upload } from './upload-client.js';
import { type UploadedRequest, type UploadRecords, UploadWorker } from './upload-worker.js';
import { startWorkerGateway } from './worker-gateway.js';

const MAX_BODY_BYTES = 12_000_000;

const ROUTE = { host: 'h', service: 's', timeout_ms: 600, target_latency_ms: 60, max_attempts: 3 };

const CONFIGURATION = {
  version: 1,
  routes: [
    { ...ROUTE, name: 'look', path_prefix: '/look/', kind: 'read_only' },
    { ...ROUTE, name: 'draw', path_prefix: '/draw/', kind: 'mutating' },
  ],
  services: [{ name: 's', health_path: '/health' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: MAX_BODY_BYTES,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

const WORKERS = ['w1', 'w2', 'w3'];

/** Clients that send at a time. */
const CLIENTS = 6;

async function startGateway(
  test: Pick<typeof t, 'teardown'>,
  records: UploadRecords,
): Promise<number> {
  const workers = new Map<string, string>();
  for (const id of WORKERS) {
    const worker = new UploadWorker(id, records);
    test.teardown(() => worker.stop());
    workers.set(id, await worker.start());
  }
  const gateway = { configuration: CONFIGURATION, workers, slots: 8 };
  return (await startWorkerGateway(test, gateway)).port;
}

t.test('workers get no request but those that clients sent whole, and unchanged', async (t) => {
  const { SEED = '11', RUNS = '130' } = process.env;
  const random = createRandomSource(Number(SEED));
  const sent = new Map<string, UploadedRequest>();
  const ends = new Map<UploadEnd, number>();
  const records: UploadRecords = {
    ...{ random, sent, violations: [], arrived: new Map(), followedEarlyAnswer: 0 },
  };
  const port = await startGateway(t, records);
  const onRequest = (request: UploadedRequest, end: UploadEnd): void => {
    sent.set(request.id, request);
    ends.set(end, (ends.get(end) ?? 0) + 1);
  };
  let left = Number(RUNS);
  const client = async (): Promise<void> => {
    while (left > 0 && records.violations.length === 0) {
      left -= 1;
      await upload({ random, port, maxBodyBytes: MAX_BODY_BYTES, onRequest });
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, client));
  t.same(records.violations, [], `seed ${SEED}`);
  t.comment(JSON.stringify([...ends, ...records.arrived, records.followedEarlyAnswer]));
  t.equal(ends.size, 7, 'clients ended their uploads in each way');
  t.equal(records.arrived.size, 10, 'workers reacted in each way');
  t.ok(records.followedEarlyAnswer > 0, 'connections were used again after an early answer');
});
