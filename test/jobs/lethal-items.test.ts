/**
 * An item whose run ends its worker was sent on at once, to one worker after the other, until its
 * time in the queue was over, by each owner of its job in turn: a run that breaks off is no failed
 * attempt. The same held for a request for a score.
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

/** Time in which an item that is sent on at once goes to some thirty workers. */
const OBSERVED: Milliseconds = 1_500;

/** Time for which an item that ends its workers is left alone, as the dispatcher has it. */
const SUSPECT_PAUSE: Milliseconds = 4_500;

/** Workers that end under some requests; another one stands ready at once. */
class MortalWorkers extends ScriptedEngine {
  readonly ended: string[] = [];
  private started = 0;
  node: JobNode | undefined;

  /** `isLethal` tells by its path which request ends its worker. */
  constructor(private readonly isLethal: (path: string) => boolean) {
    super();
  }

  add(service: string): void {
    this.started += 1;
    this.node?.registry.put(worker(`worker-${this.started}`, { service }));
  }

  override async probeLiveness(asked?: { readonly id: string }): Promise<WorkerLiveness> {
    return this.ended.includes(asked?.id ?? '') ? 'ended' : 'lives';
  }

  override async send(request: EngineRequest): Promise<EngineOutcome> {
    const { id, service } = request.worker;
    this.requests.push(request);
    await sleep(5);
    if (this.isLethal(request.path)) {
      this.ended.push(id);
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
  readonly workers: MortalWorkers;
}

async function start(
  test: Pick<typeof t, 'teardown'>,
  spec: JobSpecification,
  isLethal: (path: string) => boolean,
): Promise<Run> {
  const workers = new MortalWorkers(isLethal);
  const node = jobNode(new SharedStoreEmulator(), OWNER, workers);
  workers.node = node;
  for (const service of ['service', 'service', 'scorers', 'scorers']) workers.add(service);
  const ticker = keepWorking(node);
  test.teardown(() => clearInterval(ticker));
  await node.service.submit(spec, always);
  return { node, workers };
}

t.test(
  'an item that ends its workers is left alone after three, and the others are made',
  async (t) => {
    const { node, workers } = await start(t, specification('job', 4), (path) =>
      path.endsWith('/0'),
    );
    await sleep(OBSERVED);
    t.equal(workers.ended.length, MAX_CRASHED_WORKERS);
    const made = node.service.ownedJobs()[0]?.finishedResults() ?? [];
    t.same(made.map(({ id }) => id).sort(), ['item-1', 'item-2', 'item-3']);
  },
);

t.test('it is run again after a pause, and no more once six have ended', async (t) => {
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
  // Earlier owners of the job have seen five end, the last of them just before the pause was over.
  const almost = performance.now() - SUSPECT_PAUSE + 400;
  for (const name of ['a', 'b', 'c', 'd', 'e']) {
    node.quarantine.applyReport({ worker: name, requests: [fingerprint] }, almost);
  }
  const before = workers.ended.length;
  await sleep(OBSERVED);
  t.ok(before + workers.ended.length <= MAX_CRASHED_WORKERS, `${workers.ended.length} ended`);
});

t.test('a request for a score that ends its workers is sent to three', async (t) => {
  const { workers } = await start(t, scoredSpecification('job', 1), (path) =>
    path.startsWith('/score/'),
  );
  await sleep(OBSERVED);
  t.equal(workers.ended.length, MAX_CRASHED_WORKERS);
});
