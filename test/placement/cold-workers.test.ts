/**
 * Guards against cold workers receiving too many requests after late or lost answers, suspensions,
 * a change of the granter, a start of a gateway or the return of a zone.
 */
import t from 'tap';
import { NOT_GRANTER } from '../../src/placement/cold-permits.js';
import { MAX_GRANT_TO_SEND_DELAY } from '../../src/placement/permit-bucket.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';
import { worker } from '../serving/serving-fixtures.js';
import { COLD_START, ColdGateway, HARD_BOUND, TOKEN_VALIDITY } from './cold-fleet.js';

const COLD = worker('w1', { coldFor: 3_000 });

/** Time after which a new granter may grant. */
const GRANTER_WAIT = TOKEN_VALIDITY + MAX_GRANT_TO_SEND_DELAY + 1_000;

/** Gateways that have just read a cold worker's record; the first is the granter, past its wait. */
function fleet(count: number, record: WorkerRecord = COLD): ColdGateway[] {
  const workers = new Map([[record.id, record]]);
  const gateways = Array.from({ length: count }, () => new ColdGateway(workers));
  const [granter] = gateways;
  if (granter === undefined) throw new Error('the fleet has no gateway');
  granter.token = 7;
  granter.granter.refreshState();
  for (const { clock, warmth } of gateways) {
    warmth.noteListed();
    clock.time += GRANTER_WAIT;
    warmth.noteRecord(record);
  }
  return gateways;
}

function advance(gateways: readonly ColdGateway[], time: number): void {
  for (const { clock } of gateways) clock.time += time;
}

t.test('a worker of a service without a cold start needs no permit', async (t) => {
  const [gateway] = fleet(1);
  t.equal(gateway?.send(worker('w9', { service: 'other' }), 100), 100);
  t.equal(gateway?.needsPermits, false);
});

t.test('a request needs a permit; a permit admits one request and expires', async (t) => {
  const gateways = fleet(2);
  const [granter, requester] = gateways as [ColdGateway, ColdGateway];
  t.equal(requester.send(COLD, 5), 0);
  t.equal(requester.needsPermits, true);
  requester.requestPermits(granter);
  t.equal(requester.send(COLD, 5), 2, 'the two granted permits');
  advance(gateways, 1_000);
  requester.send(COLD, 1);
  requester.requestPermits(granter);
  advance(gateways, 250);
  t.equal(requester.send(COLD, 5), 0, 'expired');
  t.equal(requester.metrics.snapshot()['cold_permits.void'], 2);
});

t.test(
  'a lost answer admits nothing, and without a granter the worker becomes warm by time',
  async (t) => {
    const gateways = fleet(2);
    const [granter, requester] = gateways as [ColdGateway, ColdGateway];
    requester.send(COLD, 1);
    granter.granter.answer(requester.rule.takeRequests());
    t.equal(requester.send(COLD, 1), 0);
    requester.applyAnswer(NOT_GRANTER, requester.clock.time);
    t.equal(requester.send(COLD, 1), 0);
    advance(gateways, 2_900);
    t.equal(requester.send(COLD, 1), 0);
    advance(gateways, 300);
    t.equal(requester.send(COLD, 50), 50, 'warm, without an answer of the granter');
  },
);

t.test('permits expire while their gateway is suspended', async (t) => {
  const [granter, requester] = fleet(2) as [ColdGateway, ColdGateway];
  requester.send(COLD, 1);
  requester.requestPermits(granter);
  requester.clock.suspended += 400;
  t.equal(requester.send(COLD, 5), 0);
});

t.test('permits of a late answer have expired, although they were granted in time', async (t) => {
  const [granter, requester] = fleet(2) as [ColdGateway, ColdGateway];
  requester.send(COLD, 1);
  const sentAt = requester.clock.time;
  const answer = granter.granter.answer(requester.rule.takeRequests());
  requester.clock.time += 300;
  requester.applyAnswer(answer, sentAt);
  t.equal(requester.send(COLD, 5), 0);
});

t.test('permits of a granter that was suspended before its answer have expired', async (t) => {
  const [granter, requester] = fleet(2) as [ColdGateway, ColdGateway];
  requester.send(COLD, 1);
  const sentAt = requester.clock.time;
  const requests = requester.rule.takeRequests();
  // After a long suspension the granter has not yet detected that another gateway replaced it.
  requester.clock.time += GRANTER_WAIT + 5_000;
  const answer = granter.granter.answer(requests);
  requester.warmth.noteReported(COLD, 3_000, requester.clock.time);
  requester.applyAnswer(answer, sentAt);
  t.equal(requester.send(COLD, 5), 0);
});

