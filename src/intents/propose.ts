/** Proposing: reads the intent where it is kept, makes the plan, and stores it. */
import { type Configuration, type Intent, intentKey } from '../config-feed/configuration.js';
import type { AccountName } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import { makePlan, type Plan, planDocument, planKey, type StoredPlan } from './plan.js';
import {
  documented,
  type Procedure,
  type ProcedureOutcome,
  read,
  readPatiently,
  transact,
} from './procedure.js';

/** What a proposal needs. */
export interface ProposeInput {
  readonly account: AccountName;
  readonly draft: Intent;
  readonly configuration: Configuration;
  readonly random: RandomSource;
}

/** Makes and stores a plan. Storing repeats until it is certain: a plan alone changes nothing. */
export function* propose(input: ProposeInput): Procedure {
  const found = yield* read(intentKey(input.draft.name));
  const entry = found.entries[0];
  for (;;) {
    const plan = makePlan({
      planId: input.random.identifier(),
      account: input.account,
      draft: input.draft,
      current: entry === undefined ? null : (JSON.parse(entry.value) as Intent),
      modRevision: entry?.modRevision ?? 0,
      readAtRevision: found.revision,
      configuration: input.configuration,
    });
    if (yield* store(plan)) return proposed(plan);
  }
}

/** Stores a plan; false where its identifier is taken by another plan. */
function* store(plan: Plan): Procedure<boolean> {
  const key = planKey(plan.planId);
  const stored: StoredPlan = { plan, use: null };
  const value = JSON.stringify(stored);
  let unknown = false;
  for (;;) {
    const outcome = yield* transact(
      [{ key, modRevision: 0 }],
      [{ kind: 'put', key, value }],
      unknown,
    );
    if (outcome.kind === 'applied') return true;
    if (outcome.kind === 'unknown') unknown = true;
    // A conflict may be with a lost attempt of this call, which left the very same value.
    else return unknown && (yield* readPatiently(key)).entries[0]?.value === value;
  }
}

function proposed(plan: Plan): ProcedureOutcome {
  return documented(planDocument(plan), {
    change: 'intent-proposed',
    details: { plan: plan.planId, intent: plan.draft.name, account: plan.createdBy },
  });
}
