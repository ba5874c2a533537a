/**
 * Applies weight changes that the coordinator reports to the nodes that run jobs: a worker that
 * loads a version rejects new requests meanwhile, although it looks idle.
 */
import type { ModelName } from '../core/identity.js';
import type { Milliseconds, WeightVersion } from '../core/units.js';
import { type WorkerIncarnation, workerIncarnationOf } from '../serving/worker-incarnation.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';

/**
 * Time for which a worker counts as loading unless the end of the load is reported; a load
 * takes 0.9 s, and half as long again while many workers load.
 */
const ASSUMED_LOAD_TIME: Milliseconds = 1_400;

/** A change of a model's weights at a worker. */
export interface WeightChange {
  readonly worker: string;
  /** The worker's incarnation; the key is part of the message format. */
  readonly life: WorkerIncarnation;
  readonly model: ModelName;
  readonly version: WeightVersion;
  readonly state: 'loading' | 'loaded';
}

/** Applies a change, unless it concerns another incarnation of the worker. */
export function applyWeightChange(
  registry: WorkerRegistry,
  change: WeightChange,
  now: Milliseconds,
): void {
  const worker = registry.get(change.worker);
  if (worker === undefined || workerIncarnationOf(worker.record) !== change.life) return;
  if (change.state === 'loaded') worker.noteVersion(change.model, change.version);
  else worker.noteLoading(change.model, now + ASSUMED_LOAD_TIME);
}
