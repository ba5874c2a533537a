/** Ring buffer of the latest decisions of a node, indexed by subject, for operators' explain requests. */
import type { ExplainRecord } from '../node/calls.js';

/** Settings of {@link ExplainLog}. */
export interface ExplainLogOptions {
  /** Maximum number of records; the oldest are evicted. @default 4096 */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 4_096;

export class ExplainLog {
  readonly #capacity: number;
  /** Ring of records; {@link #nextIndex} is written next and, in a full ring, is the oldest record. */
  readonly #ring: ExplainRecord[] = [];
  readonly #bySubject = new Map<string, ExplainRecord[]>();
  #nextIndex = 0;

  constructor(options: ExplainLogOptions = {}) {
    this.#capacity = Math.max(1, options.capacity ?? DEFAULT_CAPACITY);
  }

  /** Number of records. */
  get size(): number {
    return this.#ring.length;
  }

  /** Adds a record; evicts the oldest one of a full ring. */
  add(record: ExplainRecord): void {
    const oldest = this.#ring[this.#nextIndex];
    if (oldest !== undefined) this.#removeFromIndex(oldest);
    this.#ring[this.#nextIndex] = record;
    this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
    const records = this.#bySubject.get(record.subject);
    if (records === undefined) this.#bySubject.set(record.subject, [record]);
    else records.push(record);
  }

  /** The records of a subject, oldest first. */
  recordsOf(subject: string): readonly ExplainRecord[] {
    return [...(this.#bySubject.get(subject) ?? [])];
  }

  /** Removes the oldest record from the index; it is the first one of its subject. */
  #removeFromIndex(record: ExplainRecord): void {
    const records = this.#bySubject.get(record.subject);
    records?.shift();
    if (records?.length === 0) this.#bySubject.delete(record.subject);
  }
}
