/** Repair of bodies asks each member that lists a body, one after the other, until one has it. */
import t from 'tap';
import type { GroupRecord } from '../../src/config-feed/configuration.js';
import { contentDigest } from '../../src/core/hashing.js';
import { identityKey, type NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import { BodyStore } from '../../src/ledger/body-store.js';
import { BodyTransfer } from '../../src/ledger/body-transfer.js';
import { LedgerEnvironment } from '../../src/ledger/environment.js';
import type { LedgerMessage } from '../../src/ledger/messages.js';
import { resolveLedgerOptions } from '../../src/ledger/options.js';

const BODY = 'a result';
const NAME = { shardKey: 'step-1', digest: contentDigest(BODY) };

function member(node: string): NodeRecord {
  const place = { zone: 'east', region: 'region', machine: node, address: '127.0.0.1:1' };
  return { node, incarnation: 1, ...place };
}

t.test(
  'a wrong body, none, and an unreadable disk leave the next lister to be asked',
  async (t) => {
    const [self, first, second] = [member('self'), member('first'), member('second')];
    const random = createRandomSource(1);
    const diskBodies = [{ domain: 'domain', ...NAME }];
    const options = { self, random, diskBodies, shardsPerDomain: 1 };
    const environment = new LedgerEnvironment<unknown>(resolveLedgerOptions(options));
    const members = [self, first, second];
    environment.alive = new Set(members.map(identityKey));
    const previousMembers = [first, second];
    const record: GroupRecord = { domain: 'domain', shard: 0, epoch: 2, members, previousMembers };
    const disk = environment.disk.forReplica('domain', 0);
    const store = new BodyStore(environment.bodyBudget, disk);
    const transfer = new BodyTransfer(environment, record, store, disk);
    const asked: string[] = [];
    const answer = (bodyOf: (node: string) => string | null): void => {
      for (const effect of environment.takeEffects()) {
        if (effect.kind !== 'send') continue;
        const { message, to } = effect;
        const { cursor } = message as LedgerMessage & { cursor: number };
        const listed = { kind: 'body-names', cursor, names: [NAME], last: true } as const;
        const body = { kind: 'body', body: bodyOf(to.node) } as const;
        if (message.kind === 'body-fetch') asked.push(to.node);
        const content = message.kind === 'body-list' ? listed : body;
        transfer.receive(identityKey(to), { ...message, ...content }, 0);
      }
    };
    transfer.tick(0);
    answer(() => null);
    t.same(asked, [], 'the disk is asked first');
    transfer.bodyLoaded(NAME, 'damaged', 0);
    answer((node) => (node === 'first' ? 'a wrong body' : null));
    t.same(asked, ['first']);
    answer(() => BODY);
    t.same(asked, ['first', 'second']);
    t.equal(store.fetch(NAME), BODY);
    t.equal(transfer.isComplete, true);
  },
);
