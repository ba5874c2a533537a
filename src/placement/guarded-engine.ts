/** Applies the send rules to every request to a worker, whichever component sends it. */
import type { EngineOutcome, EnginePort, EngineRequest } from '../serving/engine-port.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { SendRejection, SendRules } from './send-rules.js';

export interface GuardedEngineOptions {
  readonly engine: EnginePort;
  readonly rules: SendRules;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** An engine port that sends a request only if the send rules admit it; other calls are unchecked. */
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
    const rejection = rules.admit(request.worker, request.allowedRegions);
    if (rejection === undefined) return engine.send(request, signal);
    this.noteWithheld(request, rejection);
    return { kind: 'not-run', reason: 'withheld', load: undefined };
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
