/** Workers that end under some requests, and come back as new instances after a while. */
import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type {
  EngineFailure,
  EngineOutcome,
  EnginePort,
  EngineRequest,
  OrderOutcome,
  WorkerLiveness,
} from '../../src/serving/engine-port.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';

/** A request with this body ends the worker that runs it. */
export const LETHAL = 'lethal';

/** A request with this body breaks its own connection and leaves the worker alive. */
export const DISCONNECTING = 'disconnecting';

/** Time from the begin of a run to its end. */
const RUN_TIME: Milliseconds = 15;

/** Time until an ended worker is back. */
const RESTART_TIME: Milliseconds = 40;

const BROKEN: EngineFailure = { kind: 'failed', mayHaveRun: true, cause: 'broken' };
const CANCELLED: EngineFailure = { kind: 'failed', mayHaveRun: true, cause: 'cancelled' };
const UNREACHED: EngineFailure = {
  kind: 'failed',
  mayHaveRun: false,
  cause: 'refused-connection',
};

/** Where workers register themselves. */
export interface WorkerRegistration {
  register(id: string): void;
  unregister(id: string): void;
  /** Resolves once all gateways send work to just these workers. */
  allKnow(ids: readonly string[]): Promise<void>;
}

/** The workers. */
export class CrashingWorkers implements EnginePort {
  /** Workers that ended, in order. */
  readonly ended: string[] = [];
  /** When they ended, by time of day. */
  readonly endedAt: Milliseconds[] = [];
  /** Requests that reached a worker that lived. */
  readonly reached: EngineRequest[] = [];
  private readonly live = new Map<string, AbortController>();
  private started = 0;

  /** `registration` is asked for late, as gateways are made with this engine. */
  constructor(private readonly registration: () => WorkerRegistration) {}

  /** Starts a worker. */
  add(): void {
    this.started += 1;
    const id = `worker-${this.started}`;
    this.live.set(id, new AbortController());
    this.registration().register(id);
  }

  /** Resolves once so many workers live and all gateways know them. */
  async whole(count: number): Promise<void> {
    while (this.live.size < count) await sleep(RESTART_TIME / 4);
    await this.registration().allKnow([...this.live.keys()]);
  }

  /** Ends a worker as a crash of its machine does. */
  end(id: string): void {
    const life = this.live.get(id);
    if (life === undefined) return;
    this.live.delete(id);
    this.ended.push(id);
    this.endedAt.push(Date.now());
    life.abort();
    this.registration().unregister(id);
    setTimeout(() => this.add(), RESTART_TIME);
  }

  async send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    const { id } = request.worker;
    const life = this.live.get(id);
    if (life === undefined) return UNREACHED;
    this.reached.push(request);
    const body = request.body.toString();
    const isLethal = body === LETHAL;
    if (isLethal) setTimeout(() => this.end(id), RUN_TIME);
    const either = AbortSignal.any([signal, life.signal]);
    // Whatever else is at the worker when it ends breaks with it.
    const time = isLethal ? 10 * RUN_TIME : RUN_TIME;
    await sleep(time, undefined, { signal: either }).catch(() => {});
    if (signal.aborted) return CANCELLED;
    if (life.signal.aborted || body === DISCONNECTING) return BROKEN;
    return wholeAnswer(`answer to ${body}`);
  }

  async probeLiveness({ id }: WorkerRecord): Promise<WorkerLiveness> {
    return this.live.has(id) ? 'lives' : 'ended';
  }

  async probeColdTime(): Promise<undefined> {
    return undefined;
  }

  async order(): Promise<OrderOutcome> {
    return 'refused';
  }

  async report(): Promise<undefined> {
    return undefined;
  }

  forget(): void {}
}

function wholeAnswer(body: string): EngineOutcome {
  return {
    kind: 'answered',
    status: 200,
    headers: [],
    body: Readable.from([Buffer.from(body)]),
    isStream: false,
    weightVersion: undefined,
    signature: 'signed',
    load: undefined,
    discard: () => {},
  };
}
