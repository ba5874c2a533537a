/** How long a node that hears from nobody acts on what it knows of evacuations. */
import t from 'tap';
import { StaleEvacuationRule } from '../../src/placement/stale-evacuation-rule.js';

/** A belief whose surroundings a test sets. */
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

t.test('what is known counts for its age and is doubted past it', async (t) => {
  const { surroundings, belief, lines, isOutdated } = fixture();
  surroundings.age = 5_000;
  t.notOk(isOutdated());
  surroundings.age = 5_001;
  t.ok(isOutdated());
  t.equal(belief.rejectionOf(), 'evacuations-unknown');
  surroundings.age = 20;
  t.equal(belief.rejectionOf(), undefined, 'at once after a contact, before the next tick');
  t.same(lines, ['evacuations-unknown', 'evacuations-known']);
});

t.test(
  'nothing is doubted without a bound, without other nodes, or before the start',
  async (t) => {
    const { surroundings, isOutdated } = fixture();
    surroundings.age = Number.POSITIVE_INFINITY;
    t.notOk(isOutdated(), 'a node that has heard nothing yet serves nothing yet');
    surroundings.age = 60_000;
    surroundings.hasPeers = false;
    t.notOk(isOutdated(), 'nobody could know more');
    surroundings.hasPeers = true;
    surroundings.limit = undefined;
    t.notOk(isOutdated());
    surroundings.limit = 5_000;
    t.ok(isOutdated());
  },
);
