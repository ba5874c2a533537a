import { randomBytes } from 'node:crypto';
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { EngineClient } from '../../platform/engine-client.js';
import { createRandomSource } from '../../src/core/random.js';
import type { JobItem, JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { always, specification } from '../jobs/job-fixtures.js';
import { type JobNode, jobNode, keepWorking } from '../jobs/job-node.js';
import { worker } from '../serving/serving-fixtures.js';
import {
  DESCRIBING_HEADERS,
  type UploadedRequest,
  type UploadRecords,
  UploadWorker,
} from './upload-worker.js';

const WORKERS = ['w1', 'w2', 'w3'];
const NODES = ['node-1', 'node-2', 'node-3'];

/** Jobs that are open at a time. */
const CONCURRENT_JOBS = 3;

/** Bodies of about these sizes in bytes. */
const SIZES = [0, 100, 50_000, 1_500_000];

/** Starts workers, and nodes that share a store. */
async function startNodes(
  test: Pick<typeof t, 'teardown'>,
  store: SharedStoreEmulator,
  records: UploadRecords,
): Promise<readonly JobNode[]> {
  const workers = WORKERS.map((id) => new UploadWorker(id, records));
  const addresses = await Promise.all(workers.map((each) => each.start()));
  return NODES.map((name, index) => {
    const engine = new EngineClient();
    const owner = { node: name, incarnation: 'life-1', address: `127.0.0.1:${index + 1}` };
    const node = jobNode(store, owner, engine, NO_PEERS, { isStoreUnreachable: () => false });
    for (const [place, id] of WORKERS.entries()) {
      node.registry.put(worker(id, { address: addresses[place] ?? '', slots: 8 }));
    }
    const ticker = keepWorking(node);
    test.teardown(() => {
      clearInterval(ticker);
      node.dispatcher.stop();
      for (const id of WORKERS) engine.forget(id);
      for (const each of workers) each.stop();
    });
    return node;
  });
}

t.test('workers get the items that were submitted, through takeovers and repeats', async (t) => {
  const { SEED = '21', RUNS = '24' } = process.env;
  const random = createRandomSource(Number(SEED));
  const sent = new Map<string, UploadedRequest>();
  const records: UploadRecords = {
    ...{ random, sent, violations: [], arrived: new Map(), followedEarlyAnswer: 0 },
  };
  const store = new SharedStoreEmulator();
  const heads = new JobStore(store, PROCESS_CLOCK);
  const nodes = await startNodes(t, store, records);
  const drawNode = (): JobNode | undefined => nodes[random.integer(nodes.length)];
  let takeovers = 0;

  const drawItem = (item: JobItem): JobItem => {
    const size = SIZES[random.integer(SIZES.length)] ?? 0;
    const body = randomBytes(Math.floor(size * (0.5 + random.fraction())));
    const id = random.identifier();
    const described = [
      `model-${random.integer(9)}`,
      `${random.integer(99)},9`,
      `${id}:16,5d07b8:24`,
    ];
    const path = `/rollouts/${id}?q=${random.integer(100)}%20+`;
    sent.set(id, { id, method: 'POST', path, body, described, isValid: true });
    const headers = DESCRIBING_HEADERS.flatMap((name, index) => [name, described[index] ?? '']);
    return { ...item, id, path, headers, body: body.toString('base64') };
  };

  const drawJob = (): JobSpecification => {
    const spec = specification(random.identifier(), 1 + random.integer(8));
    return { ...spec, items: spec.items.map(drawItem) };
  };

  const runJob = async (): Promise<void> => {
    const spec = drawJob();
    const submissions = [drawNode()?.service.submit(spec, always)];
    if (random.fraction() < 0.5) submissions.push(drawNode()?.service.submit(spec, always));
    await Promise.all(submissions);
    for (let count = random.integer(4); count > 0; count -= 1) {
      await PROCESS_CLOCK.sleep(random.integer(80));
      const found = await heads.head(spec.id);
      if (found.kind !== 'found') continue;
      const isTakenOver = await drawNode()?.service.takeOver(spec.id, found.value);
      if (isTakenOver) takeovers += 1;
      if (random.fraction() < 0.3) await drawNode()?.service.submit(spec, always);
    }
    await PROCESS_CLOCK.sleep(random.integer(500));
    await drawNode()?.service.cancel(spec.id, UNRESTRICTED, always);
  };

  let left = Number(RUNS);
  const runJobs = async (): Promise<void> => {
    while (left > 0 && records.violations.length === 0) {
      left -= 1;
      await runJob();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_JOBS }, runJobs));
  t.same(records.violations, [], `seed ${SEED}`);
  t.comment(JSON.stringify([...records.arrived, records.followedEarlyAnswer, takeovers]));
  t.ok(takeovers > 0, 'jobs were taken over');
  t.equal(records.arrived.size, 10, 'workers reacted in each way');
});
