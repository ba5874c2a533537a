/** What a home remembers of ended dispatches: enough to run none twice, and no more. */
import t from 'tap';
import type { GenerationRequest } from '../../src/core/generation.js';
import type { NodeIdentity } from '../../src/core/identity.js';
import { MINUTE } from '../../src/core/units.js';
import { HomeDispatcher } from '../../src/dispatch/home-dispatcher.js';
import type { DispatchMessage } from '../../src/dispatch/messages.js';
import { failure } from '../../src/errors/error-kinds.js';

const SELF: NodeIdentity = { node: 'home', incarnation: 1 };
const ORIGIN: NodeIdentity = { node: 'origin', incarnation: 1 };
const WORKER = { worker: 'w', model: 'm', zone: 'z', slots: 4, address: '127.0.0.1:1' };
const RESULT = { text: 'a', tokenCount: 1, segments: [], finishReason: 'stop' } as const;
const REQUEST: GenerationRequest = {
  requestId: 'r',
  account: 'a',
  intent: 'i',
  model: 'm',
  trafficClass: 'interactive',
  prompt: 'p',
  maxTokens: 1,
  samplingSeed: 1,
  repeatable: true,
  oldestVersion: 0,
  promptGroup: 'g',
};

class Fixture {
  readonly sent: DispatchMessage[] = [];
  started = 0;
  full = false;
  readonly home = new HomeDispatcher({
    self: SELF,
    send: (_to, message) => this.sent.push(message),
    startEngine: () => {
      this.started += 1;
    },
    cancelEngine: () => undefined,
    admission: { admit: () => ({ kind: 'admitted', preempt: null }), release: () => [] },
    acceptable: () =>
      this.full ? { failure: failure('no_worker', '', { ran: 'no' }) } : { worker: WORKER },
    outcomeSeen: () => undefined,
  });

  dispatch(dispatchId: string, from: NodeIdentity, now: number): void {
    const fields = { dispatchId, worker: 'w', request: REQUEST, stream: false };
    this.home.receive(from, { kind: 'dispatch', ...fields }, now);
  }

  finish(dispatchId: string, now: number): void {
    this.home.engineEvent(dispatchId, { kind: 'finished', result: RESULT }, now);
  }

  acknowledge(dispatchId: string, from: NodeIdentity, now: number): void {
    this.home.receive(from, { kind: 'dispatch-acknowledged', dispatchId }, now);
  }
}

t.test('an acknowledged outcome is not kept, whoever the origin is', async (t) => {
  for (const origin of [SELF, ORIGIN]) {
    const fixture = new Fixture();
    for (let count = 0; count < 100; count += 1) {
      fixture.dispatch(`d${count}`, origin, count);
      fixture.finish(`d${count}`, count);
      fixture.acknowledge(`d${count}`, origin, count);
    }
    t.equal(fixture.home.outcomeCount, 0);
    t.equal(fixture.home.activeCount, 0);
    t.equal(fixture.home.unacknowledgedCount, 0);
  }
});

t.test('late messages of an acknowledged dispatch neither run it nor are answered', async (t) => {
  const fixture = new Fixture();
  fixture.home.tick(0);
  fixture.dispatch('d', ORIGIN, 0);
  fixture.finish('d', 1);
  fixture.acknowledge('d', ORIGIN, 2);
  fixture.sent.length = 0;
  for (let now = MINUTE; now <= 5 * MINUTE; now += MINUTE) {
    fixture.home.tick(now);
    fixture.dispatch('d', ORIGIN, now);
    fixture.home.receive(ORIGIN, { kind: 'dispatch-query', dispatchId: 'd' }, now);
    fixture.home.receive(ORIGIN, { kind: 'dispatch-cancel', dispatchId: 'd' }, now);
  }
  t.equal(fixture.started, 1);
  t.same(fixture.sent, []);
});

t.test('an outcome or refusal that may have been lost is given again, not run', async (t) => {
  const fixture = new Fixture();
  fixture.dispatch('finished', ORIGIN, 0);
  fixture.finish('finished', 1);
  fixture.full = true;
  fixture.dispatch('refused', ORIGIN, 2);
  fixture.home.receive(ORIGIN, { kind: 'dispatch-cancel', dispatchId: 'barred' }, 2);
  fixture.full = false;
  fixture.sent.length = 0;
  for (const dispatchId of ['finished', 'refused', 'barred']) {
    fixture.dispatch(dispatchId, ORIGIN, 3);
  }
  t.equal(fixture.started, 1);
  t.same(
    fixture.sent.map((message) => message.kind === 'dispatch-ended' && message.outcome.kind),
    ['finished', 'refused', 'refused'],
  );
});

t.test('a dispatch that is still running cannot be acknowledged away', async (t) => {
  const fixture = new Fixture();
  fixture.dispatch('d', ORIGIN, 0);
  fixture.acknowledge('d', ORIGIN, 1);
  fixture.dispatch('d', ORIGIN, 2);
  fixture.finish('d', 3);
  t.equal(fixture.started, 1);
  t.equal(fixture.home.unacknowledgedCount, 1);
});
