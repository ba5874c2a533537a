/** Gateways with permit rules and granters for cold workers, on manual clocks. */
import type { Milliseconds, Revision } from '../../src/core/units.js';
import type { PermitAnswer } from '../../src/placement/cold-permits.js';
import type { ColdTolerance } from '../../src/placement/cold-tolerance.js';
import { ColdWorkerRule } from '../../src/placement/cold-worker-rule.js';
import { PermitGranter } from '../../src/placement/permit-granter.js';
import { SendRules } from '../../src/placement/send-rules.js';
import { WorkerWarmth } from '../../src/placement/worker-warmth.js';
import { suspendAwareTime } from '../../src/serving/clock.js';
import type { ColdStart, WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';

export const COLD_START: ColdStart = { duration: 3_000, requestsPerSecond: 9 };
export const TOLERANCE: ColdTolerance = { factor: 1.5, requests: 5 };

/** Maximum requests to one cold worker within a second. */
export const HARD_BOUND = 18;

/** Time for which a granter may still treat a lost token as valid. */
export const TOKEN_VALIDITY: Milliseconds = 1_000;

/** One gateway with its view of the workers, its permits and its own granter. */
export class ColdGateway {
  readonly clock = new ManualClock();
  readonly warmth = new WorkerWarmth(this.clock);
  readonly metrics = new FleetMetrics();
  readonly probed: string[] = [];
  /** The fencing token that the gateway treats as valid. */
  token: Revision | undefined;
  needsPermits = false;
  readonly granter: PermitGranter;
  readonly rule: ColdWorkerRule;
  readonly rules: SendRules;

  constructor(private readonly workers: ReadonlyMap<string, WorkerRecord>) {
    const coldStartOf = (service: string): ColdStart | undefined =>
      service === 'service' ? COLD_START : undefined;
    const shared = { clock: this.clock, warmth: this.warmth, metrics: this.metrics, coldStartOf };
    this.granter = new PermitGranter({
      ...shared,
      tolerance: TOLERANCE,
      fencingToken: () => this.token,
      tokenValidity: TOKEN_VALIDITY,
      workerOf: (id) => workers.get(id),
      probe: ({ id }) => this.probed.push(id),
    });
    const onPermitsNeeded = (): void => {
      this.needsPermits = true;
    };
    this.rule = new ColdWorkerRule({ ...shared, onPermitsNeeded });
    this.rules = new SendRules([this.rule]);
  }

  /** Applies the answer to a request sent at `sentAt`. */
  applyAnswer(answer: PermitAnswer, sentAt: Milliseconds): boolean {
    return this.rule.applyAnswer(answer, sentAt, (id) => this.workers.get(id));
  }

  /** Requests permits from a granter that answers at once. */
  requestPermits(granter: ColdGateway): PermitAnswer {
    const sentAt = suspendAwareTime(this.clock);
    this.needsPermits = false;
    const answer = granter.granter.answer(this.rule.takeRequests());
    this.applyAnswer(answer, sentAt);
    return answer;
  }

  /** Sends up to `limit` requests while the rules admit them; returns how many were sent. */
  send(worker: WorkerRecord, limit: number): number {
    let sent = 0;
    while (sent < limit && this.rules.admit(worker, undefined) === undefined) sent += 1;
    return sent;
  }
}
