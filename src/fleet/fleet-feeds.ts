/**
 * Watches the records that the operator, trainers and workers write to the shared store, and emits
 * them as events. A {@link FeedTranslation} defines their keys and formats.
 */
import { Subject } from 'rxjs';
import type { ModelName, NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import type { TrafficConfiguration, WorkerRecord } from '../serving/traffic-configuration.js';
import { PrefixWatcher } from '../shared-store/prefix-watcher.js';
import type { SharedStore, StoreChange } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

/**
 * Worker changes within this time are read with one call; they have to be acted on within 2 s.
 */
const WORKER_COALESCE_TIME: Milliseconds = 400;

/** A change made outside the fleet. */
export type FleetEvent =
  | { readonly kind: 'configuration'; readonly configuration: TrafficConfiguration }
  | { readonly kind: 'worker'; readonly record: WorkerRecord }
  | { readonly kind: 'worker-gone'; readonly worker: string }
  /** A worker's record that cannot be parsed; the worker must not be used. */
  | { readonly kind: 'worker-unreadable'; readonly worker: string }
  /** The list of workers was read completely. */
  | { readonly kind: 'workers-listed' }
  | {
      readonly kind: 'version-named';
      readonly model: ModelName;
      readonly version: WeightVersion;
    }
  | { readonly kind: 'storage-drain'; readonly node: NodeId }
  /**
   * The operator evacuates a zone, so that its workers receive no requests, or ends the evacuation.
   */
  | { readonly kind: 'zone-evacuated'; readonly zone: ZoneName }
  | { readonly kind: 'zone-returned'; readonly zone: ZoneName }
  /** A record that cannot be parsed; the previous record remains in use. */
  | { readonly kind: 'unreadable'; readonly key: string };

/** Keys and formats of the records. */
export interface FeedTranslation {
  /** Prefix of the records of the operator and the trainers. */
  readonly operatorPrefix: string;
  /** Key of the configuration; under {@link operatorPrefix}. */
  readonly configurationKey: string;
  /** Prefix of the records of workers. */
  readonly workerPrefix: string;
  /** Translates a change under either prefix; `undefined` for a record that is not used. */
  translate(change: StoreChange): FleetEvent | undefined;
}

export interface FleetFeedsOptions {
  readonly store: SharedStore;
  readonly translation: FeedTranslation;
  readonly log: DecisionLog;
}

/** Watches both prefixes until stopped. */
export class FleetFeeds {
  readonly events = new Subject<FleetEvent>();
  private readonly operator: PrefixWatcher;
  private readonly workers: PrefixWatcher;

  constructor(private readonly options: FleetFeedsOptions) {
    const { store, translation } = options;
    this.operator = this.watch(new PrefixWatcher({ store, prefix: translation.operatorPrefix }));
    this.workers = this.watch(
      new PrefixWatcher({
        store,
        prefix: translation.workerPrefix,
        coalesce: WORKER_COALESCE_TIME,
      }),
    );
    this.workers.updates.subscribe(({ listed }) => {
      if (listed) this.events.next({ kind: 'workers-listed' });
    });
  }

  start(): void {
    void this.operator.run();
    void this.workers.run();
  }

  stop(): void {
    this.operator.stop();
    this.workers.stop();
  }

  /** Restarts both watches after the store was unreachable. */
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
