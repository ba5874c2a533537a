/**
 * Sends one caller's request to workers: picks them, counts attempts, and records whether any of
 * them may have run it.
 */
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { type AllowedRegions, allowedByBoth } from '../placement/allowed-regions.js';
import { type TenantName, tenantNameOf } from '../tenants/tenant.js';
import type { CallerRequest } from './answer-sink.js';
import { SERVER_ERROR_STATUS } from './attempt.js';
import type { EngineOutcome } from './engine-port.js';
import type { RequestForwarderOptions } from './forwarding-options.js';
import { FingerprintedRequest } from './request-fingerprint.js';
import type { Route, ServiceName } from './traffic-configuration.js';
import type { KnownWorker } from './worker-registry.js';

/** Options of one attempt. */
export interface SendOptions {
  /** The stream resumes after this event. */
  readonly lastEventId?: number | undefined;
  readonly wantsNewConnection?: boolean;
}

export interface WorkerSenderOptions extends RequestForwarderOptions {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: ServiceName;
  /** Time left for the answer. */
  readonly remaining: () => Milliseconds;
}

/** The attempts of one request. */
export class WorkerSender {
  private readonly sentAtByWorker = new Map<string, Milliseconds>();
  private readonly aborts = new Set<AbortController>();
  private hasBegun = false;
  private inFlight = 0;
  private readonly fingerprinted: FingerprintedRequest;
  attempts = 0;
  /** Whether any worker may have run the request. */
  mayHaveRun = false;

  constructor(private readonly options: WorkerSenderOptions) {
    const { request } = options;
    const tenant = tenantNameOf(request.caller);
    this.fingerprinted = new FingerprintedRequest(() => ({ ...request, tenant }));
  }

  /** Allowed regions by the active configuration, which may have changed since the last attempt. */
  private get allowedRegions(): AllowedRegions {
    const { request, route, routes } = this.options;
    const { caller, host, path } = request;
    const callerTenant = caller.kind === 'tenant' ? caller.tenant : undefined;
    const activeRoutes = routes?.();
    const tenantRecord =
      callerTenant && (activeRoutes?.tenants.get(callerTenant.name) ?? callerTenant);
    const { allowedRegions } = activeRoutes?.match(host, path) ?? route;
    return allowedByBoth(allowedRegions, tenantRecord?.allowedRegions);
  }

  /** The failure to answer with before any attempt; `undefined` where the request may be sent. */
  refusal(): Failure | undefined {
    return this.options.quarantine.refusalOf(this.fingerprinted) ?? this.refusalByRegion();
  }

  /** Fails at once, since waiting would not bring a worker to the allowed regions. */
  private refusalByRegion(): Failure | undefined {
    const { registry, service } = this.options;
    if (!registry.areAllOutsideRegions(service, this.allowedRegions)) return undefined;
    const regions = this.allowedRegions?.join(', ') ?? '';
    return failure('region_unavailable', `no worker in the allowed regions (${regions})`);
  }

  /**
   * The worker for the next attempt; `undefined` where no worker is eligible, the route allows no
   * further attempt, or the request is quarantined.
   */
  pick(): KnownWorker | undefined {
    const { route, registry, service, zone, clock, quarantine } = this.options;
    if (this.attempts >= route.maxAttempts) return undefined;
    if (!quarantine.admits(this.fingerprinted, this.inFlight)) return undefined;
    return registry.pick(service, this.sentAtByWorker, zone, clock.now(), this.allowedRegions);
  }

  /** Sends the request to a worker; never rejects. */
  async send(
    worker: KnownWorker,
    { lastEventId, wantsNewConnection = false }: SendOptions = {},
  ): Promise<EngineOutcome> {
    const { engine, clock, request, route, remaining } = this.options;
    const abort = new AbortController();
    this.aborts.add(abort);
    this.attempts += 1;
    this.inFlight += 1;
    worker.inFlight += 1;
    const sentAt = clock.now();
    this.sentAtByWorker.set(worker.record.id, sentAt);
    const resumeAfter = lastEventId ?? request.lastEventId;
    const { caller } = request;
    const tenant = tenantNameOf(caller);
    const ownPriority = caller.kind === 'tenant' ? caller.tenant.priority : undefined;
    const sending = engine.send(
      {
        worker: worker.record,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        host: request.host,
        headers: request.headers,
        body: request.body,
        remaining: request.timeout === undefined ? Math.max(0, remaining()) : remaining(),
        priority: ownPriority ?? route.priority,
        ...(tenant === undefined ? {} : { tenant }),
        ...(resumeAfter === undefined ? {} : { lastEventId: resumeAfter }),
        ...(wantsNewConnection ? { wantsNewConnection } : {}),
        allowedRegions: this.allowedRegions,
      },
      abort.signal,
    );
    const outcome = await sending.finally(() => {
      worker.inFlight -= 1;
      this.inFlight -= 1;
    });
    if (outcome.kind === 'failed' && outcome.cause === 'broken') this.noteConnectionBroken(worker);
    if (outcome.kind === 'failed' && outcome.cause === 'cancelled') {
      this.options.quarantine.noteCancelled(worker.record, this.fingerprinted);
    }
    if (outcome.kind !== 'failed') worker.noteLoad(outcome.load, clock.now());
    if (outcome.kind === 'failed' && outcome.mayHaveRun) this.mayHaveRun = true;
    this.reportRunStarted(outcome, sentAt, tenant);
    return outcome;
  }

  /**
   * Logs that the connection to a worker broke and starts the check for a crash. The fingerprint
   * links log lines of several nodes and attempts to one request; `othersThere` counts other
   * requests at the worker, `elsewhere` other attempts of this request.
   */
  noteConnectionBroken(worker: KnownWorker): void {
    const { request, route, log, clock, quarantine } = this.options;
    const { id } = worker.record;
    log.decision('attempt-broken', {
      request: request.requestId,
      asked: this.fingerprinted.fingerprint,
      route: route.name,
      worker: id,
      atWorkerMs: Math.round(clock.now() - (this.sentAtByWorker.get(id) ?? clock.now())),
      othersThere: worker.inFlight,
      elsewhere: this.inFlight,
    });
    void quarantine.noteBroken(worker.record, this.fingerprinted, 'any-node');
  }

  /**
   * Clears evidence against the request after a complete answer. A failure status does not clear
   * it: the worker may have stopped the request, at its deadline for example, before it could
   * crash.
   */
  noteAnswered(status: number): void {
    if (status < SERVER_ERROR_STATUS) this.options.quarantine.noteAnswered(this.fingerprinted);
  }

  /** Cancels all attempts. */
  cancelAll(): void {
    for (const abort of this.aborts) abort.abort();
  }

  /**
   * Reports the start of the request once: at the first event of a stream, else at the time of
   * sending, since workers start such requests on arrival.
   */
  private reportRunStarted(
    outcome: EngineOutcome,
    sentAt: Milliseconds,
    tenant: TenantName | undefined,
  ): void {
    const { onRunStarted, clock } = this.options;
    const hasRun = outcome.kind === 'answered' || (outcome.kind === 'failed' && outcome.mayHaveRun);
    if (this.hasBegun || !hasRun || tenant === undefined) return;
    this.hasBegun = true;
    const isStream = outcome.kind === 'answered' && outcome.isStream;
    onRunStarted?.(tenant, isStream ? clock.now() : sentAt);
  }
}
