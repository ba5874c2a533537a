import t from 'tap';
import { type HedgeCandidate, StepHedging } from '../../src/rollouts/step-hedging.js';

t.test(
  'only the last fiftieth of a step is looked at, and late samples of it are hedged',
  async (t) => {
    const hedging = new StepHedging(1_000);
    for (let sample = 0; sample < 20; sample += 1) hedging.finished(100, 1_000);
    t.notOk(hedging.isTail(21));
    t.ok(hedging.isTail(20));
    t.notOk(hedging.isTail(0));
    const running: HedgeCandidate[] = [
      { key: 'late', startedAt: 0, liveCopies: 1, predictedTokens: 100 },
      { key: 'long', startedAt: 0, liveCopies: 1, predictedTokens: 400 },
      { key: 'doubled', startedAt: 0, liveCopies: 2, predictedTokens: 100 },
    ];
    t.same(hedging.samplesToHedge(running, 1_600), ['late']);
    for (let copy = 0; copy < 20; copy += 1) hedging.hedged();
    t.same(hedging.samplesToHedge(running, 1_600), [], 'the budget of copies is used up');
  },
);

t.test('a new finished sample changes the expected duration at once', async (t) => {
  const hedging = new StepHedging(1_000);
  const late: HedgeCandidate = { key: 'a', startedAt: 0, liveCopies: 1, predictedTokens: 100 };
  for (let sample = 0; sample < 8; sample += 1) hedging.finished(100, 1_000);
  t.same(hedging.samplesToHedge([late], 1_600), ['a']);
  for (let sample = 0; sample < 40; sample += 1) hedging.finished(100, 2_000);
  t.same(hedging.samplesToHedge([late], 1_600), []);
});
