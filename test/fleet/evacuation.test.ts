/** Evacuations of zones alone and together with what may fail beside them. */
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

/** Longer than a gateway without contact may send work on what it knew. */
const PAST_AGE = 4_500;

t.test('the key alone tells of an evacuation, and one without a zone is passed over', async (t) => {
  const translated = (key: string, value: string | undefined) =>
    FEED_TRANSLATION.translate({ key, value, revision: 1 });
  t.same(translated('op/evacuate/z0', 'no JSON {'), { kind: 'zone-evacuated', zone: 'z0' });
  t.same(translated('op/evacuate/z0', ''), { kind: 'zone-evacuated', zone: 'z0' });
  t.same(translated('op/evacuate/z0', undefined), { kind: 'zone-returned', zone: 'z0' });
  t.same(translated('op/evacuate/', '{}'), { kind: 'unreadable', key: 'op/evacuate/' });
  t.equal(translated('op/evacuate/', undefined), undefined);
});

t.test('all gateways send nothing to an evacuated zone until it is taken back', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  const time = await fleet.allSendTo(WITHOUT_ZONE_2);
  t.ok(time < EVACUATION_BOUND, `in force after ${time} ms`);
  for (const gateway of fleet.gateways) t.not(await fleet.lookUp(gateway), 'zone-2');
  const scraped = await fleet.gateways[0]?.metrics.text();
  t.match(scraped, /evacuated_zones 1/);
  fleet.takeBack('zone-2');
  await fleet.allSendTo(ZONES);
  for (const gateway of fleet.of('zone-2')) t.equal(await fleet.lookUp(gateway), 'zone-2');
});

t.test('an evacuation that is put twice ends with one removal', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  await fleet.allSendTo(WITHOUT_ZONE_2);
  fleet.evacuate('zone-2');
  await sleep(200);
  for (const gateway of fleet.gateways) t.same(receivingZones(gateway), WITHOUT_ZONE_2);
  fleet.takeBack('zone-2');
  await fleet.allSendTo(ZONES);
  const [gateway] = fleet.gateways;
  const told = gateway?.lines.filter((line) => JSON.parse(line).msg === 'zone-evacuated');
  t.equal(told?.length, 1);
});

t.test('an evacuation of a zone without workers harms nothing and shows in the log', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-of-nobody');
  fleet.evacuate('');
  await eventually(() => fleet.gateways.every((one) => hasLogged(one, 'record-unreadable')));
  const [gateway] = fleet.gateways;
  const line = gateway?.lines
    .map((text) => JSON.parse(text))
    .find((l) => l.msg === 'zone-evacuated');
  t.match(line, { workerZone: 'zone-of-nobody', workers: 0 });
  await fleet.allSendTo(ZONES);
});

t.test(
  'a gateway that starts in the middle of an evacuation knows of it from the start',
  async (t) => {
    const fleet = await EvacuationFleet.start(t);
    fleet.evacuate('zone-2');
    await fleet.allSendTo(WITHOUT_ZONE_2);
    const started = fleet.joined.add('zone-2');
    await eventually(() => started.node.isReady);
    t.same(receivingZones(started), WITHOUT_ZONE_2, 'at the moment at which it is ready');
    fleet.takeBack('zone-2');
    await fleet.allSendTo(ZONES);
  },
);

t.test('what happens while the history is lost is known after it', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const { store } = fleet.joined;
  fleet.evacuate('zone-1');
  await fleet.allSendTo(['zone-2', 'zone-3']);
  store.deafenWatches();
  fleet.evacuate('zone-2');
  fleet.takeBack('zone-1');
  store.compact();
  await fleet.allSendTo(WITHOUT_ZONE_2);
  t.pass();
});

t.test('a second evacuation takes another zone, and each returns by itself', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  fleet.evacuate('zone-2');
  fleet.evacuate('zone-1');
  await fleet.allSendTo(['zone-3']);
  for (const gateway of fleet.gateways) t.equal(await fleet.lookUp(gateway), 'zone-3');
  fleet.takeBack('zone-2');
  await fleet.allSendTo(['zone-2', 'zone-3']);
  fleet.takeBack('zone-1');
  await fleet.allSendTo(ZONES);
});

t.test('while all zones are evacuated callers are told that nothing ran', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  for (const zone of ZONES) fleet.evacuate(zone);
  await fleet.allSendTo([]);
  const [gateway] = fleet.gateways;
  if (gateway === undefined) return t.fail('there is no gateway');
  const { failure } = await fleet.joined.ask(gateway, '/look/x', '');
  t.equal(failure?.kind, 'no_worker');
  for (const zone of ZONES) fleet.takeBack(zone);
  await fleet.allSendTo(ZONES);
});

t.test('a new configuration beside an evacuation changes nothing about it', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const { store } = fleet.joined;
  const configuration = JSON.parse(store.valueOf('op/config') ?? '{}');
  fleet.evacuate('zone-2');
  store.write('op/config', JSON.stringify({ ...configuration, version: 2 }));
  await eventually(() => fleet.gateways.every(({ node }) => node.configuration.version === 2));
  for (const gateway of fleet.gateways) t.same(receivingZones(gateway), WITHOUT_ZONE_2);
  store.write('op/config', JSON.stringify({ ...configuration, version: 3 }));
  fleet.takeBack('zone-2');
  await fleet.allSendTo(ZONES);
});

