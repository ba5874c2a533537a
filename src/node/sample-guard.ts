/**
 * The rules for the weight versions of samples while they are made: at the home on each reported
 * run of tokens, and at the origin before a worker goes on from tokens made elsewhere. The same
 * rules are checked once more at hand-over; see `src/weights/staleness-bound.ts`.
 */
import { type Intent, newestVersion, oldestAllowedVersion } from '../config-feed/configuration.js';
import type { GenerationRequest, PartialGeneration, TokenSegment } from '../core/generation.js';
import { oldestVersionOf } from '../core/generation.js';
import type { WorkerId } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import type { WeightVersion } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import {
  checkSegment,
  trainingBounds,
  type VersionBounds,
  versionFault,
} from '../weights/staleness-bound.js';

/** Guards the versions of samples for one node. */
export class SampleGuard {
  /**
   * @param activeVersion the version a worker last reported; `undefined` where none is known.
   * @param resumeRoom versions that may be published before a resumed sample is too old.
   */
  constructor(
    private readonly node: NodePorts,
    private readonly activeVersion: (worker: WorkerId) => WeightVersion | undefined,
    private readonly resumeRoom: number,
  ) {}

  /**
   * Why a sample must not go on after a reported run of tokens; `null` where it may, and also where
   * the newest version cannot be known now: then only its hand-over has to wait. The mechanism
   * `staleness-check-at-hand-over` covers all checks of the versions an answer has.
   */
  segmentFault(
    request: GenerationRequest,
    previous: TokenSegment | undefined,
    segment: TokenSegment,
    oldest: WeightVersion | undefined,
  ): Failure | null {
    const intent = this.intentOf(request);
    const bounds = intent === undefined ? null : this.bounds(intent);
    if (intent === undefined || bounds === null) return null;
    const verdict = checkSegment(bounds, intent.versionSpan, previous, segment);
    if (verdict.kind === 'not-contiguous') {
      return failure('engine_failed', 'the engine left tokens out', { ran: 'yes' });
    }
    if (!this.node.mechanisms['staleness-check-at-hand-over']) return null;
    const isDoomed = oldest !== undefined && versionFault(bounds, oldest) !== undefined;
    if (verdict.kind === 'allowed' && !isDoomed) return null;
    const reason = verdict.kind === 'allowed' ? 'too-old' : verdict.kind;
    return failure('version_unknown', `the sample cannot be handed over: ${reason}`, {
      ran: 'yes',
    });
  }

  /**
   * Whether a worker may go on from tokens made elsewhere: all their versions lie inside the
   * bounds with the room asked for, or are of the newest one, and where the intent asks for one version per sample, the worker serves it.
   */
  mayResume(request: GenerationRequest, partial: PartialGeneration, worker: WorkerId): boolean {
    const intent = this.intentOf(request);
    const bounds = intent === undefined ? null : this.bounds(intent);
    const oldest = oldestVersionOf(partial);
    if (intent === undefined || bounds === null || oldest === undefined) return false;
    if (partial.segments.some(({ version }) => versionFault(bounds, version) !== undefined)) {
      return false;
    }
    if (oldest < this.oldestWithRoom(intent)) return false;
    if (intent.versionSpan === 'record') return true;
    const active = this.activeVersion(worker);
    return partial.segments.every(({ version }) => version === active);
  }

  /** The oldest version worth resuming; a start from the newest version leaves no more room. */
  private oldestWithRoom(intent: Intent): WeightVersion {
    const newest = newestVersion(this.node.configuration(), intent.model) ?? 0;
    const afterPublications = oldestAllowedVersion(intent, newest + this.resumeRoom);
    return Math.min(afterPublications, newest, intent.maximumVersion ?? newest);
  }

  private intentOf(request: GenerationRequest): Intent | undefined {
    return this.node.configuration().intents.get(request.intent);
  }

  private bounds(intent: Intent): VersionBounds | null {
    const view = {
      configuration: this.node.configuration(),
      configurationFresh: this.node.isFresh(),
    };
    const bounds = trainingBounds(view, intent);
    return bounds.isOk ? bounds.value : null;
  }
}
