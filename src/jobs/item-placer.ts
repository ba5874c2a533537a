/** Chooses the worker for the next run of an item, or records why there is none. */
import type { Milliseconds } from '../core/units.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import type { DistanceCost } from '../placement/distance-costs.js';
import type { SendingOptions } from '../serving/sending-options.js';
import type { ServiceName } from '../serving/traffic-configuration.js';
import type { KnownWorker } from '../serving/worker-registry.js';
import { type ItemNeeds, mayRun, needsOf } from './item-placement.js';
import type { OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';
import { PlacementRound } from './placement-round.js';

/**
 * Time for which an item waits for weights of the version of its events before it starts anew, on a
 * route whose results must have a single version.
 */
const BOUND_VERSION_PATIENCE: Milliseconds = 1_000;

export interface ItemPlacerOptions extends Pick<SendingOptions, 'registry' | 'log'> {
  /** Distance cost of sending to a worker in a zone. @default no zone has a cost */
  readonly distanceCost?: DistanceCost | undefined;
}

export class ItemPlacer {
  /** Worker incarnation that last read the shared prompt of a group, by job and group. */
  private readonly promptWorkers = new Map<string, KnownWorker>();
  private readonly rounds = new Map<ServiceName, PlacementRound>();
  private now: Milliseconds = 0;

  constructor(private readonly options: ItemPlacerOptions) {}

  /** Begins a pass over all waiting items; within a pass, workers only become fuller. */
  beginPass(now: Milliseconds): void {
    this.now = now;
    this.rounds.clear();
  }

  /** Forgets a job that runs no more items. */
  forget({ spec }: OwnedJob): void {
    for (const key of this.promptWorkers.keys()) {
      if (key.startsWith(`${spec.id}/`)) this.promptWorkers.delete(key);
    }
  }

  /** The worker of a service for an item; `undefined` if none can run it in this pass. */
  place(
    job: OwnedJob,
    entry: OwnedItem,
    service: ServiceName,
    allowed: AllowedRegions,
  ): KnownWorker | undefined {
    const { now } = this;
    const round = this.roundOf(service);
    const groupKey = `${job.spec.id}/${entry.item.group}`;
    const needs = needsOf(job, entry, allowed);
    const worker = this.choose(round, entry, needs, this.promptWorkerOf(groupKey));
    if (worker !== undefined) this.promptWorkers.set(groupKey, worker);
    else if (entry.wait.isNoteDue(now)) entry.wait.note(now, round.obstacleTo(needs));
    return worker;
  }

  /**
   * An item that has waited for long for a worker with the weights of its events is placed as if it had
   * none, unless such a worker is known to answer.
   */
  private choose(
    round: PlacementRound,
    entry: OwnedItem,
    needs: ItemNeeds,
    sharedPromptWorker: string | undefined,
  ): KnownWorker | undefined {
    const worker = round.place(needs, sharedPromptWorker);
    const isBound = needs.boundVersion !== undefined;
    const isOverdue = isBound && entry.wait.idleTime(this.now) >= BOUND_VERSION_PATIENCE;
    if (!isOverdue || worker?.isResponsive === true) return worker;
    return this.chooseAnyWeights(round, entry, needs, sharedPromptWorker) ?? worker;
  }

  /** Chooses among workers of any weights; the item's events are discarded if these differ. */
  private chooseAnyWeights(
    round: PlacementRound,
    entry: OwnedItem,
    needs: ItemNeeds,
    sharedPromptWorker: string | undefined,
  ): KnownWorker | undefined {
    const worker = round.place({ ...needs, boundVersion: undefined }, sharedPromptWorker);
    if (worker === undefined || mayRun(worker, needs, this.now)) return worker;
    this.options.log.decision('item-events-discarded', {
      item: entry.item.id,
      events: entry.progress.eventCount,
      boundVersion: needs.boundVersion ?? 0,
      workerVersion: worker.versionOf(needs.model),
      idleMs: Math.round(entry.wait.idleTime(this.now)),
    });
    entry.progress.reset();
    return worker;
  }

  private roundOf(service: ServiceName): PlacementRound {
    const known = this.rounds.get(service);
    if (known !== undefined) return known;
    const { registry, distanceCost } = this.options;
    const workers = registry.available(service);
    const round = new PlacementRound(workers, this.now, distanceCost, registry.rules);
    this.rounds.set(service, round);
    return round;
  }

  /** The worker that cached a group's prompt; `undefined` if that worker has restarted since. */
  private promptWorkerOf(groupKey: string): string | undefined {
    const worker = this.promptWorkers.get(groupKey);
    if (worker === undefined) return undefined;
    const { id } = worker.record;
    return this.options.registry.get(id) === worker ? id : undefined;
  }
}
