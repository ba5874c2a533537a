import t from 'tap';
import {
  ERROR_ANSWERS,
  ERROR_KINDS,
  executionStateOf,
  failure,
} from '../../src/errors/error-kinds.js';

t.test('every error kind has a complete answer', async (t) => {
  for (const kind of ERROR_KINDS) {
    const answer = ERROR_ANSWERS[kind];
    t.ok(answer.status >= 400 && answer.status < 600, `${kind} has an error status`);
    t.ok(['no', 'yes', 'unknown'].includes(answer.ran), `${kind} says whether the work ran`);
    t.ok(answer.title.endsWith('.'), `${kind} has a sentence`);
  }
});

t.test('answers with status 429 or 503 have a retry delay', async (t) => {
  for (const kind of ERROR_KINDS) {
    const { status, retryAfter } = ERROR_ANSWERS[kind];
    if (status === 503 || status === 429) t.ok(retryAfter, `${kind} has a retry delay`);
  }
});

t.test('the execution state of a failure overrides that of its kind', async (t) => {
  t.equal(executionStateOf(failure('deadline_exceeded', 'x')), 'unknown');
  t.equal(executionStateOf(failure('deadline_exceeded', 'x', { ran: 'no' })), 'no');
});
