/**
 * Workers in simulated time, with everything that may go wrong at a worker: crashes of several at
 * once, changes of weights, refusals, silence, bytes without end, and entries that can't be called.
 */
import { Readable } from 'node:stream';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import type {
  EngineOutcome,
  EnginePort,
  EngineReport,
  EngineRequest,
  OrderOutcome,
  WorkerLiveness,
} from '../../src/serving/engine-port.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { answer, BROKEN, NOT_RUN, UNREACHED, worker } from '../serving/serving-fixtures.js';
import type { VirtualClock } from './virtual-clock.js';

const EVENT_TIME: Milliseconds = 40;
const SCORE_TIME: Milliseconds = 30;
const CONNECT_TIMEOUT: Milliseconds = 700;

/** Runs that their sender ends sooner than this do not count as runs. */
const MIN_COUNTED_RUN: Milliseconds = 1_000;
const SLOTS = 4;

/** Bytes that a worker sends beside or in place of events, in each step. */
const COMMENT = ': still here\n\n';
const PARTIAL_EVENT = 'data: ';

/** What a worker does with requests. */
export type WorkerMode =
  | 'sound'
  /** Accepts connections and never answers. */
  | 'silent'
  /** Rejects each request as not run. */
  | 'full'
  /** Sends comments in place of events, without end. */
  | 'comments'
  /** Sends one event without end. */
  | 'endless-event'
  /** Nobody listens at its address. */
  | 'unreachable'
  /** Connections to its address time out. */
  | 'dark'
  /** Its entry can't be called: sending to it throws. */
  | 'uncallable';

/** One request at a worker. */
interface WorkerRun {
  readonly request: EngineRequest;
  readonly body: Readable;
  readonly startedAt: Milliseconds;
  /** Whether the worker never answers it, whatever becomes of the worker. */
  readonly isSilent: boolean;
  nextEvent: number;
  version: WeightVersion;
}

/** One incarnation of a worker. */
export class SimulatedWorker {
  mode: WorkerMode = 'sound';
  hasEnded = false;
  loadingUntil: Milliseconds = 0;
  readonly runs = new Set<WorkerRun>();

  constructor(
    readonly id: string,
    readonly service: string,
    public version: WeightVersion,
    /** The version that its entry names, if it is another one. */
    public namedVersion: WeightVersion | undefined = undefined,
  ) {}

  get record(): WorkerRecord {
    const models = [{ name: 'model-a', version: this.namedVersion ?? this.version }];
    return worker(this.id, { service: this.service, slots: SLOTS, models });
  }
}

/** Where an item or the request for its score was last. */
export interface WorkPlace {
  /** Requests at workers that are up. */
  running: number;
  /** When the first request came to a worker. */
  readonly firstAt: Milliseconds;
  /** When the last request left a worker. */
  leftAt: Milliseconds;
}

/** All workers, whichever node sends to them. */
export class SimulatedWorkers {
  readonly workers = new Map<string, SimulatedWorker>();
  /** By request id. */
  readonly places = new Map<string, WorkPlace>();
  /** Requests that workers have finished. */
  readonly finished = new Set<string>();
  /** All requests that came to workers. */
  readonly requests: EngineRequest[] = [];
  private started = 0;

  constructor(
    readonly clock: VirtualClock,
    private readonly eventsOf: (request: EngineRequest) => number,
  ) {}

  add(service: string, version: WeightVersion, mode: WorkerMode = 'sound'): SimulatedWorker {
    this.started += 1;
    const added = new SimulatedWorker(`worker-${this.started}`, service, version);
    added.mode = mode;
    this.workers.set(added.id, added);
    return added;
  }

  /** Ends a worker and everything on it; returns the requests that were there. */
  crash(worker: SimulatedWorker): EngineRequest[] {
    worker.hasEnded = true;
    this.workers.delete(worker.id);
    const requests = [...worker.runs].map(({ request }) => request);
    for (const run of [...worker.runs]) this.end(worker, run, 'reset');
    return requests;
  }

  /** Starts loading weights; running requests go on under the new version. */
  load(worker: SimulatedWorker, version: WeightVersion, duration: Milliseconds): void {
    worker.version = version;
    worker.loadingUntil = this.clock.now() + duration;
  }

  /** Sends the events that are due. */
  step(): void {
    const now = this.clock.now();
    for (const worker of this.workers.values()) {
      for (const run of [...worker.runs]) this.stepRun(worker, run, now);
    }
  }

