import t from 'tap';
import type { GenerationRequest, GenerationResult } from '../../src/core/generation.js';
import type { NodeIdentity } from '../../src/core/identity.js';
import { DispatchClient, type OriginOutcome } from '../../src/dispatch/dispatch-client.js';
import { HomeDispatcher } from '../../src/dispatch/home-dispatcher.js';
import type { AdmissionDecision } from '../../src/dispatch/home-dispatcher-options.js';
import type { DispatchMessage, DispatchOutcome } from '../../src/dispatch/messages.js';
import { type Failure, failure } from '../../src/errors/error-kinds.js';
import type { WorkerRecord } from '../../src/platform/worker.js';

const ORIGIN: NodeIdentity = { node: 'origin', incarnation: 1 };
const HOME: NodeIdentity = { node: 'home', incarnation: 1 };
const WORKER: WorkerRecord = {
  worker: 'w1',
  model: 'm',
  zone: 'z',
  address: '127.0.0.1:1',
  slots: 2,
};
const REQUEST: GenerationRequest = {
  requestId: 'r1',
  account: 'a',
  intent: 'i',
  model: 'm',
  trafficClass: 'training',
  prompt: 'p',
  maxTokens: 4,
  samplingSeed: 1,
  repeatable: true,
  oldestVersion: 1,
  promptGroup: 'g',
};
const RESULT: GenerationResult = {
  text: 'x ',
  tokenCount: 1,
  segments: [{ version: 1, firstToken: 0, tokenCount: 1 }],
  finishReason: 'stop',
};

/** An origin and a home joined by a wire that the test may cut. */
class Pair {
  readonly started: string[] = [];
  readonly cancelled: string[] = [];
  readonly outcomes: OriginOutcome[] = [];
  readonly toHome: DispatchMessage[] = [];
  readonly toOrigin: DispatchMessage[] = [];
  admission: AdmissionDecision = { kind: 'admitted', preempt: null };
  refusal: Failure | null = null;
  startable: string[] = [];

  lost = 0;

  readonly client = new DispatchClient({
    send: (_to, message) => this.toHome.push(message),
    onLost: () => {
      this.lost += 1;
    },
  });
  readonly home = new HomeDispatcher({
    send: (_to, message) => this.toOrigin.push(message),
    startEngine: (dispatchId) => this.started.push(dispatchId),
    cancelEngine: (dispatchId) => this.cancelled.push(dispatchId),
    admission: {
      admit: () => this.admission,
      release: () => this.startable.splice(0),
    },
    acceptable: () => (this.refusal === null ? { worker: WORKER } : { failure: this.refusal }),
    outcomeSeen: () => undefined,
  });

  start(dispatchId: string, now = 0): void {
    this.client.start(
      { dispatchId, home: HOME, worker: 'w1', request: REQUEST, stream: false },
      { onEnd: (outcome) => this.outcomes.push(outcome) },
      now,
    );
  }

  deliver(now: number): void {
    for (const message of this.toHome.splice(0)) this.home.receive(ORIGIN, message, now);
    for (const message of this.toOrigin.splice(0)) this.client.receive(HOME, message, now);
  }
}

t.test('a dispatch runs once however often it is repeated', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  const repeated = [...pair.toHome, ...pair.toHome, ...pair.toHome];
  for (const message of repeated) pair.home.receive(ORIGIN, message, 1);
  t.same(pair.started, ['d1']);
});

t.test('a lost outcome is repeated until it is acknowledged', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  pair.deliver(1);
  pair.home.engineEvent('d1', { kind: 'finished', result: RESULT }, 10);
  pair.toOrigin.length = 0;
  pair.home.tick(500);
  pair.deliver(500);
  t.match(pair.outcomes, [{ kind: 'finished' }]);
  pair.deliver(501);
  t.equal(pair.home.unacknowledgedCount, 0);
});

t.test('a refusal at the home says that nothing ran', async (t) => {
  const pair = new Pair();
  pair.refusal = failure('overloaded', 'full');
  pair.start('d1');
  pair.deliver(1);
  t.match(pair.outcomes, [{ kind: 'refused', failure: { kind: 'overloaded' } }]);
  t.same(pair.started, []);
  pair.refusal = null;
  pair.home.receive(ORIGIN, dispatchMessage('d1'), 5);
  t.same(pair.started, [], 'a repetition of a refused dispatch does not run');
});

