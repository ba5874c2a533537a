/** Asks the rules of what may be sent before each request to a worker, whoever sends it. */
import type { EngineOutcome, EnginePort, EngineRequest } from '../serving/engine-port.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { SendRejection, SendRules } from './send-rules.js';

/** Options of {@link GuardedEngine}. */
export interface GuardedEngineOptions {
  readonly engine: EnginePort;
  readonly rules: SendRules;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Workers behind the rules; orders, reports and health checks carry no caller's work and pass. */
export class GuardedEngine implements EnginePort {
  readonly order: EnginePort['order'];
  readonly report: EnginePort['report'];
  readonly probeLiveness: EnginePort['probeLiveness'];
  readonly probeColdTime: EnginePort['probeColdTime'];
  readonly forget: EnginePort['forget'];

  constructor(private readonly options: GuardedEngineOptions) {
    const { engine } = options;
    this.order = engine.order.bind(engine);
    this.report = engine.report.bind(engine);
    this.probeLiveness = engine.probeLiveness.bind(engine);
    this.probeColdTime = engine.probeColdTime.bind(engine);
    this.forget = engine.forget.bind(engine);
  }

  async send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    const { engine, rules } = this.options;
    const obstacle = rules.admit(request.worker, request.allowedRegions);
    if (obstacle === undefined) return engine.send(request, signal);
    this.noteWithheld(request, obstacle);
    return { kind: 'not-run', reason: 'withheld', load: undefined };
  }

  private noteWithheld({ requestId, worker }: EngineRequest, obstacle: SendRejection): void {
    this.options.metrics.count('sends_withheld', { obstacle });
    this.options.log.decision('send-withheld', {
      request: requestId,
      worker: worker.id,
      workerZone: worker.zone,
      obstacle,
    });
  }
}
