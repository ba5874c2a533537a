/**
 * Records of batch jobs in the shared store: specification, head, result pages and progress. Builds
 * of two formats may own a job in turn, so unknown fields are preserved, except in progress, which
 * is rewritten. Format 1 drops unknown fields from heads, so fields added to heads must be
 * optional.
 */
import * as z from 'zod';
import { looseRecord } from '../core/open-record.js';
import type { Milliseconds } from '../core/units.js';
import { REPLICA_LOCATION } from '../journal/replica-location.js';
import type { WeightNeed } from './job-peers.js';

/** The request for the score of an item's text; its host and path select its route. */
const SCORE_REQUEST = looseRecord({
  id: z.string(),
  host: z.string(),
  /** Path and query string. */
  path: z.string(),
  /** Base64. */
  body: z.string(),
});

/** One item of a job: a request for a worker. */
const ITEM = looseRecord({
  id: z.string(),
  path: z.string(),
  /** Alternating header names and values. */
  headers: z.array(z.string()),
  /** Base64. */
  body: z.string(),
  /** Prompt tokens plus the maximum output tokens. */
  tokens: z.number(),
  /** Items of one group share a prompt and count only when all of them are completed. */
  group: z.string(),
  /** Expected output tokens; longer items run first. */
  expectedLength: z.number(),
  /** Present if the result needs a score before it is listed as completed. */
  scoreRequest: SCORE_REQUEST.optional(),
});

/** A job as submitted. */
export const SPECIFICATION = looseRecord({
  id: z.string(),
  host: z.string(),
  /** Path of the submission, which selects the job's route. */
  path: z.string(),
  step: z.number(),
  model: z.string(),
  /** Oldest weight version that may generate its results. */
  minVersion: z.number(),
  /** The tenant that submitted the job; absent in fleets without tenants. */
  tenant: z.string().optional(),
  /** Number of completed groups that the trainer waits for. */
  desiredCount: z.number(),
  /** Wall-clock time of the submission, in milliseconds since the Unix epoch. */
  submittedAt: z.number(),
  items: z.array(ITEM),
});

const OWNER = looseRecord({
  node: z.string(),
  incarnation: z.string(),
  /** Address at which other nodes reach the owner. */
  address: z.string(),
});

const ROUTED_REQUEST = looseRecord({ host: z.string(), path: z.string() });

const HEAD = looseRecord({
  /** The node incarnation that runs the items; `null` if the job is released. */
  owner: OWNER.nullable(),
  /** The tenant of the specification. */
  tenant: z.string().optional(),
  /** Fencing token of the owner in the zone's journal; each owner has a higher one. */
  term: z.number().optional(),
  /** The replicas of the zone's journal for the job, if there is one. */
  replicas: z.array(REPLICA_LOCATION).optional(),
  /** The zone in which the job was submitted; absent in records of older builds. */
  zone: z.string().optional(),
  /** One request per route of the job, to determine the allowed regions if they are restricted. */
  requests: z.array(ROUTED_REQUEST).optional(),
  total: z.number(),
  listed: z.number(),
  pages: z.number(),
  ended: z.boolean(),
  submittedAt: z.number(),
  /** Number of keys that contain the specification. */
  specificationParts: z.number(),
  /** Random id of the last change, to recognize an own change whose response was lost. */
  changeId: z.string(),
});

/** A listed result. */
export const RESULT = looseRecord({
  id: z.string(),
  state: z.enum(['completed', 'terminated']),
  text: z.string(),
  versions: z.array(z.number()),
  /** Signature of the response to the item's score request. */
  score: z.string().optional(),
});

const PAGE = looseRecord({ first: z.number(), results: z.array(RESULT) });

const PROGRESS = z.record(
  z.string(),
  looseRecord({
    events: z.array(z.string()),
    lastEventId: z.number(),
    versions: z.array(z.number()),
    /** Whether the text is complete and lacks only its score. */
    isWhole: z.boolean().optional(),
  }),
);

/** The end of a job that came before its creation. */
const END_MARK = looseRecord({
  /** The callers' tenants, whose jobs alone it cancels. @default those of all tenants */
  tenants: z.array(z.string()).optional(),
});

/** A request for a score. */
export type ScoreRequest = z.infer<typeof SCORE_REQUEST>;
/** One item of a job. */
export type JobItem = z.infer<typeof ITEM>;
/** A job as submitted; immutable. */
export type JobSpecification = z.infer<typeof SPECIFICATION>;
/** A node incarnation that owns jobs. */
export type JobOwner = z.infer<typeof OWNER>;
/** The mutable part of a job; every change is conditional on its revision. */
export type JobHead = z.infer<typeof HEAD>;
/** A listed result. */
export type JobResult = z.infer<typeof RESULT>;
/** Results at consecutive positions; immutable. */
export type ResultPage = z.infer<typeof PAGE>;
/** Progress of unlisted items, by item id. */
export type StoredProgress = z.infer<typeof PROGRESS>;

const HEADS = 'job/head/';
const SPECIFICATIONS = 'job/spec/';
const PAGES = 'job/page/';
const PROGRESSES = 'job/progress/';
const END_MARKS = 'job/end/';

/** Digits of a page or part number in its key, so that keys sort numerically. */
const PAGE_DIGITS = 6;

/** Keys of job records in the shared store. */
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
  endMark: (job: string): string => `${END_MARKS}${job}`,
} as const;

/** Decodes a record; `undefined` if the text does not match the schema. */
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

/** Decodes a head; `undefined` if the text is invalid. */
export const decodeHead = (text: string): JobHead | undefined => decode(HEAD, text);
/** Decodes a specification; `undefined` if the text is invalid. */
export const decodeSpecification = (text: string): JobSpecification | undefined =>
  decode(SPECIFICATION, text);
/** Decodes a page; `undefined` if the text is invalid. */
export const decodePage = (text: string): ResultPage | undefined => decode(PAGE, text);
/** Decodes the mark of an early end; `undefined` if the text is invalid. */
export const decodeEndMark = (text: string): z.infer<typeof END_MARK> | undefined =>
  decode(END_MARK, text);
/** Decodes stored progress; `undefined` if the text is invalid. */
export const decodeProgress = (text: string): StoredProgress | undefined => decode(PROGRESS, text);

/** Whether a job is cancelled or all its results are listed. */
export function isFinished(head: JobHead): boolean {
  return head.ended || head.listed >= head.total;
}

/** The weights and the amount of work that a job needs. */
export function weightNeedOf({ model, minVersion, items }: JobSpecification): WeightNeed {
  const tokens = items.reduce((sum, item) => sum + item.expectedLength, 0);
  return { model, version: minVersion, tokens };
}

/** Age of a job by wall-clock time, not below 0. */
export function ageOf(
  record: { readonly submittedAt: number },
  wallTime: Milliseconds,
): Milliseconds {
  return Math.max(0, wallTime - record.submittedAt);
}
