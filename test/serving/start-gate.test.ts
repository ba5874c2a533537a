/**
 * Guards against a node without a configuration rejecting callers after a simultaneous restart of
 * all nodes.
 */
import t from 'tap';
import {
  holdLimitOf,
  MAX_HELD_REQUESTS,
  MAX_START_WAIT,
  START_WAIT_SHARE,
  StartGate,
} from '../../src/serving/start-gate.js';

const NEVER_ABORTED = new AbortController().signal;

t.test('held requests are released when the gate opens', async (t) => {
  const gate = new StartGate();
  const startedAt = performance.now();
  const waits = Array.from({ length: 20 }, () => gate.wait(1_500, NEVER_ABORTED));
  t.equal(gate.waiting, 20);
  setTimeout(() => gate.open(), 50);
  await Promise.all(waits);
  t.ok(performance.now() - startedAt < holdLimitOf(1_500));
  t.equal(gate.waiting, 0);
  await gate.wait(1_500, NEVER_ABORTED);
  t.equal(gate.waiting, 0, 'no request is held once the gate is open');
});

t.test('a request is held for a share of its timeout, up to the maximum', async (t) => {
  t.equal(holdLimitOf(1_500), START_WAIT_SHARE * 1_500);
  t.equal(holdLimitOf(100), 40);
  t.equal(holdLimitOf(60_000), MAX_START_WAIT);
  const gate = new StartGate();
  const startedAt = performance.now();
  await gate.wait(100, NEVER_ABORTED);
  const waited = performance.now() - startedAt;
  t.ok(waited >= 39 && waited < 400, `${waited} ms`);
});

t.test('a disconnected caller and a request above the maximum are not held', async (t) => {
  const gate = new StartGate();
  const disconnect = new AbortController();
  const released = gate.wait(60_000, disconnect.signal);
  disconnect.abort();
  await released;
  await gate.wait(60_000, disconnect.signal);
  t.equal(gate.waiting, 0);
  const held = Array.from({ length: MAX_HELD_REQUESTS }, () => gate.wait(60_000, NEVER_ABORTED));
  await gate.wait(60_000, NEVER_ABORTED);
  t.equal(gate.waiting, MAX_HELD_REQUESTS);
  gate.open();
  await Promise.all(held);
});

/**
 * 500 callers with a timeout of 1.5 s at 69 starting nodes; each retries once after a rejection.
 */
function outcomes(isHeld: boolean): { served: number; refused: number } {
  const readyAfter = Array.from({ length: 69 }, (_, index) => 50 + (index * 750) / 69);
  let served = 0;
  let refused = 0;
  for (let caller = 0; caller < 500; caller += 1) {
    const timeout = 1_500;
    let now = (caller * 37) % 500;
    const end = now + timeout;
    let isServed = false;
    for (let attempt = 0; attempt < 2 && !isServed; attempt += 1) {
      const ready = readyAfter[(caller * 7 + attempt * 31) % readyAfter.length] ?? 0;
      const hold = isHeld ? holdLimitOf(end - now) : 0;
      isServed = ready <= now + hold;
      // A rejected caller retries after at most a third of its remaining time.
      now += hold + Math.min(300, (end - now) / 3);
    }
    if (isServed) served += 1;
    else refused += 1;
  }
  return { served, refused };
}

t.test('the gate serves callers that would be rejected twice', async (t) => {
  const before = outcomes(false);
  const after = outcomes(true);
  t.equal(before.served, 357);
  t.equal(after.refused, 0);
});
