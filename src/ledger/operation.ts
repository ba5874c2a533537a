/** Operations on registers that wait for, or take part in, an attempt of a proposer. */
import type { Milliseconds } from '../core/units.js';
import type { LedgerEnvironment } from './environment.js';
import type { ChangeRequest, LedgerChange } from './requests.js';

/** One caller's change of, or read from, a register. */
export interface RegisterOperation<Value> {
  readonly operationId: string;
  readonly deadline: Milliseconds;
  readonly isRead: boolean;
  readonly apply: ChangeRequest<Value>['apply'];
  /** Whether an accept message with this operation's write may have been sent. */
  mayHaveApplied: boolean;
}

/** What one operation comes to if the attempt succeeds. */
export interface OperationResult<Value> {
  readonly operation: RegisterOperation<Value>;
  readonly value: Value | null;
  readonly written: boolean;
}

/** The changes of several operations applied one after the other. */
export interface AppliedBatch<Value> {
  readonly value: Value | null;
  readonly written: boolean;
  readonly results: readonly OperationResult<Value>[];
}

const KEEP: LedgerChange<never> = { kind: 'keep' };

/** The change function of a read. */
export function keepValue(): LedgerChange<never> {
  return KEEP;
}

/** Applies operations in order, each to the value the one before it left. */
export function applyBatch<Value>(
  operations: readonly RegisterOperation<Value>[],
  current: Value | null,
): AppliedBatch<Value> {
  let value = current;
  let written = false;
  const results = operations.map((operation) => {
    const change = operation.apply(value);
    if (change.kind === 'write') {
      value = change.value;
      written = true;
    }
    return { operation, value, written: change.kind === 'write' };
  });
  return { value, written, results };
}

/** Reports operations whose attempt succeeded. */
export function completeResults<Value>(
  environment: LedgerEnvironment<Value>,
  results: readonly OperationResult<Value>[],
): void {
  for (const { operation, value, written } of results) {
    environment.complete(operation.operationId, { kind: 'changed', value, written });
  }
}

/** Reports an operation that ends without agreement. */
export function giveUpOperation<Value>(
  environment: LedgerEnvironment<Value>,
  operation: RegisterOperation<Value>,
  isFull: boolean,
): void {
  const { operationId, mayHaveApplied } = operation;
  if (isFull && !mayHaveApplied) environment.complete(operationId, { kind: 'full' });
  else environment.complete(operationId, { kind: 'unavailable', mayHaveApplied });
}
