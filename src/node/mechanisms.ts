/**
 * Named mechanisms that keep the promises. All are on in production; the lab switches one off to
 * show that its proof fails without it.
 */
export const MECHANISM_NAMES = [
  'staleness-check-at-dispatch',
  'staleness-check-at-hand-over',
  'version-fencing',
  'segment-versions',
  'result-claim',
  'group-catch-up',
  'body-replication',
  'step-take-over',
  'cursor-monotonic',
  'claim-before-dispatch',
  'dispatch-deduplication',
  'single-dispatch',
  'unknown-outcome',
  'attempt-memory',
  'barred-dispatch',
  'request-identity',
  'whole-answer',
  'stream-order',
  'incarnation-check',
  'freshness-rule',
  'revision-order',
  'withdraw-on-change',
  'residency-routing',
  'residency-gateway',
  'residency-replicas',
  'drain-refusal',
  'leaving-signal',
  'graceful-stop',
  'hand-over-on-stop',
] as const;

/** A mechanism that can be switched off in the lab. */
export type MechanismName = (typeof MECHANISM_NAMES)[number];

/** Which mechanisms are on. */
export type MechanismSwitches = Readonly<Record<MechanismName, boolean>>;

/** All mechanisms on, but for those named. */
export function mechanismsWithout(...names: readonly MechanismName[]): MechanismSwitches {
  const entries = MECHANISM_NAMES.map((name) => [name, !names.includes(name)] as const);
  return Object.fromEntries(entries) as Record<MechanismName, boolean>;
}

/** All mechanisms on. */
export const ALL_MECHANISMS: MechanismSwitches = mechanismsWithout();
