import t from 'tap';
import { OrderTurns, TRANSFER_DELAY } from '../../../lab/soak/order-turns.js';

t.test('an order within the delay after one of another node is a mistake', async (t) => {
  let time = 0;
  const turns = new OrderTurns(() => time);
  t.equal(turns.note('w1', 'a'), undefined);
  time += 10;
  t.equal(turns.note('w1', 'a'), undefined, 'the same node');
  t.equal(turns.note('w2', 'b'), undefined, 'another worker');
  time += TRANSFER_DELAY - 1;
  t.equal(turns.note('w1', 'b'), 'w1 got an order of b 2999 ms after one of a');
  time += TRANSFER_DELAY;
  t.equal(turns.note('w1', 'a'), undefined);
});
