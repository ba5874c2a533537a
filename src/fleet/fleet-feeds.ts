/**
 * What the operator, the trainers and the workers write into the shared store, followed and handed
 * on as events. A translation knows the spelling of keys and records.
 */
import { Subject } from 'rxjs';
import type { ModelName, NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { TrafficConfiguration, WorkerRecord } from '../serving/traffic-configuration.js';
import { PrefixWatcher } from '../shared-store/prefix-watcher.js';
import type { SharedStore, StoreChange } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

/** Changes of workers that come this close together cost one call; the bound to act on is 2 s. */
const WORKER_COALESCE: Milliseconds = 400;

/** One thing that changed outside the fleet. */
export type FleetEvent =
  | { readonly kind: 'configuration'; readonly configuration: TrafficConfiguration }
  | { readonly kind: 'worker'; readonly record: WorkerRecord }
  | { readonly kind: 'worker-gone'; readonly worker: string }
  /** A worker's entry that cannot be read, as another writer's; it names no worker to use. */
  | { readonly kind: 'worker-unreadable'; readonly worker: string }
  /** The list of workers was read whole. */
  | { readonly kind: 'workers-listed' }
  | {
      readonly kind: 'version-named';
      readonly model: ModelName;
      readonly version: WeightVersion;
    }
  | { readonly kind: 'storage-drain'; readonly node: NodeId }
  /** The operator wants the workers of a zone to be sent nothing, or takes that back. */
  | { readonly kind: 'zone-evacuated'; readonly zone: ZoneName }
  | { readonly kind: 'zone-returned'; readonly zone: ZoneName }
  /** A record that cannot be read; what was in force before stays. */
  | { readonly kind: 'unreadable'; readonly key: string };

/** The spelling of keys and records. */
export interface FeedTranslation {
  /** Where the operator and the trainers write. */
  readonly operatorPrefix: string;
  /** Where workers register themselves. */
  readonly workerPrefix: string;
  /** What a change under either prefix means; `undefined` where it means nothing to us. */
  translate(change: StoreChange): FleetEvent | undefined;
}

/** Options of {@link FleetFeeds}. */
export interface FleetFeedsOptions {
  readonly store: SharedStore;
  readonly translation: FeedTranslation;
  readonly log: DecisionLog;
}

/** Follows both prefixes until stopped. */
export class FleetFeeds {
  readonly events = new Subject<FleetEvent>();
  private readonly operator: PrefixWatcher;
  private readonly workers: PrefixWatcher;

  constructor(private readonly options: FleetFeedsOptions) {
    const { store, translation } = options;
    this.operator = this.watch(new PrefixWatcher({ store, prefix: translation.operatorPrefix }));
    this.workers = this.watch(
      new PrefixWatcher({ store, prefix: translation.workerPrefix, coalesce: WORKER_COALESCE }),
    );
    this.workers.updates.subscribe(({ listed }) => {
      if (listed) this.events.next({ kind: 'workers-listed' });
    });
  }

  /** Begins to follow. */
  start(): void {
    void this.operator.run();
    void this.workers.run();
  }

  /** Follows no more. */
  stop(): void {
    this.operator.stop();
    this.workers.stop();
  }

  /** Asks anew after the store was silent. */
  restart(): void {
    this.operator.restart();
    this.workers.restart();
  }

  private watch(watcher: PrefixWatcher): PrefixWatcher {
    const { translation, log } = this.options;
    watcher.updates.subscribe(({ changes }) => {
      for (const change of changes) {
        const event = translation.translate(change);
        if (event !== undefined) this.events.next(event);
      }
    });
    watcher.health.subscribe((health) => {
      log.state('store-watch', { prefix: watcher.prefix, health });
    });
    return watcher;
  }
}
