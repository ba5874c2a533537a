/** Guards against a partitioned node sending work to zones whose evacuation it has missed. */
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
  return { state, rule, lines, isStale };
}

t.test('sends are rejected once the last contact is older than the limit', async (t) => {
  const { state, rule, lines, isStale } = fixture();
  state.age = 5_000;
  t.notOk(isStale());
  state.age = 5_001;
  t.ok(isStale());
  t.equal(rule.rejectionOf(), 'evacuations-unknown');
  state.age = 20;
  t.equal(rule.rejectionOf(), undefined, 'immediately after a contact, before the next tick');
  t.same(lines, ['evacuations-unknown', 'evacuations-known']);
});

t.test(
  'no sends are rejected without a limit, without peers, or before the first contact',
  async (t) => {
    const { state, isStale } = fixture();
    state.age = Number.POSITIVE_INFINITY;
    t.notOk(isStale(), 'a node without a first contact serves nothing');
    state.age = 60_000;
    state.hasPeers = false;
    t.notOk(isStale(), 'no peer could know more');
    state.hasPeers = true;
    state.limit = undefined;
    t.notOk(isStale());
    state.limit = 5_000;
    t.ok(isStale());
  },
);
