import t from 'tap';
import { EventQueue } from '../../../lab/simulation/event-queue.js';
import { SimulatedNetwork } from '../../../lab/simulation/network.js';
import { createRandomSource } from '../../../src/core/random.js';

const LATENCY = { insideZone: 0.2, betweenZones: 0.5, toClients: 3 };

function create(): { readonly queue: EventQueue; readonly network: SimulatedNetwork } {
  const queue = new EventQueue();
  return { queue, network: new SimulatedNetwork(queue, createRandomSource(1), LATENCY) };
}

t.test('a one-way cut stops one direction; overlapping cuts heal one by one', async (t) => {
  const { queue, network } = create();
  let arrived = 0;
  const send = (from: string, to: string): void => network.send(from, to, () => (arrived += 1));
  const healFirst = network.cut('a', 'b');
  const healSecond = network.cut('a', 'b');
  send('a', 'b');
  send('b', 'a');
  queue.runUntil(10);
  t.equal(arrived, 1);
  healFirst();
  healFirst();
  t.notOk(network.isOpen('a', 'b'), 'the second cut lasts');
  healSecond();
  t.ok(network.isOpen('a', 'b'));
});

t.test('a disturbed network loses, doubles and reorders, and is calm again', async (t) => {
  const { queue, network } = create();
  const heal = network.disturb({ loss: 0.2, duplication: 0.3, jitter: 50 });
  const order: number[] = [];
  for (let number = 0; number < 200; number += 1) {
    network.send('a', 'b', () => order.push(number));
  }
  queue.runUntil(1_000);
  const distinct = new Set(order);
  t.ok(distinct.size < 200, 'some were lost');
  t.ok(order.length > distinct.size, 'some came twice');
  t.notSame(
    order,
    order.toSorted((left, right) => left - right),
    'some overtook others',
  );
  heal();
  order.length = 0;
  for (let number = 0; number < 200; number += 1) network.send('a', 'b', () => order.push(number));
  queue.runUntil(2_000);
  t.equal(order.length, 200);
});
