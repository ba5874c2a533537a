/** A job node and workers in simulated time. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type { JobResult } from '../../src/jobs/job-records.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import type { Route } from '../../src/serving/traffic-configuration.js';
import { configuration } from '../serving/serving-fixtures.js';
import { OWNER } from './job-fixtures.js';
import { JOB_ROUTE, type JobNode, jobNode, SCORE_ROUTE } from './job-node.js';
import { type SimulatedWorker, SimulatedWorkers, type WorkerMode } from './simulated-workers.js';
import { VirtualClock } from './virtual-clock.js';

const STEP: Milliseconds = 20;

/** Turns of the event loop in which what a step began comes to rest. */
const TURNS_A_STEP = 4;

/** Events of each item; requests for scores have none. */
const EVENTS = 20;

export class JobScene {
  readonly clock = new VirtualClock();
  readonly workers = new SimulatedWorkers(this.clock, ({ requestId }) =>
    requestId.startsWith('item-') ? EVENTS : 0,
  );
  readonly node: JobNode;

  /** `route` replaces fields of the jobs' route. */
  constructor(route: Partial<Route> = {}) {
    const routes = new RouteMatcher(configuration([{ ...JOB_ROUTE, ...route }, SCORE_ROUTE]));
    const extras = { clock: this.clock, routes: () => routes };
    const port = this.workers.portOf(() => true);
    this.node = jobNode(new SharedStoreEmulator(), OWNER, port, undefined, extras);
  }

  addWorkers(
    service: string,
    count: number,
    version: WeightVersion,
    mode: WorkerMode = 'sound',
  ): SimulatedWorker[] {
    const added = Array.from({ length: count }, () => this.workers.add(service, version, mode));
    for (const { record } of added) this.node.registry.put(record);
    return added;
  }

  /** Ends a worker together with its entry. */
  crash(worker: SimulatedWorker): void {
    this.workers.crash(worker);
    this.node.registry.remove(worker.id);
  }

  /** Lets time pass; call it within `withVirtualTimers`. */
  async runFor(time: Milliseconds): Promise<void> {
    const endAt = this.clock.now() + time;
    while (this.clock.now() < endAt) {
      this.clock.advanceTo(this.clock.now() + STEP);
      this.workers.step();
      this.node.service.tick();
      this.node.dispatcher.tick();
      for (let turn = 0; turn < TURNS_A_STEP; turn += 1) await nextTurn();
    }
  }

  /** Results of the first job. */
  get results(): readonly JobResult[] {
    return this.node.service.ownedJobs()[0]?.finishedResults() ?? [];
  }

  /** Slots that the node counts as taken. */
  get slotsTaken(): number {
    return this.node.registry.all().reduce((sum, { inFlight }) => sum + inFlight, 0);
  }
}
