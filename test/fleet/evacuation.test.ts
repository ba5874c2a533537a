/**
 * Guards against evacuated zones receiving work, alone and together with failures of the store, of
 * nodes and of links.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { FEED_TRANSLATION } from '../../platform/feeds.js';
import {
  EVACUATION_BOUND,
  EvacuationFleet,
  hasLogged,
  receivingZones,
  ZONES,
} from './evacuation-fleet.js';
import { eventually } from './fleet-fixtures.js';

const WITHOUT_ZONE_2 = ['zone-1', 'zone-3'];

/** Longer than the age limit of the cached evacuation state. */
const BEYOND_AGE_LIMIT = 4_500;

t.test('an evacuation is read from its key, and a key without a zone is unreadable', async (t) => {
  const translated = (key: string, value: string | undefined) =>
    FEED_TRANSLATION.translate({ key, value, revision: 1 });
  t.same(translated('op/evacuate/z0', 'no JSON {'), { kind: 'zone-evacuated', zone: 'z0' });
  t.same(translated('op/evacuate/z0', ''), { kind: 'zone-evacuated', zone: 'z0' });
  t.same(translated('op/evacuate/z0', undefined), { kind: 'zone-returned', zone: 'z0' });
  t.same(translated('op/evacuate/', '{}'), { kind: 'unreadable', key: 'op/evacuate/' });
  t.equal(translated('op/evacuate/', undefined), undefined);
});

t.test('no gateway sends work to an evacuated zone until the evacuation ends', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  const time = await fleet.untilAllSendTo(WITHOUT_ZONE_2);
  t.ok(time < EVACUATION_BOUND, `in force after ${time} ms`);
  for (const gateway of fleet.gateways) t.not(await fleet.lookUp(gateway), 'zone-2');
  const scraped = await fleet.gateways[0]?.metrics.text();
  t.match(scraped, /evacuated_zones 1/);
  fleet.endEvacuation('zone-2');
  await fleet.untilAllSendTo(ZONES);
  for (const gateway of fleet.gatewaysIn('zone-2')) t.equal(await fleet.lookUp(gateway), 'zone-2');
});

t.test('an evacuation that is written twice ends with one removal', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  await fleet.untilAllSendTo(WITHOUT_ZONE_2);
  fleet.evacuate('zone-2');
  await sleep(200);
  for (const gateway of fleet.gateways) t.same(receivingZones(gateway), WITHOUT_ZONE_2);
  fleet.endEvacuation('zone-2');
  await fleet.untilAllSendTo(ZONES);
  const [gateway] = fleet.gateways;
  const logged = gateway?.lines.filter((line) => JSON.parse(line).msg === 'zone-evacuated');
  t.equal(logged?.length, 1);
});

t.test('the evacuation of a zone without workers has no effect and is logged', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-of-nobody');
  fleet.evacuate('');
  await eventually(() =>
    fleet.gateways.every((gateway) => hasLogged(gateway, 'record-unreadable')),
  );
  const [gateway] = fleet.gateways;
  const line = gateway?.lines
    .map((text) => JSON.parse(text))
    .find((l) => l.msg === 'zone-evacuated');
  t.match(line, { workerZone: 'zone-of-nobody', workers: 0 });
  await fleet.untilAllSendTo(ZONES);
});

t.test('a gateway that starts during an evacuation applies it before it is ready', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  await fleet.untilAllSendTo(WITHOUT_ZONE_2);
  const started = fleet.joined.add('zone-2');
  await eventually(() => started.node.isReady);
  t.same(receivingZones(started), WITHOUT_ZONE_2, 'as soon as it is ready');
  fleet.endEvacuation('zone-2');
  await fleet.untilAllSendTo(ZONES);
});

t.test('evacuation changes during a loss of the watch history are applied after it', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const { store } = fleet.joined;
  fleet.evacuate('zone-1');
  await fleet.untilAllSendTo(['zone-2', 'zone-3']);
  store.deafenWatches();
  fleet.evacuate('zone-2');
  fleet.endEvacuation('zone-1');
  store.compact();
  await fleet.untilAllSendTo(WITHOUT_ZONE_2);
  t.pass();
});

t.test('evacuations of two zones end independently', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  fleet.evacuate('zone-1');
  await fleet.untilAllSendTo(['zone-3']);
  for (const gateway of fleet.gateways) t.equal(await fleet.lookUp(gateway), 'zone-3');
  fleet.endEvacuation('zone-2');
  await fleet.untilAllSendTo(['zone-2', 'zone-3']);
  fleet.endEvacuation('zone-1');
  await fleet.untilAllSendTo(ZONES);
});

t.test('while all zones are evacuated callers get a failure that says nothing ran', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  for (const zone of ZONES) fleet.evacuate(zone);
  await fleet.untilAllSendTo([]);
  const [gateway] = fleet.gateways;
  if (gateway === undefined) return t.fail('there is no gateway');
  const { failure } = await fleet.joined.ask(gateway, '/look/x', '');
  t.equal(failure?.kind, 'no_worker');
  for (const zone of ZONES) fleet.endEvacuation(zone);
  await fleet.untilAllSendTo(ZONES);
});

