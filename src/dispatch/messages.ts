/**
 * Messages between the node that wants a generation run (the origin) and the home node of the
 * worker that runs it. Every exchange is named by its dispatch id, unique per attempt; each side
 * repeats itself until the other has answered, and both ignore repetitions.
 */
import type {
  GenerationRequest,
  GenerationResult,
  PartialGeneration,
  TokenSegment,
} from '../core/generation.js';
import type { WorkerId } from '../core/identity.js';
import type { Failure } from '../errors/error-kinds.js';

/** How one dispatch ended. */
export type DispatchOutcome =
  | { readonly kind: 'finished'; readonly result: GenerationResult }
  /** Refused before any engine saw it; the work did not run. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  /** Cancelled while it ran to make room for interactive work. */
  | { readonly kind: 'preempted'; readonly partial: PartialGeneration | null }
  /** The engine failed or the work was withdrawn; whether the work ran is in the failure. */
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      /** What the engine had reported, to be resumed elsewhere; `null` for nothing. */
      readonly partial: PartialGeneration | null;
    };

/** A message of this module. */
export type DispatchMessage =
  | {
      readonly kind: 'dispatch';
      readonly dispatchId: string;
      readonly worker: WorkerId;
      readonly request: GenerationRequest;
      /** Whether the origin wants segments as they come. */
      readonly stream: boolean;
    }
  /** The home has taken the dispatch in: it is queued or runs. */
  | { readonly kind: 'dispatch-accepted'; readonly dispatchId: string }
  /** Tokens as they come for a stream; now and then for an answer that can be resumed. */
  | {
      readonly kind: 'dispatch-segment';
      readonly dispatchId: string;
      readonly segment: TokenSegment;
      readonly text: string;
    }
  | {
      readonly kind: 'dispatch-ended';
      readonly dispatchId: string;
      readonly outcome: DispatchOutcome;
    }
  /** The origin has the outcome; the home may forget it. */
  | { readonly kind: 'dispatch-acknowledged'; readonly dispatchId: string }
  | { readonly kind: 'dispatch-cancel'; readonly dispatchId: string }
  /** The origin asks a silent home whether it still works on the dispatch. */
  | { readonly kind: 'dispatch-query'; readonly dispatchId: string };
