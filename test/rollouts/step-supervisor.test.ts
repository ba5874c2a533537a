import t from 'tap';
import { MemoryCounters } from '../../src/core/counter-names.js';
import { rendezvousOrder } from '../../src/core/hashing.js';
import { identityKey, type NodeIdentity } from '../../src/core/identity.js';
import { ALL_MECHANISMS } from '../../src/node/mechanisms.js';
import type { StepRecord } from '../../src/rollouts/records.js';
import type { StepPorts } from '../../src/rollouts/step-ports.js';
import { StepSupervisor } from '../../src/rollouts/step-supervisor.js';

const KEY = 'step/trainer/s1';
const RECORD: StepRecord = {
  kind: 'step',
  stepId: 's1',
  account: 'trainer',
  intent: 'intent',
  model: 'm',
  samplesDigest: 'd',
  sampleCount: 1,
  timeout: 60_000,
  acknowledged: 0,
  state: 'open',
};
const MEMBERS: readonly NodeIdentity[] = ['a', 'b', 'c'].map((node) => ({ node, incarnation: 1 }));
const RANKED = rendezvousOrder(KEY, MEMBERS, identityKey);

/** A supervisor whose ledger holds one open step and answers nothing. */
function supervisorOf(self: NodeIdentity, clock: { now: number }, dead: readonly string[] = []) {
  const counters = new MemoryCounters();
  const group = { domain: 'intent', shard: 0, epoch: 1, members: MEMBERS, previousMembers: [] };
  const nothing = () => undefined;
  const node = {
    self,
    counters,
    mechanisms: ALL_MECHANISMS,
    now: () => clock.now,
    isStopping: () => false,
    isConfirmed: () => true,
    isAlive: (identity: NodeIdentity) => !dead.includes(identity.node),
    schedule: nothing,
    send: nothing,
    recordDecision: nothing,
    stateChange: nothing,
    ledger: {
      read: nothing,
      change: nothing,
      fetchBody: nothing,
      view: {
        localEntries: () => [{ domain: 'intent', shardKey: KEY, key: KEY, value: RECORD }],
        groupFor: () => group,
        isActiveMember: () => true,
      },
    },
  };
  const supervisor = new StepSupervisor({ node } as unknown as StepPorts);
  return { supervisor, counters };
}

function runUntil(supervisor: StepSupervisor, clock: { now: number }, end: number): void {
  for (; clock.now <= end; clock.now += 50) supervisor.tick();
}

t.test('the first member begins at once, the others leave it the time to say so', async (t) => {
  for (const [rank, member] of RANKED.entries()) {
    const clock = { now: 0 };
    const { supervisor, counters } = supervisorOf(member, clock);
    runUntil(supervisor, clock, 1_000);
    t.equal(supervisor.drivenSteps().length, rank === 0 ? 1 : 0, `rank ${rank}`);
    t.equal(counters.value('steps_taken_over'), 0);
  }
});

t.test('a silent driver is replaced within 2 s, a heard one is not', async (t) => {
  const [first, second] = RANKED as [NodeIdentity, NodeIdentity];
  const clock = { now: 0 };
  const { supervisor, counters } = supervisorOf(second, clock, []);
  const heard = { kind: 'steps-driven', steps: [KEY] } as const;
  for (let heartbeat = 0; heartbeat < 10; heartbeat += 1) {
    runUntil(supervisor, clock, clock.now + 400);
    supervisor.receive(first, heard);
  }
  t.equal(supervisor.drivenSteps().length, 0);
  runUntil(supervisor, clock, clock.now + 2_000);
  t.same(supervisor.drivenSteps(), [KEY]);
  t.equal(counters.value('steps_taken_over'), 1);
  supervisor.receive(first, heard);
  t.same(supervisor.drivenSteps(), [], 'a higher ranked driver that is back is left the step');
});
