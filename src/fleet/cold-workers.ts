/**
 * Protects cold workers from overload on one node: tracks which workers are cold, requests permits
 * from the granter, and grants permits while this node is the coordinator. The rules are in
 * `src/placement`.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import { type Milliseconds, type Revision, SECOND } from '../core/units.js';
import { NOT_GRANTER, type PermitAnswer, type PermitRequest } from '../placement/cold-permits.js';
import type { ColdTolerance } from '../placement/cold-tolerance.js';
import { ColdWorkerRule } from '../placement/cold-worker-rule.js';
import { type GranterState, PermitGranter } from '../placement/permit-granter.js';
import { WorkerWarmth } from '../placement/worker-warmth.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { ColdStart, Service, WorkerRecord } from '../serving/traffic-configuration.js';
import { workerIncarnationOf } from '../serving/worker-incarnation.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { FENCING_TOKEN_VALIDITY } from './transfer-wait.js';

/** Minimum time between two requests of this node to the granter. */
const MIN_REQUEST_INTERVAL: Milliseconds = 100;

/**
 * Minimum time between two probes of one worker; each probe is a health check that costs worker
 * time.
 */
const MIN_PROBE_INTERVAL: Milliseconds = 500;

const MAX_CONCURRENT_PROBES = 8;

/**
 * Maximum number of workers in one status request. Requests about thousands of workers would
 * overload the coordinator when hundreds of nodes start together: one about 3,000 takes 40 ms to
 * write.
 */
const MAX_WORKERS_PER_STATUS_REQUEST = 200;

/** Time between two runs of maintenance. */
const MAINTENANCE_INTERVAL: Milliseconds = SECOND;

/** Without a configured tolerance the rate limit holds in every second. */
const NO_TOLERANCE: ColdTolerance = { factor: 1, requests: 0 };

export interface ColdWorkersOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly tolerance: ColdTolerance | undefined;
  readonly registry: () => WorkerRegistry;
  readonly services: () => readonly Service[];
  /** The coordinator according to this node's cached state. */
  readonly coordinator: () => NodeId | undefined;
  readonly fencingToken: () => Revision | undefined;
  /** Requests permits from another node; `undefined` if it did not answer in time. */
  readonly requestPermits: (
    node: NodeId,
    requests: readonly PermitRequest[],
  ) => Promise<PermitAnswer | undefined>;
  /** Asks a worker how long it stays cold; `undefined` if it did not answer. */
  readonly probeColdTime: (worker: WorkerRecord) => Promise<Milliseconds | undefined>;
  /** Whether this node cannot reach the store and may miss changes. */
  readonly isStoreUnreachable: () => boolean;
  /** Called when some worker may be sent more work than before. */
  readonly onCapacityFreed: () => void;
}

/** Tracks cold workers, and requests and grants permits to send to them. */
export class ColdWorkers {
  /** Rule that applies to every request that this node sends. */
  readonly rule: ColdWorkerRule;
  private readonly warmth: WorkerWarmth;
  private readonly granter: PermitGranter;
  private granterState: GranterState = 'none';
  private requestTimer: NodeJS.Timeout | undefined;
  private isRequestPending = false;
  private isListed = false;
  /** Whether a granter has answered since this node started. */
  private hasGranterAnswered = false;
  /** Index of the worker at which the next status request begins. */
  private nextStatusIndex = 0;
  private nextRequestAt: Milliseconds = 0;
  private nextMaintenanceAt: Milliseconds = 0;
  private pendingProbes = 0;
  private readonly nextProbeAt = new Map<string, Milliseconds>();

  constructor(private readonly options: ColdWorkersOptions) {
    const { clock, metrics, tolerance = NO_TOLERANCE, fencingToken, registry } = options;
    this.warmth = new WorkerWarmth(clock);
    const coldStartOf = (name: string): ColdStart | undefined => this.coldStartOf(name);
    const shared = { clock, metrics, warmth: this.warmth, coldStartOf };
    this.rule = new ColdWorkerRule({ ...shared, onPermitsNeeded: () => this.scheduleRequest() });
    this.granter = new PermitGranter({
      ...shared,
      tolerance,
      fencingToken,
      tokenValidity: FENCING_TOKEN_VALIDITY,
      workerOf: (id) => registry().get(id)?.record,
      probe: (worker) => this.startProbe(worker),
    });
  }

