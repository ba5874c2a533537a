/**
 * Requests scores for items whose texts are complete. A score request is routed by its own host and
 * path and is idempotent: it is retried on another worker after a failure and hedged on a second
 * worker when it exceeds the service's latency estimate. Part of each worker's slots is reserved
 * for interactive requests.
 */
import type { Milliseconds } from '../core/units.js';
import { type AllowedRegions, allowedByBoth } from '../placement/allowed-regions.js';
import type { EngineOutcome } from '../serving/engine-port.js';
import { LatencyEstimate } from '../serving/latency-estimate.js';
import type { RouteMatcher } from '../serving/route-matcher.js';
import type { Route, ServiceName } from '../serving/traffic-configuration.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import { crashDelay } from './crash-backoff.js';
import type { ItemDispatcherOptions } from './item-dispatcher.js';
import { ItemScoring } from './item-scoring.js';
import { ageOf, type ScoreRequest } from './job-records.js';
import type { OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';
import { readOutcome, type ScoreOutcome, wasAnswered } from './score-outcome.js';
import type { Obstacle } from './work-wait.js';

export interface ItemScorerOptions extends ItemDispatcherOptions {
  /** Called after a score call ends. */
  readonly onCallEnded: () => void;
}

/** Share of a worker's slots that score requests may fill. */
const MAX_SLOT_SHARE = 0.75;

/** Concurrent calls for one item. */
const MAX_CONCURRENT_CALLS = 2;

const REJECTION_RETRY_DELAY: Milliseconds = 60;
const FAILURE_RETRY_DELAY: Milliseconds = 30;

/** Minimum time budget that a score request gives its worker. */
const MIN_TIME_BUDGET: Milliseconds = 1_000;

/** An item that awaits its score. */
interface UnscoredItem {
  readonly job: OwnedJob;
  readonly entry: OwnedItem;
  readonly request: ScoreRequest;
}

/** Sends score requests for the jobs that this node owns. */
export class ItemScorer {
  /** Latency estimates by route name. */
  private readonly estimates = new Map<string, LatencyEstimate>();

  constructor(private readonly options: ItemScorerOptions) {}

  /**
   * Sends due score requests of jobs whose requests may be sent, starting with the groups that lack
   * the fewest results.
   */
  dispatch(jobs: readonly OwnedJob[], routes: RouteMatcher): void {
    const due = jobs.flatMap(unscoredItems);
    for (const item of due) this.send(item, routes);
  }

  private send(item: UnscoredItem, routes: RouteMatcher): void {
    const { entry, request } = item;
    const now = this.options.clock.now();
    entry.scoring ??= new ItemScoring(request);
    const { scoring } = entry;
    const route = routes.match(request.host, request.path);
    if (route === undefined) {
      entry.wait.note(now, { reason: 'no-route', inputs: {} });
      return;
    }
    scoring.cancelOlderThan(now - route.timeout);
    if (scoring.notBefore > now || scoring.callCount >= MAX_CONCURRENT_CALLS) return;
    const isLate = now - scoring.lastSentAt > this.estimateFor(route).limit(route.timeout);
    if (scoring.callCount > 0 && !isLate) return;
    if (!this.mayCall(entry, scoring, now)) return;
    const service = routes.nextService(route);
    const allowed = allowedRegionsOf(item, route, routes);
    const worker =
      service === undefined ? undefined : this.selectWorker(service, scoring, now, allowed);
    if (worker !== undefined) void this.startCall(item, scoring, route, worker, allowed);
    else entry.wait.note(now, this.obstacleAt(service, allowed));
  }

  /**
   * Whether the workers that crashed under earlier calls allow one more. The first call is only
   * delayed, as the score is owed; a concurrent one is not made where it may crash a further worker.
   */
  private mayCall(entry: OwnedItem, scoring: ItemScoring, now: Milliseconds): boolean {
    const { quarantine } = this.options;
    if (scoring.callCount > 0) return quarantine.admits(scoring.fingerprinted, scoring.callCount);
    const crashes = quarantine.crashesUnder(scoring.fingerprinted);
    if (crashDelay(crashes, now) === 0) return true;
    entry.wait.note(now, { reason: 'crash-delay', inputs: { crashes: crashes.length } });
    return false;
  }

  /** Why no worker can be called for a score. */
  private obstacleAt(service: ServiceName | undefined, allowed: AllowedRegions): Obstacle {
    if (service === undefined) return { reason: 'no-route', inputs: {} };
    const { registry } = this.options;
    const [first, ...others] = registry.available(service);
    const inputs = { workers: first === undefined ? 0 : 1 + others.length };
    if (first === undefined) return { reason: 'no-worker', inputs };
    const isAnyEligible = registry.eligible(service, allowed).length > 0;
    const rejection = registry.rules.rejectionOf(first.record, allowed);
    return { reason: (isAnyEligible ? undefined : rejection) ?? 'workers-full', inputs };
  }

  /** Selects a worker below the slot share for scores, preferring one not tried before. */
  private selectWorker(
    service: ServiceName,
    scoring: ItemScoring,
    now: Milliseconds,
    allowed: AllowedRegions,
  ): KnownWorker | undefined {
    const { registry, zone } = this.options;
    const hasFreeSlot = (worker: KnownWorker): boolean =>
      worker.occupancy(now) < Math.max(1, MAX_SLOT_SHARE * worker.record.slots);
    const pickWithFreeSlot = (tried: ReadonlySet<string>): KnownWorker | undefined => {
      const worker = registry.pick(service, tried, zone, now, allowed);
      if (worker === undefined || hasFreeSlot(worker)) return worker;
      const remote = registry.pickInOtherRegion(service, tried, zone, now, allowed);
      return remote !== undefined && hasFreeSlot(remote) ? remote : undefined;
    };
    const untried = pickWithFreeSlot(scoring.tried);
    return untried ?? (scoring.callCount === 0 ? pickWithFreeSlot(new Set()) : undefined);
  }

  private async startCall(
    item: UnscoredItem,
    scoring: ItemScoring,
    route: Route,
    worker: KnownWorker,
    allowed: AllowedRegions,
  ): Promise<void> {
    const { clock, metrics, quarantine } = this.options;
    const sentAt = clock.now();
    const call = scoring.begin(worker.record.id, sentAt);
    worker.inFlight += 1;
    const outcome = await this.sendRequest(item, route, worker, allowed, call.signal).catch(
      (error: unknown): ScoreOutcome => {
        this.options.log.fault('score-call-failed', error);
        worker.noteOutcome('failure', clock.now());
        return { kind: 'failed' };
      },
    );
    worker.inFlight -= 1;
    scoring.end(call);
    const obstacle: Obstacle = { reason: 'retry-delay', inputs: { end: outcome.kind } };
    if (wasAnswered(outcome)) item.entry.wait.restart(clock.now(), obstacle);
    else item.entry.wait.resume(clock.now(), obstacle);
    metrics.count('score_calls', { outcome: outcome.kind });
    if (outcome.kind === 'broken')
      void quarantine.noteBroken(worker.record, scoring.fingerprinted, 'this-node');
    if (outcome.kind === 'scored') quarantine.noteAnswered(scoring.fingerprinted);
    if (outcome.kind === 'scored') this.estimateFor(route).note(clock.now() - sentAt);
    if (item.entry.scoring === scoring) this.handleOutcome(item, scoring, route, outcome);
    this.options.onCallEnded();
  }

  private async sendRequest(
    { job, request }: UnscoredItem,
    route: Route,
    worker: KnownWorker,
    allowedRegions: AllowedRegions,
    signal: AbortSignal,
  ): Promise<ScoreOutcome> {
    const { engine, clock } = this.options;
    const outcome = await engine.send(
      {
        worker: worker.record,
        requestId: request.id,
        method: 'POST',
        path: request.path,
        host: request.host,
        headers: [],
        body: Buffer.from(request.body, 'base64'),
        remaining: this.timeLeft(job),
        priority: route.priority,
        allowedRegions,
      },
      signal,
    );
    if (signal.aborted) {
      if (outcome.kind === 'answered') outcome.discard();
      return { kind: 'cancelled' };
    }
    const read = await readOutcome(outcome);
    if (signal.aborted && read.kind !== 'scored') return { kind: 'cancelled' };
    this.recordOutcome(worker, outcome, read, clock.now());
    return read;
  }

  /** Time until the items of the job expire; all score calls of the job share this deadline. */
  private timeLeft(job: OwnedJob): Milliseconds {
    const { spec } = job;
    const maxQueue = this.options.routes()?.match(spec.host, spec.path)?.maxQueue ?? 0;
    return Math.max(MIN_TIME_BUDGET, maxQueue - ageOf(spec, this.options.clock.wallTime()));
  }

  private recordOutcome(
    worker: KnownWorker,
    outcome: EngineOutcome,
    read: ScoreOutcome,
    now: Milliseconds,
  ): void {
    if (outcome.kind !== 'failed') worker.noteLoad(outcome.load, now);
    if (read.kind === 'scored') worker.noteOutcome('success', now);
    else if (read.kind === 'refused') worker.noteOutcome('full', now);
    else if (read.kind === 'failed' || read.kind === 'broken') worker.noteOutcome('failure', now);
  }

  private handleOutcome(
    { job, entry, request }: UnscoredItem,
    scoring: ItemScoring,
    route: Route,
    outcome: ScoreOutcome,
  ): void {
    const { text, item } = entry;
    if (text === undefined || !job.isOpen) return;
    const details = { item: item.id, job: job.spec.id, request: request.id };
    if (outcome.kind === 'scored') {
      scoring.cancel();
      job.finish(entry, { ...text, score: outcome.score });
      this.options.log.decision('item-scored', details);
      job.listOrVerify();
      return;
    }
    const now = this.options.clock.now();
    scoring.notBefore =
      now + (outcome.kind === 'refused' ? REJECTION_RETRY_DELAY : FAILURE_RETRY_DELAY);
    if (outcome.kind !== 'attempt-failed') return;
    scoring.failedAttempts += 1;
    this.options.log.decision('score-attempt-failed', {
      ...details,
      attempts: scoring.failedAttempts,
    });
    // The configuration may have changed since the call began.
    const { maxAttempts } = this.options.routes()?.match(request.host, request.path) ?? route;
    if (scoring.failedAttempts < maxAttempts) return;
    scoring.cancel();
    job.finish(entry, entry.progress.toTerminated(item.id));
    job.listOrVerify();
  }

  private estimateFor(route: Route): LatencyEstimate {
    const known = this.estimates.get(route.name);
    if (known !== undefined) return known;
    const estimate = new LatencyEstimate(route.targetLatency);
    this.estimates.set(route.name, estimate);
    return estimate;
  }
}

/** A score request carries the item's text, so both routes' region restrictions apply. */
function allowedRegionsOf(
  { job, entry }: UnscoredItem,
  route: Route,
  routes: RouteMatcher,
): AllowedRegions {
  const { host, tenant } = job.spec;
  const itemRoute = routes.match(host, entry.item.path);
  const allowed = routes.allowedRegions(route, tenant);
  return allowedByBoth(allowed, itemRoute?.allowedRegions);
}

/** A job's unscored items, ordered by how few results their groups lack. */
function unscoredItems(job: OwnedJob): UnscoredItem[] {
  const unscored = job.unscored();
  if (unscored.length === 0) return [];
  const openByGroup = new Map<string, number>();
  for (const { item, state } of job.items.values()) {
    if (state !== 'done') openByGroup.set(item.group, (openByGroup.get(item.group) ?? 0) + 1);
  }
  const openInGroup = ({ item }: OwnedItem): number => openByGroup.get(item.group) ?? 0;
  unscored.sort((left, right) => openInGroup(left) - openInGroup(right));
  return unscored.flatMap((entry) => {
    const { scoreRequest: request } = entry.item;
    return request === undefined ? [] : [{ job, entry, request }];
  });
}
