import t from 'tap';
import { numberFlag } from '../../../lab/common/flags.js';

t.test('a number is read, also from text, and an absent flag is the fallback', async (t) => {
  t.equal(numberFlag({ seed: 7 }, 'seed', 1), 7);
  t.equal(numberFlag({ seed: '7' }, 'seed', 1), 7);
  t.equal(numberFlag({}, 'seed', 1), 1);
});

t.test('what is not a number is refused by the name of the flag', async (t) => {
  for (const seed of ['abc', '', true]) {
    t.throws(() => numberFlag({ seed }, 'seed', 1), /--seed is not a number/);
  }
});