  /** Applies a worker's record, new or changed. */
  noteRecord(record: WorkerRecord): void {
    this.warmth.noteRecord(record);
  }

  /** Called once the initial list of workers is complete. */
  noteListed(): void {
    this.isListed = true;
    this.warmth.noteListed();
  }

  /** Called when the evacuation of a zone ends; its workers may have become cold meanwhile. */
  noteEvacuationEnded(zone: ZoneName): void {
    const workers = this.workersWithColdStart().filter((worker) => worker.zone === zone);
    for (const worker of workers) this.warmth.markUnconfirmed(worker);
    if (workers.length === 0) return;
    this.options.log.state('workers-doubted', { workerZone: zone, workers: workers.length });
  }

  /** Answers another node's permit requests. */
  answerRequests(requests: readonly PermitRequest[]): PermitAnswer {
    const answer = this.granter.answer(requests);
    if (answer.term === undefined) return NOT_GRANTER;
    const requested = requests.reduce((sum, { permits }) => sum + permits, 0);
    const granted = answer.grants.reduce((sum, { permits }) => sum + permits, 0);
    const { metrics } = this.options;
    metrics.count('cold_permits', { state: 'granted' }, granted);
    metrics.count('cold_permits', { state: 'refused' }, requested - granted);
    return answer;
  }

  tick(): void {
    const now = this.options.clock.now();
    const isMaintenanceDue = now >= this.nextMaintenanceAt;
    if (isMaintenanceDue) this.runMaintenance(now);
    if (!this.options.services().some(({ coldStart }) => coldStart !== undefined)) return;
    this.updateGranterState();
    // Status is requested before callers arrive, if possible: a worker that is not known to be warm
    // gets no requests of theirs.
    const needsInitialStatus =
      this.isListed && !this.hasGranterAnswered && now >= this.nextRequestAt;
    const requestsInitialStatus = needsInitialStatus && this.isFleetSmall;
    if (requestsInitialStatus || (isMaintenanceDue && this.options.isStoreUnreachable()))
      void this.requestSomeStatus();
  }

  private updateGranterState(): void {
    const { log, metrics } = this.options;
    const state = this.granter.refreshState();
    if (state === this.granterState) return;
    this.granterState = state;
    log.state('cold-permits-granter', { state });
    metrics.set('grants_cold_permits', state === 'open' ? 1 : 0);
  }

  /**
   * Drops expired state and sets the gauge; runs also without any cold start configured, as a
   * change of the configuration may add one.
   */
  private runMaintenance(now: Milliseconds): void {
    const { registry, metrics } = this.options;
    this.nextMaintenanceAt = now + MAINTENANCE_INTERVAL;
    const isKnown = (id: string): boolean => registry().get(id) !== undefined;
    this.warmth.retain(isKnown);
    this.granter.prune();
    this.rule.prune();
    for (const [id, at] of this.nextProbeAt) if (at < now) this.nextProbeAt.delete(id);
    metrics.set(
      'cold_workers',
      this.workersWithColdStart().filter((worker) => this.needsPermit(worker)).length,
    );
  }

  private needsPermit(worker: WorkerRecord): boolean {
    const coldStart = this.coldStartOf(worker.service);
    return coldStart !== undefined && this.warmth.of(worker, coldStart).kind !== 'warm';
  }

  private isUnconfirmed(worker: WorkerRecord): boolean {
    const coldStart = this.coldStartOf(worker.service);
    return coldStart !== undefined && this.warmth.of(worker, coldStart).kind === 'doubtful';
  }

  private coldStartOf(service: string): ColdStart | undefined {
    return this.options.services().find(({ name }) => name === service)?.coldStart;
  }

  /** Workers of services that have a cold start. */
  private workersWithColdStart(): WorkerRecord[] {
    const workers = this.options.registry().all();
    const hasColdStart = ({ service }: WorkerRecord): boolean =>
      this.coldStartOf(service) !== undefined;
    return workers.map(({ record }) => record).filter(hasColdStart);
  }

