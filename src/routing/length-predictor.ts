/**
 * Predicts how many tokens a sample will take from the finished samples of its prompt group, so
 * that the longest of a step can start first.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { ModelName } from '../core/identity.js';
import type { TokenCount } from '../core/units.js';

/** What a prediction needs to know of a sample. */
export type PredictedRequest = Pick<GenerationRequest, 'model' | 'promptGroup' | 'maxTokens'>;

/** Settings of the predictor. */
export interface LengthPredictorOptions {
  /** Groups remembered; the one unused for longest is forgotten first; default 20,000. */
  readonly maximumGroups?: number;
}

/** A moving average of lengths. */
interface LengthAverage {
  tokens: number;
  observations: number;
}

/** Weight of one new length once the average has settled. */
const SMOOTHING = 0.2;

/** Share of the token limit that is expected while nothing at all is known. */
const UNKNOWN_SHARE = 0.5;

/** How many observations the average of the model counts for in a group's prediction. */
const PRIOR_WEIGHT = 1;

/** Lengths by prompt group and, for groups not seen yet, by model. */
export class LengthPredictor {
  readonly #maximumGroups: number;
  readonly #groups = new Map<string, LengthAverage>();
  readonly #models = new Map<ModelName, LengthAverage>();

  constructor(options: LengthPredictorOptions = {}) {
    this.#maximumGroups = options.maximumGroups ?? 20_000;
  }

  /** Takes in the length of a finished sample. */
  record(request: PredictedRequest, tokens: TokenCount): void {
    this.#models.set(request.model, observe(this.#models.get(request.model), tokens));
    const key = groupKeyOf(request);
    const group = observe(this.#groups.get(key), tokens);
    this.#groups.delete(key);
    this.#groups.set(key, group);
    if (this.#groups.size <= this.#maximumGroups) return;
    const oldest = this.#groups.keys().next();
    if (!oldest.done) this.#groups.delete(oldest.value);
  }

  /** Tokens a sample is expected to take, at most its limit. */
  predict(request: PredictedRequest): TokenCount {
    const model = this.#models.get(request.model);
    const prior = model === undefined ? request.maxTokens * UNKNOWN_SHARE : model.tokens;
    const group = this.#groups.get(groupKeyOf(request));
    if (group === undefined) return Math.min(request.maxTokens, prior);
    const weight = group.observations + PRIOR_WEIGHT;
    const blended = (group.tokens * group.observations + prior * PRIOR_WEIGHT) / weight;
    return Math.min(request.maxTokens, blended);
  }

  /** The samples with the longest prediction first; equal ones keep their order. */
  longestFirst<Item extends PredictedRequest>(requests: readonly Item[]): readonly Item[] {
    const scored = requests.map((request) => ({ request, tokens: this.predict(request) }));
    scored.sort((left, right) => right.tokens - left.tokens);
    return scored.map((entry) => entry.request);
  }
}

function groupKeyOf(request: PredictedRequest): string {
  return `${request.model}\n${request.promptGroup}`;
}

function observe(average: LengthAverage | undefined, tokens: TokenCount): LengthAverage {
  if (average === undefined) return { tokens, observations: 1 };
  const observations = average.observations + 1;
  const weight = Math.max(SMOOTHING, 1 / observations);
  return { tokens: average.tokens + weight * (tokens - average.tokens), observations };
}
