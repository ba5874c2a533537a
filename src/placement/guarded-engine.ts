/**
 * Guards every call to a worker, whichever component makes it: applies the send rules, and turns an
 * exception of the port into an outcome, since callers rely on methods that never reject.
 */
import type { Milliseconds } from '../core/units.js';
import type {
  EngineOutcome,
  EnginePort,
  EngineReport,
  EngineRequest,
  OrderOutcome,
  WeightOrder,
  WorkerLiveness,
} from '../serving/engine-port.js';
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { SendRejection, SendRules } from './send-rules.js';

export interface GuardedEngineOptions {
  readonly engine: EnginePort;
  readonly rules: SendRules;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Outcome of a request whose sending threw; how far it came is not known. */
const SEND_FAILED: EngineOutcome = { kind: 'failed', mayHaveRun: true, cause: 'broken' };

/** An engine port that never rejects, and sends a request only if the send rules admit it. */
export class GuardedEngine implements EnginePort {
  constructor(private readonly options: GuardedEngineOptions) {}

  order(order: WeightOrder): Promise<OrderOutcome> {
    return this.settled('order', () => this.options.engine.order(order), 'unknown');
  }

  report(worker: WorkerRecord): Promise<EngineReport | undefined> {
    return this.settled('report', () => this.options.engine.report(worker), undefined);
  }

  probeLiveness(worker: WorkerRecord, healthPath: string): Promise<WorkerLiveness> {
    const probe = (): Promise<WorkerLiveness> =>
      this.options.engine.probeLiveness(worker, healthPath);
    return this.settled('probe', probe, 'unknown');
  }

  probeColdTime(worker: WorkerRecord, healthPath: string): Promise<Milliseconds | undefined> {
    const probe = (): Promise<Milliseconds | undefined> =>
      this.options.engine.probeColdTime(worker, healthPath);
    return this.settled('probe', probe, undefined);
  }

  forget(worker: string): void {
    this.options.engine.forget(worker);
  }

  async send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    const { engine, rules } = this.options;
    const rejection = rules.admit(request.worker, request.allowedRegions);
    if (rejection === undefined) {
      return this.settled('send', () => engine.send(request, signal), SEND_FAILED);
    }
    this.noteWithheld(request, rejection);
    return { kind: 'not-run', reason: 'withheld', load: undefined };
  }

  /** The result of a call, or `otherwise` if it throws or rejects, which is a defect. */
  private async settled<Result>(
    call: 'send' | 'order' | 'report' | 'probe',
    perform: () => Promise<Result>,
    otherwise: Result,
  ): Promise<Result> {
    try {
      return await perform();
    } catch (error) {
      this.options.log.fault(`worker-${call}-failed`, error);
      return otherwise;
    }
  }

  private noteWithheld({ requestId, worker }: EngineRequest, rejection: SendRejection): void {
    this.options.metrics.count('sends_withheld', { obstacle: rejection });
    this.options.log.decision('send-withheld', {
      request: requestId,
      worker: worker.id,
      workerZone: worker.zone,
      obstacle: rejection,
    });
  }
}
