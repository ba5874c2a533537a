import t from 'tap';
import { PromiseChecker, sampleLine } from '../../../lab/soak/promise-checker.js';
import type { ReadResult } from '../../../lab/soak/promise-records.js';

const IN_TOUCH = { name: 'gateway-1', isInTouch: true };
const OUT_OF_TOUCH = { name: 'gateway-2', isInTouch: false };

function fixture() {
  let time = 0;
  const checker = new PromiseChecker(() => time);
  const events = new Map([
    ['one', 2],
    ['two', 1],
  ]);
  checker.jobOffered({ id: 'job', minVersion: 2, events });
  const advance = (duration: number): void => {
    time += duration;
  };
  const broken = (): string[] => checker.violations.map(({ promise }) => promise);
  return { checker, advance, broken };
}

function sample(
  id: string,
  versions: readonly number[],
  fields: Partial<ReadResult> = {},
): ReadResult {
  const text = versions.map((version, index) => sampleLine(id, index, version)).join('\n');
  return { id, state: 'completed', text, versions: [...new Set(versions)], ...fields };
}

t.test('what is whole and true breaks nothing', async (t) => {
  const { checker, broken } = fixture();
  checker.jobAccepted('job');
  checker.itemStarted('one', IN_TOUCH, undefined, true);
  checker.resultsRead('job', 2, 0, [sample('one', [2, 3])]);
  checker.resultsRead('job', 2, 0, [sample('one', [2, 3]), sample('two', [3])]);
  checker.resultsReadAgain('job', 2, 'gateway');
  checker.lookupAnswered('ask', 'answer', 'answer');
  checker.orderTaken('node-1', 4, 0);
  checker.orderTaken('node-1', 4, 4);
  checker.orderTaken('node-2', 9, 4);
  t.same(broken(), []);
  t.ok(checker.checked >= 10);
});

t.test('samples that lack events, mix versions or are too old are found', async (t) => {
  const { checker, broken } = fixture();
  checker.resultsRead('job', 2, 0, [sample('one', [2])]);
  t.same(broken(), ['sample-text']);
  checker.resultsRead('job', 2, 1, [sample('two', [2], { versions: [3] })]);
  t.same(broken(), ['sample-text', 'sample-versions']);
  const old = fixture();
  old.checker.resultsRead('job', 2, 0, [sample('one', [1, 2])]);
  t.same(old.broken(), ['sample-versions']);
});

t.test('positions that change, repeat an item or count wrongly are found', async (t) => {
  const { checker, broken } = fixture();
  checker.resultsRead('job', 2, 0, [sample('one', [2, 2])]);
  checker.resultsRead('job', 2, 0, [sample('one', [2, 3])]);
  t.same(broken(), ['positions']);
  checker.resultsRead('job', 2, 1, [sample('one', [2, 2])]);
  t.same(broken(), ['positions', 'positions']);
  checker.resultsRead('job', 3, 2, []);
  t.equal(broken().length, 3);
  checker.resultsRead('job', 2, 2, [sample('other', [2])]);
  t.equal(broken().length, 4);
});

t.test('accepted jobs that are lost, or lose results, are found', async (t) => {
  const { checker, broken } = fixture();
  checker.jobUnknown('job');
  t.same(broken(), [], 'it was not accepted yet');
  checker.jobAccepted('job');
  checker.jobUnknown('job');
  checker.resultsRead('job', 2, 0, [sample('one', [2, 2])]);
  checker.resultsReadAgain('job', 0, 'gateway');
  t.same(broken(), ['job-kept', 'job-kept']);
});

t.test(
  'an accepted job that can not be read is found, although nothing of it was read',
  async (t) => {
    const { checker, broken } = fixture();
    checker.jobAccepted('job');
    checker.resultsReadAgain('job', 0, 'gateway');
    t.same(broken(), [], 'it has no results yet');
    checker.resultsReadAgain('job', -1, 'gateway');
    t.same(broken(), ['job-kept']);
  },
);

