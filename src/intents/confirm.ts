/**
 * Confirming: a compare-and-swap on the revision a plan rests on. The intent, the history record
 * and the plan's mark of use are written in one transaction. A lost answer is settled by reading
 * back whether the plan bears this attempt's change identifier.
 */
import { type Intent, intentKey } from '../config-feed/configuration.js';
import type { AccountName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import {
  HISTORY_PREFIX,
  historyKey,
  type IntentChangeRecord,
  intentChangeAt,
  readHistory,
} from './history.js';
import { diffIntents, type Plan, type PlanUse, planKey, type StoredPlan } from './plan.js';
import {
  accepted,
  type Procedure,
  type ProcedureOutcome,
  read,
  readPatiently,
  refused,
  transact,
} from './procedure.js';

/** What a confirmation needs. */
export interface ConfirmInput {
  readonly account: AccountName;
  readonly planId: string;
  /** Unique for this call in the whole fleet. */
  readonly changeId: string;
}

/** What stands in the key-value service about one plan. */
interface PlanState {
  readonly stored: StoredPlan;
  readonly planRevision: Revision;
  /** `null` where the intent does not exist. */
  readonly intent: Intent | null;
  readonly intentRevision: Revision;
  readonly readAtRevision: Revision;
}

/** Puts a plan into force, once. */
export function* confirm(input: ConfirmInput): Procedure {
  const use: PlanUse = { account: input.account, changeId: input.changeId };
  let unknown = false;
  for (;;) {
    const state = yield* readPlanState(input.planId, unknown);
    if (state === null) {
      return refused(failure('not_found', `there is no plan "${input.planId}"`));
    }
    if (state.stored.use !== null) return usedOutcome(state, state.stored.use, use);
    if (state.intentRevision !== baseRevisionOf(state.stored.plan)) {
      return yield* staleOutcome(state, use, unknown);
    }
    const outcome = yield* writeUse(state, use, unknown);
    if (outcome.kind === 'applied') return confirmed(state.stored.plan, use, outcome.revision);
    // An unknown attempt compares the same revisions as the next one, so at most one applies; a
    // conflict settles it, and reading back tells whose it was.
    if (outcome.kind === 'unknown') unknown = true;
  }
}

function* readPlanState(planId: string, patiently: boolean): Procedure<PlanState | null> {
  const found = yield* readPlan(planId, patiently);
  if (found === null) return null;
  const key = intentKey(found.stored.plan.draft.name);
  const intentRead = yield* patiently ? readPatiently(key) : read(key);
  const entry = intentRead.entries[0];
  return {
    ...found,
    intent: entry === undefined ? null : (JSON.parse(entry.value) as Intent),
    intentRevision: entry?.modRevision ?? 0,
    readAtRevision: intentRead.revision,
  };
}

function* readPlan(
  planId: string,
  patiently: boolean,
): Procedure<Pick<PlanState, 'stored' | 'planRevision'> | null> {
  const key = planKey(planId);
  const found = yield* patiently ? readPatiently(key) : read(key);
  const entry = found.entries[0];
  if (entry === undefined) return null;
  return { stored: JSON.parse(entry.value) as StoredPlan, planRevision: entry.modRevision };
}

function baseRevisionOf(plan: Plan): Revision {
  const key = intentKey(plan.draft.name);
  return plan.baseRevisions.find((base) => base.key === key)?.modRevision ?? 0;
}

function* writeUse(state: PlanState, use: PlanUse, unknown: boolean) {
  const { plan } = state.stored;
  const key = planKey(plan.planId);
  const intent = intentKey(plan.draft.name);
  const marked: StoredPlan = { plan, use };
  const record: IntentChangeRecord = {
    kind: 'intent',
    ...use,
    planId: plan.planId,
    intent: plan.draft.name,
    diff: plan.diff,
  };
  const history = historyKey(state.readAtRevision, use.changeId);
  return yield* transact(
    [
      { key, modRevision: state.planRevision },
      { key: intent, modRevision: state.intentRevision },
    ],
    [
      { kind: 'put', key: intent, value: JSON.stringify(plan.draft) },
      { kind: 'put', key: history, value: JSON.stringify(record) },
      { kind: 'put', key, value: JSON.stringify(marked) },
    ],
    unknown,
  );
}

function usedOutcome(state: PlanState, found: PlanUse, own: PlanUse): ProcedureOutcome {
  const { plan } = state.stored;
  if (found.changeId === own.changeId) return confirmed(plan, own, state.planRevision);
  const confirmation = `was confirmed by "${found.account}" at revision ${state.planRevision}`;
  return refused(failure('plan_used', `plan "${plan.planId}" ${confirmation}`));
}

/**
 * The intent has moved on, so no attempt can apply any more. The plan was read before the intent
 * and may have been confirmed in between, even by a lost attempt of this call: look again.
 */
function* staleOutcome(state: PlanState, own: PlanUse, unknown: boolean): Procedure {
  const again = yield* readPlan(state.stored.plan.planId, unknown);
  if (again !== null && again.stored.use !== null) {
    return usedOutcome({ ...state, ...again }, again.stored.use, own);
  }
  return refused(yield* describeStale(state));
}

/** Says what changed since the plan was made and by whom; asks the history once for the latter. */
function* describeStale(state: PlanState): Procedure<Failure> {
  const { plan } = state.stored;
  const result = yield {
    kind: 'operation',
    operation: { kind: 'range', key: HISTORY_PREFIX, prefix: true },
  };
  const records = result.kind === 'range' ? readHistory(result.entries) : [];
  const record = intentChangeAt(records, plan.draft.name, state.intentRevision);
  const who = record === undefined ? 'an account not known' : `"${record.account}"`;
  const since = `revision ${baseRevisionOf(plan)}, on which plan "${plan.planId}" rests`;
  const change = `was changed by ${who} at revision ${state.intentRevision}`;
  const fields = changedFields(state, record);
  return failure('plan_stale', `intent "${plan.draft.name}" ${change}, after ${since}${fields}`);
}

function changedFields(state: PlanState, record: IntentChangeRecord | undefined): string {
  if (state.intent === null) return '; it no longer exists';
  const changed = (record?.diff ?? []).map(
    (change) =>
      `${change.field} from ${JSON.stringify(change.before)} to ${JSON.stringify(change.after)}`,
  );
  const remaining = diffIntents(state.intent, state.stored.plan.draft);
  const differing = remaining.map((change) => change.field).join(', ') || 'nothing';
  const what = changed.length === 0 ? '' : `; changed: ${changed.join(', ')}`;
  return `${what}; the plan now differs in: ${differing}`;
}

function confirmed(plan: Plan, use: PlanUse, revision: Revision): ProcedureOutcome {
  return accepted(revision, {
    change: 'intent-confirmed',
    details: {
      plan: plan.planId,
      intent: plan.draft.name,
      account: use.account,
      changeId: use.changeId,
      revision,
    },
  });
}
