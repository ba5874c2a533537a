/**
 * One process of hollow nodes: whole node cores with their real peer transports on loopback, which
 * share the process and its clients of the platform. Prints a report every quarter of a second.
 * Parameters: rack, nodes, address of the key-value service, address of the machine list.
 */
import { createRandomSource } from '../../src/core/random.js';
import { EffectRunner } from '../../src/node/effect-runner.js';
import { NodeCore } from '../../src/node/node-core.js';
import { monotonicNow, NodeRunner } from '../../src/node/node-runner.js';
import { EngineClient } from '../../src/platform/engine-client.js';
import { KeyValueClient } from '../../src/platform/key-value-client.js';
import { MachineListClient } from '../../src/platform/machine-list-client.js';
import { NodeCounters } from '../../src/telemetry/counters.js';
import { createLogger } from '../../src/telemetry/logger.js';
import { PeerTransport } from '../../src/transport/peer-transport.js';
import { FLEET_ZONES } from '../bench/hollow-fleet.js';
import { HOLLOW_TOKEN, rackRecords } from './rack-plan.js';
import type { RackReport } from './rack-report.js';

const REPORT_INTERVAL_MILLISECONDS = 250;

interface HollowNode {
  readonly core: NodeCore;
  readonly transport: PeerTransport;
}

/** Views named in one report at most. */
const MISSING_LIMIT = 3;

const [rack = 0, nodes = 1] = process.argv.slice(2, 4).map(Number);
const [keyValueAddress = '', machineListAddress = ''] = process.argv.slice(4);
const platform = {
  keyValue: [new KeyValueClient({ address: keyValueAddress })],
  engines: new EngineClient(),
  machineList: new MachineListClient({ address: machineListAddress }),
  disk: null,
};

async function startNode(self: ReturnType<typeof rackRecords>[number]): Promise<HollowNode> {
  const [host = '', port] = self.address.split(':');
  const listen = { host, port: Number(port) };
  const transport = new PeerTransport({ self, listen, token: HOLLOW_TOKEN });
  const counters = new NodeCounters({ withProcessMetrics: false });
  const logger = createLogger({ node: self.node, zone: self.zone, level: 'silent' });
  const effects = new EffectRunner({ ...platform, transport, logger, counters });
  const zones = FLEET_ZONES.map(({ zone, region }) => ({ name: zone, region }));
  const random = createRandomSource(Number.parseInt(self.machine.replaceAll(/\D/g, ''), 10));
  const core = new NodeCore({ self, random, zones, operators: [] });
  await transport.start();
  const { received } = transport;
  new NodeRunner({ core, effects, received, counters, metricsText: async () => '' }).start();
  return { core, transport };
}

function missingIn(core: NodeCore): readonly string[] {
  return core
    .members()
    .filter(({ state }) => state !== 'alive')
    .map(({ record, state }) => `${core.self.node} holds ${record.node} for ${state}`);
}

function report(hollow: readonly HollowNode[]): RackReport {
  const now = monotonicNow();
  const gauges = hollow.map(({ core }) => core.gauges(now));
  const stats = hollow.map(({ transport }) => transport.stats());
  const members = gauges.map(({ membersByState }) => {
    return (membersByState.get('alive') ?? 0) + (membersByState.get('suspect') ?? 0);
  });
  const { user, system } = process.cpuUsage();
  const sum = (values: readonly number[]): number => values.reduce((one, two) => one + two, 0);
  return {
    rack,
    fewestMembers: Math.min(...members),
    mostMembers: Math.max(...members),
    lowestRevision: Math.min(...gauges.map((gauge) => gauge.revision)),
    fewestGroups: Math.min(...hollow.map(({ core }) => core.configuration().groups.size)),
    mostUnderStrength: Math.max(...gauges.map((gauge) => gauge.groupsUnderStrength)),
    ready: hollow.filter(({ core }) => core.readiness(now).ready).length,
    residentBytes: process.memoryUsage.rss(),
    cpuMilliseconds: (user + system) / 1_000,
    messagesSent: sum(stats.map((one) => one.messagesSent)),
    bytesSent: sum(stats.map((one) => one.bytesSent)),
    droppedMessages: sum(stats.map((one) => one.droppedOutboxFull + one.droppedRequestFailed)),
    missing: hollow.flatMap(({ core }) => missingIn(core)).slice(0, MISSING_LIMIT),
  };
}

const started = await Promise.all(rackRecords(rack, nodes, Date.now()).map(startNode));
setInterval(() => console.log(JSON.stringify(report(started))), REPORT_INTERVAL_MILLISECONDS);
