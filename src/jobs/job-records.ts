/**
 * What is kept of batch jobs in the shared store: specification, head, pages of results. Builds of
 * two formats may run a job in turn: each keeps the fields that it does not know, but for those of
 * kept progress, which is made anew. The build of format 1 drops them from heads, so what a head
 * gains must not be needed.
 */
import * as z from 'zod';
import { openRecord } from '../core/open-record.js';
import type { Milliseconds } from '../core/units.js';
import { REPLICA_LOCATION } from '../journal/replica-location.js';
import type { WeightNeed } from './job-peers.js';

/** The request that asks for the score of an item's text, at the service of its own route. */
const SCORE_REQUEST = openRecord({
  id: z.string(),
  host: z.string(),
  /** Path and query. */
  path: z.string(),
  /** Base64. */
  body: z.string(),
});

/** One item of a job: a request for a worker. */
const ITEM = openRecord({
  id: z.string(),
  path: z.string(),
  /** Header names and values in turn. */
  headers: z.array(z.string()),
  /** Base64. */
  body: z.string(),
  /** Tokens of the prompt and most out, summed. */
  tokens: z.number(),
  /** Items of one group share their prompt and count only when all are whole. */
  group: z.string(),
  /** Guess of the size of the answer in tokens; longer ones are run first. */
  expectedLength: z.number(),
  /** Where its result needs a score to be listed as completed. */
  scoreRequest: SCORE_REQUEST.optional(),
});

/** A job as it was submitted. */
export const SPECIFICATION = openRecord({
  id: z.string(),
  host: z.string(),
  /** Path of the submission; its route is the job's route. */
  path: z.string(),
  step: z.number(),
  model: z.string(),
  /** Oldest version of the weights that may make its results. */
  minVersion: z.number(),
  /** The tenant that submitted it; records of fleets without tenants lack it. */
  tenant: z.string().optional(),
  /** Whole groups that the trainer waits for. */
  desiredCount: z.number(),
  /** Time of day of the submission, in milliseconds since 1970. */
  submittedAt: z.number(),
  items: z.array(ITEM),
});

const OWNER = openRecord({
  node: z.string(),
  incarnation: z.string(),
  /** Where other nodes reach it. */
  address: z.string(),
});

const ROUTED_REQUEST = openRecord({ host: z.string(), path: z.string() });

const HEAD = openRecord({
  /** The life of a node that runs the items; `null` where none does. */
  owner: OWNER.nullable(),
  /** The tenant that submitted the job, as in its specification. */
  tenant: z.string().optional(),
  /** Number of its owner among all that it had; each has a higher one than the one before. */
  term: z.number().optional(),
  /** The replicas of its zone's journal, where it has one. */
  replicas: z.array(REPLICA_LOCATION).optional(),
  /** The zone that it was handed in at; records of older builds lack it. */
  zone: z.string().optional(),
  /** A request for each route that it takes, where regions matter: who may run it depends on them. */
  requests: z.array(ROUTED_REQUEST).optional(),
  total: z.number(),
  listed: z.number(),
  pages: z.number(),
  ended: z.boolean(),
  submittedAt: z.number(),
  /** Keys that the specification takes. */
  specificationParts: z.number(),
  /** Drawn anew for each change, to tell one's own change after a lost answer. */
  changeId: z.string(),
});

/** One listed result. */
export const RESULT = openRecord({
  id: z.string(),
  state: z.enum(['completed', 'terminated']),
  text: z.string(),
  versions: z.array(z.number()),
  /** The signature of the answer to the item's score request. */
  score: z.string().optional(),
});

const PAGE = openRecord({ first: z.number(), results: z.array(RESULT) });

const PROGRESS = z.record(
  z.string(),
  openRecord({
    events: z.array(z.string()),
    lastEventId: z.number(),
    versions: z.array(z.number()),
    /** Whether the text is whole and lacks only its score. */
    isWhole: z.boolean().optional(),
  }),
);

/** A request for a score. */
export type ScoreRequest = z.infer<typeof SCORE_REQUEST>;
/** One item of a job. */
export type JobItem = z.infer<typeof ITEM>;
/** A job as it was submitted; never changes. */
export type JobSpecification = z.infer<typeof SPECIFICATION>;
/** One life of a node. */
export type JobOwner = z.infer<typeof OWNER>;
/** The part of a job that changes; every change is conditional on its revision. */
export type JobHead = z.infer<typeof HEAD>;
/** One listed result. */
export type JobResult = z.infer<typeof RESULT>;
/** Results at successive positions; never changes once written. */
export type ResultPage = z.infer<typeof PAGE>;
/** What was made of items that are not listed yet, by item. */
export type StoredProgress = z.infer<typeof PROGRESS>;

const HEADS = 'job/head/';
const SPECIFICATIONS = 'job/spec/';
const PAGES = 'job/page/';
const PROGRESSES = 'job/progress/';

/** Digits of a page's number in its key, so that keys sort as numbers do. */
const PAGE_DIGITS = 6;

/** Keys of the shared store. */
export const JOB_KEYS = {
  heads: HEADS,
  head: (job: string): string => `${HEADS}${job}`,
  jobOfHead: (key: string): string => key.slice(HEADS.length),
  specification: (job: string, part: number): string =>
    `${SPECIFICATIONS}${job}/${String(part).padStart(PAGE_DIGITS, '0')}`,
  specificationParts: (job: string): string => `${SPECIFICATIONS}${job}/`,
  pages: (job: string): string => `${PAGES}${job}/`,
  page: (job: string, number: number): string =>
    `${PAGES}${job}/${String(number).padStart(PAGE_DIGITS, '0')}`,
  progresses: PROGRESSES,
  progress: (job: string): string => `${PROGRESSES}${job}`,
} as const;

/** Reads a record; `undefined` where it is not one. */
function decode<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.infer<Schema> | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Reads a head; `undefined` where the text is none. */
export const decodeHead = (text: string): JobHead | undefined => decode(HEAD, text);
/** Reads a specification; `undefined` where the text is none. */
export const decodeSpecification = (text: string): JobSpecification | undefined =>
  decode(SPECIFICATION, text);
/** Reads a page; `undefined` where the text is none. */
export const decodePage = (text: string): ResultPage | undefined => decode(PAGE, text);
/** Reads kept progress; `undefined` where the text is none. */
export const decodeProgress = (text: string): StoredProgress | undefined => decode(PROGRESS, text);

/** Whether nothing is left to run for a job. */
export function isFinished(head: JobHead): boolean {
  return head.ended || head.listed >= head.total;
}

/** What a job asks of the workers of its model. */
export function weightNeedOf({ model, minVersion, items }: JobSpecification): WeightNeed {
  const tokens = items.reduce((sum, item) => sum + item.expectedLength, 0);
  return { model, version: minVersion, tokens };
}

/** Age of a job by the time of day. */
export function ageOf(
  record: { readonly submittedAt: number },
  wallTime: Milliseconds,
): Milliseconds {
  return Math.max(0, wallTime - record.submittedAt);
}