  /** The port of one node, which ends with the node. */
  portOf(isUp: () => boolean): EnginePort {
    return {
      send: (request, signal) => this.send(request, signal, isUp),
      order: async (): Promise<OrderOutcome> => 'refused',
      report: async (): Promise<EngineReport | undefined> => undefined,
      probeLiveness: async ({ id }): Promise<WorkerLiveness> =>
        this.workers.has(id) ? 'lives' : 'ended',
      probeColdTime: async () => undefined,
      forget: () => {},
    };
  }

  private async send(
    request: EngineRequest,
    signal: AbortSignal,
    isUp: () => boolean,
  ): Promise<EngineOutcome> {
    const worker = this.workers.get(request.worker.id);
    if (worker?.mode === 'uncallable') throw new RangeError('port out of range');
    if (worker === undefined || worker.mode === 'unreachable' || !isUp()) return UNREACHED;
    if (worker.mode === 'dark') {
      await this.clock.sleep(CONNECT_TIMEOUT);
      return UNREACHED;
    }
    const isBusy = worker.mode === 'full' || worker.runs.size >= SLOTS;
    if (isBusy || this.clock.now() < worker.loadingUntil) return NOT_RUN;
    return this.begin(worker, request, signal);
  }

  private begin(
    worker: SimulatedWorker,
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<EngineOutcome> {
    const body = new Readable({ read: () => {} });
    body.on('error', () => {});
    const nextEvent = request.lastEventId === undefined ? 0 : request.lastEventId + 1;
    const { version } = worker;
    const isSilent = worker.mode === 'silent';
    const run = { request, body, startedAt: this.clock.now(), isSilent, nextEvent, version };
    worker.runs.add(run);
    this.requests.push(request);
    this.placeOf(request.requestId).running += 1;
    return new Promise((resolve) => {
      const cancel = (): void => {
        this.end(worker, run, 'cancelled');
        resolve({ kind: 'failed', mayHaveRun: true, cause: 'cancelled' });
      };
      if (signal.aborted) return cancel();
      signal.addEventListener('abort', cancel);
      body.once('close', () => resolve(BROKEN));
      if (isSilent) return;
      const isStream = this.eventsOf(request) > 0;
      const discard = (): void => this.end(worker, run, 'cancelled');
      const fields = { body, isStream, weightVersion: version, discard };
      resolve(answer('', { ...fields, signature: `stamp-${request.requestId}` }));
    });
  }

  private stepRun(worker: SimulatedWorker, run: WorkerRun, now: Milliseconds): void {
    const { mode } = worker;
    if (mode === 'comments') run.body.push(COMMENT);
    else if (mode === 'endless-event') run.body.push(PARTIAL_EVENT);
    if (mode !== 'sound' || run.isSilent) return;
    const events = this.eventsOf(run.request);
    if (events === 0) {
      if (now - run.startedAt >= SCORE_TIME) this.end(worker, run, 'whole');
      return;
    }
    const due = Math.floor((now - run.startedAt) / EVENT_TIME);
    const sent = run.nextEvent - (run.request.lastEventId ?? -1) - 1;
    if (sent >= due) return;
    if (run.nextEvent >= events) {
      this.end(worker, run, 'whole');
      return;
    }
    const change = run.version === worker.version ? '' : `weights-version: ${worker.version}\n`;
    run.version = worker.version;
    run.body.push(`${change}id: ${run.nextEvent}\ndata: ${run.nextEvent}\n\n`);
    run.nextEvent += 1;
  }

  private end(worker: SimulatedWorker, run: WorkerRun, how: 'whole' | 'reset' | 'cancelled'): void {
    if (!worker.runs.delete(run)) return;
    const { requestId } = run.request;
    const place = this.placeOf(requestId);
    place.running -= 1;
    const now = this.clock.now();
    const isCounted = how !== 'cancelled' || now - run.startedAt >= MIN_COUNTED_RUN;
    if (isCounted) place.leftAt = now;
    if (how === 'whole') {
      this.finished.add(requestId);
      run.body.push(null);
    } else run.body.destroy(new Error('connection reset'));
  }

  private placeOf(request: string): WorkPlace {
    const place = this.places.get(request) ?? { running: 0, firstAt: this.clock.now(), leftAt: 0 };
    this.places.set(request, place);
    return place;
  }
}
