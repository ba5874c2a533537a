/**
 * One worker's machine that the machine list shows as leaving for a while, and the check that its
 * engine is given no new work meanwhile.
 */
import { eventTime } from '../load/client-events.js';
import { MACHINE_LIST_LAG, type RunningDeployment } from './running-deployment.js';

/** Time from the sign in the machine list after which no start may reach the engine. */
const LAST_START_LIMIT_MILLISECONDS = 3_000;

/** When the machine list showed a machine as leaving, and as live again; wall-clock times. */
export interface LeavingPeriod {
  readonly shownAt: number;
  readonly backAt: number;
}

/** Starts on the engine of a machine that left. */
export interface LeavingReport {
  readonly worker: string;
  readonly startsBefore: number;
  /** Starts more than 3 s after the sign and before the machine was back. */
  readonly lateStarts: number;
  /** Starts on the same model's other engines in that time: that there was work to give. */
  readonly startsElsewhere: number;
  /** Time from the sign to the last start before the return, in milliseconds; 0 for none. */
  readonly lastStart: number;
  readonly startsAfterReturn: number;
}

/**
 * Judges an engine's starts.
 *
 * @param startTimes when each engine of the model accepted work, by worker
 */
export function judgeLeaving(
  worker: string,
  period: LeavingPeriod,
  startTimes: ReadonlyMap<string, readonly number[]>,
): LeavingReport {
  const { shownAt, backAt } = period;
  const limit = shownAt + LAST_START_LIMIT_MILLISECONDS;
  const isLate = (at: number): boolean => at > limit && at < backAt;
  const own = startTimes.get(worker) ?? [];
  const others = [...startTimes].filter(([name]) => name !== worker).flatMap(([, at]) => at);
  const untilReturn = own.filter((at) => at < backAt);
  return {
    worker,
    startsBefore: own.filter((at) => at <= shownAt).length,
    lateStarts: own.filter(isLate).length,
    startsElsewhere: others.filter(isLate).length,
    lastStart: Math.max(0, ...untilReturn.map((at) => at - shownAt)),
    startsAfterReturn: own.filter((at) => at >= backAt).length,
  };
}

/** Whether the engine worked before, and was left alone in time while others worked. */
export function leftInTime(report: LeavingReport): boolean {
  return report.startsBefore > 0 && report.startsElsewhere > 0 && report.lateStarts === 0;
}

/** Takes a worker's machine away and brings it back. */
export class LeavingMachine {
  private shownAt = Number.POSITIVE_INFINITY;
  private backAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly running: RunningDeployment,
    readonly worker: string,
  ) {}

  /** Marks the machine as leaving. The list shows it a lag after it was told. */
  async leave(): Promise<void> {
    await this.running.markLeaving(this.worker);
    this.shownAt = eventTime() + MACHINE_LIST_LAG;
  }

  /** Marks the machine as live; from the call on, starts are in order again. */
  async comeBack(): Promise<void> {
    this.backAt = eventTime();
    await this.running.markLive(this.worker);
  }

  /** Judges what the engine accepted; to be called once all work has ended. */
  async report(): Promise<LeavingReport> {
    const accepted = await this.running.engines.accepted();
    const { model } = this.running.deployment.training;
    const times = new Map<string, readonly number[]>();
    for (const [worker, requests] of accepted) {
      if (worker.startsWith(model))
        times.set(
          worker,
          requests.map(({ at }) => at),
        );
    }
    return judgeLeaving(this.worker, { shownAt: this.shownAt, backAt: this.backAt }, times);
  }
}
