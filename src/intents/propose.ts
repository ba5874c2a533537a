/** Proposing: reads the intent where it is kept, makes the plan, and stores it. */
import { type Configuration, type Intent, intentKey } from '../config-feed/configuration.js';
import type { AccountName } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import { makePlan, type Plan, planDocument, planKey, type StoredPlan } from './plan.js';
import { documented, type Procedure, type ProcedureOutcome, read, transact } from './procedure.js';

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
  const plan = makePlan({
    planId: input.random.identifier(),
    account: input.account,
    draft: input.draft,
    current: entry === undefined ? null : (JSON.parse(entry.value) as Intent),
    modRevision: entry?.modRevision ?? 0,
    readAtRevision: found.revision,
    configuration: input.configuration,
  });
  yield* store(plan);
  return proposed(plan);
}

function* store(plan: Plan): Procedure<void> {
  const key = planKey(plan.planId);
  const stored: StoredPlan = { plan, use: null };
  const write = { kind: 'put', key, value: JSON.stringify(stored) } as const;
  let unknown = false;
  for (;;) {
    const outcome = yield* transact([{ key, modRevision: 0 }], [write], unknown);
    // The identifier is this plan's own, so a conflict means that a lost attempt took effect.
    if (outcome.kind !== 'unknown') return;
    unknown = true;
  }
}

function proposed(plan: Plan): ProcedureOutcome {
  return documented(planDocument(plan), {
    change: 'intent-proposed',
    details: { plan: plan.planId, intent: plan.draft.name, account: plan.createdBy },
  });
}
