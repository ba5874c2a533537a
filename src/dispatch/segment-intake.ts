/**
 * What a home does with the runs of tokens its engines report: checks those of samples, keeps them
 * to be resumed elsewhere, and passes them on to the origin.
 */
import type { PartialGeneration } from '../core/generation.js';
import { type NodeIdentity, sameIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';
import type { HomeDispatch } from './dispatch-memory.js';
import type { HomeDispatcherOptions } from './home-dispatcher-options.js';
import type { AnswerPart } from './partial-answer.js';

/** The settings of the home dispatcher that matter here. */
export type SegmentIntakeOptions = Pick<
  HomeDispatcherOptions,
  'self' | 'send' | 'segmentFault' | 'resume'
>;

/** Takes in the runs of tokens of one home's dispatches. */
export class SegmentIntake {
  constructor(private readonly options: SegmentIntakeOptions) {}

  /** Takes in a reported run of tokens; returns why the dispatch must end, `null` to go on. */
  take(dispatch: HomeDispatch, part: AnswerPart, now: Milliseconds): Failure | null {
    const { answer, request } = dispatch;
    if (answer !== null && request !== null) {
      const { last, oldestVersion } = answer;
      const fault = this.options.segmentFault?.(request, last, part.segment, oldestVersion);
      if (fault !== undefined && fault !== null) return fault;
      answer.append(part.segment, part.text);
    }
    if (dispatch.stream) this.forward(dispatch, part);
    else this.reportProgress(dispatch, now);
    return null;
  }

  /** What a running dispatch has made, where it may be resumed; `null` otherwise. */
  partialOf(dispatch: HomeDispatch): PartialGeneration | null {
    return this.mayResume(dispatch) ? (dispatch.answer?.partial() ?? null) : null;
  }

  /** Whether messages to an origin stay within the home: both are lost together. */
  isSelf(origin: NodeIdentity): boolean {
    const { self } = this.options;
    return self !== undefined && sameIdentity(origin, self);
  }

  /** Lets the origin know now and then what it could resume if this home were lost. */
  private reportProgress(dispatch: HomeDispatch, now: Milliseconds): void {
    if (!this.mayResume(dispatch) || this.isSelf(dispatch.origin)) return;
    for (const part of dispatch.answer?.takeProgress(now) ?? []) this.forward(dispatch, part);
  }

  private forward({ dispatchId, origin }: HomeDispatch, { segment, text }: AnswerPart): void {
    this.options.send(origin, { kind: 'dispatch-segment', dispatchId, segment, text });
  }

  private mayResume({ request }: HomeDispatch): boolean {
    return this.options.resume !== false && request?.repeatable === true;
  }
}
