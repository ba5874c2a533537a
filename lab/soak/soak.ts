/**
 * The command `soak`: real gateways as separate processes under random faults from outside, the
 * promises checked while it runs. Prints each violation and one line of JSON; exit code 0 where
 * all promises held.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { numberFlag, textFlag } from '../common/flags.js';
import type { CommandFlags } from '../main.js';
import { SoakRun } from './soak-run.js';

const DEFAULT_SECONDS = 60;
const SECOND = 1_000;
const SEED_LIMIT = 1_000_000;

/** Size of the fleet: a few dozen processes are the most that a soak may take. */
const FLEET = { gateways: 5, modelWorkers: 6, lookupWorkers: 3 } as const;

/** Runs the command. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seed = numberFlag(flags, 'seed', Math.floor(Math.random() * SEED_LIMIT));
  const seconds = numberFlag(flags, 'seconds', DEFAULT_SECONDS);
  const gateways = numberFlag(flags, 'gateways', FLEET.gateways);
  const otherBuild = textFlag(flags, 'other-build');
  const folder = mkdtempSync(path.join(tmpdir(), 'wardwing-soak-'));
  const soak = new SoakRun({
    ...{ ...FLEET, gateways, seed, length: seconds * SECOND },
    ...{ folder, otherBuild },
  });
  const report = await soak.run();
  const { faults, checked, violations, counts, mostEndedUnderOne } = report;
  for (const { at, promise, detail } of violations) console.log(`${at} ms  ${promise}  ${detail}`);
  const holds = violations.length === 0 && checked > 0 && counts.stepsWhole > 0;
  if (holds && flags.keep !== true) rmSync(folder, { recursive: true });
  else console.log(`settings and logs are in ${folder}`);
  const summary = {
    soak: 'fleet',
    seed,
    seconds,
    faults,
    checked,
    checkedByPromise: report.checkedByPromise,
    violations: violations.length,
    mostEndedUnderOne,
    workAfterEnd: report.workAfterEnd,
    lateCommits: report.lateCommits,
    acceptances: report.acceptances,
    powerLoss: report.powerLoss,
  };
  console.log(JSON.stringify({ ...summary, ...counts, holds }));
  return holds ? 0 : 1;
}
