import t from 'tap';
import { describeFailure, failedChecks } from '../../../lab/common/failed-checks.js';

const OUTPUT = `TAP version 14
# Subtest: first.test.js
    # Subtest: outer
        # Subtest: inner
            not ok 1 - numbers are equal
              ---
              compare: ===
              diff: |
                -2
                +1
              ...
            ok 2 - should be equal
            1..2
        not ok 1 - inner # time=64.624ms
          ---
          at:
            lineNumber: 2
          ...
        not ok 2 - count
          ---
          at:
            lineNumber: 3
          ...
        not ok 3 - later # TODO
        1..3
    not ok 1 - outer # time=98.609ms
    1..1
not ok 1 - first.test.js # time=146.604ms
# Subtest: second.test.js
    ok 1 - fine
    1..1
ok 2 - second.test.js # time=3ms
# Subtest: third.test.js
    1..0
not ok 3 - third.test.js # time=120000ms
  ---
  signal: SIGTERM
  ...
`;

t.test('failed checks are found with the tests that contain them, each once', async (t) => {
  t.strictSame(failedChecks(OUTPUT), [
    {
      path: ['first.test.js', 'outer', 'inner'],
      name: 'numbers are equal',
      diagnostic: ['compare: ===', 'diff: |', '  -2', '  +1'],
    },
    { path: ['first.test.js', 'outer'], name: 'count', diagnostic: ['at:', '  lineNumber: 3'] },
    { path: [], name: 'third.test.js', diagnostic: ['signal: SIGTERM'] },
  ]);
});

t.test('a description is bounded in lines', async (t) => {
  const [first] = failedChecks(OUTPUT);
  t.ok(first);
  if (first === undefined) return;
  t.strictSame(describeFailure(first, 1), [
    'failed: first.test.js > outer > inner > numbers are equal',
    '  compare: ===',
  ]);
});

t.test('output without a failure has no failed checks', async (t) => {
  t.strictSame(failedChecks('ok 1 - fine\n1..1\n'), []);
});
