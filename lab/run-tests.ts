/**
 * Runs all tests with tap and closes with one plain line of counts, for people and for CI. Exits
 * as tap does; a run without any test is a failure.
 */
import { spawn } from 'node:child_process';
import { readdirSync } from 'node:fs';
import path from 'node:path';

/** The line by which tap tells its totals. */
const TOTALS_PATTERN = /# \{ total: (\d+), pass: (\d+)/g;
const TEST_FOLDER = 'dist/test';

const files = readdirSync(TEST_FOLDER, { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.test.js'))
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
  console.log(`\n${passed} passed, ${total - passed} failed`);
  process.exitCode = total === 0 ? 1 : (code ?? 1);
});
