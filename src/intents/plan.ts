/**
 * Plans: what a proposed intent would change. A plan is kept in the key-value service, so that
 * any node can confirm it and it outlives the node that made it.
 */
import { type Configuration, type Intent, intentKey } from '../config-feed/configuration.js';
import type { AccountName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import { intentDocument } from './intent-schema.js';
import { type ZoneEffect, zoneEffects } from './zone-effects.js';

/** Plans live below this prefix; they do not reach nodes through the configuration feed. */
const PLAN_PREFIX = '/wardwing/plans/';

/** The revision a key had when the plan was made; 0 where the key did not exist. */
export interface BaseRevision {
  readonly key: string;
  readonly modRevision: Revision;
}

/** One field of the written form that the plan changes; `null` where it had no value. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** A proposed change of one intent. */
export interface Plan {
  readonly planId: string;
  readonly createdBy: AccountName;
  /** Revision of the key-value service at which the intent was read. */
  readonly createdAtRevision: Revision;
  /** Every key the plan would change. */
  readonly baseRevisions: readonly BaseRevision[];
  readonly draft: Intent;
  readonly diff: readonly FieldChange[];
  readonly effects: readonly ZoneEffect[];
}

/** Who confirmed a plan, and the identifier of that one attempt. */
export interface PlanUse {
  readonly account: AccountName;
  readonly changeId: string;
}

/** A plan as it is kept. */
export interface StoredPlan {
  readonly plan: Plan;
  /** `null` until it is confirmed. */
  readonly use: PlanUse | null;
}

/** Key-value key of a plan. */
export function planKey(planId: string): string {
  return PLAN_PREFIX + planId;
}

/** What {@link makePlan} needs. */
export interface PlanInput {
  readonly planId: string;
  readonly account: AccountName;
  readonly draft: Intent;
  /** The intent as the key-value service holds it; `null` for a new one. */
  readonly current: Intent | null;
  /** Revision that last changed the intent's key; 0 for a new one. */
  readonly modRevision: Revision;
  readonly readAtRevision: Revision;
  /** The node's copy, for the effects of other intents. */
  readonly configuration: Configuration;
}

/** Makes the plan for a draft. */
export function makePlan(input: PlanInput): Plan {
  return {
    planId: input.planId,
    createdBy: input.account,
    createdAtRevision: input.readAtRevision,
    baseRevisions: [{ key: intentKey(input.draft.name), modRevision: input.modRevision }],
    draft: input.draft,
    diff: diffIntents(input.current, input.draft),
    effects: zoneEffects(input.current, input.draft, input.configuration),
  };
}

/** The fields that differ between two intents, nested ones by their path. */
export function diffIntents(before: Intent | null, after: Intent): FieldChange[] {
  const old = before === null ? {} : flatten(intentDocument(before));
  const fresh = flatten(intentDocument(after));
  const fields = [...new Set([...Object.keys(old), ...Object.keys(fresh)])];
  return fields
    .map((field) => ({ field, before: old[field] ?? null, after: fresh[field] ?? null }))
    .filter((change) => JSON.stringify(change.before) !== JSON.stringify(change.after));
}

function flatten(document: object, prefix = ''): Record<string, unknown> {
  const flat: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(document)) {
    const nested = typeof value === 'object' && value !== null && !Array.isArray(value);
    if (nested) Object.assign(flat, flatten(value, `${prefix}${name}.`));
    else flat[prefix + name] = value;
  }
  return flat;
}

/** The plan as operators see it. */
export function planDocument(plan: Plan): Readonly<Record<string, unknown>> {
  return {
    plan_id: plan.planId,
    created_by: plan.createdBy,
    created_at_revision: plan.createdAtRevision,
    base_revisions: plan.baseRevisions.map((base) => ({
      key: base.key,
      revision: base.modRevision,
    })),
    draft: intentDocument(plan.draft),
    diff: plan.diff,
    effects: plan.effects.map((effect) => ({
      zone: effect.zone,
      starts: effect.starts,
      stops: effect.stops,
      refused: effect.refused,
      when_cut_off: effect.whenCutOff,
    })),
  };
}
