import t from 'tap';
import { DispatchWindow } from '../../src/rollouts/dispatch-window.js';

t.test('the window doubles each round trip while homes take samples in', async (t) => {
  const window = new DispatchWindow();
  const sizes: number[] = [];
  for (let round = 0; round < 4; round += 1) {
    const sent = window.size;
    for (let answer = 0; answer < sent; answer += 1) window.accepted(window.size);
    sizes.push(window.size);
  }
  t.same(sizes, [32, 64, 128, 256]);
});

t.test('a burst of refusals leaves what is in flight, and not a few samples', async (t) => {
  const window = new DispatchWindow();
  for (let answer = 0; answer < 984; answer += 1) window.accepted(window.size);
  t.equal(window.size, 1_000);
  for (let refused = 1; refused <= 200; refused += 1) window.refused(1_000 - refused);
  t.equal(window.size, 800);
  window.accepted(700);
  t.equal(window.size, 800, 'a window that is not filled does not grow');
  window.refused(0);
  t.equal(window.size, 4);
});
