import t from 'tap';
import type { Permission } from '../../src/access/permission.js';
import { MemoryCounters } from '../../src/core/counter-names.js';
import type { NodeIdentity } from '../../src/core/identity.js';
import type { LedgerCallback, NodePorts } from '../../src/core/node-ports.js';
import { createRandomSource } from '../../src/core/random.js';
import type {
  GenerationListener,
  GenerationOutcome,
  GenerationRunner,
} from '../../src/dispatch/generation-runner.js';
import { executionStateOf, type Failure, failure } from '../../src/errors/error-kinds.js';
import type { LedgerChange, LedgerOutcome } from '../../src/ledger/ledger.js';
import { ALL_MECHANISMS } from '../../src/node/mechanisms.js';
import { type ClaimedOutcome, ClaimedRequest } from '../../src/requests/claimed-request.js';
import type { GenerateCall } from '../../src/requests/interactive-request.js';
import type { LedgerRecord } from '../../src/rollouts/records.js';

const RESULT = {
  text: 'x ',
  tokenCount: 1,
  segments: [{ version: 1, firstToken: 0, tokenCount: 1 }],
  finishReason: 'stop',
} as const;

/** A ledger of one register and a runner whose generations a test ends. */
class Bench {
  register: LedgerRecord | null = null;
  available = true;
  hasRoom = true;
  alive = true;
  readonly bodies = new Map<string, string>();
  readonly running: GenerationListener[] = [];
  readonly later: (() => void)[] = [];
  private random = createRandomSource(1);

  call(prompt: string, node = 'n1'): { outcomes: ClaimedOutcome[]; request: ClaimedRequest } {
    const outcomes: ClaimedOutcome[] = [];
    const call = {
      kind: 'generate',
      account: 'clerk',
      model: 'desk',
      prompt,
      maxTokens: 4,
      samplingSeed: 1,
      deadline: 10_000,
      repeatable: false,
    } as unknown as GenerateCall;
    const permission = { intent: { name: 'orders' }, zones: ['z'] } as unknown as Permission;
    const runner = {
      run: (_order: unknown, listener: GenerationListener) => {
        this.running.push(listener);
        return { cancel: () => undefined };
      },
    } as unknown as GenerationRunner;
    const ended = (outcome: ClaimedOutcome): void => void outcomes.push(outcome);
    const ports = this.ports({ node, incarnation: 1 });
    const request = new ClaimedRequest(ports, runner, call, permission, 'key', ended);
    request.start();
    return { outcomes, request };
  }

  end(outcome: GenerationOutcome): void {
    this.running.shift()?.onEnd(outcome, 0);
  }

  private change(
    apply: (current: LedgerRecord | null) => LedgerChange<LedgerRecord>,
    done: LedgerCallback,
  ): void {
    if (!this.available) {
      done({ kind: 'unavailable', mayHaveApplied: true });
      return;
    }
    const change = apply(this.register);
    if (change.kind === 'write') this.register = change.value;
    done({ kind: 'changed', value: this.register, written: change.kind === 'write' });
  }

  private ports(self: NodeIdentity): NodePorts {
    const stored: LedgerOutcome<LedgerRecord> = { kind: this.hasRoom ? 'stored' : 'full' };
    return {
      self,
      random: this.random,
      counters: new MemoryCounters(),
      mechanisms: ALL_MECHANISMS,
      now: () => 0,
      isAlive: () => this.alive,
      schedule: (_delay: number, callback: () => void) => this.later.push(callback),
      ledger: {
        change: (_address: unknown, apply: never, _deadline: number, done: LedgerCallback) =>
          this.change(apply, done),
        storeBody: (
          _domain: string,
          _key: string,
          body: string,
          _deadline: number,
          done: never,
        ) => {
          this.bodies.set('digest', body);
          (done as (digest: string, outcome: LedgerOutcome<LedgerRecord>) => void)(
            'digest',
            stored,
          );
        },
        fetchBody: (
          _domain: string,
          _key: string,
          digest: string,
          _deadline: number,
          done: never,
        ) => (done as LedgerCallback)({ kind: 'body', body: this.bodies.get(digest) ?? '' }),
      },
    } as unknown as NodePorts;
  }
}

function failureOf(outcomes: readonly ClaimedOutcome[]): Failure {
  const [outcome] = outcomes;
  if (outcome?.kind !== 'failed') throw new Error('no failure');
  return outcome.failure;
}

t.test('a repeat gets the first answer and runs nothing', async (t) => {
  const bench = new Bench();
  const first = bench.call('bolt');
  bench.end({ kind: 'finished', result: RESULT, worker: 'w' });
  t.match(first.outcomes, [{ kind: 'finished' }]);
  const repeat = bench.call('bolt', 'n2');
  t.match(repeat.outcomes, [{ kind: 'finished', result: { text: 'x ' } }]);
  t.equal(bench.running.length, 0);
});

t.test('the same key with another body is a conflict', async (t) => {
  const bench = new Bench();
  bench.call('bolt');
  t.equal(failureOf(bench.call('other bolt').outcomes).kind, 'key_conflict');
});

t.test('work that was refused everywhere did not run, and the key is free again', async (t) => {
  const bench = new Bench();
  const first = bench.call('bolt');
  const refused = failure('overloaded', 'full', { ran: 'no' });
  bench.end({ kind: 'failed', failure: refused, preempted: false, partial: null });
  t.equal(executionStateOf(failureOf(first.outcomes)), 'no');
  bench.call('bolt', 'n2');
  t.equal(bench.running.length, 1, 'the repeat may run');
});

t.test('an unknown outcome stays unknown for every repeat', async (t) => {
  const bench = new Bench();
  bench.call('bolt');
  const lost = failure('outcome_unknown', 'silent', { ran: 'unknown' });
  bench.end({ kind: 'failed', failure: lost, preempted: false, partial: null });
  t.equal(executionStateOf(failureOf(bench.call('bolt', 'n2').outcomes)), 'unknown');
  t.equal(bench.running.length, 0);
});

t.test('a repeat that cannot read the key does not promise that nothing ran', async (t) => {
  const bench = new Bench();
  bench.call('bolt');
  bench.available = false;
  const repeat = bench.call('bolt', 'n2');
  t.match(failureOf(repeat.outcomes), { kind: 'ledger_unavailable', ran: 'unknown' });
});

t.test('a repeat that waits for another call until its deadline promises nothing', async (t) => {
  const bench = new Bench();
  bench.call('bolt');
  const repeat = bench.call('bolt', 'n2');
  t.equal(bench.running.length, 1);
  repeat.request.expire();
  t.equal(executionStateOf(failureOf(repeat.outcomes)), 'unknown');
  bench.alive = false;
  t.equal(failureOf(bench.call('bolt', 'n3').outcomes).kind, 'outcome_unknown');
});

t.test('an answer that could not be kept is given once; a repeat learns that it ran', async (t) => {
  const bench = new Bench();
  bench.hasRoom = false;
  const first = bench.call('bolt');
  bench.end({ kind: 'finished', result: RESULT, worker: 'w' });
  t.match(first.outcomes, [{ kind: 'finished' }]);
  const repeat = bench.call('bolt', 'n2');
  t.match(failureOf(repeat.outcomes), { kind: 'outcome_unknown', ran: 'yes' });
  t.equal(bench.running.length, 0);
});
