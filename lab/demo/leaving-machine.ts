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
  /** Time from the sign to the last start before the return; negative or 0 for none after it. */
  readonly lastStart: number;
  readonly startsAfterReturn: number;
}

/** Judges an engine's starts, given as the times at which it accepted work. */
export function judgeLeaving(
  worker: string,
  period: LeavingPeriod,
  startTimes: readonly number[],
): LeavingReport {
  const { shownAt, backAt } = period;
  const meanwhile = startTimes.filter((at) => at > shownAt && at < backAt);
  const limit = shownAt + LAST_START_LIMIT_MILLISECONDS;
  return {
    worker,
    startsBefore: startTimes.filter((at) => at <= shownAt).length,
    lateStarts: meanwhile.filter((at) => at > limit).length,
    lastStart: Math.max(0, ...meanwhile.map((at) => at - shownAt)),
    startsAfterReturn: startTimes.filter((at) => at >= backAt).length,
  };
}

/** Whether the engine worked before, and was left alone in time. */
export function leftInTime(report: LeavingReport): boolean {
  return report.startsBefore > 0 && report.lateStarts === 0;
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
    const times = (accepted.get(this.worker) ?? []).map(({ at }) => at);
    return judgeLeaving(this.worker, { shownAt: this.shownAt, backAt: this.backAt }, times);
  }
}
