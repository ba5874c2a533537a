/** Stops a gateway process gracefully: running requests finish before the process exits. */
import { type Milliseconds, SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { GatewayNode } from './gateway-node.js';
import type { FleetTimings } from './gateway-options.js';

/** The server that accepts callers' connections. */
export interface IngressServer {
  readonly requestsInFlight: number;
  /** Accepts no more connections and closes the idle ones. */
  close(): void;
}

export interface GatewayProcessOptions {
  readonly node: GatewayNode;
  readonly server: IngressServer;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** The current settings; read once during a stop. */
  readonly timings: () => FleetTimings;
  readonly exit: () => void;
}

/** Time in which callers stop sending requests here: two failed readiness checks, 1 s apart. */
const READINESS_PROPAGATION_TIME: Milliseconds = 2.5 * SECOND;

/** Part of the stop limit that is reserved for the exit itself. */
const STOP_MARGIN: Milliseconds = 700;

const STOP_POLL_INTERVAL: Milliseconds = 50;

/** Controls the stop of one gateway process. */
export class GatewayProcess {
  private isStopping = false;

  constructor(private readonly options: GatewayProcessOptions) {}

  /** Releases the jobs, waits for running requests up to the stop limit, then exits. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { node, server, clock, log, timings, exit } = this.options;
    const startedAt = clock.now();
    const elapsed = (): Milliseconds => clock.now() - startedAt;
    node.beginStop();
    const jobsReleased = node.stop();
    while (elapsed() < READINESS_PROPAGATION_TIME) await clock.sleep(STOP_POLL_INTERVAL);
    server.close();
    const limit = timings().stopLimit - STOP_MARGIN;
    while (server.requestsInFlight > 0 && elapsed() < limit) await clock.sleep(STOP_POLL_INTERVAL);
    const nodeFinished = jobsReleased.then(() => node.finish());
    await Promise.race([nodeFinished, clock.sleep(Math.max(0, limit - elapsed()))]);
    log.state('stopped', { requestsLeft: server.requestsInFlight });
    setTimeout(exit, STOP_POLL_INTERVAL);
  }
}
