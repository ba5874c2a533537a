/**
 * The staleness bound: which weight versions may produce a sample, and the checks of it on each
 * segment an engine reports and at hand-over to the trainer. Before that, the router and the home
 * of a worker keep work from workers whose active version is too old.
 */
import { Result } from 'true-myth';
import {
  type Configuration,
  type Intent,
  newestVersion,
  oldestAllowedVersion,
} from '../config-feed/configuration.js';
import type { GenerationResult, TokenSegment } from '../core/generation.js';
import type { TokenCount, WeightVersion } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';

/** A configuration, and whether the node can show that it is fresh. */
export interface ConfigurationView {
  readonly configuration: Configuration;
  readonly configurationFresh: boolean;
}

/** The versions that may produce a token, both ends included. */
export interface VersionBounds {
  readonly oldest: WeightVersion;
  /** `null` where the intent sets no limit. */
  readonly newest: WeightVersion | null;
}

/** Why a version may not produce a token. */
export type VersionFault =
  | { readonly kind: 'too-old'; readonly version: WeightVersion; readonly oldest: WeightVersion }
  | { readonly kind: 'too-new'; readonly version: WeightVersion; readonly newest: WeightVersion };

/** Verdict on one segment of a generation that is running. */
export type SegmentVerdict =
  | { readonly kind: 'allowed' }
  | VersionFault
  /** The intent asks for one version per sample, and the worker changed weights under it. */
  | { readonly kind: 'version-changed'; readonly from: WeightVersion; readonly to: WeightVersion }
  /** Tokens are missing or repeated, so the versions of all tokens are not known. */
  | {
      readonly kind: 'not-contiguous';
      readonly expectedToken: TokenCount;
      readonly firstToken: TokenCount;
    };

/** Verdict on a complete answer before it is handed to the trainer. */
export type HandOverVerdict =
  | Exclude<SegmentVerdict, { kind: 'allowed' }>
  | { readonly kind: 'allowed'; readonly bounds: VersionBounds }
  /** The newest version is not known now: keep the answer and check again. */
  | { readonly kind: 'hold'; readonly failure: Failure };

/**
 * The versions that may produce a training sample now. Fails with `cut_off` where the
 * configuration is not fresh, whatever the intent's cut-off rule, because a newer version may
 * exist, and with `version_unknown` where no version is published.
 */
export function trainingBounds(
  view: ConfigurationView,
  intent: Intent,
): Result<VersionBounds, Failure> {
  if (!view.configurationFresh) {
    return Result.err(failure('cut_off', `newest version of ${intent.model} cannot be known`));
  }
  const newest = newestVersion(view.configuration, intent.model);
  if (newest === undefined) {
    return Result.err(failure('version_unknown', `no version of ${intent.model} is published`));
  }
  const oldest = oldestAllowedVersion(intent, newest);
  return Result.ok({ oldest, newest: intent.maximumVersion });
}

/** The versions that may answer interactive traffic; the staleness bound does not apply to it. */
export function interactiveBounds(intent: Intent): VersionBounds {
  return { oldest: intent.minimumVersion, newest: intent.maximumVersion };
}

/** Whether a version lies inside the bounds; `undefined` when it does. */
export function versionFault(
  bounds: VersionBounds,
  version: WeightVersion,
): VersionFault | undefined {
  if (version < bounds.oldest) return { kind: 'too-old', version, oldest: bounds.oldest };
  if (bounds.newest !== null && version > bounds.newest) {
    return { kind: 'too-new', version, newest: bounds.newest };
  }
  return undefined;
}

/**
 * Checks one reported segment against the bounds of this moment.
 * @param previous the segment before it; `undefined` for the first.
 */
export function checkSegment(
  bounds: VersionBounds,
  versionSpan: Intent['versionSpan'],
  previous: TokenSegment | undefined,
  segment: TokenSegment,
): SegmentVerdict {
  const expectedToken = previous === undefined ? 0 : previous.firstToken + previous.tokenCount;
  if (segment.firstToken !== expectedToken) {
    return { kind: 'not-contiguous', expectedToken, firstToken: segment.firstToken };
  }
  const fault = versionFault(bounds, segment.version);
  if (fault !== undefined) return fault;
  if (versionSpan === 'restart' && previous !== undefined && previous.version !== segment.version) {
    return { kind: 'version-changed', from: previous.version, to: segment.version };
  }
  return { kind: 'allowed' };
}

/**
 * Checks a complete answer against the newest version known at this moment: every token must be
 * covered by a segment, and every segment must lie inside the bounds.
 */
export function checkHandOver(
  view: ConfigurationView,
  intent: Intent,
  result: Pick<GenerationResult, 'segments' | 'tokenCount'>,
): HandOverVerdict {
  const bounds = trainingBounds(view, intent);
  if (bounds.isErr) return { kind: 'hold', failure: { ...bounds.error, ran: 'yes' } };
  let previous: TokenSegment | undefined;
  for (const segment of result.segments) {
    const verdict = checkSegment(bounds.value, intent.versionSpan, previous, segment);
    if (verdict.kind !== 'allowed') return verdict;
    previous = segment;
  }
  const covered = previous === undefined ? 0 : previous.firstToken + previous.tokenCount;
  if (covered !== result.tokenCount) {
    return { kind: 'not-contiguous', expectedToken: covered, firstToken: result.tokenCount };
  }
  return { kind: 'allowed', bounds: bounds.value };
}
