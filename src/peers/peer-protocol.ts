/**
 * How questions and answers travel from node to node, and what holds while nodes of two builds run
 * side by side: fields that a build does not know are ignored, fields that it lacks have a default
 * here, and a kind that it does not know is answered as such.
 */
import type { PeerAnswers, PeerRequest, PeerRequestOf } from './peer-messages.js';

/** Path of the node-to-node endpoint. */
export const PEER_PATH = '/fleet/peer';

/** Statuses of answers. */
export const PEER_STATUS = {
  answered: 200,
  /** No question. Builds of format 1 say so of a kind that they do not know, and of a long question. */
  malformed: 400,
  otherPath: 404,
  tooLong: 413,
  failed: 500,
  unknownKind: 501,
} as const;

/**
 * Kinds that every build knows. A build of format 1 gives a question that is too long the status of an
 * unknown kind, so a refusal of these kinds speaks of that one question and is not remembered.
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

/** Whether a status says that the question was not acted on and never will be. */
export function isUnsupported(status: number | undefined): boolean {
  const { malformed, tooLong, unknownKind } = PEER_STATUS;
  return status === malformed || status === tooLong || status === unknownKind;
}

/** Whether some build that may be live does not know a kind. */
export function isNewKind(kind: string): boolean {
  return !KINDS_OF_FORMAT_1.includes(kind);
}

/** Fields that questions of older builds lack. */
type QuestionDefaults = {
  readonly [Kind in PeerRequest['kind']]?: Partial<PeerRequestOf<Kind>>;
};

/** Fields that answers of older builds lack. */
type AnswerDefaults = {
  readonly [Kind in PeerRequest['kind']]?: Partial<PeerAnswers[Kind]>;
};

/**
 * A required field that is added to a question stands here with what its absence means; an optional
 * one says so where it is declared.
 */
const QUESTION_DEFAULTS: QuestionDefaults = {};

/** The same for the fields of answers. */
const ANSWER_DEFAULTS: AnswerDefaults = {};

/** A question with the fields that an older build left out. */
export function wholeQuestion(question: PeerRequest): PeerRequest {
  return withDefaults<PeerRequest>(question, QUESTION_DEFAULTS[question.kind]);
}

/** An answer with the fields that an older build left out. */
export function wholeAnswer<Kind extends PeerRequest['kind']>(
  kind: Kind,
  answer: PeerAnswers[Kind],
): PeerAnswers[Kind] {
  return withDefaults(answer, ANSWER_DEFAULTS[kind]);
}

/** The message itself where it has nothing to be added to. */
function withDefaults<Message extends object>(
  message: Message,
  defaults: Partial<Message> | undefined,
): Message {
  return defaults === undefined ? message : { ...defaults, ...message };
}
