/** Applies the hedging policy to a step that is being drawn. */
import type { Milliseconds } from '../../src/core/units.js';
import type { HedgingPolicy } from '../../src/routing/hedging-policy.js';
import { median } from '../common/statistics.js';
import type { DrawnSample, DrawnStep } from './drawn-step.js';

/** Share of a step below which its rest is looked at; above the policy's own default share. */
const TAIL_SHARE = 0.05;

/** Samples of a step's tail that the policy wants a second attempt for. */
export function lateSamples(
  step: DrawnStep,
  policy: HedgingPolicy,
  now: Milliseconds,
): readonly DrawnSample[] {
  if (step.pending.length > 0 || step.missing > step.samples.length * TAIL_SHARE) return [];
  const missing = step.samples.filter((sample) => sample.result === undefined);
  const pending = missing.map((sample) => {
    const [first] = sample.attempts;
    return {
      key: sample.request.requestId,
      startedAt: first?.startedAt,
      attempts: sample.attempts.size,
      expected: undefined,
    };
  });
  const progress = {
    sampleCount: step.samples.length,
    pending,
    typicalDuration: step.durations.length > 0 ? median(step.durations) : undefined,
    hedgesMade: step.hedgesMade,
  };
  const keys = new Set(policy.samplesToHedge(progress, now));
  return missing.filter((sample) => keys.has(sample.request.requestId));
}