t.test('a refusal is found untrue where an item ran', async (t) => {
  const { checker, broken } = fixture();
  checker.jobRefused('job');
  t.same(broken(), []);
  checker.itemStarted('one', IN_TOUCH, undefined, true);
  checker.jobRefused('job');
  t.same(broken(), ['refusal-true']);
});

t.test('work for an ended job is found, unless its sender is out of touch', async (t) => {
  const { checker, advance, broken } = fixture();
  checker.jobEnded('job');
  advance(2_900);
  checker.itemStarted('one', IN_TOUCH, undefined, true);
  t.same(broken(), []);
  advance(200);
  checker.itemStarted('one', OUT_OF_TOUCH, undefined, true);
  t.same(broken(), []);
  checker.itemStarted('one', IN_TOUCH, undefined, false);
  t.same(broken(), ['ended-job'], 'whatever happens to others');
  t.match(checker.violations[0]?.detail, /^one of job from gateway-1 came 3100 ms/);
});

t.test('work for a leaving worker is found, unless a fault excuses it', async (t) => {
  const { checker, advance, broken } = fixture();
  advance(2_500);
  checker.itemStarted('one', IN_TOUCH, 1_000, true);
  checker.itemStarted('one', IN_TOUCH, 400, false);
  t.same(broken(), []);
  checker.itemStarted('one', IN_TOUCH, 400, true);
  t.same(broken(), ['leaving-worker']);
});

t.test('shared and falling tokens, and wrong answers, are found', async (t) => {
  const { checker, broken } = fixture();
  checker.orderTaken('node-1', 4, 0);
  checker.orderTaken('node-2', 4, 4);
  checker.orderTaken('node-1', 3, 4);
  checker.lookupAnswered('ask', 'another answer', 'answer');
  t.same(broken(), ['fencing', 'fencing', 'complete-answer']);
});

function scoredFixture() {
  const checker = new PromiseChecker(() => 0);
  const events = new Map([['one', 1]]);
  const scoreRequests = new Map([['one', 'score-of-one']]);
  checker.jobOffered({ id: 'job', minVersion: 1, events, scoreRequests });
  const broken = (): string[] => checker.violations.map(({ promise }) => promise);
  return { checker, broken };
}

t.test('a score that was given to the own request after the text breaks nothing', async (t) => {
  const { checker, broken } = scoredFixture();
  checker.textEnded('one');
  checker.scoreAsked('score-of-one', IN_TOUCH);
  checker.scoreGiven('score-of-one', 'signed');
  checker.resultsRead('job', 1, 0, [sample('one', [1], { score: 'signed' })]);
  t.same(broken(), []);
});

t.test('a score that is asked for long after the end of its job is found', async (t) => {
  let time = 0;
  const checker = new PromiseChecker(() => time);
  const scoreRequests = new Map([['one', 'score-of-one']]);
  checker.jobOffered({ id: 'job', minVersion: 1, events: new Map([['one', 1]]), scoreRequests });
  checker.textEnded('one');
  checker.jobEnded('job');
  time = 3_100;
  checker.scoreAsked('score-of-one', OUT_OF_TOUCH);
  t.same(checker.violations, []);
  checker.scoreAsked('score-of-one', IN_TOUCH);
  t.match(checker.violations, [{ promise: 'ended-job' }]);
});

t.test('scores that are missing, of others, too early or asked by nobody are found', async (t) => {
  const missing = scoredFixture();
  missing.checker.resultsRead('job', 1, 0, [sample('one', [1])]);
  t.same(missing.broken(), ['sample-score']);
  const other = scoredFixture();
  other.checker.scoreGiven('score-of-two', 'signed');
  other.checker.resultsRead('job', 1, 0, [sample('one', [1], { score: 'signed' })]);
  t.same(other.broken(), ['sample-score']);
  const early = scoredFixture();
  early.checker.scoreAsked('score-of-one', IN_TOUCH);
  t.same(early.broken(), ['sample-score']);
  const unknown = scoredFixture();
  unknown.checker.scoreAsked('score-of-none', IN_TOUCH);
  t.same(unknown.broken(), ['sample-score']);
});

