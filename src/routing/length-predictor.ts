/** Predicts the length of samples from finished samples of the same prompt group. */
import type { GenerationRequest } from '../core/generation.js';
import type { ModelName } from '../core/identity.js';
import type { TokenCount } from '../core/units.js';

/** The fields of a sample that a prediction uses. */
export type PredictedRequest = Pick<GenerationRequest, 'model' | 'promptGroup' | 'maxTokens'>;

export interface LengthPredictorOptions {
  /** Limit of stored groups; the least recently recorded is evicted; default 20,000. */
  readonly maximumGroups?: number;
}

/** An exponential moving average of lengths. */
interface LengthAverage {
  tokens: number;
  observations: number;
}

/** Weight of a new length in the moving average; larger for the first observations. */
const SMOOTHING = 0.2;

/** Predicted share of the token limit while there are no observations. */
const DEFAULT_LENGTH_SHARE = 0.5;

/** Weight of the model's average in the prediction for a group, in observations. */
const PRIOR_WEIGHT = 1;

/** Average lengths by prompt group, with the average of the model as prior. */
export class LengthPredictor {
  readonly #maximumGroups: number;
  readonly #groups = new Map<string, LengthAverage>();
  readonly #models = new Map<ModelName, LengthAverage>();

  constructor(options: LengthPredictorOptions = {}) {
    this.#maximumGroups = options.maximumGroups ?? 20_000;
  }

  /** Records the length of a finished sample. */
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

  /** Predicted number of tokens, at most `maxTokens`. */
  predict(request: PredictedRequest): TokenCount {
    const model = this.#models.get(request.model);
    const prior = model === undefined ? request.maxTokens * DEFAULT_LENGTH_SHARE : model.tokens;
    const group = this.#groups.get(groupKeyOf(request));
    if (group === undefined) return Math.min(request.maxTokens, prior);
    const weight = group.observations + PRIOR_WEIGHT;
    const weightedAverage = (group.tokens * group.observations + prior * PRIOR_WEIGHT) / weight;
    return Math.min(request.maxTokens, weightedAverage);
  }

  /** Sorts samples by predicted length, longest first; the sort is stable. */
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
