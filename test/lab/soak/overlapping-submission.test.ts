/** Submissions of a soak that come to two zones at the same time. */
import t from 'tap';
import {
  OverlappingSubmission,
  type SubmissionSurroundings,
} from '../../../lab/soak/overlapping-submission.js';
import { PromiseChecker } from '../../../lab/soak/promise-checker.js';
import type { SoakAnswer } from '../../../lab/soak/soak-call.js';
import type { RandomSource } from '../../../src/core/random.js';

/** A source with which each submission comes to another zone at once. */
const OVERLAPPING: RandomSource = { integer: () => 0, fraction: () => 0, identifier: () => 'id' };
const ALONE: RandomSource = { ...OVERLAPPING, fraction: () => 0.99 };

const turn = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 1));

function fixture(random: RandomSource, answer: (zone: string) => Promise<SoakAnswer | undefined>) {
  let time = 0;
  const called: string[] = [];
  const checker = new PromiseChecker(() => time);
  const events = new Map([['item', 1]]);
  checker.jobOffered({ id: 'job', minVersion: 1, events });
  const surroundings: SubmissionSurroundings = {
    ...{ checker, random, zones: ['zone-a', 'zone-b'], isStoreAway: () => true },
    now: () => time,
    addressesIn: (zone) => [zone],
  };
  const submission = new OverlappingSubmission(
    {
      ...{ id: 'job', body: '{}', zone: 'zone-a', deadline: 1_000 },
      calls: {
        submit: (_id, _body, addresses = []) => {
          called.push(addresses[0] ?? '');
          time += 400;
          return answer(addresses[0] ?? '');
        },
      },
    },
    surroundings,
  );
  return { submission, called, checker };
}

t.test('the other zone gets the job while the own call is under way; its 202 counts', async (t) => {
  let answerOwn = (_answer: SoakAnswer | undefined): void => {};
  const { submission, called, checker } = fixture(OVERLAPPING, (zone) =>
    zone === 'zone-b'
      ? Promise.resolve({ status: 202, body: '' })
      : new Promise((resolve) => {
          answerOwn = resolve;
        }),
  );
  const accepted = submission.untilAccepted();
  while (called.length < 2) await turn();
  t.same(called, ['zone-a', 'zone-b']);
  answerOwn(undefined);
  t.equal(await accepted, true);
  t.equal(submission.acceptingZone, 'zone-b');
  t.equal(submission.overlapping, 1);
  t.equal(submission.overlappingWhileStoreAway, 1);
  t.equal(checker.acceptedJobs().length, 1);
});

t.test('a job is refused only if each call in each zone was', async (t) => {
  const refused = fixture(OVERLAPPING, async () => ({ status: 503, body: '' }));
  t.equal(await refused.submission.untilAccepted(), false);
  t.ok(refused.submission.wasAlwaysRefused);
  t.ok(refused.called.includes('zone-b'));
  const unsure = fixture(OVERLAPPING, async (zone) =>
    zone === 'zone-b' ? undefined : { status: 503, body: '' },
  );
  t.equal(await unsure.submission.untilAccepted(), false);
  t.notOk(unsure.submission.wasAlwaysRefused);
});

t.test('without an overlap only the own zone is asked', async (t) => {
  const { submission, called } = fixture(ALONE, async () => ({ status: 202, body: '' }));
  t.equal(await submission.untilAccepted(), true);
  await submission.finished();
  t.same(called, ['zone-a']);
});