t.test('a silent home makes the outcome lost, once', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  for (let now = 0; now <= 5_000; now += 100) pair.client.tick(now);
  t.same(pair.outcomes, [{ kind: 'lost' }]);
  t.equal(pair.lost, 1);
});

t.test('a dispatch that comes after its cancellation never runs', async (t) => {
  const pair = new Pair();
  pair.home.receive(ORIGIN, { kind: 'dispatch-cancel', dispatchId: 'd1' }, 1);
  pair.home.receive(ORIGIN, dispatchMessage('d1'), 2);
  t.same(pair.started, []);
});

t.test('a queued dispatch starts when a place is free, unless it became forbidden', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  pair.deliver(1);
  pair.admission = { kind: 'queued' };
  pair.start('d2', 2);
  pair.deliver(2);
  t.same(pair.started, ['d1']);
  pair.refusal = failure('zone_not_allowed', 'revoked');
  pair.startable = ['d2'];
  pair.home.engineEvent('d1', { kind: 'finished', result: RESULT }, 10);
  pair.deliver(10);
  t.same(pair.started, ['d1']);
  t.match(pair.outcomes, [{ kind: 'finished' }, { kind: 'refused' }]);
});

t.test('interactive work preempts: the engine is told, the origin too', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  pair.deliver(1);
  pair.admission = { kind: 'admitted', preempt: 'd1' };
  pair.start('d2', 2);
  pair.deliver(2);
  t.same(pair.cancelled, ['d1']);
  t.match(pair.outcomes, [{ kind: 'preempted' }]);
  t.same(pair.started, ['d1', 'd2']);
});

t.test('work whose permission ended is withdrawn; running work may have run', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  pair.deliver(1);
  const count = pair.home.withdraw(() => failure('cut_off', 'stale', { ran: 'no' }), 5);
  pair.deliver(5);
  t.equal(count, 1);
  t.same(pair.cancelled, ['d1']);
  t.match(pair.outcomes, [{ kind: 'failed', failure: { kind: 'cut_off', ran: 'unknown' } }]);
});

t.test('the work of an origin whose life ended is cancelled', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  pair.deliver(1);
  pair.home.originGone('origin', { node: 'origin', incarnation: 2 }, 5);
  t.same(pair.cancelled, ['d1']);
  t.equal(pair.home.activeCount, 0);
});

t.test('a home that came back as another life has lost its dispatches', async (t) => {
  const pair = new Pair();
  pair.start('d1');
  pair.client.homeGone('home', HOME);
  t.same(pair.outcomes, [], 'the same life is alive');
  pair.client.homeGone('home', { node: 'home', incarnation: 2 });
  t.same(pair.outcomes, [{ kind: 'lost' }]);
  t.equal(pair.lost, 1);
});

function dispatchMessage(dispatchId: string): DispatchMessage {
  return { kind: 'dispatch', dispatchId, worker: 'w1', request: REQUEST, stream: false };
}

t.test('a dispatch is told as accepted once, and a refused one never', async (t) => {
  let accepted = 0;
  const client = new DispatchClient({ send: () => undefined });
  const start = (dispatchId: string): void =>
    client.start(
      { dispatchId, home: HOME, worker: 'w1', request: REQUEST, stream: false },
      {
        onAccepted: () => {
          accepted += 1;
        },
        onEnd: () => undefined,
      },
      0,
    );
  const ended = (dispatchId: string, outcome: DispatchOutcome): void =>
    client.receive(HOME, { kind: 'dispatch-ended', dispatchId, outcome }, 1);
  start('d1');
  client.receive(HOME, { kind: 'dispatch-accepted', dispatchId: 'd1' }, 1);
  client.receive(HOME, { kind: 'dispatch-accepted', dispatchId: 'd1' }, 2);
  ended('d1', { kind: 'finished', result: RESULT });
  t.equal(accepted, 1);
  start('d2');
  ended('d2', { kind: 'refused', failure: failure('overloaded', 'full', { ran: 'no' }) });
  t.equal(accepted, 1);
  start('d3');
  ended('d3', { kind: 'finished', result: RESULT });
  t.equal(accepted, 2, 'the acceptance was lost, the result was not');
});
