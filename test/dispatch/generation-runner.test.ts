import t from 'tap';
import type { GenerationRequest } from '../../src/core/generation.js';
import { DispatchClient } from '../../src/dispatch/dispatch-client.js';
import {
  type GenerationOutcome,
  GenerationRunner,
  type WorkerChoice,
} from '../../src/dispatch/generation-runner.js';
import type { DispatchMessage, DispatchOutcome } from '../../src/dispatch/messages.js';
import { executionStateOf, failure } from '../../src/errors/error-kinds.js';

const HOME = { node: 'home', incarnation: 1 };
const NOT_RUN: DispatchOutcome = {
  kind: 'refused',
  failure: failure('overloaded', 'full', { ran: 'no' }),
};
const MAY_HAVE_RUN: DispatchOutcome = {
  kind: 'failed',
  failure: failure('engine_failed', 'reset', { ran: 'unknown' }),
  partial: null,
};

/** A runner whose dispatches end as a test says. */
function runWith(
  repeatable: boolean,
  outcomes: readonly DispatchOutcome[],
  budget = 10,
): { readonly ends: GenerationOutcome[]; readonly dispatched: number } {
  const sent: DispatchMessage[] = [];
  const ends: GenerationOutcome[] = [];
  let lastId = 0;
  let retries = budget;
  const client = new DispatchClient({ send: (_to, message) => sent.push(message) });
  const runner = new GenerationRunner(
    {
      client,
      choose: (): WorkerChoice => ({ kind: 'worker', worker: `w${lastId}`, home: HOME }),
      mayRetry: () => {
        retries -= 1;
        return retries >= 0;
      },
      countFirstAttempt: () => undefined,
      nextDispatchId: () => {
        lastId += 1;
        return `d${lastId}`;
      },
      explain: () => undefined,
      mayResume: () => true,
      singleDispatch: true,
      truthfulUnknown: true,
      rememberAttempts: true,
      wholeAnswer: true,
      streamOrder: true,
      segmentVersions: true,
    },
    () => 0,
  );
  const request = { requestId: 'r', repeatable } as GenerationRequest;
  const order = { request, zones: ['z'], stream: false, deadline: 1_000, maxAttempts: 4 };
  runner.run(order, { onEnd: (outcome) => ends.push(outcome) });
  outcomes.forEach((outcome, index) => {
    const dispatchId = `d${index + 1}`;
    client.receive(HOME, { kind: 'dispatch-ended', dispatchId, outcome }, 0);
  });
  return { ends, dispatched: sent.filter((message) => message.kind === 'dispatch').length };
}

t.test('what was refused is tried elsewhere, repeatable or not', async (t) => {
  for (const repeatable of [true, false]) {
    const { dispatched, ends } = runWith(repeatable, [NOT_RUN]);
    t.equal(dispatched, 2);
    t.same(ends, []);
  }
});

t.test('what may have run is tried again only when it may be repeated', async (t) => {
  t.equal(runWith(true, [MAY_HAVE_RUN]).dispatched, 2);
  const { dispatched, ends } = runWith(false, [MAY_HAVE_RUN]);
  t.equal(dispatched, 1);
  t.match(ends, [{ kind: 'failed', failure: { ran: 'unknown' } }]);
});

t.test('an earlier attempt that may have run is not forgotten by a later refusal', async (t) => {
  const { ends } = runWith(true, [MAY_HAVE_RUN, NOT_RUN, NOT_RUN, NOT_RUN]);
  const [end] = ends;
  t.equal(end?.kind, 'failed');
  if (end?.kind === 'failed') t.equal(executionStateOf(end.failure), 'unknown');
});

t.test('without budget there is no retry', async (t) => {
  const { dispatched, ends } = runWith(true, [NOT_RUN], 0);
  t.equal(dispatched, 1);
  t.match(ends, [{ kind: 'failed', failure: { kind: 'overloaded', ran: 'no' } }]);
});
