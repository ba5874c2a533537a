/**
 * What was seen: of the callers that came in the second after all machines had lost power and started
 * again, 3 of 12 bookings were refused twice and 8 were late. Order: a node took a request 0.24 s
 * after its start and refused it within 7 ms, as it knew no configuration; the caller came back once, to
 * another node that had just started. Nodes knew their configuration 0.05 to 0.75 s after their start.
 *
 * The load below: 100 callers a second with 1.5 s of patience, at nodes that need such times.
 */
import t from 'tap';
import {
  MAX_HELD_REQUESTS,
  MAX_START_WAIT,
  START_WAIT_SHARE,
  StartGate,
  startWaitOf,
} from '../../src/serving/start-gate.js';

const NEVER_ABORTED = new AbortController().signal;

t.test('what came before the node could serve goes on when it can', async (t) => {
  const gate = new StartGate();
  const startedAt = performance.now();
  const waits = Array.from({ length: 20 }, () => gate.wait(1_500, NEVER_ABORTED));
  t.equal(gate.waiting, 20);
  setTimeout(() => gate.open(), 50);
  await Promise.all(waits);
  t.ok(performance.now() - startedAt < startWaitOf(1_500));
  t.equal(gate.waiting, 0);
  await gate.wait(1_500, NEVER_ABORTED);
  t.equal(gate.waiting, 0, 'nothing waits once it is open');
});

t.test(
  'a request waits for a part of its patience, and never longer than a start takes',
  async (t) => {
    t.equal(startWaitOf(1_500), START_WAIT_SHARE * 1_500);
    t.equal(startWaitOf(100), 40);
    t.equal(startWaitOf(60_000), MAX_START_WAIT);
    const gate = new StartGate();
    const startedAt = performance.now();
    await gate.wait(100, NEVER_ABORTED);
    const waited = performance.now() - startedAt;
    t.ok(waited >= 39 && waited < 400, `${waited} ms`);
  },
);

t.test('a caller that leaves and one too many are not held', async (t) => {
  const gate = new StartGate();
  const gone = new AbortController();
  const left = gate.wait(60_000, gone.signal);
  gone.abort();
  await left;
  await gate.wait(60_000, gone.signal);
  t.equal(gate.waiting, 0);
  const held = Array.from({ length: MAX_HELD_REQUESTS }, () => gate.wait(60_000, NEVER_ABORTED));
  await gate.wait(60_000, NEVER_ABORTED);
  t.equal(gate.waiting, MAX_HELD_REQUESTS);
  gate.open();
  await Promise.all(held);
});

/** What callers get who come while nodes start; each comes back once after a refusal. */
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
      const hold = isHeld ? startWaitOf(end - now) : 0;
      isServed = ready <= now + hold;
      // A refused caller comes back after a third of the time that it has left at most.
      now += hold + Math.min(300, (end - now) / 3);
    }
    if (isServed) served += 1;
    else refused += 1;
  }
  return { served, refused };
}

t.test('a moment at the gate serves callers that were refused twice', async (t) => {
  // Before: 357 of 500 served. After: all.
  const before = outcomes(false);
  const after = outcomes(true);
  t.equal(before.served, 357);
  t.equal(after.refused, 0);
});
