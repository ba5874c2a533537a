/**
 * Runs all tests with tap and closes with one plain line of counts, for people and for CI. Exits
 * as tap does; a run without any test is a failure. Failed checks are printed once more before the
 * counts, as only the end of a long output may be kept. Test files that KNOWN-RED.txt lists are
 * passed over, and their lines are printed.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describeFailure, failedChecks } from './common/failed-checks.js';

/** The line by which tap tells its totals. */
const TOTALS_PATTERN = /# \{ total: (\d+), pass: (\d+)/g;
const TEST_FOLDER = 'dist/test';

/** Lines of `FILE: cause; issue`, three at most. */
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const MOST_KNOWN_RED = 3;

const MOST_FAILURES_PRINTED = 20;
const MOST_DIAGNOSTIC_LINES = 40;

const knownRed = existsSync(KNOWN_RED_FILE)
  ? readFileSync(KNOWN_RED_FILE, 'utf8')
      .split('\n')
      .filter((line) => line !== '')
  : [];
if (knownRed.length > MOST_KNOWN_RED) {
  throw new Error(`${KNOWN_RED_FILE} lists more than ${MOST_KNOWN_RED} tests`);
}
const passedOver = new Set(
  knownRed.map((line) => line.slice(0, line.indexOf(':')).replace(/\.ts$/, '.js')),
);

const files = readdirSync(TEST_FOLDER, { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.test.js'))
  .filter((name) => !passedOver.has(path.join('test', name)))
  .map((name) => path.join(TEST_FOLDER, name));

const tap = path.join(import.meta.dirname, '..', '..', 'node_modules', '.bin', 'tap');
const child = spawn(tap, ['run', ...files], { stdio: ['ignore', 'pipe', 'inherit'] });
let output = '';
child.stdout.on('data', (chunk: Buffer) => {
  output += chunk.toString('utf8');
  process.stdout.write(chunk);
});
child.on('close', (code) => {
  const totals = [...output.matchAll(TOTALS_PATTERN)].at(-1);
  const total = Number(totals?.[1] ?? 0);
  const passed = Number(totals?.[2] ?? 0);
  const failures = failedChecks(output);
  for (const failure of failures.slice(0, MOST_FAILURES_PRINTED)) {
    for (const line of describeFailure(failure, MOST_DIAGNOSTIC_LINES)) console.log(line);
  }
  for (const line of knownRed) console.log(`known red, passed over: ${line}`);
  console.log(`\n${passed} passed, ${total - passed} failed`);
  process.exitCode = total === 0 ? 1 : (code ?? 1);
});
