/**
 * Wire protocol between nodes, and its compatibility between builds: unknown fields are ignored,
 * missing fields get defaults, and an unknown kind of request is answered with a status of its own.
 */
import type { PeerAnswers, PeerRequest, PeerRequestOf } from './peer-messages.js';

export const PEER_PATH = '/fleet/peer';

/** HTTP statuses of answers. */
export const PEER_STATUS = {
  answered: 200,
  /** Not a request. Builds of format 1 also answer unknown kinds and long requests with it. */
  malformed: 400,
  otherPath: 404,
  tooLong: 413,
  failed: 500,
  unknownKind: 501,
} as const;

/**
 * Kinds that every build supports. A build of format 1 answers a request that is too long like one of
 * an unknown kind, so a rejection of these kinds applies to that request only and is not remembered.
 */
const KINDS_OF_FORMAT_1: readonly string[] = [
  'probe',
  'kept-work',
  'job-results',
  'end-job',
  'surrender-job',
  'submit-for',
  'read-for',
  'end-for',
  'adopt-job',
  'item-body',
  'take-job',
  'worker-ended',
  'usage-counts',
  'need-weights',
  'weights-change',
  'resign-coordinator',
  'follow-prefix',
  'list-prefix',
  'journal-claim',
  'journal-append',
  'journal-release',
  'journal-look',
  'journal-list',
] satisfies PeerRequest['kind'][];

/** Whether a status means that the node did not act on the request and never will. */
export function isUnsupported(status: number | undefined): boolean {
  const { malformed, tooLong, unknownKind } = PEER_STATUS;
  return status === malformed || status === tooLong || status === unknownKind;
}

/** Whether a build that may be running does not support a kind. */
export function isNewKind(kind: string): boolean {
  return !KINDS_OF_FORMAT_1.includes(kind);
}

/** Fields that requests of older builds lack. */
type RequestDefaults = {
  readonly [Kind in PeerRequest['kind']]?: Partial<PeerRequestOf<Kind>>;
};

/** Fields that answers of older builds lack. */
type AnswerDefaults = {
  readonly [Kind in PeerRequest['kind']]?: Partial<PeerAnswers[Kind]>;
};

/**
 * Holds the default of each required field that is added to a request; the default of an optional
 * field is documented at its declaration.
 */
const REQUEST_DEFAULTS: RequestDefaults = {};

/** Like {@link REQUEST_DEFAULTS}, for answers. */
const ANSWER_DEFAULTS: AnswerDefaults = {};

/** Adds the fields that an older build left out of a request. */
export function withRequestDefaults(request: PeerRequest): PeerRequest {
  return withDefaults<PeerRequest>(request, REQUEST_DEFAULTS[request.kind]);
}

/** Adds the fields that an older build left out of an answer. */
export function withAnswerDefaults<Kind extends PeerRequest['kind']>(
  kind: Kind,
  answer: PeerAnswers[Kind],
): PeerAnswers[Kind] {
  return withDefaults(answer, ANSWER_DEFAULTS[kind]);
}

/** Returns the message itself if it has no defaults. */
function withDefaults<Message extends object>(
  message: Message,
  defaults: Partial<Message> | undefined,
): Message {
  return defaults === undefined ? message : { ...defaults, ...message };
}
