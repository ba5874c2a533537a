/**
 * Lives of workers. A worker may start again under the id that it had; it then holds and knows
 * nothing of before. A life is told apart by the id and, where the worker tells it, its start.
 */
import type { WorkerRecord } from './traffic-configuration.js';

/** Names one life of a worker; differs from every other life, also under the same id. */
export type WorkerIncarnation = string;

/** What tells lives apart. */
type IncarnationFields = Pick<WorkerRecord, 'id' | 'startedAt'>;

/** The life that a record tells of; just the id where the worker does not tell its start. */
export function workerIncarnationOf({ id, startedAt }: IncarnationFields): WorkerIncarnation {
  return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** Whether a record tells of a later life than another record under the same id. */
export function isLaterIncarnation(record: IncarnationFields, than: IncarnationFields): boolean {
  if (record.startedAt === undefined || than.startedAt === undefined) return false;
  return record.startedAt > than.startedAt;
}
