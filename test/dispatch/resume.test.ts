/** A training generation that ends early goes on elsewhere from the tokens it has. */
import t from 'tap';
import type {
  GenerationRequest,
  GenerationResult,
  PartialGeneration,
  TokenSegment,
} from '../../src/core/generation.js';
import type { NodeIdentity } from '../../src/core/identity.js';
import { DispatchClient } from '../../src/dispatch/dispatch-client.js';
import { type GenerationOutcome, GenerationRunner } from '../../src/dispatch/generation-runner.js';
import { HomeDispatcher } from '../../src/dispatch/home-dispatcher.js';
import type { DispatchMessage } from '../../src/dispatch/messages.js';
import { PARTIAL_TEXT_LIMIT, PartialAnswer } from '../../src/dispatch/partial-answer.js';
import { type Failure, failure } from '../../src/errors/error-kinds.js';

const ORIGIN: NodeIdentity = { node: 'origin', incarnation: 1 };
const HOME: NodeIdentity = { node: 'home', incarnation: 1 };
const WORKER = { worker: 'w', model: 'm', zone: 'z', slots: 4, address: '127.0.0.1:1' };
const REQUEST: GenerationRequest = {
  requestId: 'r',
  account: 'a',
  intent: 'i',
  model: 'm',
  trafficClass: 'training',
  prompt: 'p',
  maxTokens: 1_000,
  samplingSeed: 1,
  repeatable: true,
  oldestVersion: 1,
  promptGroup: 'g',
};

function segment(firstToken: number, tokenCount: number, version = 1): TokenSegment {
  return { version, firstToken, tokenCount };
}

/** A runner and a home joined by a wire; every worker's home is the same. */
class Pair {
  readonly started: GenerationRequest[] = [];
  readonly ends: GenerationOutcome[] = [];
  readonly toHome: DispatchMessage[] = [];
  readonly toOrigin: DispatchMessage[] = [];
  mayResume = true;
  fault: Failure | null = null;
  private lastId = 0;
  readonly client = new DispatchClient({ send: (_, message) => this.toHome.push(message) });
  readonly home: HomeDispatcher;
  readonly runner = new GenerationRunner(
    {
      client: this.client,
      choose: () => ({ kind: 'worker', worker: 'w', home: HOME }),
      mayRetry: () => true,
      countFirstAttempt: () => undefined,
      nextDispatchId: () => {
        this.lastId += 1;
        return `d${this.lastId}`;
      },
      explain: () => undefined,
      mayResume: () => this.mayResume,
      singleDispatch: true,
      truthfulUnknown: true,
      rememberAttempts: true,
      wholeAnswer: true,
      streamOrder: true,
      segmentVersions: true,
    },
    () => 0,
  );

  constructor(resume = true) {
    this.home = new HomeDispatcher({
      send: (_, message) => this.toOrigin.push(message),
      startEngine: (_id, _worker, request) => this.started.push(request),
      cancelEngine: () => undefined,
      admission: { admit: () => ({ kind: 'admitted', preempt: null }), release: () => [] },
      acceptable: () => ({ worker: WORKER }),
      outcomeSeen: () => undefined,
      segmentFault: () => this.fault,
      resume,
    });
  }

  run(changes: Partial<GenerationRequest> = {}, resume: PartialGeneration | null = null): void {
    const request = { ...REQUEST, ...changes };
    const order = { request, zones: ['z'], stream: false, deadline: 9_999, maxAttempts: 2, resume };
    this.runner.run(order, { onEnd: (outcome) => this.ends.push(outcome) });
    this.deliver(0);
  }

  deliver(now: number): void {
    for (const message of this.toHome.splice(0)) this.home.receive(ORIGIN, message, now);
    for (const message of this.toOrigin.splice(0)) this.client.receive(HOME, message, now);
    for (const message of this.toHome.splice(0)) this.home.receive(ORIGIN, message, now);
  }

  report(dispatchId: string, part: TokenSegment, text: string, now = 1): void {
    this.home.engineEvent(dispatchId, { kind: 'segment', segment: part, text }, now);
    this.deliver(now);
  }

  breakEngine(dispatchId: string): void {
    const event = { kind: 'failed', ran: 'unknown', reason: 'reset' } as const;
    this.home.engineEvent(dispatchId, event, 2);
    this.deliver(2);
  }
}

