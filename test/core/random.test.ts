import t from 'tap';
import { createRandomSource, jittered } from '../../src/core/random.js';

t.test('adjacent seeds give different first numbers', async (t) => {
  const first = Array.from({ length: 200 }, (_unused, seed) => createRandomSource(seed).fraction());
  const below = first.filter((value) => value < 0.5).length;
  t.ok(below > 70 && below < 130, `${below} of 200 are in the lower half`);
});

t.test('a seed reproduces its sequence', async (t) => {
  const draw = (): readonly number[] => {
    const random = createRandomSource(12);
    return Array.from({ length: 10 }, () => random.integer(1_000));
  };
  t.same(draw(), draw());
});

t.test('jitter stays within the spread in both directions', async (t) => {
  const random = createRandomSource(3);
  const drawn = Array.from({ length: 500 }, () => jittered(random, 1_000, 0.25));
  t.ok(drawn.every((time) => time >= 750 && time < 1_250));
  t.ok(Math.min(...drawn) < 800 && Math.max(...drawn) > 1_200, 'it uses the whole range');
  t.equal(jittered(random, 1_000, 0), 1_000);
});
