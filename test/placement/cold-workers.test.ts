/**
 * Permits for cold workers between gateways that ask and one that grants, in time that a test holds: late
 * and lost answers, suspensions, a change of the granter, a start, the return of a zone.
 */
import t from 'tap';
import { NOT_GRANTER } from '../../src/placement/cold-permits.js';
import { MAX_GRANT_TO_SEND_DELAY } from '../../src/placement/permit-bucket.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { worker } from '../serving/serving-fixtures.js';
import { COLD_START, ColdGateway, HARD_BOUND, TOKEN_VALIDITY } from './cold-fleet.js';

const COLD = worker('w1', { coldFor: 3_000 });

/** Time after which a granter that just got the token may grant. */
const TAKE_OVER = TOKEN_VALIDITY + MAX_GRANT_TO_SEND_DELAY + 1_000;

/** Gateways that have just seen a cold worker start; the first one has granted for long. */
function fleet(count: number, record: WorkerRecord = COLD): ColdGateway[] {
  const workers = new Map([[record.id, record]]);
  const gateways = Array.from({ length: count }, () => new ColdGateway(workers));
  const [granter] = gateways;
  if (granter === undefined) throw new Error('a fleet has gateways');
  granter.token = 7;
  granter.granter.observe();
  for (const { clock, warmth } of gateways) {
    warmth.noteListed();
    clock.time += TAKE_OVER;
    warmth.noteRecord(record);
  }
  return gateways;
}

function pass(gateways: readonly ColdGateway[], time: number): void {
  for (const { clock } of gateways) clock.time += time;
}

t.test('a worker of a service without a cold start needs no permit', async (t) => {
  const [gateway] = fleet(1);
  t.equal(gateway?.send(worker('w9', { service: 'other' }), 100), 100);
  t.equal(gateway?.needsPermits, false);
});

t.test('no permit, no send; a permit lets one request go, for a short time', async (t) => {
  const gateways = fleet(2);
  const [granter, asker] = gateways as [ColdGateway, ColdGateway];
  t.equal(asker.send(COLD, 5), 0);
  t.equal(asker.needsPermits, true);
  asker.requestPermits(granter);
  t.equal(asker.send(COLD, 5), 2, 'the two that were granted');
  pass(gateways, 1_000);
  asker.send(COLD, 1);
  asker.requestPermits(granter);
  pass(gateways, 250);
  t.equal(asker.send(COLD, 5), 0, 'too old');
  t.equal(asker.metrics.snapshot()['cold_permits.void'], 2);
});

t.test(
  'a lost answer and a silent granter let nothing go, and warmth comes by itself',
  async (t) => {
    const gateways = fleet(2);
    const [granter, asker] = gateways as [ColdGateway, ColdGateway];
    asker.send(COLD, 1);
    granter.granter.answer(asker.rule.takeRequests());
    t.equal(asker.send(COLD, 1), 0);
    asker.applyAnswer(NOT_GRANTER, asker.clock.time);
    t.equal(asker.send(COLD, 1), 0);
    pass(gateways, 2_900);
    t.equal(asker.send(COLD, 1), 0);
    pass(gateways, 300);
    t.equal(asker.send(COLD, 50), 50, 'warm, without a word of the granter');
  },
);

t.test('an asker that is suspended with permits in hand wakes without them', async (t) => {
  const [granter, asker] = fleet(2) as [ColdGateway, ColdGateway];
  asker.send(COLD, 1);
  asker.requestPermits(granter);
  asker.clock.suspended += 400;
  t.equal(asker.send(COLD, 5), 0);
});

t.test('an answer that comes late grants nothing, though it was granted in time', async (t) => {
  const [granter, asker] = fleet(2) as [ColdGateway, ColdGateway];
  asker.send(COLD, 1);
  const sentAt = asker.clock.time;
  const answer = granter.granter.answer(asker.rule.takeRequests());
  asker.clock.time += 300;
  asker.applyAnswer(answer, sentAt);
  t.equal(asker.send(COLD, 5), 0);
});

t.test(
  'a granter that was suspended under an answer grants nothing that still holds',
  async (t) => {
    const [granter, asker] = fleet(2) as [ColdGateway, ColdGateway];
    asker.send(COLD, 1);
    const sentAt = asker.clock.time;
    const wishes = asker.rule.takeRequests();
    // It stands still for long; another grants meanwhile, and it does not know that yet.
    asker.clock.time += TAKE_OVER + 5_000;
    const answer = granter.granter.answer(wishes);
    asker.warmth.noteReported(COLD, 3_000, asker.clock.time);
    asker.applyAnswer(answer, sentAt);
    t.equal(asker.send(COLD, 5), 0);
  },
);

t.test('a new granter waits until what the one before granted has gone', async (t) => {
  const gateways = fleet(3);
  const [before, after, asker] = gateways as [ColdGateway, ColdGateway, ColdGateway];
  asker.send(COLD, 1);
  asker.requestPermits(before);
  t.equal(asker.send(COLD, 9), 2);
  before.token = undefined;
  after.token = 8;
  for (let time = 0; time < TAKE_OVER; time += 100) {
    asker.warmth.noteReported(COLD, 3_000, asker.clock.time);
    asker.send(COLD, 1);
    asker.requestPermits(after);
    t.equal(asker.send(COLD, 9), 0);
    pass(gateways, 100);
  }
  after.warmth.noteReported(COLD, 3_000, after.clock.time);
  asker.send(COLD, 1);
  asker.requestPermits(after);
  t.equal(asker.send(COLD, 9), 2);
});

