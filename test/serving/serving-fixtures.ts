/** Routes, workers, requests, answers and a scripted engine for tests. */
import { Readable } from 'node:stream';
import type { Failure } from '../../src/errors/error-kinds.js';
import type { AnswerSink, CallerRequest } from '../../src/serving/answer-sink.js';
import { type Clock, PROCESS_CLOCK } from '../../src/serving/clock.js';
import type {
  EngineAnswer,
  EngineOutcome,
  EnginePort,
  EngineReport,
  EngineRequest,
  HeaderList,
  OrderOutcome,
  WeightOrder,
  WorkerLiveness,
} from '../../src/serving/engine-port.js';
import { RequestQuarantine } from '../../src/serving/request-quarantine.js';
import type {
  Route,
  TrafficConfiguration,
  WorkerRecord,
} from '../../src/serving/traffic-configuration.js';
import { DecisionLog } from '../../src/telemetry/decision-log.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { ManualClock } from '../jobs/job-fixtures.js';

export const VERSION_FIELD = 'weights-version';

export function route(fields: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'site.example',
    pathPrefix: '/a/',
    kind: 'read-only',
    timeout: 5_000,
    targetLatency: 5_000,
    priority: 1,
    maxAttempts: 3,
    targets: [{ service: 'service', weight: 1 }],
    isPublic: false,
    resumable: false,
    singleVersion: false,
    maxQueue: 40_000,
    resultDeadline: 7_500,
    ...fields,
  };
}

export function configuration(routes: readonly Route[], version = 1): TrafficConfiguration {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeout: 3_000,
    idleTimeout: 15_000,
  };
  return { version, routes, services: [], limits, tenants: undefined };
}

export function worker(id: string, fields: Partial<WorkerRecord> = {}): WorkerRecord {
  return {
    id,
    service: 'service',
    address: '127.0.0.1:1',
    zone: 'zone-1',
    slots: 4,
    draining: false,
    models: [{ name: 'model-a', version: 1 }],
    ...fields,
  };
}

export function callerRequest(fields: Partial<CallerRequest> = {}): CallerRequest {
  return {
    requestId: 'request-1',
    caller: UNRESTRICTED,
    method: 'POST',
    path: '/a/x',
    host: 'site.example',
    headers: [],
    body: Buffer.from('question'),
    timeout: 5_000,
    receivedAt: performance.now(),
    lastEventId: undefined,
    disconnectSignal: new AbortController().signal,
    ...fields,
  };
}

/** An answer with a complete body. */
export function answer(body: string, fields: Partial<EngineAnswer> = {}): EngineAnswer {
  return {
    kind: 'answered',
    status: 200,
    headers: ['X-Stamp', 'stamp'],
    body: Readable.from([Buffer.from(body)]),
    isStream: false,
    weightVersion: 1,
    signature: 'stamp',
    load: undefined,
    discard: () => {},
    ...fields,
  };
}

/** An answer whose connection breaks after some bytes of the body. */
export function brokenAnswer(body: string, fields: Partial<EngineAnswer> = {}): EngineAnswer {
  const chunks = async function* (): AsyncGenerator<Buffer> {
    yield Buffer.from(body);
    throw new Error('connection reset');
  };
  return answer('', { body: Readable.from(chunks()), ...fields });
}

/** Events numbered from `first`, with one letter of data each. */
export function events(first: number, letters: string): string {
  return [...letters].map((letter, index) => `id: ${first + index}\ndata: ${letter}\n\n`).join('');
}

export const NOT_RUN: EngineOutcome = {
  kind: 'not-run',
  reason: 'full',

  load: undefined,
};
export const BROKEN: EngineOutcome = { kind: 'failed', mayHaveRun: true, cause: 'broken' };
export const UNREACHED: EngineOutcome = {
  kind: 'failed',
  mayHaveRun: false,
  cause: 'refused-connection',
};

/** Reaction of a worker to a request; `hang` waits until the request is cancelled. */
export type Script = EngineOutcome | 'hang';

/** An engine that returns the given outcomes in order, then hangs. */
export class ScriptedEngine implements EnginePort {
  readonly requests: EngineRequest[] = [];
  readonly orders: WeightOrder[] = [];
  readonly cancelled: string[] = [];
  readonly forgotten: string[] = [];
  orderOutcomes: OrderOutcome[] = [];
  reports: (EngineReport | undefined)[] = [];

  constructor(private readonly scripts: Script[] = []) {}

  send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    this.requests.push(request);
    const script = this.scripts.shift() ?? 'hang';
    return new Promise((resolve) => {
      const cancel = (): void => {
        this.cancelled.push(request.worker.id);
        resolve({ kind: 'failed', mayHaveRun: true, cause: 'cancelled' });
      };
      signal.addEventListener('abort', cancel);
      if (script === 'hang') return;
      setImmediate(() => {
        signal.removeEventListener('abort', cancel);
        // As with a real worker, cancelling the request aborts its answer.
        const abortAnswer = (): void => {
          if (script.kind === 'answered') script.body.destroy(new Error('request cancelled'));
        };
        signal.addEventListener('abort', abortAnswer);
        resolve(script);
      });
    });
  }

  async order(order: WeightOrder): Promise<OrderOutcome> {
    this.orders.push(order);
    return this.orderOutcomes.shift() ?? 'started';
  }

  async report(): Promise<EngineReport | undefined> {
    return this.reports.shift();
  }

  async probeLiveness(): Promise<WorkerLiveness> {
    return 'lives';
  }

  async probeColdTime(): Promise<undefined> {
    return undefined;
  }

  forget(worker: string): void {
    this.forgotten.push(worker);
  }
}

/** Creates the quarantine of a node without peers; probes find every worker alive by default. */
export function quarantine(
  probeLiveness: (worker: WorkerRecord) => Promise<WorkerLiveness> = async () => 'lives',
  clock: Clock = PROCESS_CLOCK,
): RequestQuarantine {
  return new RequestQuarantine({
    probeLiveness,
    reportCrash: () => {},
    reportAcquittal: () => {},
    clock,
    log: recordingLog().log,
    metrics: new FleetMetrics(),
  });
}

/** A sink that records the answer. */
export class RecordingSink implements AnswerSink {
  status: number | undefined;
  headers: HeaderList = [];
  body = '';
  failure: Failure | undefined;
  ending: 'open' | 'complete' | 'broken' = 'open';

  sendComplete(status: number, headers: HeaderList, body: Buffer): void {
    this.begin(status, headers);
    this.body = body.toString();
    this.ending = 'complete';
  }
  begin(status: number, headers: HeaderList): void {
    this.status = status;
    this.headers = headers;
  }
  async write(chunk: Buffer): Promise<void> {
    this.body += chunk.toString();
  }
  end(): void {
    this.ending = 'complete';
  }
  abort(): void {
    this.ending = 'broken';
  }
  fail(failure: Failure): void {
    this.failure = failure;
    this.ending = 'complete';
  }
}

/** A log that records its lines. */
export function recordingLog(): { readonly log: DecisionLog; readonly lines: string[] } {
  const lines: string[] = [];
  const destination = { write: (line: string) => void lines.push(line) };
  const clock = new ManualClock();
  return { log: new DecisionLog({ node: 'node-1', zone: 'zone-1', clock, destination }), lines };
}
