import t from 'tap';
import { numberFlag, sizesFlag } from '../../../lab/common/flags.js';

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

t.test('one size takes the place of all', async (t) => {
  t.same(sizesFlag({}, [100, 300]), [100, 300]);
  t.same(sizesFlag({ size: 1_000 }, [100, 300]), [1_000]);
  t.throws(() => sizesFlag({ size: 'all' }, [100]), /--size is not a number/);
});
