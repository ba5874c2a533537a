/** The ways of drawing steps that are compared. */

/** When the trainer's next step is submitted. */
export type Submission =
  /** After the training on the step before has ended. */
  | 'step-synchronous'
  /** When the training on the step before begins. */
  | 'one-step-ahead'
  /** As soon as the oldest version the step may use is published. */
  | 'within-bound';

/** One way of drawing. */
export interface Variant {
  readonly name: string;
  readonly role: 'baseline' | 'ours' | 'ablation';
  /** A baseline without any care for versions beyond the bound, and without drawing ahead. */
  readonly isPlain: boolean;
  /** Routing policy by its name in the registry. */
  readonly routing: string;
  readonly submission: Submission;
  /** Versions a token may be behind at its use; `null` for the intent's bound. */
  readonly drawingBound: number | null;
  /** Samples wait at their home for a slot; otherwise they are pushed to engine queues at once. */
  readonly homeQueue: boolean;
  readonly longestFirst: boolean;
  /** Move long samples to less loaded workers with their KV cache. */
  readonly moveLong: boolean;
  /** Take a dead or silent worker's samples up elsewhere, with the tokens streamed so far. */
  readonly resume: boolean;
  readonly hedging: boolean;
  /** Run a sample again as soon as a segment is too old, not only at hand-over. */
  readonly earlyRerun: boolean;
  /** A step starts only when it can hold all the slots it can use, and keeps them to its end. */
  readonly gang: boolean;
}

const BASELINE = {
  role: 'baseline',
  homeQueue: false,
  longestFirst: false,
  moveLong: false,
  resume: false,
  hedging: false,
  earlyRerun: false,
  gang: false,
} as const;

/** Routing policies of the plain baselines. */
export const ISSUE_ROUTINGS: readonly string[] = ['random', 'round-robin', 'least-lagged-load'];

/** `power-of-two` is given the homes' exact counts, which makes it a strong baseline. */
const PLAIN_ROUTINGS = [...ISSUE_ROUTINGS, 'power-of-two'];

/** The better half of them, for the other ways of drawing. */
const FURTHER_ROUTINGS = ['round-robin', 'power-of-two'];

function baselines(
  label: string,
  submission: Submission,
  drawingBound: number | null,
  routings: readonly string[],
): Variant[] {
  return routings.map((routing) => ({
    ...BASELINE,
    name: `${label}/${routing}`,
    isPlain: submission === 'step-synchronous' && drawingBound === null,
    routing,
    submission,
    drawingBound,
  }));
}

/**
 * Ours; the deployments differ in when steps are submitted, and in whether the tail of a step is
 * hedged and moved, which pays for the association only (see `docs/design/experiments.md`).
 */
function ours(submission: Submission, drawingBound: number | null, careOfTail: boolean): Variant {
  return {
    name: 'ours',
    role: 'ours',
    isPlain: false,
    routing: 'home-counting',
    submission,
    drawingBound,
    homeQueue: true,
    longestFirst: true,
    moveLong: careOfTail,
    resume: true,
    hedging: careOfTail,
    earlyRerun: true,
    gang: false,
  };
}

function ablations(full: Variant): Variant[] {
  const without = (name: string, change: Partial<Variant>): Variant => ({
    ...full,
    ...change,
    name,
    role: 'ablation',
  });
  return [
    without('ours, not longest first', { longestFirst: false }),
    without(full.moveLong ? 'ours, long samples stay' : 'ours, long samples moved', {
      moveLong: !full.moveLong,
    }),
    without('ours, no resume', { resume: false }),
    without(full.hedging ? 'ours, no hedging' : 'ours, with hedging', { hedging: !full.hedging }),
    without('ours, gang', { gang: true }),
  ];
}

/** Variants of a deployment: baselines, ours, and ours with one part changed. */
export function variantsOf(deployment: 'association' | 'cooperative'): readonly Variant[] {
  const full =
    deployment === 'association'
      ? ours('step-synchronous', 0, true)
      : ours('within-bound', null, false);
  return [
    ...baselines('step-synchronous', 'step-synchronous', null, PLAIN_ROUTINGS),
    ...baselines('step-synchronous, newest only', 'step-synchronous', 0, FURTHER_ROUTINGS),
    ...baselines('one step ahead', 'one-step-ahead', null, FURTHER_ROUTINGS),
    full,
    ...ablations(full),
    ...otherSubmission(deployment),
  ];
}

/** Ours with the other deployment's way of submitting, to show what each choice costs. */
function otherSubmission(deployment: 'association' | 'cooperative'): Variant[] {
  if (deployment === 'cooperative') return [];
  return [
    { ...ours('within-bound', null, false), name: 'ours, within the bound', role: 'ablation' },
  ];
}
