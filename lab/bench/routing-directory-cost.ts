/** Measures messages and bytes a node sends to keep its view of the workers, by fleet size. */
import { stringify } from 'devalue';
import { createRandomSource } from '../../src/core/random.js';
import type { WorkerLoadMessage } from '../../src/routing/messages.js';
import { makeFleetRecords } from './routing-decisions.js';
import { Fleet } from './routing-fixtures.js';

/** What was measured at one size. */
export interface DirectoryFigure {
  readonly workers: number;
  readonly nodes: number;
  readonly followedWorkersPerNode: number;
  readonly messagesPerNodeSecond: number;
  readonly bytesPerNodeSecond: number;
  readonly realSecondsPerSimulatedSecond: number;
}

const STEP = 200;
const STEPS = 10;

/** One message in so many is encoded to learn the size of all. */
const SIZE_SAMPLE = 101;

/** Runs a fleet whose workers' loads wander by up to two of 16 slots each 200 ms. */
export function measureDirectory(workerCount: number, subsetSize: number): DirectoryFigure {
  const { nodes, workers } = makeFleetRecords(workerCount);
  const fleet = new Fleet(nodes, workers, subsetSize);
  const random = createRandomSource(workerCount);
  const loads = new Map(workers.map((record) => [record.worker, 8]));
  let messages = 0;
  let sampled = 0;
  let sampledBytes = 0;
  fleet.onSend = (_, message: WorkerLoadMessage) => {
    messages += 1;
    if (messages % SIZE_SAMPLE !== 0) return;
    sampled += 1;
    sampledBytes += Buffer.byteLength(stringify({ module: 'routing', body: message }));
  };
  const startedAt = process.hrtime.bigint();
  for (let step = 0; step < STEPS; step += 1) {
    for (const node of nodes) {
      const directory = fleet.directory(node.node);
      for (const { worker } of directory.workersAtHome()) {
        const before = loads.get(worker) ?? 0;
        const outstanding = Math.min(16, Math.max(0, before + random.integer(5) - 2));
        loads.set(worker, outstanding);
        const counts = { outstanding, interactiveOutstanding: 0, queueFree: 20 - outstanding };
        directory.setOutstanding(worker, counts, fleet.now);
      }
    }
    fleet.run(STEP);
  }
  const simulatedSeconds = (STEP * STEPS) / 1_000;
  const realSeconds = Number(process.hrtime.bigint() - startedAt) / 1e9;
  const rate = messages / nodes.length / simulatedSeconds;
  const first = nodes[0]?.node ?? '';
  return {
    workers: workerCount,
    nodes: nodes.length,
    followedWorkersPerNode: fleet.candidateNames(first).size,
    messagesPerNodeSecond: Math.round(rate),
    bytesPerNodeSecond: Math.round((rate * sampledBytes) / Math.max(1, sampled)),
    realSecondsPerSimulatedSecond: Number((realSeconds / simulatedSeconds).toFixed(2)),
  };
}
