/** The rules of one acceptor, and what answers of a majority prove. */
import t from 'tap';
import { Acceptor } from '../../src/ledger/acceptor.js';
import { type Ballot, compareBallots } from '../../src/ledger/ballot.js';
import { RegisterAnswers } from '../../src/ledger/register-answers.js';

function ballot(counter: number, proposer = 'node-1#1', epoch = 1): Ballot {
  return { epoch, counter, proposer, sequence: counter };
}

function accept(acceptor: Acceptor, at: Ballot, value: string, next: Ballot | null = null) {
  const key = 'step/1';
  return acceptor.accept({ kind: 'accept', key, shardKey: '1', ballot: at, value, next });
}

function newAcceptor(limit = 10): Acceptor {
  return new Acceptor({ count: 0, limit });
}

t.test('a promise refuses lower ballots and keeps the accepted value', async (t) => {
  const acceptor = newAcceptor();
  acceptor.prepare('step/1', ballot(2));
  t.match(accept(acceptor, ballot(1), 'low'), { kind: 'conflict', promised: ballot(2) });
  t.match(acceptor.prepare('step/1', ballot(1)), { kind: 'conflict' });
  t.match(accept(acceptor, ballot(2), 'first'), { kind: 'accepted' });
  t.match(acceptor.prepare('step/1', ballot(3)), { accepted: ballot(2), value: 'first' });
});

t.test('a repeated acceptance promises the next ballot too', async (t) => {
  const acceptor = newAcceptor();
  const copy = { key: 'step/1', shardKey: '1', promised: null, accepted: ballot(2), value: 'v' };
  acceptor.merge(copy);
  t.match(accept(acceptor, ballot(2), 'v', ballot(9)), { kind: 'accepted' });
  t.match(acceptor.prepare('step/1', ballot(5)), { kind: 'conflict', promised: ballot(9) });
});

t.test('a later epoch outranks any counter of an earlier one', async (t) => {
  const acceptor = newAcceptor();
  accept(acceptor, ballot(50), 'old');
  t.match(accept(acceptor, ballot(1, 'node-2#1', 2), 'new'), { kind: 'accepted' });
  t.ok(compareBallots(ballot(1, 'a', 2), ballot(50, 'b', 1)) > 0);
});

t.test('a removed register is not made again until the removal is forgotten', async (t) => {
  const acceptor = newAcceptor();
  accept(acceptor, ballot(1), 'value');
  acceptor.remove('step/', 1_000);
  t.match(accept(acceptor, ballot(2), 'late'), { kind: 'refused', reason: 'removed' });
  t.match(acceptor.read('step/1'), { kind: 'refused', reason: 'removed' });
  t.match(acceptor.read('steps/1'), { accepted: null });
  acceptor.expire(1_000);
  t.match(acceptor.read('step/1'), { accepted: null });
});

t.test('a full acceptor takes no new register, but serves those it has', async (t) => {
  const acceptor = newAcceptor(1);
  accept(acceptor, ballot(1), 'value');
  t.match(acceptor.prepare('step/2', ballot(1)), { kind: 'refused', reason: 'full' });
  t.match(accept(acceptor, ballot(2), 'newer'), { kind: 'accepted' });
});

t.test('agreement on a ballot of an earlier epoch proves nothing', async (t) => {
  const answers = new RegisterAnswers();
  answers.add(ballot(3), 'copied');
  answers.add(ballot(3), 'copied');
  t.equal(answers.isChosen(1), true);
  t.equal(answers.isChosen(2), false);
  answers.add(ballot(4), 'newer');
  t.equal(answers.isChosen(1), false);
  t.equal(answers.value, 'newer');
});
