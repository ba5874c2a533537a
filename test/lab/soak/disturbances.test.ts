import t from 'tap';
import {
  Disturbances,
  isOfOneGateway,
  leavesGatewaysAlone,
} from '../../../lab/soak/disturbances.js';
import { FAULT_KINDS } from '../../../lab/soak/fault-schedule.js';
import type { SoakGateway } from '../../../lab/soak/gateway-group.js';

const CALM_AFTER = 1_000;

t.test(
  'a fault of one gateway excuses that one and no other, until a while after it',
  async (t) => {
    let now = 0;
    const struck = { name: 'struck' } as SoakGateway;
    const other = { name: 'other' } as SoakGateway;
    const disturbances = new Disturbances(() => now);
    t.notOk(disturbances.areOverFor(other, CALM_AFTER), 'not at its start');
    disturbances.areOverFor(struck, CALM_AFTER);
    now = 2_000;
    const end = disturbances.begin(struck);
    now = 5_000;
    t.notOk(disturbances.areOverFor(struck, CALM_AFTER));
    t.ok(disturbances.areOverFor(other, CALM_AFTER));
    end();
    now = 5_900;
    t.notOk(disturbances.areOverFor(struck, CALM_AFTER));
    now = 6_100;
    t.ok(disturbances.areOverFor(struck, CALM_AFTER));
  },
);

t.test('a fault of all excuses all', async (t) => {
  let now = 0;
  const gateway = { name: 'one' } as SoakGateway;
  const disturbances = new Disturbances(() => now);
  disturbances.areOverFor(gateway, CALM_AFTER);
  now = 2_000;
  const end = disturbances.begin(undefined);
  t.notOk(disturbances.areOverFor(gateway, CALM_AFTER));
  end();
  now = 3_001;
  t.ok(disturbances.areOverFor(gateway, CALM_AFTER));
});

t.test('each kind of fault is of one gateway, of none, or of all', async (t) => {
  const ofAll = FAULT_KINDS.filter((kind) => !isOfOneGateway(kind) && !leavesGatewaysAlone(kind));
  t.same(ofAll, [
    'all-gateways-killed',
    'store-refusing',
    'store-silent',
    'store-forgets',
    'store-leases-lapse',
    'store-answers-lost',
    'store-writes-late',
    'all-links-silent',
  ]);
  t.notOk(FAULT_KINDS.some((kind) => isOfOneGateway(kind) && leavesGatewaysAlone(kind)));
});