const AB: PartialGeneration = { text: 'a b ', segments: [segment(0, 2)] };

t.test('after a lost engine or a withdrawal the next worker goes on from the tokens', async (t) => {
  for (const end of ['engine', 'withdrawal'] as const) {
    const pair = new Pair();
    pair.run();
    pair.report('d1', segment(0, 1), 'a ');
    pair.report('d1', segment(1, 1), 'b ');
    if (end === 'engine') pair.breakEngine('d1');
    else pair.home.withdraw(() => failure('no_worker', 'leaving', { ran: 'no' }), 2);
    pair.deliver(2);
    t.same(pair.started[1]?.resume, AB, end);
    const result: GenerationResult = {
      text: 'a b c ',
      tokenCount: 3,
      segments: [segment(0, 2), segment(2, 1, 2)],
      finishReason: 'stop',
    };
    pair.home.engineEvent('d2', { kind: 'finished', result }, 3);
    pair.deliver(3);
    t.match(pair.ends, [{ kind: 'finished', result }]);
  }
});

t.test('work that may run once, and other work that may not, starts without tokens', async (t) => {
  const once = new Pair();
  once.run({ repeatable: false });
  once.report('d1', segment(0, 2), 'a b ');
  once.breakEngine('d1');
  t.equal(once.started.length, 1);
  t.match(once.ends, [{ kind: 'failed', partial: null }]);
  const stale = new Pair();
  stale.mayResume = false;
  const off = new Pair(false);
  const interactive = new Pair();
  for (const pair of [stale, off, interactive]) {
    pair.run(pair === interactive ? { trafficClass: 'interactive' } : {});
    pair.report('d1', segment(0, 2), 'a b ');
    pair.breakEngine('d1');
    t.equal(pair.started.length, 2);
    t.notOk(pair.started[1]?.resume);
  }
});

t.test('a home that dies loses only what it had not passed on', async (t) => {
  const pair = new Pair();
  pair.run();
  pair.report('d1', segment(0, 128), 'x '.repeat(128));
  pair.report('d1', segment(128, 10), 'y '.repeat(10));
  t.equal(pair.toOrigin.length, 0, 'ten more tokens are not passed on yet');
  pair.client.homeGone('home', null);
  pair.deliver(2);
  t.same(pair.started[1]?.resume, { text: 'x '.repeat(128), segments: [segment(0, 128)] });
});

t.test('the owner gets the longest beginning back when no attempt is left', async (t) => {
  const pair = new Pair();
  pair.run({}, AB);
  t.same(pair.started[0]?.resume, AB, 'an earlier generation is gone on from');
  pair.breakEngine('d1');
  pair.report('d2', segment(0, 1), 'a ');
  pair.breakEngine('d2');
  t.match(pair.ends, [{ kind: 'failed', partial: AB }]);
});

t.test('a run of tokens that may not be handed over ends the dispatch early', async (t) => {
  const pair = new Pair();
  pair.run();
  pair.report('d1', segment(0, 2), 'a b ');
  pair.fault = failure('version_unknown', 'the version changed', { ran: 'yes' });
  pair.report('d1', segment(2, 1, 2), 'c ');
  t.equal(pair.home.activeCount, 1, 'only the second attempt runs');
  t.same(pair.started[1]?.resume, AB, 'the run at fault is left out');
});

t.test('what is kept of an answer is bounded, contiguous and names versions', async (t) => {
  const answer = new PartialAnswer(0);
  answer.append(segment(0, 1), 'a ');
  answer.append(segment(5, 1), 'gap ');
  answer.append(segment(1, 1, 2), 'b ');
  t.same(answer.partial(), { text: 'a b ', segments: [segment(0, 1), segment(1, 1, 2)] });
  t.equal(answer.oldestVersion, 1);
  answer.append(segment(2, 1, 2), 'z'.repeat(PARTIAL_TEXT_LIMIT));
  answer.append(segment(3, 1, 2), 'c ');
  t.equal(answer.partial()?.text, 'a b ', 'it stays a beginning');
  t.same(answer.last, segment(3, 1, 2), 'the versions are still followed');
});
