/** Faults that take a part of its calls from a gateway, as a soak draws them from its seed. */
import t from 'tap';
import { isOfOneGateway, leavesGatewaysAlone } from '../../../lab/soak/disturbances.js';
import { QUIET_END, QUIET_START } from '../../../lab/soak/fault-schedule.js';
import { relayOf } from '../../../lab/soak/partial-fault-runner.js';
import {
  LONGEST_PARTIAL,
  planPartialFaults,
  READS,
  REGION_LINKS,
  SHORTEST_CHANGE_PAUSE,
  SHORTEST_PARTIAL,
  WATCHES,
} from '../../../lab/soak/partial-faults.js';
import {
  planStretch,
  SINGLE_KINDS,
  STRETCH_BEGIN,
  STRETCH_END,
} from '../../../lab/soak/partial-stretch.js';
import { callKindOf } from '../../../lab/soak/store-call-kinds.js';
import { RelayChoice } from '../../../src/fleet/relay-choice.js';
import { PROCESS_CLOCK } from '../../../src/serving/clock.js';

const GATEWAYS = [1, 2, 3, 4, 5].map((number) => ({
  name: `gateway-${number}`,
  zone: number % 2 === 1 ? 'zone-a' : 'zone-b',
}));

function planned(seed: number, length: number) {
  return planPartialFaults(seed, QUIET_START, length - QUIET_END);
}

t.test('a seed gives the same faults each time, another seed others', async (t) => {
  t.same(planned(7, 60_000), planned(7, 60_000));
  t.not(JSON.stringify(planned(7, 60_000)), JSON.stringify(planned(8, 60_000)));
});

t.test('each fault keeps its bounds, and all effects and groups come up', async (t) => {
  const faults = planned(3, 900_000);
  for (const { effects, groups } of [READS, WATCHES, REGION_LINKS]) {
    const ofKind = faults.filter(({ effect }) => effects.includes(effect));
    t.same(new Set(ofKind.map(({ effect }) => effect)), new Set(effects));
    t.same(new Set(ofKind.map(({ struck }) => struck)), new Set(groups));
  }
  for (const { duration, changesAfter } of faults) {
    t.ok(duration >= SHORTEST_PARTIAL && duration <= LONGEST_PARTIAL);
    for (const [index, after] of changesAfter.entries()) {
      const before = changesAfter[index - 1] ?? Number.NEGATIVE_INFINITY;
      t.ok(after <= duration && after - before >= SHORTEST_CHANGE_PAUSE);
    }
  }
  const changes = faults.flatMap(({ changesAfter }) => changesAfter);
  t.ok(changes.length > faults.length / 2, 'configurations change meanwhile');
});

t.test('they come in order, overlap, and end before the quiet time', async (t) => {
  const faults = planned(3, 900_000);
  const overlapping = faults.filter(({ at }, index) => {
    const before = faults[index - 1];
    return before !== undefined && at < before.at + before.duration;
  });
  t.ok(overlapping.length > faults.length / 4);
  for (const [index, { at, duration }] of faults.entries()) {
    t.ok(at >= (faults[index - 1]?.at ?? QUIET_START));
    t.ok(at + duration <= 900_000 - QUIET_END);
  }
});

t.test('each short soak has such faults', async (t) => {
  for (let seed = 0; seed < 100; seed += 1) t.ok(planned(seed, 45_000).length >= 2);
});

t.test('the relay of a zone is the one that its gateways choose', async (t) => {
  for (const zone of ['zone-a', 'zone-b']) {
    const [relay] = relayOf(zone, GATEWAYS);
    const choiceOf = (self: string): RelayChoice =>
      new RelayChoice({
        ...{ self, zone, clock: PROCESS_CLOCK },
        fleet: () => ({
          liveNodes: () => GATEWAYS.map(({ name }) => name),
          zoneOf: (node) => GATEWAYS.find(({ name }) => name === node)?.zone,
          addressOf: () => undefined,
          renewalAge: () => 0,
        }),
      });
    const relays = GATEWAYS.filter((one) => one.zone === zone && choiceOf(one.name).isRelay);
    t.same(relays, [relay]);
  }
  t.same(relayOf('zone-c', GATEWAYS), []);
});

t.test('calls are told apart by their paths', async (t) => {
  t.equal(callKindOf('/wardwing/kv-key?tls_key=a'), 'read');
  t.equal(callKindOf('/wardwing/kv-range?path_prefix=a'), 'read');
  t.equal(callKindOf('/wardwing/kv-watch?path_prefix=a'), 'watch');
  t.equal(callKindOf('/wardwing/kv-keep/7'), 'other');
  t.equal(callKindOf('/wardwing/kv-txn'), 'other');
});

t.test('a stretch strikes single gateways and workers beside, and excuses no other', async (t) => {
  t.same(planStretch(7, 1_000), planStretch(7, 1_000));
  t.notOk(SINGLE_KINDS.some((kind) => !isOfOneGateway(kind) && !leavesGatewaysAlone(kind)));
  for (let seed = 0; seed < 100; seed += 1) {
    const { partial, single } = planStretch(seed, 1_000);
    t.ok(partial.length >= 2 && single.length >= 3);
    for (const { at } of [...partial, ...single]) {
      t.ok(at >= 1_000 + STRETCH_BEGIN && at <= 1_000 + STRETCH_END);
    }
  }
});
