/**
 * Traces: NDJSON files whose first line is a header with the stated outcome, and whose other lines
 * are the steps of a run.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import * as z from 'zod';
import type { Step } from '../simulation/action.js';

const headerSchema = z.object({
  kind: z.literal('header'),
  proof: z.string(),
  simulationSeed: z.number().int(),
  /** Mechanisms that were switched off. */
  without: z.array(z.string()),
  /** Why the trace is kept. */
  note: z.string(),
  outcome: z.object({
    holds: z.boolean(),
    /** Words of the first violation; `null` where the promise held or any violation will do. */
    firstViolation: z.string().nullable(),
  }),
});

const stepSchema = z.object({
  after: z.number(),
  action: z.looseObject({ kind: z.string() }),
});

/** The first line of a trace. */
export type TraceHeader = z.infer<typeof headerSchema>;

/** What a run came to, as far as a trace states it. */
export type TraceOutcome = TraceHeader['outcome'];

/** A recorded run. */
export interface Trace {
  readonly header: TraceHeader;
  readonly steps: readonly Step[];
}

/** Reads a trace. Throws where the file is no trace. */
export function readTrace(file: string): Trace {
  const lines = readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line !== '');
  const [first, ...rest] = lines.map((line): unknown => JSON.parse(line));
  const header = headerSchema.parse(first);
  const steps = rest.map((line) => stepSchema.parse(line) as unknown as Step);
  return { header, steps };
}

/** The lines of a trace. */
export function traceLines(trace: Trace): string[] {
  return [trace.header, ...trace.steps].map((line) => JSON.stringify(line));
}

/** Writes a trace. */
export function writeTrace(file: string, trace: Trace): void {
  writeFileSync(file, `${traceLines(trace).join('\n')}\n`);
}