  /** Sends all requests of one turn of the event loop together. */
  private scheduleRequest(): void {
    if (this.requestTimer !== undefined || this.isRequestPending) return;
    const delay = Math.max(0, this.nextRequestAt - this.options.clock.now());
    this.requestTimer = setTimeout(() => {
      this.requestTimer = undefined;
      void this.sendRequests(this.rule.takeRequests());
    }, delay);
    this.requestTimer.unref();
  }

  /**
   * Whether one status request covers all workers; in a larger fleet each node asks only about
   * workers that it has work for. Checked in each tick, so it counts workers without a lookup of
   * their services.
   */
  private get isFleetSmall(): boolean {
    return this.options.registry().all().length <= MAX_WORKERS_PER_STATUS_REQUEST;
  }

  /**
   * Requests the status of some workers, without permits: a node that has just started or lost the
   * store may have missed changes. Successive requests cover all workers in turn.
   */
  private requestSomeStatus(): Promise<void> {
    const workers = this.workersWithColdStart();
    if (this.isRequestPending || workers.length === 0) return Promise.resolve();
    const startIndex = this.nextStatusIndex % workers.length;
    const rotated = [...workers.slice(startIndex), ...workers.slice(0, startIndex)];
    this.nextStatusIndex = startIndex + MAX_WORKERS_PER_STATUS_REQUEST;
    const requests = rotated.slice(0, MAX_WORKERS_PER_STATUS_REQUEST).map((worker) => ({
      worker: worker.id,
      life: workerIncarnationOf(worker),
      permits: 0,
      doubtAge: undefined,
    }));
    return this.sendRequests(requests);
  }

  private async sendRequests(requests: readonly PermitRequest[]): Promise<void> {
    const { clock, registry, onCapacityFreed } = this.options;
    if (requests.length === 0 || this.isRequestPending) return;
    this.isRequestPending = true;
    this.nextRequestAt = clock.now() + MIN_REQUEST_INTERVAL;
    const sentAt = suspendAwareTime(clock);
    const answer = await this.queryGranter(requests);
    this.isRequestPending = false;
    // Requests added meanwhile did not start a timer.
    if (this.rule.hasRequests) this.scheduleRequest();
    if (answer?.term === undefined) this.probeWithoutGranter(requests);
    if (answer === undefined) return;
    this.hasGranterAnswered ||= answer.term !== undefined;
    const isCapacityFreed = this.rule.applyAnswer(
      answer,
      sentAt,
      (id) => registry().get(id)?.record,
    );
    if (isCapacityFreed) onCapacityFreed();
  }

  private async queryGranter(
    requests: readonly PermitRequest[],
  ): Promise<PermitAnswer | undefined> {
    const { self, coordinator, requestPermits } = this.options;
    const granter = coordinator();
    if (granter === undefined) return undefined;
    return granter === self ? this.answerRequests(requests) : requestPermits(granter, requests);
  }

  /**
   * Without a granter, as after a restart of all gateways, nobody confirms that a worker is warm:
   * this node probes the unconfirmed workers that it has work for.
   */
  private probeWithoutGranter(requests: readonly PermitRequest[]): void {
    for (const { worker, permits } of requests) {
      const record = this.options.registry().get(worker)?.record;
      if (permits > 0 && record !== undefined && this.isUnconfirmed(record))
        this.startProbe(record);
    }
  }

  private startProbe(worker: WorkerRecord): void {
    const now = this.options.clock.now();
    if (this.pendingProbes >= MAX_CONCURRENT_PROBES || now < (this.nextProbeAt.get(worker.id) ?? 0))
      return;
    this.nextProbeAt.set(worker.id, now + MIN_PROBE_INTERVAL);
    this.pendingProbes += 1;
    void this.probe(worker).finally(() => {
      this.pendingProbes -= 1;
    });
  }

  private async probe(worker: WorkerRecord): Promise<void> {
    const { clock, log, metrics, probeColdTime } = this.options;
    const sentAt = clock.now();
    const coldFor = await probeColdTime(worker);
    const found = coldFor === undefined ? 'unknown' : coldFor > 0 ? 'cold' : 'warm';
    metrics.count('warmth_looks', { found });
    if (coldFor === undefined) return;
    this.warmth.noteReported(worker, coldFor, sentAt);
    if (coldFor === 0) this.options.onCapacityFreed();
    log.state('worker-warmth-told', { worker: worker.id, workerZone: worker.zone, coldFor });
  }
}
