import t from 'tap';
import { createRandomSource } from '../../src/core/random.js';

t.test('neighbouring seeds give unlike first numbers', async (t) => {
  const first = Array.from({ length: 200 }, (_unused, seed) => createRandomSource(seed).fraction());
  const below = first.filter((value) => value < 0.5).length;
  t.ok(below > 70 && below < 130, `${below} of 200 are in the lower half`);
});

t.test('one seed gives one sequence', async (t) => {
  const draw = (): readonly number[] => {
    const random = createRandomSource(12);
    return Array.from({ length: 10 }, () => random.integer(1_000));
  };
  t.same(draw(), draw());
});
