/** The life of a gateway process: start, reload, and a stop that cuts off no request. */
import { type Milliseconds, SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { GatewayNode } from './gateway-node.js';
import type { FleetTimings } from './gateway-options.js';

/** The server that callers reach. */
export interface CallerServer {
  /** Requests under way. */
  readonly requestsInFlight: number;
  /** Takes no more connections and closes those that carry no request. */
  close(): void;
}

/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly node: GatewayNode;
  readonly server: CallerServer;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** The times in force when the stop begins count. */
  readonly timings: () => FleetTimings;
  /** Ends the process. */
  readonly exit: () => void;
}

/** Time until callers are no longer sent here: two missed answers, a second apart, and some. */
const NOTICE_TIME: Milliseconds = 2.5 * SECOND;

/** Time kept back of the time to stop. */
const STOP_MARGIN: Milliseconds = 700;

const STOP_POLL: Milliseconds = 50;

/** Runs one gateway. */
export class GatewayProcess {
  private isStopping = false;

  constructor(private readonly options: GatewayProcessOptions) {}

  /** Stops: jobs are handed over, running requests end, then the process ends. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { node, server, clock, log, timings, exit } = this.options;
    const startedAt = clock.now();
    const elapsed = (): Milliseconds => clock.now() - startedAt;
    node.beginStop();
    const released = node.stop();
    while (elapsed() < NOTICE_TIME) await clock.sleep(STOP_POLL);
    server.close();
    const limit = timings().stopLimit - STOP_MARGIN;
    while (server.requestsInFlight > 0 && elapsed() < limit) await clock.sleep(STOP_POLL);
    const finished = released.then(() => node.finish());
    await Promise.race([finished, clock.sleep(Math.max(0, limit - elapsed()))]);
    log.state('stopped', { requestsLeft: server.requestsInFlight });
    setTimeout(exit, STOP_POLL);
  }
}