t.test('two that both believe to grant for a moment keep the bound together', async (t) => {
  const gateways = fleet(4);
  const [before, after, ...askers] = gateways as [ColdGateway, ColdGateway, ...ColdGateway[]];
  after.token = 8;
  const sentAt: number[] = [];
  for (let time = 0; time < TAKE_OVER + 3_000; time += 20) {
    // The granter of before learns of its loss as late as its token allows.
    if (time >= TOKEN_VALIDITY) before.token = undefined;
    for (const [index, asker] of askers.entries()) {
      for (const { warmth, clock } of gateways) warmth.noteReported(COLD, 3_000, clock.time);
      asker.send(COLD, 1);
      const mayKnowOnlyBefore = index === 0 && before.token !== undefined;
      asker.requestPermits(mayKnowOnlyBefore ? before : after);
      const sent = asker.send(COLD, 9);
      for (let left = sent; left > 0; left -= 1) sentAt.push(time);
    }
    pass(gateways, 20);
  }
  const within = (from: number): number =>
    sentAt.filter((at) => at >= from && at <= from + 1_000).length;
  t.ok(sentAt.some((at) => at < TOKEN_VALIDITY) && sentAt.some((at) => at > TAKE_OVER));
  t.ok(Math.max(...sentAt.map(within)) <= HARD_BOUND);
});

t.test('a grant under an older term than one that was seen is not used', async (t) => {
  const gateways = fleet(3);
  const [before, after, asker] = gateways as [ColdGateway, ColdGateway, ColdGateway];
  after.token = 8;
  asker.send(COLD, 1);
  asker.requestPermits(after);
  asker.send(COLD, 1);
  asker.requestPermits(before);
  t.equal(asker.send(COLD, 9), 0);
});

t.test('a granter that is cut off from the store grants nothing', async (t) => {
  const [granter, asker] = fleet(2) as [ColdGateway, ColdGateway];
  asker.send(COLD, 1);
  granter.token = undefined;
  t.same(asker.requestPermits(granter), NOT_GRANTER);
  t.equal(asker.send(COLD, 9), 0);
});

t.test(
  'a gateway that has just started takes warm workers for doubtful until it is told',
  async (t) => {
    const warm = worker('w1', { coldFor: 0 });
    const [granter] = fleet(1, warm) as [ColdGateway];
    granter.warmth.noteReported(warm, 0, granter.clock.time + 1);
    const started = new ColdGateway(new Map([[warm.id, warm]]));
    started.warmth.noteRecord(warm);
    started.warmth.noteListed();
    t.equal(started.send(warm, 1), 0);
    started.clock.time += 1;
    started.requestPermits(granter);
    t.equal(started.send(warm, 50), 50);
    t.same(granter.probed, [], 'the granter knew');
  },
);

t.test('a record of a worker that was there before says nothing of now', async (t) => {
  const [granter] = fleet(1) as [ColdGateway];
  granter.clock.time += 10_000;
  const started = new ColdGateway(new Map([[COLD.id, COLD]]));
  started.clock.time = granter.clock.time;
  started.warmth.noteRecord(COLD);
  started.warmth.noteListed();
  started.send(COLD, 1);
  started.clock.time += 1;
  started.requestPermits(granter);
  t.equal(started.send(COLD, 50), 50, 'it was cold long ago');
});

t.test(
  'after the return of a zone its workers are doubted, also by a granter that learns late',
  async (t) => {
    const gateways = fleet(2);
    const [granter, asker] = gateways as [ColdGateway, ColdGateway];
    pass(gateways, 10_000);
    t.equal(asker.send(COLD, 50), 50);
    asker.warmth.markUnconfirmed(COLD);
    t.equal(asker.send(COLD, 1), 0);
    pass(gateways, 20);
    asker.requestPermits(granter);
    t.same(granter.probed, ['w1'], 'the granter has not heard of the return');
    t.equal(asker.send(COLD, 9), 2, 'under permits');
    granter.warmth.noteReported(COLD, 2_000, granter.clock.time);
    asker.send(COLD, 1);
    asker.requestPermits(granter);
    pass(gateways, 1_900);
    t.equal(asker.warmth.of(COLD, COLD_START).kind, 'cold', 'as the worker told');
    pass(gateways, 300);
    asker.send(COLD, 1);
    asker.requestPermits(granter);
    t.equal(asker.send(COLD, 50), 50);
  },
);

t.test('a granter that asks itself takes a worker for warm in time', async (t) => {
  const [granter] = fleet(1) as [ColdGateway];
  for (let time = 0; time < 3_200; time += 50) {
    granter.send(COLD, 1);
    granter.requestPermits(granter);
    granter.clock.time += 50;
  }
  t.equal(granter.send(COLD, 50), 50);
});
