/** What was done to a fleet during a soak, one line of JSON each, for the trace of a violation. */
import { appendFileSync } from 'node:fs';
import type { Milliseconds } from '../../src/core/units.js';

/** Writes the lines. */
export class SoakLog {
  constructor(
    private readonly file: string,
    private readonly now: () => Milliseconds,
  ) {}

  /** Something happened. */
  note(event: string, details: Readonly<Record<string, unknown>>): void {
    const at = Math.round(this.now());
    const line = { at, time: new Date().toISOString(), event, ...details };
    appendFileSync(this.file, `${JSON.stringify(line)}\n`);
  }
}
