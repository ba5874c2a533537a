/**
 * The decisions a node took lately, kept to be explained: a bounded ring with an index by subject.
 * Pure; records never leave the node except in answer to an operator.
 */
import type { ExplainRecord } from '../node/calls.js';

/** Settings of {@link ExplainLog}. */
export interface ExplainLogOptions {
  /** Most records kept; the oldest are dropped. @default 4096 */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 4_096;

/** Decisions of one node. */
export class ExplainLog {
  readonly #capacity: number;
  /** Ring of records; {@link #next} is the place written next, and the oldest once it is full. */
  readonly #ring: ExplainRecord[] = [];
  readonly #bySubject = new Map<string, ExplainRecord[]>();
  #nextIndex = 0;

  constructor(options: ExplainLogOptions = {}) {
    this.#capacity = Math.max(1, options.capacity ?? DEFAULT_CAPACITY);
  }

  /** Number of records kept. */
  get size(): number {
    return this.#ring.length;
  }

  /** Keeps a record, dropping the oldest one when full. */
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

  /** Drops the record from the index; as the oldest of all, it is the first of its subject. */
  #removeFromIndex(record: ExplainRecord): void {
    const records = this.#bySubject.get(record.subject);
    records?.shift();
    if (records?.length === 0) this.#bySubject.delete(record.subject);
  }
}
