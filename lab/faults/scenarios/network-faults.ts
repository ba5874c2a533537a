/** Scenarios in which connections between processes are refused, swallowed, cut or slow. */
import { pause } from '../../demo/running-deployment.js';
import type { FaultScenario, ScenarioContext } from '../scenario.js';
import type { LinkState } from '../tcp-proxy.js';

const BEFORE_FAULT_MILLISECONDS = 5_000;
const CUT_MILLISECONDS = 15_000;
const SHORT_FAULT_MILLISECONDS = 4_000;
const AFTER_FAULT_MILLISECONDS = 8_000;
const VERSION_INTERVAL_MILLISECONDS = 6_000;
const DELAY_MILLISECONDS = 40;

/** Sets what becomes of traffic between a zone's nodes and those of all others, both ways. */
function setZoneLinks(context: ScenarioContext, zone: string, state: LinkState): void {
  const { running } = context;
  for (const node of running.nodes) {
    const proxy = running.peerProxies.get(node.name);
    const senders = running.deployment.zones.filter((name) => {
      return (node.zone === zone) !== (name === zone);
    });
    for (const sender of senders) proxy?.set(state, sender);
  }
}

function firstZone(context: ScenarioContext): string {
  return context.running.deployment.zones[0] ?? '';
}

/** One zone's nodes cannot reach those of the other zones; the key-value service answers all. */
export const cutZone: FaultScenario = {
  name: 'cut-zone',
  proxied: true,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    await pause(BEFORE_FAULT_MILLISECONDS);
    const zone = firstZone(context);
    setZoneLinks(context, zone, 'black-hole');
    context.say(`${zone} is cut off from the other zones`);
    await pause(CUT_MILLISECONDS);
    setZoneLinks(context, zone, 'open');
    context.say(`${zone} is joined again`);
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};

/** One zone reaches neither the other zones nor the key-value service. */
export const isolateZone: FaultScenario = {
  name: 'isolate-zone',
  proxied: true,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    await pause(BEFORE_FAULT_MILLISECONDS);
    const zone = firstZone(context);
    const keyValue = context.running.keyValueProxies.get(zone);
    setZoneLinks(context, zone, 'black-hole');
    keyValue?.set('black-hole');
    context.say(`${zone} is cut off from the other zones and the key-value service`);
    await pause(CUT_MILLISECONDS);
    setZoneLinks(context, zone, 'open');
    keyValue?.set('open');
    context.say(`${zone} is joined again`);
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};

/** All links between nodes, and two engines, are refused, cut, slow and swallowed in turn. */
export const badLinks: FaultScenario = {
  name: 'bad-links',
  proxied: true,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    const peers = [...context.running.peerProxies.values()];
    const engines = [...context.running.engines.proxies.values()];
    await pause(BEFORE_FAULT_MILLISECONDS);
    context.say('links between nodes are refused');
    for (const proxy of peers) proxy.set('refuse');
    await pause(SHORT_FAULT_MILLISECONDS);
    for (const proxy of peers) proxy.set('open');
    await pause(SHORT_FAULT_MILLISECONDS);
    context.say('all links are cut once, then slow');
    for (const proxy of [...peers, ...engines]) proxy.cut();
    for (const proxy of [...peers, ...engines]) proxy.delay = DELAY_MILLISECONDS;
    await pause(SHORT_FAULT_MILLISECONDS);
    for (const proxy of [...peers, ...engines]) proxy.delay = 0;
    context.say('one engine is refused, one swallows');
    engines[0]?.set('refuse');
    engines.at(-1)?.set('black-hole');
    await pause(SHORT_FAULT_MILLISECONDS * 2);
    engines[0]?.set('open');
    engines.at(-1)?.set('open');
    context.say('all links are well again');
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};
