/**
 * Incarnations of workers. A worker that restarts under the same id has lost its state;
 * incarnations are distinguished by the id and, where the worker reports it, the start time.
 */
import type { WorkerRecord } from './traffic-configuration.js';

/** Id of one incarnation of a worker, unique also among restarts under the same worker id. */
export type WorkerIncarnation = string;

type IncarnationFields = Pick<WorkerRecord, 'id' | 'startedAt'>;

/** The incarnation of a record, `id@startedAt`; just the id where the start is not reported. */
export function workerIncarnationOf({ id, startedAt }: IncarnationFields): WorkerIncarnation {
  return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** Whether a record is of a later incarnation than another record with the same id. */
export function isLaterIncarnation(record: IncarnationFields, than: IncarnationFields): boolean {
  if (record.startedAt === undefined || than.startedAt === undefined) return false;
  return record.startedAt > than.startedAt;
}
