/**
 * Guards against items and score requests that crash one worker after another, since a broken run
 * does not count as a failed attempt.
 */

import { Readable } from 'node:stream';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import { CRASH_RETRY_DELAY } from '../../src/jobs/crash-backoff.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import { type Clock, PROCESS_CLOCK } from '../../src/serving/clock.js';
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
import { VirtualClock } from './virtual-clock.js';

/** The checks of a test. */
type Tap = Pick<typeof t, 'ok'>;

/** Long enough for an item that is retried without delay to reach about thirty workers. */
const OBSERVATION_TIME: Milliseconds = 1_500;

/** Time without a run after which owed work counts as left out. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

/** The longest time that a run which fails to start may take: the timeout of its connection. */
const FAILED_TRY_TIME: Milliseconds = 700;

/** Time for which the workers crash in simulated time, and steps of that time. */
const CRASH_TIME: Milliseconds = 30_000;
const STEP: Milliseconds = 20;

/** Crashes that earlier owners of a job have reported. */
const REPORTED_CRASHES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];

/** Workers that crash on some requests and are replaced immediately. */
class CrashingWorkers extends ScriptedEngine {
  readonly crashed: string[] = [];
  readonly crashTimes: Milliseconds[] = [];
  private started = 0;
  node: JobNode | undefined;

  /**
   * `isCrashInducing`: whether a request with this path crashes its worker. `pause`: the time until
   * it does. `clock`: dates the crashes.
   */
  constructor(
    private readonly isCrashInducing: (path: string) => boolean,
    private readonly pause: () => Promise<unknown> = () => sleep(5),
    private readonly clock: Pick<Clock, 'now'> = PROCESS_CLOCK,
  ) {
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
    await this.pause();
    if (this.isCrashInducing(request.path)) {
      this.crashed.push(id);
      this.crashTimes.push(this.clock.now());
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

/** A job whose work crashes its workers in simulated time; `runFor` lets time pass. */
class CrashingWork {
  readonly clock = new VirtualClock();
  readonly workers: CrashingWorkers;
  readonly node: JobNode;
  isCrashing = true;

  constructor(path: string) {
    const isCrashInducing = (requested: string): boolean =>
      this.isCrashing && requested.startsWith(path);
    this.workers = new CrashingWorkers(isCrashInducing, nextTurn, this.clock);
    const extras = { clock: this.clock };
    this.node = jobNode(new SharedStoreEmulator(), OWNER, this.workers, undefined, extras);
    this.workers.node = this.node;
    for (const service of ['service', 'service', 'scorers', 'scorers']) this.workers.add(service);
  }

  async runFor(time: Milliseconds): Promise<void> {
    const endAt = this.clock.now() + time;
    while (this.clock.now() < endAt) {
      this.clock.advanceTo(this.clock.now() + STEP);
      this.node.service.tick();
      this.node.dispatcher.tick();
      for (let turn = 0; turn < 4; turn += 1) await nextTurn();
    }
  }

  /** Times between the crashes, and from the last one to now. */
  pauses(): Milliseconds[] {
    const times = [...this.workers.crashTimes, this.clock.now()];
    return times.slice(1).map((at, index) => at - (times[index] ?? at));
  }

  get finished(): readonly string[] {
    return this.node.service
      .ownedJobs()
      .flatMap((job) => job.finishedResults().map(({ id }) => id));
  }
}

/** Checks the pauses between crashes: three crashes at once, then one after each delay, for good. */
function checkPauses(t: Tap, work: CrashingWork): void {
  const pauses = work.pauses();
  const delays = pauses.slice(MAX_CRASHED_WORKERS - 1, -1);
  const longest = Math.max(...pauses);
  t.ok(longest <= MAX_IDLE_TIME - FAILED_TRY_TIME, `longest time without a run: ${longest} ms`);
  t.ok(Math.min(...delays) >= CRASH_RETRY_DELAY, `shortest delay: ${Math.min(...delays)} ms`);
  const mostCrashes = MAX_CRASHED_WORKERS + CRASH_TIME / CRASH_RETRY_DELAY;
  t.ok(
    work.workers.crashed.length <= mostCrashes,
    `${work.workers.crashed.length} workers crashed`,
  );
}

t.test('a crash-inducing item runs again after each delay, however many crashed', async (t) => {
  const work = new CrashingWork('/rollouts/');
  await work.node.service.submit(specification('job', 1), always);
  await work.runFor(CRASH_TIME);
  checkPauses(t, work);
  t.ok(work.workers.crashed.length > 2 * MAX_CRASHED_WORKERS);
  work.isCrashing = false;
  await work.runFor(MAX_IDLE_TIME - FAILED_TRY_TIME);
  t.same(work.finished, ['item-0']);
});

t.test('an item under which workers crashed at earlier owners runs after the delay', async (t) => {
  const work = new CrashingWork('/nothing');
  const spec = specification('job', 1);
  const [item] = spec.items;
  const fingerprint = requestFingerprint({
    method: 'POST',
    host: spec.host,
    path: item?.path ?? '',
    tenant: undefined,
    body: Buffer.from(item?.body ?? '', 'base64'),
  });
  const reportedAt = work.clock.now();
  for (const name of REPORTED_CRASHES) {
    // The machine of the reporter may date a crash later than it is here.
    const at = reportedAt + (name === 'a' ? 60_000 : 0);
    work.node.quarantine.applyReport({ worker: name, requests: [fingerprint] }, at);
  }
  await work.node.service.submit(spec, always);
  await work.runFor(CRASH_RETRY_DELAY - 2 * STEP);
  t.equal(work.workers.requests.length, 0, 'delayed');
  await work.runFor(4 * STEP);
  t.equal(work.workers.requests.length, 1, 'run');
  await work.runFor(MAX_IDLE_TIME);
  t.same(work.finished, ['item-0']);
});

t.test('a score request that crashes its workers is sent to three', async (t) => {
  const { workers } = await start(t, scoredSpecification('job', 1), (path) =>
    path.startsWith('/score/'),
  );
  await sleep(OBSERVATION_TIME);
  t.equal(workers.crashed.length, MAX_CRASHED_WORKERS);
});

t.test('such a score request is sent again after each delay, and one at a time', async (t) => {
  const work = new CrashingWork('/score/');
  await work.node.service.submit(scoredSpecification('job', 1), always);
  await work.runFor(CRASH_TIME);
  checkPauses(t, work);
  t.ok(work.workers.crashed.length > 2 * MAX_CRASHED_WORKERS);
  work.isCrashing = false;
  await work.runFor(MAX_IDLE_TIME - FAILED_TRY_TIME);
  t.same(work.finished, ['item-0']);
});
