/** A small zone for the tests of the controller. */
import { SECOND } from '../../src/core/units.js';
import { KeyValueCore } from '../emulator/key-value-core.js';
import { EventQueue } from '../simulation/event-queue.js';
import { WeightsZone, type WeightsZoneOptions } from './weights-zone.js';

/** Key of the controller's record in the scenario's zone. */
export const RECORD_KEY = '/wardwing/controllers/hall/writer';

/** A zone `hall` with 4 nodes and 6 workers of the model `writer`, started on version 1. */
export function createScenario(overrides: Partial<WeightsZoneOptions> = {}) {
  const queue = new EventQueue();
  const keyValue = new KeyValueCore();
  const worker = {
    loadTime: { shortest: 1 * SECOND, longest: 2 * SECOND },
    activateTime: 100,
    failureRate: 0,
    duplicateRate: 0.3,
    reportLag: SECOND,
  };
  const base = { zone: 'hall', nodeCount: 4, models: ['writer'], workersPerModel: 6, seed: 7 };
  const zone = new WeightsZone({ ...base, worker, ...overrides }, queue, keyValue);
  return { queue, keyValue, zone, worker };
}
