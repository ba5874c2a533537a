import t from 'tap';
import { KeyValueCore } from '../../lab/emulator/key-value-core.js';
import { createScenario, RECORD_KEY } from '../../lab/experiments/zone-scenario.js';
import { createRandomSource } from '../../src/core/random.js';
import type { KeyValueResult } from '../../src/platform/key-value.js';
import { type ClaimRequest, EpochClaim } from '../../src/weights/epoch-claim.js';

const SECOND = 1_000;
const FAILED: KeyValueResult = {
  kind: 'failed',
  reason: 'unavailable',
  mayHaveApplied: true,
  retryAfter: 0,
};

function createClaim(node: string): EpochClaim {
  return new EpochClaim(RECORD_KEY, { node, incarnation: 1 }, createRandomSource(3));
}

function mustBe(request: ClaimRequest | undefined): ClaimRequest {
  if (request === undefined) throw new Error('a request was expected');
  return request;
}

/** Carries requests until there is none. */
function settle(claim: EpochClaim, store: KeyValueCore, now: number): void {
  let request = claim.tick(now);
  while (request !== undefined) {
    request = claim.result(request.requestId, store.perform(request.operation), now);
  }
}

t.test('epochs rise by one from holder to holder', async (t) => {
  const store = new KeyValueCore();
  const claims = ['a', 'b', 'c'].map(createClaim);
  for (const claim of claims) settle(claim, store, 0);
  t.same(
    claims.map((claim) => claim.epoch),
    [1, 2, 3],
  );
});

t.test('a lost answer is read back: the write counts when it applied', async (t) => {
  const store = new KeyValueCore();
  const claim = createClaim('a');
  const read = mustBe(claim.tick(0));
  const write = mustBe(claim.result(read.requestId, store.perform(read.operation), 0));
  store.perform(write.operation);
  const revision = store.revision;
  claim.result(write.requestId, FAILED, 0);
  t.equal(claim.epoch, undefined);
  settle(claim, store, 30 * SECOND);
  t.equal(claim.epoch, 1);
  t.equal(store.revision, revision, 'nothing was written again');
});

t.test('a lost answer is read back: the write is made again when it did not apply', async (t) => {
  const store = new KeyValueCore();
  const claim = createClaim('a');
  const read = mustBe(claim.tick(0));
  const write = mustBe(claim.result(read.requestId, store.perform(read.operation), 0));
  claim.result(write.requestId, FAILED, 0);
  settle(claim, store, 30 * SECOND);
  t.equal(claim.epoch, 1);
});

t.test('a write lost to another holder leads to a higher epoch, never to the same', async (t) => {
  const store = new KeyValueCore();
  const claim = createClaim('a');
  const read = mustBe(claim.tick(0));
  const write = mustBe(claim.result(read.requestId, store.perform(read.operation), 0));
  const other = createClaim('b');
  settle(other, store, 0);
  let request = claim.result(write.requestId, store.perform(write.operation), 0);
  while (request) request = claim.result(request.requestId, store.perform(request.operation), 0);
  t.equal(other.epoch, 1);
  t.equal(claim.epoch, 2);
});

t.test('an unanswered request times out, and its late answer is ignored', async (t) => {
  const store = new KeyValueCore();
  const claim = createClaim('a');
  const read = mustBe(claim.tick(0));
  t.equal(claim.tick(6 * SECOND), undefined);
  t.equal(claim.result(read.requestId, store.perform(read.operation), 6 * SECOND), undefined);
  settle(claim, store, 30 * SECOND);
  t.equal(claim.epoch, 1);
});

t.test('after standing down the next epoch exceeds the one an engine has seen', async (t) => {
  const store = new KeyValueCore();
  const claim = createClaim('a');
  settle(claim, store, 0);
  claim.standDown(9, 0);
  t.equal(claim.epoch, undefined);
  t.equal(claim.tick(1 * SECOND), undefined, 'not at once');
  settle(claim, store, 60 * SECOND);
  t.equal(claim.epoch, 10);
});

t.test('a rollout starts when a long outage with lost answers is over', async (t) => {
  const { queue, zone, keyValue } = createScenario();
  zone.keyValueMode = 'answers-lost';
  zone.publish(2);
  queue.runUntil(100);
  t.ok(keyValue.revision > 1, 'the write applied');
  zone.keyValueMode = 'down';
  queue.runUntil(60 * SECOND);
  t.notOk(zone.allActive(2));
  zone.keyValueMode = 'serving';
  queue.runUntil(100 * SECOND);
  t.ok(zone.allActive(2));
  const stored = keyValue.perform({ kind: 'range', key: RECORD_KEY, prefix: false });
  const [entry] = stored.kind === 'range' ? stored.entries : [];
  t.equal(JSON.parse(entry?.value ?? '{}').epoch, 1, 'the lost write was recognised');
});
