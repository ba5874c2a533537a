/** Mechanisms that keep accepted jobs whole; the proof can switch each of them off. */

/** The closed list, each with what its absence does. */
export const JOB_MECHANISMS = {
  'conditional-commit': 'Changes of a job are made whatever its head is',
  'superseded-owner-stops': 'An owner that lost a commit goes on from the newer head',
  'one-commit-a-page': 'A page of results is written apart from the head that counts it',
  'read-verification': 'An owner answers for a job without asking whether it still is the owner',
  'score-after-text': 'A score is asked for before the text of its item is whole',
  'answers-matched-by-id':
    'The answer to an earlier score request is taken for the one that is due',
  'whole-texts-kept': 'What is kept of an item does not say that its text is whole',
  'stored-before-accepted': 'A job is accepted before the store has taken it',
} as const;

/** One mechanism. */
export type JobMechanism = keyof typeof JOB_MECHANISMS;

/** All mechanisms. */
export const JOB_MECHANISM_NAMES = Object.keys(JOB_MECHANISMS) as readonly JobMechanism[];

/** Whether a name is one of them. */
export function isJobMechanism(name: string): name is JobMechanism {
  return name in JOB_MECHANISMS;
}
