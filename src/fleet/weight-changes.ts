/**
 * What the nodes that run jobs are told of changes of weights: a worker that loads a version refuses
 * what it has not begun for most of a second, and looks empty meanwhile.
 */
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import { type WorkerIncarnation, workerIncarnationOf } from '../serving/worker-incarnation.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';

/**
 * Time for which a worker counts as loading where its end is not told: a load takes 0.9 s, and half
 * as long again while many load.
 */
const LOAD_TIME: Milliseconds = 1_400;

/** A worker that changes the weights of a model, or has. */
export interface WeightChange {
  readonly worker: string;
  readonly life: WorkerIncarnation;
  readonly model: ModelName;
  readonly version: WeightVersion;
  readonly state: 'loading' | 'loaded';
}

/** Takes in what the coordinator told. */
export function noteWeightChange(
  registry: WorkerRegistry,
  change: WeightChange,
  now: Milliseconds,
): void {
  const worker = registry.get(change.worker);
  if (worker === undefined || workerIncarnationOf(worker.record) !== change.life) return;
  if (change.state === 'loaded') worker.noteVersion(change.model, change.version);
  else worker.noteLoading(change.model, now + LOAD_TIME);
}
