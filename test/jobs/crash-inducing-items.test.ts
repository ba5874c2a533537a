/**
 * Guards against items and score requests that crash one worker after another, since a broken run
 * does not count as a failed attempt.
 */

import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import { MAX_CRASHED_WORKERS } from '../../src/serving/crash-evidence.js';
import type {
  EngineOutcome,
  EngineRequest,
  WorkerLiveness,
} from '../../src/serving/engine-port.js';
import { requestFingerprint } from '../../src/serving/request-fingerprint.js';
import { answer, BROKEN, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, OWNER, scoredSpecification, specification } from './job-fixtures.js';
import { type JobNode, jobNode, keepWorking } from './job-node.js';

/** Long enough for an item that is retried without delay to reach about thirty workers. */
const OBSERVATION_TIME: Milliseconds = 1_500;

/** The dispatcher's delay between runs of a crash-inducing item. */
const CRASH_RETRY_DELAY: Milliseconds = 4_500;

/** Workers that crash on some requests and are replaced immediately. */
class CrashingWorkers extends ScriptedEngine {
  readonly crashed: string[] = [];
  private started = 0;
  node: JobNode | undefined;

  /** `isCrashInducing`: whether a request with this path crashes its worker. */
  constructor(private readonly isCrashInducing: (path: string) => boolean) {
    super();
  }

  add(service: string): void {
    this.started += 1;
    this.node?.registry.put(worker(`worker-${this.started}`, { service }));
  }

  override async probeLiveness(asked?: { readonly id: string }): Promise<WorkerLiveness> {
    return this.crashed.includes(asked?.id ?? '') ? 'ended' : 'lives';
  }

  override async send(request: EngineRequest): Promise<EngineOutcome> {
    const { id, service } = request.worker;
    this.requests.push(request);
    await sleep(5);
    if (this.isCrashInducing(request.path)) {
      this.crashed.push(id);
      this.node?.registry.remove(id);
      this.add(service);
      return BROKEN;
    }
    const body = Readable.from([Buffer.from(events(0, 'ab'))]);
    return answer('', { isStream: true, body });
  }
}

interface Run {
  readonly node: JobNode;
  readonly workers: CrashingWorkers;
}

async function start(
  test: Pick<typeof t, 'teardown'>,
  spec: JobSpecification,
  isCrashInducing: (path: string) => boolean,
): Promise<Run> {
  const workers = new CrashingWorkers(isCrashInducing);
  const node = jobNode(new SharedStoreEmulator(), OWNER, workers);
  workers.node = node;
  for (const service of ['service', 'service', 'scorers', 'scorers']) workers.add(service);
  const ticker = keepWorking(node);
  test.teardown(() => clearInterval(ticker));
  await node.service.submit(spec, always);
  return { node, workers };
}

t.test(
  'an item that crashes its workers is deferred after three, and the others complete',
  async (t) => {
    const { node, workers } = await start(t, specification('job', 4), (path) =>
      path.endsWith('/0'),
    );
    await sleep(OBSERVATION_TIME);
    t.equal(workers.crashed.length, MAX_CRASHED_WORKERS);
    const finished = node.service.ownedJobs()[0]?.finishedResults() ?? [];
    t.same(finished.map(({ id }) => id).sort(), ['item-1', 'item-2', 'item-3']);
  },
);

t.test(
  'a crash-inducing item is run again after a delay, and never after six crashes',
  async (t) => {
    const spec = specification('job', 1);
    const [item] = spec.items;
    const fingerprint = requestFingerprint({
      method: 'POST',
      host: spec.host,
      path: item?.path ?? '',
      tenant: undefined,
      body: Buffer.from(item?.body ?? '', 'base64'),
    });
    const { node, workers } = await start(t, spec, () => true);
    // Earlier owners have reported five crashes, and the delay after the last one is nearly over.
    const lastCrashAt = performance.now() - CRASH_RETRY_DELAY + 400;
    for (const name of ['a', 'b', 'c', 'd', 'e']) {
      node.quarantine.applyReport({ worker: name, requests: [fingerprint] }, lastCrashAt);
    }
    const before = workers.crashed.length;
    await sleep(OBSERVATION_TIME);
    t.ok(
      before + workers.crashed.length <= MAX_CRASHED_WORKERS,
      `${workers.crashed.length} crashed`,
    );
  },
);

t.test('a score request that crashes its workers is sent to three', async (t) => {
  const { workers } = await start(t, scoredSpecification('job', 1), (path) =>
    path.startsWith('/score/'),
  );
  await sleep(OBSERVATION_TIME);
  t.equal(workers.crashed.length, MAX_CRASHED_WORKERS);
});
