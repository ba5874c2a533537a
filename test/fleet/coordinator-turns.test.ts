/**
 * Guards against two coordinators that take turns within the transfer delay because one of them ended
 * while it waited for the orders of the other.
 */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { ElectionWorld, type Order, TRANSFER_DELAY } from './election-world.js';

const NODES = 3;
const SEEDS = 80;
const EVENTS = 25;

/** Times between two events, in milliseconds; many fall into the wait of a new holder. */
const GAPS = [20, 100, 400, 900, 1_500, 2_500, 4_500] as const;

/** Times after which a process that ended starts again, in milliseconds. */
const RESTART_TIMES = [20, 100, 400, 1_200, 6_000] as const;

const FREEZE_TIMES = [300, 1_200, 2_500, 5_000] as const;

/** Time after the last event in which some node becomes the coordinator. */
const RECOVERY_TIME: Milliseconds = 14_000;

type Event = (world: ElectionWorld) => void;

function draw<Value>({ random }: ElectionWorld, values: readonly [Value, ...Value[]]): Value {
  return values[random.integer(values.length)] ?? values[0];
}

/** The holder, or any node if the lock is free. */
function target(world: ElectionWorld): number {
  return world.holder ?? world.random.integer(NODES);
}

const killHolder: Event = (world) => {
  const node = target(world);
  world.kill(node);
  world.after(draw(world, RESTART_TIMES), () => world.start(node));
};

const stopHolder: Event = (world) => {
  const node = target(world);
  world.stop(node);
  world.after(2_600 + draw(world, RESTART_TIMES), () => world.start(node));
};

const EVENT_KINDS: readonly [Event, ...Event[]] = [
  killHolder,
  killHolder,
  killHolder,
  stopHolder,
  stopHolder,
  (world) => world.freeze(target(world), draw(world, FREEZE_TIMES)),
  (world) => world.cutOff(target(world), draw(world, FREEZE_TIMES)),
  (world) => world.loseCommits(1 + world.random.integer(3)),
  (world) => world.suspect(world.random.integer(NODES)),
];

/** Consecutive orders of two nodes that are less than the transfer delay apart. */
function earlyOrders(orders: readonly Order[]): string[] {
  return orders.flatMap((order, index) => {
    const before = orders[index - 1];
    if (before === undefined || before.node === order.node) return [];
    const gap = order.at - before.at;
    return gap < TRANSFER_DELAY
      ? [`${before.node} to ${order.node} at ${order.at}: ${gap} ms`]
      : [];
  });
}

t.test('no order follows one of another node within the transfer delay', async (t) => {
  let transfers = 0;
  const violations: string[] = [];
  const idleSeeds: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new ElectionWorld(seed, NODES);
    for (let event = 0; event < EVENTS; event += 1) {
      await world.run(draw(world, GAPS));
      draw(world, EVENT_KINDS)(world);
    }
    const orderCount = world.orders.length;
    await world.run(RECOVERY_TIME);
    if (world.orders.length === orderCount) idleSeeds.push(seed);
    violations.push(...earlyOrders(world.orders).map((text) => `seed ${seed}: ${text}`));
    transfers += world.orders.filter(
      ({ node }, at) => at > 0 && node !== world.orders[at - 1]?.node,
    ).length;
  }
  t.same(violations, []);
  t.same(idleSeeds, [], 'a coordinator is found once the events have ended');
  t.ok(transfers > SEEDS, `${transfers} transfers`);
});
