/** A partitioned node sends work to zones whose evacuation it has missed. */
import t from 'tap';
import { StaleEvacuationRule } from '../../src/placement/stale-evacuation-rule.js';

/** A rule with inputs that the test sets. */
function fixture() {
  const state = { limit: 5_000 as number | undefined, age: 0, hasPeers: true };
  const lines: string[] = [];
  const rule = new StaleEvacuationRule({
    limit: () => state.limit,
    contactAge: () => state.age,
    hasPeers: () => state.hasPeers,
    log: { state: (event) => lines.push(event) },
  });
  const isStale = (): boolean => {
    rule.tick();
    return rule.isStale;
  };
  return { surroundings: state, belief: rule, lines, isOutdated: isStale };
}

t.test('sends are rejected once the last contact is older than the limit', async (t) => {
  const { surroundings, belief, lines, isOutdated } = fixture();
  surroundings.age = 5_000;
  t.notOk(isOutdated());
  surroundings.age = 5_001;
  t.ok(isOutdated());
  t.equal(belief.rejectionOf(), 'evacuations-unknown');
  surroundings.age = 20;
  t.equal(belief.rejectionOf(), undefined, 'immediately after a contact, before the next tick');
  t.same(lines, ['evacuations-unknown', 'evacuations-known']);
});

t.test(
  'no sends are rejected without a limit, without peers, or before the first contact',
  async (t) => {
    const { surroundings, isOutdated } = fixture();
    surroundings.age = Number.POSITIVE_INFINITY;
    t.notOk(isOutdated(), 'a node without a first contact serves nothing');
    surroundings.age = 60_000;
    surroundings.hasPeers = false;
    t.notOk(isOutdated(), 'no peer could know more');
    surroundings.hasPeers = true;
    surroundings.limit = undefined;
    t.notOk(isOutdated());
    surroundings.limit = 5_000;
    t.ok(isOutdated());
  },
);
