/**
 * How fast new weights reach all workers, in simulated time on the controllers' own code: hollow
 * workers in 8 zones with 19 models, from 100 to 10,000 workers.
 */
import { createRandomSource } from '../../src/core/random.js';
import { MINUTE, SECOND } from '../../src/core/units.js';
import { numberFlag } from '../common/flags.js';
import { round } from '../common/statistics.js';
import { KeyValueCore } from '../emulator/key-value-core.js';
import { WeightsZone } from '../experiments/weights-zone.js';
import type { CommandFlags } from '../main.js';
import { EventQueue } from '../simulation/event-queue.js';

const ZONE_COUNT = 8;
const MODEL_COUNT = 19;
const NODES_PER_ZONE = 40;
const WORKER_COUNTS = [100, 1_000, 10_000] as const;
const NEW_VERSION = 2;
const TARGET_SECONDS = 10;
/** Time for controllers to take their epochs and hear from all workers. */
const WARM_UP = 5 * SECOND;
const RUN_LIMIT = 5 * MINUTE;

/** What one fleet size took. */
interface ActivationFigures {
  readonly workers: number;
  readonly all_active: boolean;
  /** From the first activation order of each model and zone to its last worker. */
  readonly activation_p100_seconds: number;
  /** From publication, loads included. */
  readonly publication_p100_seconds: number;
  readonly orders_per_second: number;
  readonly polls_per_second: number;
  readonly loads_at_once_per_zone_max: number;
  readonly wall_seconds: number;
}

function createZones(workers: number, seed: number, queue: EventQueue): WeightsZone[] {
  const keyValue = new KeyValueCore();
  const random = createRandomSource(seed);
  const models = Array.from({ length: MODEL_COUNT }, (_, index) => `model-${index}`);
  const perZone = Math.ceil(workers / ZONE_COUNT);
  // Small fleets hold fewer models than there are.
  const modelsInUse = models.slice(0, Math.min(MODEL_COUNT, perZone));
  const workersPerModel = Math.ceil(perZone / modelsInUse.length);
  return Array.from({ length: ZONE_COUNT }, (_, index) => {
    const options = {
      zone: `zone-${index}`,
      nodeCount: NODES_PER_ZONE,
      models: modelsInUse,
      workersPerModel,
      seed: random.integer(0x7fffffff),
      worker: {
        loadTime: { shortest: 1_500, longest: 2_500 },
        activateTime: 200,
        failureRate: 0.01,
        duplicateRate: 0.01,
        reportLag: SECOND,
      },
    };
    return new WeightsZone(options, queue, keyValue);
  });
}

function longestActivation(zone: WeightsZone): number {
  const started = new Map<string, number>();
  for (const { at, worker, order } of zone.orders) {
    const model = zone.workers.get(worker)?.record.model ?? '';
    if (order.action.kind === 'activate' && !started.has(model)) started.set(model, at);
  }
  const spans = [...zone.workers.values()].map(
    (worker) => worker.activatedAt - (started.get(worker.record.model) ?? 0),
  );
  return Math.max(...spans);
}

function measure(requestedWorkers: number, seed: number): ActivationFigures {
  const wallStart = performance.now();
  const queue = new EventQueue();
  const zones = createZones(requestedWorkers, seed, queue);
  for (const zone of zones) zone.publish(1);
  queue.runUntil(WARM_UP);
  for (const zone of zones) zone.orders.length = 0;
  for (const zone of zones) zone.publish(NEW_VERSION);
  const isDone = (): boolean => zones.every((zone) => zone.allActive(NEW_VERSION));
  while (!isDone() && queue.now < RUN_LIMIT) queue.runUntil(queue.now + 100);
  const workers = zones.flatMap((zone) => [...zone.workers.values()]);
  const lastActive = Math.max(...workers.map((worker) => worker.activatedAt));
  const elapsed = (queue.now - WARM_UP) / SECOND;
  const orders = zones.reduce((sum, zone) => sum + zone.orders.length, 0);
  const polls = zones.reduce((sum, zone) => sum + zone.polls, 0);
  return {
    workers: workers.length,
    all_active: isDone(),
    activation_p100_seconds: round(Math.max(...zones.map(longestActivation)) / SECOND, 2),
    publication_p100_seconds: round((lastActive - WARM_UP) / SECOND, 2),
    orders_per_second: round(orders / elapsed, 2),
    polls_per_second: round(polls / (queue.now / SECOND), 2),
    loads_at_once_per_zone_max: Math.max(...zones.map((zone) => zone.mostLoadsAtOnce)),
    wall_seconds: round((performance.now() - wallStart) / SECOND, 2),
  };
}

/** Runs the bench; exit code 0 when every fleet size is within the target. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seed = numberFlag(flags, 'seed', 1);
  const sizes = WORKER_COUNTS.map((workers) => measure(workers, seed));
  for (const figures of sizes) console.log(JSON.stringify(figures));
  const holds = sizes.every(
    (figures) => figures.all_active && figures.activation_p100_seconds <= TARGET_SECONDS,
  );
  const summary = { bench: 'weights-activation', seed, target_seconds: TARGET_SECONDS, sizes };
  console.log(JSON.stringify({ ...summary, holds }));
  return holds ? 0 : 1;
}
