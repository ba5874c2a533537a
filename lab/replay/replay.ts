/**
 * The command `replay FILE`: runs a recorded trace again, or judges a recording of real processes
 * again, and compares what comes of it with the outcome that the file states. Exit code 1 and a
 * readable difference where they differ.
 */

import { isRecording, judgeRecording } from '../load/client-recording.js';
import type { CommandFlags } from '../main.js';
import { isMechanismName } from '../proofs/mechanism-names.js';
import { readTrace } from '../proofs/trace.js';
import { createNodeFactory } from '../simulation/node-core-factory.js';
import { replayTrace } from './replay-trace.js';

/** Runs the command. */
export async function run(file: string, _flags: CommandFlags): Promise<number> {
  if (isRecording(file)) return judgeAgain(file);
  const trace = readTrace(file);
  const without = trace.header.without.filter(isMechanismName);
  const result = replayTrace(trace, createNodeFactory(without));
  for (const line of result.differences) console.error(line);
  const { holds, checked, violations } = result;
  const replayed = result.differences.length === 0;
  const { proof } = trace.header;
  console.log(JSON.stringify({ replay: file, proof, holds, checked, violations, replayed }));
  return replayed ? 0 : 1;
}

function judgeAgain(file: string): number {
  const { differences, holds, checked, violations } = judgeRecording(file);
  for (const line of differences) console.error(line);
  const replayed = differences.length === 0;
  console.log(JSON.stringify({ replay: file, holds, checked, violations, replayed }));
  return replayed ? 0 : 1;
}
