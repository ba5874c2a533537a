/** Each sample and answer names the weight versions that produced its tokens. */
import type { GenerationResult } from '../../../src/core/generation.js';
import type { WeightVersion } from '../../../src/core/units.js';
import { versionsInText } from '../../emulator/generated-text.js';
import type { Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';
import { CallLog } from './call-log.js';

/** Compares the version in each token's text with the version that the answer names for it. */
export class WeightVersionsOracle extends Oracle {
  readonly #calls = new CallLog();

  override observe(observation: Observation): void {
    this.#calls.observe(observation);
    if (observation.kind !== 'reply-received') return;
    const { at, callId, reply } = observation;
    for (const { name, result } of this.#calls.answers(callId, reply)) {
      const made = versionsInText(result.text);
      const named = namedVersions(result);
      this.compare(
        made.join() === named.join(),
        at,
        () => `${name}: made by versions ${made.join()}, but named ${named.join()}`,
      );
    }
  }
}

/** The version that the segments name for each token; 0 where none or more than one does. */
function namedVersions(result: GenerationResult): WeightVersion[] {
  const versions = new Array<WeightVersion>(result.tokenCount).fill(0);
  let next = 0;
  for (const segment of result.segments) {
    if (segment.firstToken !== next) return [];
    versions.fill(segment.version, segment.firstToken, segment.firstToken + segment.tokenCount);
    next += segment.tokenCount;
  }
  return next === result.tokenCount ? versions : [];
}
