/**
 * The proof `durable-jobs`: fast-check generates runs of submissions, work, takeovers and faults over
 * the product's own job modules, and an oracle judges what readers see.
 */
import fc from 'fast-check';
import { JobWorld, NODES } from './job-world.js';
import type { JobMechanism } from './mechanisms.js';
import { ITEMS, JOBS } from './world-jobs.js';

/** One generated operation or fault. */
interface JobStep {
  readonly isFault: boolean;
  readonly name: string;
  carryOut(world: JobWorld): void | Promise<void>;
}

/** What the proof found. */
export interface DurableJobsOutcome {
  readonly steps: number;
  readonly faults: number;
  readonly checked: number;
  readonly violations: number;
  readonly holds: boolean;
  /** The first objections, and the steps that led to them. */
  readonly details: readonly string[];
}

/** Steps of one generated run. */
const STEPS_PER_RUN = 120;

/** Steps of a failing run that are told. */
const TOLD_STEPS = 30;

const node = fc.nat({ max: NODES - 1 });
const job = fc.nat({ max: JOBS - 1 });
const item = fc.nat({ max: ITEMS - 1 });
const position = fc.nat({ max: ITEMS });

function operation(name: string, carryOut: JobStep['carryOut'], isFault = false): JobStep {
  return { name, carryOut, isFault };
}

/** All steps with their weights. */
const STEP = fc.oneof(
  {
    weight: 18,
    arbitrary: fc
      .tuple(node, job)
      .map(([n, j]) => operation(`submit ${j} at ${n}`, (world) => world.submit(n, j))),
  },
  {
    weight: 60,
    arbitrary: fc
      .tuple(node, job, item)
      .map(([n, j, i]) => operation(`finish ${j}/${i} at ${n}`, (w) => w.finish(n, j, i))),
  },
  {
    weight: 36,
    arbitrary: node.map((n) => operation(`work at ${n}`, (world) => world.work(n))),
  },
  {
    weight: 48,
    arbitrary: fc
      .tuple(node, job, position)
      .map(([n, j, p]) => operation(`read ${j} from ${p} at ${n}`, (w) => w.read(n, j, p))),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(node, job)
      .map(([n, j]) => operation(`end ${j} at ${n}`, (world) => world.end(n, j))),
  },
  {
    weight: 18,
    arbitrary: fc
      .tuple(node, job)
      .map(([n, j]) => operation(`take over ${j} at ${n}`, (world) => world.adopt(n, j), true)),
  },
  {
    weight: 12,
    arbitrary: node.map((n) => operation(`freeze ${n}`, (world) => world.freeze(n), true)),
  },
  {
    weight: 18,
    arbitrary: node.map((n) => operation(`wake ${n}`, (world) => world.wake(n), true)),
  },
  {
    weight: 9,
    arbitrary: fc
      .tuple(node, job, item)
      .map(([n, j, i]) => operation(`overtake ${j} of ${n}`, (w) => w.overtake(n, j, i), true)),
  },
  {
    weight: 9,
    arbitrary: node.map((n) => operation(`restart ${n}`, (world) => world.restart(n), true)),
  },
  {
    weight: 15,
    arbitrary: fc
      .constantFrom('applied' as const, 'applied-late' as const)
      .map((kind) => operation(`lose answer, ${kind}`, (world) => world.loseAnswer(kind), true)),
  },
  {
    weight: 15,
    arbitrary: fc
      .constantFrom(
        'attempt-failed' as const,
        'refused' as const,
        'broken' as const,
        'surplus' as const,
      )
      .map((kind) => operation(`score ${kind}`, (world) => world.troubleScore(kind), true)),
  },
  {
    weight: 12,
    arbitrary: fc.constant(operation('apply late', (world) => world.applyLate(), true)),
  },
  {
    weight: 9,
    arbitrary: fc
      .boolean()
      .map((up) => operation(`store ${up ? 'up' : 'away'}`, (world) => world.setStore(up), true)),
  },
);

/** Tries to break the promise until enough steps were taken. */
export async function proveDurableJobs(
  seed: number,
  steps: number,
  without: readonly JobMechanism[],
): Promise<DurableJobsOutcome> {
  const off = new Set(without);
  const total = { steps: 0, faults: 0, checked: 0 };
  for (let round = 0; total.steps < steps; round += 1) {
    const runSeed = (Math.imul(seed, 0x9e3779b1) ^ round) | 0;
    const [run = []] = fc.sample(fc.array(STEP, { minLength: STEPS_PER_RUN }), {
      seed: runSeed,
      numRuns: 1,
    });
    const world = new JobWorld(off);
    const taken = await carryOut(world, run);
    total.steps += taken.length;
    total.faults += taken.filter((step) => step.isFault).length;
    total.checked += world.oracle.checked;
    const { violations } = world.oracle;
    if (violations.length > 0) {
      const told = taken.slice(-TOLD_STEPS).map((step) => step.name);
      const details = [...violations.slice(0, 3), ...told];
      return { ...total, violations: violations.length, holds: false, details };
    }
  }
  return { ...total, violations: 0, holds: total.checked > 0, details: [] };
}

/** Takes the steps of one run until the oracle objects; gives those that were taken. */
async function carryOut(world: JobWorld, run: readonly JobStep[]): Promise<JobStep[]> {
  const taken: JobStep[] = [];
  for (const step of run) {
    await step.carryOut(world);
    await world.settle();
    taken.push(step);
    if (world.oracle.violations.length > 0) return taken;
  }
  await world.close();
  return taken;
}
