/** Draining: puts or deletes a drain record by compare-and-swap; repeating it changes nothing. */
import { type DrainRecord, type DrainTarget, drainKey } from '../config-feed/configuration.js';
import type { AccountName } from '../core/identity.js';
import type { KeyValueWrite } from '../platform/key-value.js';
import { type DrainChangeRecord, historyKey } from './history.js';
import {
  accepted,
  type Procedure,
  read,
  readPatiently,
  type StateChange,
  transact,
} from './procedure.js';

/** What a drain needs. */
export interface DrainInput {
  readonly account: AccountName;
  readonly target: DrainTarget;
  readonly reason: string;
  /** False takes an earlier drain back. */
  readonly drained: boolean;
  /** Unique for this call in the whole fleet. */
  readonly changeId: string;
}

/**
 * Sets or clears the drain of a target. The history record is created in the same transaction, so
 * that a lost answer is settled by looking for it and no attempt can apply twice.
 */
export function* setDrain(input: DrainInput): Procedure {
  const key = drainKey(input.target);
  const first = yield* read(key);
  const record = historyKey(first.revision, input.changeId);
  const writes = [writeOf(input, key), recordOf(input, record)];
  let found = first;
  let unknown = false;
  for (;;) {
    const entry = found.entries[0];
    if (!unknown && (entry !== undefined) === input.drained) {
      return accepted(entry?.modRevision ?? found.revision, null);
    }
    const compares = [
      { key, modRevision: entry?.modRevision ?? 0 },
      { key: record, modRevision: 0 },
    ];
    const outcome = yield* transact(compares, writes, unknown);
    if (outcome.kind === 'applied') return accepted(outcome.revision, drainChange(input));
    if (outcome.kind === 'unknown') unknown = true;
    if (unknown) {
      const written = (yield* readPatiently(record)).entries[0];
      if (written !== undefined) return accepted(written.modRevision, drainChange(input));
    }
    found = yield* unknown ? readPatiently(key) : read(key);
  }
}

function writeOf(input: DrainInput, key: string): KeyValueWrite {
  if (!input.drained) return { kind: 'delete', key };
  const record: DrainRecord = { target: input.target, reason: input.reason };
  return { kind: 'put', key, value: JSON.stringify(record) };
}

function recordOf(input: DrainInput, key: string): KeyValueWrite {
  const record: DrainChangeRecord = {
    kind: 'drain',
    account: input.account,
    changeId: input.changeId,
    target: input.target,
    reason: input.reason,
    drained: input.drained,
  };
  return { kind: 'put', key, value: JSON.stringify(record) };
}

function drainChange(input: DrainInput): StateChange {
  return {
    change: input.drained ? 'drain-set' : 'drain-cleared',
    details: { target: input.target.kind, name: input.target.name, account: input.account },
  };
}
