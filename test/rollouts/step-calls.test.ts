import t from 'tap';
import type { NodePorts } from '../../src/core/node-ports.js';
import { failure } from '../../src/errors/error-kinds.js';
import type { CallReply } from '../../src/node/calls.js';
import { type StepCall, StepCalls } from '../../src/rollouts/step-calls.js';

/** Kind of the failure with which a node without a readable intent answers a call. */
function refusalOf(call: StepCall, fresh: boolean): string {
  const replies: CallReply[] = [];
  const node = {
    isFresh: () => fresh,
    reply: (_callId: string, reply: CallReply) => replies.push(reply),
    counters: { increment: () => undefined },
  } as unknown as NodePorts;
  const calls = new StepCalls(node, {
    permissionToSubmit: () => ({ kind: 'refused', failure: failure('forbidden', 'unused') }),
    readableIntents: () => [],
  });
  calls.call('c1', call);
  const [reply] = replies;
  return reply?.kind === 'failed' ? reply.failure.kind : 'none';
}

t.test('a node that is not fresh does not say that an intent forbids reading', (t) => {
  const step = { account: 'a', stepId: 's' };
  const calls: readonly StepCall[] = [
    { kind: 'step-read', ...step, cursor: 0, limit: 1, deadline: 0 },
    { kind: 'step-acknowledge', ...step, cursor: 0 },
    { kind: 'step-close', ...step },
  ];
  for (const call of calls) {
    t.equal(refusalOf(call, false), 'cut_off', call.kind);
    t.equal(refusalOf(call, true), 'zone_not_allowed', call.kind);
  }
  t.end();
});
