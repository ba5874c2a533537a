/** Writes what was sent, answered and run, with the time since the start, to record.txt. */
import { appendFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';

export class Record {
  #startedAt = performance.now();
  #file;

  constructor(folder) {
    this.#file = path.join(folder, 'record.txt');
    writeFileSync(this.#file, '');
  }

  /** Milliseconds since the start. */
  now() {
    return performance.now() - this.#startedAt;
  }

  note(text, at = this.now()) {
    const line = `${(at / 1_000).toFixed(3).padStart(8)} s  ${text}`;
    appendFileSync(this.#file, `${line}\n`);
    console.log(line);
  }
}