t.test('a new configuration does not affect an evacuation', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const { store } = fleet.joined;
  const configuration = JSON.parse(store.valueOf('op/config') ?? '{}');
  fleet.evacuate('zone-2');
  store.write('op/config', JSON.stringify({ ...configuration, version: 2 }));
  await eventually(() => fleet.gateways.every(({ node }) => node.configuration.version === 2));
  for (const gateway of fleet.gateways) t.same(receivingZones(gateway), WITHOUT_ZONE_2);
  store.write('op/config', JSON.stringify({ ...configuration, version: 3 }));
  fleet.endEvacuation('zone-2');
  await fleet.untilAllSendTo(ZONES);
});

t.test(
  'a gateway that the store rejects learns of an evacuation from other gateways',
  async (t) => {
    const fleet = await EvacuationFleet.start(t);
    for (const gateway of fleet.gateways) {
      gateway.link.close();
      await sleep(100);
      fleet.evacuate('zone-2');
      await fleet.untilAllSendTo(WITHOUT_ZONE_2);
      t.pass(`${gateway.name} applies the evacuation`);
      fleet.endEvacuation('zone-2');
      await fleet.untilAllSendTo(ZONES);
      gateway.link.open();
    }
  },
);

t.test(
  'during an outage of the store gateways keep serving and an evacuation stays in force',
  async (t) => {
    const fleet = await EvacuationFleet.start(t);
    fleet.evacuate('zone-2');
    await fleet.untilAllSendTo(WITHOUT_ZONE_2);
    fleet.joined.store.setAvailability('refusing');
    for (let time = 0; time < BEYOND_AGE_LIMIT; time += 50) {
      for (const gateway of fleet.gateways) {
        t.ok(gateway.node.isReady, `${gateway.name} is ready`);
        t.not((await fleet.lookUp(gateway)) ?? 'zone-2', 'zone-2');
      }
      await sleep(50);
    }
    fleet.joined.store.setAvailability('up');
    fleet.endEvacuation('zone-2');
    await fleet.untilAllSendTo(ZONES);
  },
);

t.test('an isolated gateway sends nothing once its evacuation state is stale', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  for (const isolated of [fleet.gateways[0], fleet.gateways[1]]) {
    if (isolated === undefined) return t.fail('there is no gateway');
    isolated.link.close();
    fleet.joined.silent.add(addressOf(isolated.name));
    t.not(await fleet.lookUp(isolated), undefined, 'it serves until its state is stale');
    await fleet.untilAllSendTo([], [isolated]);
    t.notOk(isolated.node.isReady, 'callers are served elsewhere');
    t.ok(hasLogged(isolated, 'evacuations-unknown'));
    t.equal(await fleet.lookUp(isolated), undefined);
    const others = fleet.gateways.filter((gateway) => gateway !== isolated);
    fleet.evacuate('zone-2');
    await fleet.untilAllSendTo(WITHOUT_ZONE_2, others);
    for (const other of others) t.ok(other.node.isReady, `${other.name} is ready`);
    fleet.joined.silent.delete(addressOf(isolated.name));
    await fleet.untilAllSendTo(WITHOUT_ZONE_2, [isolated]);
    t.ok(isolated.node.isReady, 'its peers inform it while the store still rejects it');
    isolated.link.open();
    fleet.endEvacuation('zone-2');
    await fleet.untilAllSendTo(ZONES);
  }
});

t.test('without a time limit for evacuations an isolated gateway keeps serving', async (t) => {
  const fleet = await EvacuationFleet.start(t, { evacuationBound: undefined });
  const [isolated] = fleet.gateways;
  if (isolated === undefined) return t.fail('there is no gateway');
  isolated.link.close();
  fleet.joined.silent.add(addressOf(isolated.name));
  await sleep(BEYOND_AGE_LIMIT);
  t.ok(isolated.node.isReady);
  t.not(await fleet.lookUp(isolated), undefined);
});

t.test(
  'a partitioned zone keeps serving, and other zones apply an evacuation at once',
  async (t) => {
    const fleet = await EvacuationFleet.start(t);
    const inside = fleet.gatewaysIn('zone-1');
    const outside = fleet.gateways.filter(({ zone }) => zone !== 'zone-1');
    fleet.joined.cutZones.add('zone-1');
    for (const gateway of inside) gateway.link.close();
    fleet.evacuate('zone-2');
    await fleet.untilAllSendTo(WITHOUT_ZONE_2, outside);
    await sleep(BEYOND_AGE_LIMIT);
    for (const gateway of inside) t.equal(await fleet.lookUp(gateway), 'zone-1');
    fleet.joined.cutZones.delete('zone-1');
    for (const gateway of inside) gateway.link.open();
    await fleet.untilAllSendTo(WITHOUT_ZONE_2);
    fleet.endEvacuation('zone-2');
    await fleet.untilAllSendTo(ZONES);
  },
);

t.test('gateways of a partitioned zone apply its evacuation once they reconnect', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const inside = fleet.gatewaysIn('zone-2');
  const outside = fleet.gateways.filter(({ zone }) => zone !== 'zone-2');
  fleet.joined.cutZones.add('zone-2');
  for (const gateway of inside) gateway.link.close();
  fleet.evacuate('zone-2');
  await fleet.untilAllSendTo(WITHOUT_ZONE_2, outside);
  fleet.joined.cutZones.delete('zone-2');
  const time = await fleet.untilAllSendTo(WITHOUT_ZONE_2, inside);
  t.pass(`informed by other gateways after ${time} ms while the store rejects them`);
  for (const gateway of inside) gateway.link.open();
  fleet.endEvacuation('zone-2');
  await fleet.untilAllSendTo(ZONES);
});

function addressOf(name: string): string {
  return `address-of-${name}`;
}
