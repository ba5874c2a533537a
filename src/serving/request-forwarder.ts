/** Forwards callers' requests to workers; `forwarded-exchange.ts` has the retries and hedges. */
import type { AnswerSink, CallerRequest } from './answer-sink.js';
import { ForwardedExchange } from './forwarded-exchange.js';
import type { RequestForwarderOptions } from './forwarding-options.js';
import type { Route, ServiceName } from './traffic-configuration.js';

export class RequestForwarder {
  constructor(private readonly options: RequestForwarderOptions) {}

  /** Forwards one request and answers the caller; never rejects. */
  async forward(
    request: CallerRequest,
    route: Route,
    service: ServiceName,
    sink: AnswerSink,
  ): Promise<void> {
    const exchange = new ForwardedExchange(this.options, request, route, service, sink);
    await exchange.perform();
  }
}
