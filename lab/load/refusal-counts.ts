/** Counts refusals and failures by kind. */
import type { JsonAnswer } from './json-client.js';

/** Kind under which answers that never came are counted. */
export const NO_ANSWER = 'no_answer';

/** Refusals by kind. */
export class RefusalCounts {
  readonly refusals = new Map<string, number>();

  /** Notes an answer other than the one hoped for. */
  refused(answer: JsonAnswer | undefined): void {
    const kind = answer === undefined ? NO_ANSWER : kindOf(answer);
    this.refusals.set(kind, (this.refusals.get(kind) ?? 0) + 1);
  }
}

/** The error kind of a problem document, or the status. */
export function kindOf(answer: JsonAnswer): string {
  const document = answer.document as { readonly kind?: string } | null;
  return document?.kind ?? `status_${answer.status}`;
}
