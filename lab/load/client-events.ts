/**
 * What trainers, callers and operators did and received, as the oracles judge it. Written one a
 * line by `demo --record FILE`, so that a recording can be judged again. All times are wall-clock
 * milliseconds.
 */
import * as z from 'zod';

const versionRange = z.object({
  version: z.number(),
  firstToken: z.number(),
  tokenCount: z.number(),
});

const sample = z.object({
  at: z.number(),
  stepId: z.string(),
  key: z.string(),
  position: z.number(),
  text: z.string(),
  versions: z.array(versionRange),
});

/** Schema of one event. */
export const clientEvent = z.discriminatedUnion('kind', [
  z.object({
    /** An operator was told that a weight version is published. */
    kind: z.literal('published'),
    at: z.number(),
    version: z.number(),
  }),
  z.object({
    /** A trainer's step was accepted. */
    kind: z.literal('step-accepted'),
    at: z.number(),
    stepId: z.string(),
    samples: z.array(z.object({ key: z.string(), prompt: z.string(), seed: z.number() })),
  }),
  /** A sample was read for the first time. */
  sample.extend({ kind: z.literal('sample') }),
  /** A position was read once more. */
  sample.extend({ kind: z.literal('sample-again') }),
  z.object({
    /** A trainer was told that its step is over. */
    kind: z.literal('step-over'),
    at: z.number(),
    stepId: z.string(),
    state: z.enum(['complete', 'closed']),
  }),
  z.object({
    /** A lookup or an order came to an end for its caller. */
    kind: z.literal('answer'),
    at: z.number(),
    /** Whether the request may run at most once. */
    order: z.boolean(),
    prompt: z.string(),
    seed: z.number(),
    /** 0 where no whole answer came. */
    status: z.number(),
    /** Kind of the problem; `null` for a result. */
    problem: z.string().nullable(),
    ran: z.enum(['no', 'yes', 'unknown']),
    text: z.string(),
    versions: z.array(versionRange),
  }),
  z.object({
    /** An engine accepted an interactive request; the truth about what ran. */
    kind: z.literal('accepted'),
    at: z.number(),
    worker: z.string(),
    prompt: z.string(),
    seed: z.number(),
  }),
]);

/** One event. */
export type ClientEvent = z.infer<typeof clientEvent>;

/** A sample as a trainer received it. */
export type SampleEvent = Extract<ClientEvent, { kind: 'sample' | 'sample-again' }>;

/** An answer as a caller received it. */
export type AnswerEvent = Extract<ClientEvent, { kind: 'answer' }>;

/** Takes events as they happen. */
export type ClientEventSink = (event: ClientEvent) => void;

/** The time of an event that happens now; monotonic within a process. */
export function eventTime(): number {
  return performance.timeOrigin + performance.now();
}