t.test('work under another tenant, or with the key, is told', async (t) => {
  const checker = new PromiseChecker(() => 0);
  checker.requestOffered('job', 'north');
  checker.jobOffered({ id: 'job', minVersion: 1, events: new Map([['item', 1]]) });
  checker.requestOffered('lookup', 'south');
  checker.tenantTold('item', 'north', ['X-Own', 'kept']);
  checker.tenantTold('lookup', 'south', []);
  t.same(checker.violations, []);
  checker.tenantTold('item', 'south', []);
  checker.tenantTold('lookup', undefined, []);
  checker.tenantTold('lookup', 'south', ['X-Any', 'key-south-3']);
  t.same(
    checker.violations.map(({ promise }) => promise),
    ['tenant-told', 'tenant-told', 'tenant-told'],
  );
});

t.test('a request that was served with a key long gone is told', async (t) => {
  const checker = new PromiseChecker(() => 0);
  checker.revokedKeyAnswered(401, 4_000);
  checker.revokedKeyAnswered(503, 4_000);
  t.same(checker.violations, []);
  checker.revokedKeyAnswered(200, 4_000);
  t.match(checker.violations, [{ promise: 'key-revoked' }]);
});

t.test('a request that goes on ending workers after all have to know it is found', async (t) => {
  const { checker, advance, broken } = fixture();
  for (let count = 0; count < 3; count += 1) checker.lethalBegun('/x', `w${count}`);
  advance(2_900);
  for (let count = 0; count < 4; count += 1) checker.lethalBegun('/x', `in time ${count}`);
  advance(200);
  for (let count = 0; count < 3; count += 1) checker.lethalBegun('/x', `late ${count}`);
  checker.lethalBegun('/y', 'w');
  t.same(broken(), []);
  checker.lethalBegun('/x', 'one too many');
  t.same(broken(), ['query-of-death']);
  t.equal(checker.mostEndedUnderOne, 11);
});

t.test('a loss of memory excuses only requests whose crashes could not be stored', async (t) => {
  const { checker, advance, broken } = fixture();
  const runs = (path: string, count: number): void => {
    for (let run = 0; run < count; run += 1) checker.lethalBegun(path, `w${run}`);
  };
  runs('/stored', 3);
  advance(5_000);
  const storeAwaySince = 4_000;
  runs('/not-stored', 3);
  advance(5_000);
  checker.memoryLost(storeAwaySince);
  runs('/not-stored', 4);
  runs('/stored', 3);
  t.same(broken(), []);
  runs('/stored', 1);
  t.same(broken(), ['query-of-death']);
  advance(5_000);
  runs('/not-stored', 4);
  t.same(broken(), ['query-of-death', 'query-of-death'], 'it counts anew, and is found again');
});

t.test('a request that ends its workers is never answered with success', async (t) => {
  const { checker, broken } = fixture();
  checker.lethalAnswered('/x', 502);
  checker.lethalAnswered('/x', 503);
  t.same(broken(), []);
  checker.lethalAnswered('/x', 200);
  t.same(broken(), ['query-of-death']);
});

t.test(
  'a key in force that a gateway refuses for good is found, whatever happened to it',
  async (t) => {
    const checker = new PromiseChecker(() => 0);
    checker.keyInForceAnswered('gateway', 503, 2_500);
    t.same(checker.violations, []);
    checker.keyInForceAnswered('gateway', 401, 2_500);
    t.match(checker.violations, [{ promise: 'stale-rejection' }]);
  },
);

t.test('an owed item that is at no worker in the calm is found, once', async (t) => {
  const { checker, advance, broken } = fixture();
  checker.jobAccepted('job');
  checker.workBegan('one');
  advance(5_001);
  checker.checkOwedItems(0);
  checker.checkOwedItems(0);
  t.same(broken(), ['item-left-out'], 'the other item has never been at a worker');
  checker.workLeft('one');
  advance(5_001);
  checker.endRequested('job');
  checker.checkOwedItems(0);
  t.same(broken(), ['item-left-out']);
});