t.test('a new granter waits until the permits of its predecessor have expired', async (t) => {
  const gateways = fleet(3);
  const [before, after, requester] = gateways as [ColdGateway, ColdGateway, ColdGateway];
  requester.send(COLD, 1);
  requester.requestPermits(before);
  t.equal(requester.send(COLD, 9), 2);
  before.token = undefined;
  after.token = 8;
  for (let time = 0; time < GRANTER_WAIT; time += 100) {
    requester.warmth.noteReported(COLD, 3_000, requester.clock.time);
    requester.send(COLD, 1);
    requester.requestPermits(after);
    t.equal(requester.send(COLD, 9), 0);
    advance(gateways, 100);
  }
  after.warmth.noteReported(COLD, 3_000, after.clock.time);
  requester.send(COLD, 1);
  requester.requestPermits(after);
  t.equal(requester.send(COLD, 9), 2);
});

t.test(
  'two granters at the same time, the lost token not yet noticed, keep the bound together',
  async (t) => {
    const gateways = fleet(4);
    const [before, after, ...requesters] = gateways as [ColdGateway, ColdGateway, ...ColdGateway[]];
    after.token = 8;
    const sentAt: number[] = [];
    for (let time = 0; time < GRANTER_WAIT + 3_000; time += 20) {
      // The previous granter learns that it lost the lock only when its token's validity ends.
      if (time >= TOKEN_VALIDITY) before.token = undefined;
      for (const [index, requester] of requesters.entries()) {
        for (const { warmth, clock } of gateways) warmth.noteReported(COLD, 3_000, clock.time);
        requester.send(COLD, 1);
        const mayKnowOnlyBefore = index === 0 && before.token !== undefined;
        requester.requestPermits(mayKnowOnlyBefore ? before : after);
        const sent = requester.send(COLD, 9);
        for (let left = sent; left > 0; left -= 1) sentAt.push(time);
      }
      advance(gateways, 20);
    }
    const within = (from: number): number =>
      sentAt.filter((at) => at >= from && at <= from + 1_000).length;
    t.ok(sentAt.some((at) => at < TOKEN_VALIDITY) && sentAt.some((at) => at > GRANTER_WAIT));
    t.ok(Math.max(...sentAt.map(within)) <= HARD_BOUND);
  },
);

t.test('a grant under a lower term than the highest seen is ignored', async (t) => {
  const gateways = fleet(3);
  const [before, after, requester] = gateways as [ColdGateway, ColdGateway, ColdGateway];
  after.token = 8;
  requester.send(COLD, 1);
  requester.requestPermits(after);
  requester.send(COLD, 1);
  requester.requestPermits(before);
  t.equal(requester.send(COLD, 9), 0);
});

t.test('a granter without a fencing token grants nothing', async (t) => {
  const [granter, requester] = fleet(2) as [ColdGateway, ColdGateway];
  requester.send(COLD, 1);
  granter.token = undefined;
  t.same(requester.requestPermits(granter), NOT_GRANTER);
  t.equal(requester.send(COLD, 9), 0);
});

t.test(
  'a gateway that has just started treats warm workers as unconfirmed until the granter answers',
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
    t.same(granter.probed, [], 'the granter needs no probe');
  },
);

t.test(
  'the cold time in the record of a worker older than the gateway is not trusted',
  async (t) => {
    const [granter] = fleet(1) as [ColdGateway];
    granter.clock.time += 10_000;
    const started = new ColdGateway(new Map([[COLD.id, COLD]]));
    started.clock.time = granter.clock.time;
    started.warmth.noteRecord(COLD);
    started.warmth.noteListed();
    started.send(COLD, 1);
    started.clock.time += 1;
    started.requestPermits(granter);
    t.equal(started.send(COLD, 50), 50, 'the cold time has passed');
  },
);

t.test(
  'after the return of a zone its workers are unconfirmed, also at a granter that learns of it late',
  async (t) => {
    const gateways = fleet(2);
    const [granter, requester] = gateways as [ColdGateway, ColdGateway];
    advance(gateways, 10_000);
    t.equal(requester.send(COLD, 50), 50);
    requester.warmth.markUnconfirmed(COLD);
    t.equal(requester.send(COLD, 1), 0);
    advance(gateways, 20);
    requester.requestPermits(granter);
    t.same(granter.probed, ['w1'], 'the granter does not know of the return');
    t.equal(requester.send(COLD, 9), 2, 'with permits');
    granter.warmth.noteReported(COLD, 2_000, granter.clock.time);
    requester.send(COLD, 1);
    requester.requestPermits(granter);
    advance(gateways, 1_900);
    t.equal(requester.warmth.of(COLD, COLD_START).kind, 'cold', 'as the worker reported');
    advance(gateways, 300);
    requester.send(COLD, 1);
    requester.requestPermits(granter);
    t.equal(requester.send(COLD, 50), 50);
  },
);

t.test('a granter that answers its own requests sees the worker as warm in time', async (t) => {
  const [granter] = fleet(1) as [ColdGateway];
  for (let time = 0; time < 3_200; time += 50) {
    granter.send(COLD, 1);
    granter.requestPermits(granter);
    granter.clock.time += 50;
  }
  t.equal(granter.send(COLD, 50), 50);
});
