/** Carries out the faults of `planWorkerFaults`; gateways have no excuse meanwhile. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createRandomSource } from '../../src/core/random.js';
import { ENDLESS_ANSWERS } from './endless-answers.js';
import type { FaultPerformance } from './fault-timeline.js';
import { pick } from './pick.js';
import { LOOKUP_SERVICE, MODEL_SERVICE } from './soak-configuration.js';
import type { WorkerFault } from './worker-faults.js';
import type { WorkerPool } from './worker-pool.js';

/** Time after which a worker that crashed in a series is replaced. */
const REPLACEMENT_TIME = 400;

export class WorkerFaultRunner implements FaultPerformance<WorkerFault> {
  constructor(private readonly workers: WorkerPool) {}

  readonly struckBy = (): readonly [] => [];
  readonly isStoreAway = (): boolean => false;
  readonly breaksContact = (): boolean => false;
  readonly nameOf = ({ effect, target }: WorkerFault): string => `workers-${effect} ${target}`;

  readonly perform = async (fault: WorkerFault): Promise<void> => {
    const { effect, duration, target } = fault;
    if (effect === 'crash-together') return this.crashTogether(fault);
    if (effect === 'odd-entry') {
      const service = target % 3 === 0 ? LOOKUP_SERVICE : MODEL_SERVICE;
      return this.workers.addOddEntry(service, target);
    }
    const { worker } = pick(this.workers.places, target);
    worker.answerWithoutEnd(pick(ENDLESS_ANSWERS, target));
    await sleep(duration);
    worker.answerWithoutEnd(undefined);
  };

  private async crashTogether({ share, target }: WorkerFault): Promise<void> {
    const random = createRandomSource(target);
    const struck = this.workers.places.filter(() => random.fraction() < share);
    await Promise.all(struck.map((place) => this.workers.crashBriefly(place, REPLACEMENT_TIME)));
  }
}