t.test(
  'any gateway that the store turns away learns of an evacuation from the others',
  async (t) => {
    const fleet = await EvacuationFleet.start(t);
    for (const gateway of fleet.gateways) {
      gateway.link.close();
      await sleep(100);
      fleet.evacuate('zone-2');
      await fleet.allSendTo(WITHOUT_ZONE_2);
      t.pass(`${gateway.name} knows of the evacuation`);
      fleet.takeBack('zone-2');
      await fleet.allSendTo(ZONES);
      gateway.link.open();
    }
  },
);

t.test(
  'an outage of the store stops nobody, and an evacuation stays in force through it',
  async (t) => {
    const fleet = await EvacuationFleet.start(t);
    fleet.evacuate('zone-2');
    await fleet.allSendTo(WITHOUT_ZONE_2);
    fleet.joined.store.setAvailability('refusing');
    for (let time = 0; time < PAST_AGE; time += 50) {
      for (const gateway of fleet.gateways) {
        t.ok(gateway.node.isReady, `${gateway.name} is ready`);
        t.not((await fleet.lookUp(gateway)) ?? 'zone-2', 'zone-2');
      }
      await sleep(50);
    }
    fleet.joined.store.setAvailability('up');
    fleet.takeBack('zone-2');
    await fleet.allSendTo(ZONES);
  },
);

t.test('a gateway that is cut off by itself sends nothing on what it knew', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  for (const lone of [fleet.gateways[0], fleet.gateways[1]]) {
    if (lone === undefined) return t.fail('there is no gateway');
    lone.link.close();
    fleet.joined.silent.add(addressOf(lone.name));
    t.not(await fleet.lookUp(lone), undefined, 'within its age it serves');
    await fleet.allSendTo([], [lone]);
    t.notOk(lone.node.isReady, 'callers are served elsewhere');
    t.ok(hasLogged(lone, 'evacuations-unknown'));
    t.equal(await fleet.lookUp(lone), undefined);
    const others = fleet.gateways.filter((one) => one !== lone);
    fleet.evacuate('zone-2');
    await fleet.allSendTo(WITHOUT_ZONE_2, others);
    for (const other of others) t.ok(other.node.isReady, `${other.name} is ready`);
    fleet.joined.silent.delete(addressOf(lone.name));
    await fleet.allSendTo(WITHOUT_ZONE_2, [lone]);
    t.ok(lone.node.isReady, 'it is told by its peers, though the store still turns it away');
    lone.link.open();
    fleet.takeBack('zone-2');
    await fleet.allSendTo(ZONES);
  }
});

t.test('without a bound for evacuations a gateway that is cut off serves on', async (t) => {
  const fleet = await EvacuationFleet.start(t, { evacuationBound: undefined });
  const [lone] = fleet.gateways;
  if (lone === undefined) return t.fail('there is no gateway');
  lone.link.close();
  fleet.joined.silent.add(addressOf(lone.name));
  await sleep(PAST_AGE);
  t.ok(lone.node.isReady);
  t.not(await fleet.lookUp(lone), undefined);
});

t.test('a zone that is cut off with its gateways goes on, the others know at once', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const inside = fleet.of('zone-1');
  const outside = fleet.gateways.filter(({ zone }) => zone !== 'zone-1');
  fleet.joined.cutZones.add('zone-1');
  for (const gateway of inside) gateway.link.close();
  fleet.evacuate('zone-2');
  await fleet.allSendTo(WITHOUT_ZONE_2, outside);
  await sleep(PAST_AGE);
  for (const gateway of inside) t.equal(await fleet.lookUp(gateway), 'zone-1');
  fleet.joined.cutZones.delete('zone-1');
  for (const gateway of inside) gateway.link.open();
  await fleet.allSendTo(WITHOUT_ZONE_2);
  fleet.takeBack('zone-2');
  await fleet.allSendTo(ZONES);
});

t.test('the evacuated zone itself is cut off: its gateways know once they are back', async (t) => {
  const fleet = await EvacuationFleet.start(t);
  const inside = fleet.of('zone-2');
  const outside = fleet.gateways.filter(({ zone }) => zone !== 'zone-2');
  fleet.joined.cutZones.add('zone-2');
  for (const gateway of inside) gateway.link.close();
  fleet.evacuate('zone-2');
  await fleet.allSendTo(WITHOUT_ZONE_2, outside);
  fleet.joined.cutZones.delete('zone-2');
  const time = await fleet.allSendTo(WITHOUT_ZONE_2, inside);
  t.pass(`by the others after ${time} ms, though the store still turns them away`);
  for (const gateway of inside) gateway.link.open();
  fleet.takeBack('zone-2');
  await fleet.allSendTo(ZONES);
});

function addressOf(name: string): string {
  return `address-of-${name}`;
}
