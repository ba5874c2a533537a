/** When copies of other members are enough to vote. */
import t from 'tap';
import { createRandomSource } from '../../src/core/random.js';
import { CatchUp } from '../../src/ledger/catch-up.js';
import { LedgerEnvironment } from '../../src/ledger/environment.js';
import type { LedgerMessage, RegisterEntry } from '../../src/ledger/messages.js';
import { resolveLedgerOptions } from '../../src/ledger/options.js';

function member(name: string) {
  return { node: name, incarnation: 1 };
}

function start() {
  const self = { ...member('d'), zone: 'z', region: 'r', address: '', machine: 'm' };
  const random = createRandomSource(1);
  const environment = new LedgerEnvironment<string>(resolveLedgerOptions({ self, random }));
  const previousMembers = ['a', 'b', 'c'].map(member);
  const members = ['a', 'b', 'd'].map(member);
  const record = { domain: 'z', shard: 0, epoch: 2, members, previousMembers };
  const catchUp = new CatchUp(environment, record);
  const requests = (): Map<string, LedgerMessage> =>
    new Map(
      environment
        .takeEffects()
        .flatMap((effect) => (effect.kind === 'send' ? [[effect.to.node, effect.message]] : [])),
    );
  catchUp.tick(0);
  return { catchUp, requests };
}

function entry(key: string, counter: number): RegisterEntry {
  const accepted = { epoch: 1, counter, proposer: 'p#1', sequence: 1 };
  return { key, shardKey: 's', promised: null, accepted, value: counter };
}

function page(
  request: LedgerMessage | undefined,
  source: 'epoch' | 'previous',
  entries: RegisterEntry[],
  last = true,
): LedgerMessage {
  const { domain, shard, epoch, to, request: number } = request as LedgerMessage;
  const cursor = request?.kind === 'pull' ? request.cursor : 0;
  const content = { kind: 'page', source, cursor, entries, tombstones: [], last } as const;
  return { domain, shard, epoch, to, request: number, ...content };
}

t.test('a majority of full copies of the epoch before is enough, and no less', async (t) => {
  const { catchUp, requests } = start();
  const asked = requests();
  t.same([...asked.keys()], ['a', 'b', 'c']);
  const half = page(asked.get('a'), 'previous', [entry('k', 1)], false);
  t.equal(catchUp.receive('a#1', half, 1), undefined);
  const rest = requests().get('a');
  t.match(rest, { kind: 'pull', cursor: 1 });
  t.equal(catchUp.receive('b#1', page(asked.get('b'), 'previous', []), 2), undefined);
  const result = catchUp.receive('a#1', page(rest, 'previous', [entry('l', 2)]), 3);
  t.match(result, { entries: [{ key: 'k' }, { key: 'l' }] });
});

t.test('a member that becomes active later is asked again, and its copy is enough', async (t) => {
  const { catchUp, requests } = start();
  const asked = requests();
  t.equal(catchUp.receive('a#1', page(asked.get('a'), 'previous', []), 1), undefined);
  catchUp.noteActive('a#1', 2);
  const again = requests().get('a');
  t.match(again, { kind: 'pull', cursor: 0 });
  t.equal(catchUp.receive('a#1', page(asked.get('a'), 'previous', []), 3), undefined, 'late');
  const result = catchUp.receive('a#1', page(again, 'epoch', [entry('k', 1)]), 4);
  t.match(result, { entries: [{ key: 'k' }] });
});

t.test('pages of two kinds of copies are not mixed', async (t) => {
  const { catchUp, requests } = start();
  const asked = requests();
  const first = page(asked.get('a'), 'previous', [entry('k', 1)], false);
  catchUp.receive('a#1', first, 1);
  const second = page(requests().get('a'), 'epoch', [entry('l', 1)]);
  t.equal(catchUp.receive('a#1', second, 2), undefined);
  t.match(requests().get('a'), { kind: 'pull', cursor: 0 });
});
