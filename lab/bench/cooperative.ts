/** The bench `cooperative`: the deployment of that name in simulated time; see `lab/experiments`. */
import { runBench } from '../experiments/deployment-bench.js';
import type { CommandFlags } from '../main.js';

/** Runs the bench; exit code 0 when its target is reached. */
export function run(_name: string, flags: CommandFlags): Promise<number> {
  return runBench('cooperative', flags);
}
