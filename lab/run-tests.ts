/**
 * Runs all tests with tap and closes with one plain line of counts, for people and for CI. Exits
 * as tap does; a run without any test is a failure. Failed checks are printed once more before the
 * counts, as only the end of a long output may be kept. Test files that KNOWN-RED.txt lists are
 * passed over, and their lines are printed. Tests of client crowds run last and one at a time, as they
 * measure the memory of processes under load.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describeFailure, failedChecks } from './common/failed-checks.js';

/** The line by which tap tells its totals. */
const TOTALS_PATTERN = /# \{ total: (\d+), pass: (\d+)/g;
const TEST_FOLDER = 'dist/test';

/** Test files below it run one at a time. */
const CROWD_FOLDER = 'client-crowds';

/** Time limit for one file of client crowds, in seconds. */
const CROWD_TIMEOUT_SECONDS = 600;

/** Lines of `FILE: cause; issue`, three at most beside those of client crowds. */
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const MOST_KNOWN_RED = 3;

const MOST_FAILURES_PRINTED = 20;
const MOST_DIAGNOSTIC_LINES = 40;

const knownRed = existsSync(KNOWN_RED_FILE)
  ? readFileSync(KNOWN_RED_FILE, 'utf8')
      .split('\n')
      .filter((line) => line !== '')
  : [];
const ordinaryKnownRed = knownRed.filter((line) => !line.startsWith(`test/${CROWD_FOLDER}/`));
if (ordinaryKnownRed.length > MOST_KNOWN_RED) {
  throw new Error(`${KNOWN_RED_FILE} lists more than ${MOST_KNOWN_RED} tests`);
}
const passedOver = new Set(
  knownRed.map((line) => line.slice(0, line.indexOf(':')).replace(/\.ts$/, '.js')),
);

const names = readdirSync(TEST_FOLDER, { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.test.js'))
  .filter((name) => !passedOver.has(path.join('test', name)));
const isCrowd = (name: string): boolean => name.startsWith(CROWD_FOLDER + path.sep);

/** What one run of tap printed, and its exit code. */
interface TapRun {
  readonly output: string;
  readonly code: number;
}

const TAP = path.join(import.meta.dirname, '..', '..', 'node_modules', '.bin', 'tap');

function runTap(files: readonly string[], flags: readonly string[] = []): Promise<TapRun> {
  const paths = files.map((name) => path.join(TEST_FOLDER, name));
  const child = spawn(TAP, ['run', ...flags, ...paths], { stdio: ['ignore', 'pipe', 'inherit'] });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString('utf8');
    process.stdout.write(chunk);
  });
  return new Promise((resolve) => {
    child.on('close', (code) => resolve({ output, code: code ?? 1 }));
  });
}

const runs = [await runTap(names.filter((name) => !isCrowd(name)))];
const crowds = names.filter(isCrowd);
if (crowds.length > 0) {
  runs.push(await runTap(crowds, ['--jobs=1', `--timeout=${CROWD_TIMEOUT_SECONDS}`]));
}
let total = 0;
let passed = 0;
for (const { output } of runs) {
  const totals = [...output.matchAll(TOTALS_PATTERN)].at(-1);
  total += Number(totals?.[1] ?? 0);
  passed += Number(totals?.[2] ?? 0);
}
const failures = runs.flatMap(({ output }) => failedChecks(output));
for (const failure of failures.slice(0, MOST_FAILURES_PRINTED)) {
  for (const line of describeFailure(failure, MOST_DIAGNOSTIC_LINES)) console.log(line);
}
for (const line of knownRed) console.log(`known red, passed over: ${line}`);
console.log(`\n${passed} passed, ${total - passed} failed`);
process.exitCode = total === 0 ? 1 : (runs.find(({ code }) => code !== 0)?.code ?? 0);
