/**
 * One node as a process: builds clients, servers and the decision core from the settings, runs
 * until it is stopped, and ends in order. The only place that wires I/O to decisions.
 */
import { firstValueFrom } from 'rxjs';
import type { NodeRecord } from './core/identity.js';
import { createRandomSource } from './core/random.js';
import { GatewayServer } from './gateway/gateway-server.js';
import { draftReader } from './intents/intent-schema.js';
import { type EffectClients, EffectRunner } from './node/effect-runner.js';
import { NodeCore } from './node/node-core.js';
import { monotonicNow, NodeRunner } from './node/node-runner.js';
import { EngineClient } from './platform/engine-client.js';
import { KeyValueClient } from './platform/key-value-client.js';
import { MachineListClient } from './platform/machine-list-client.js';
import type { Settings } from './settings/settings.js';
import type { BodyFolder } from './storage/body-folder.js';
import { NodeCounters } from './telemetry/counters.js';
import { createLogger, type NodeLogger } from './telemetry/logger.js';
import { NodeMetrics } from './telemetry/node-metrics.js';
import { PeerTransport } from './transport/peer-transport.js';

/** Exit code of a process that was told to end at once. */
const EXIT_ENDED_AT_ONCE = 1;
/** Exit code of a process that could not use its data folder. */
const EXIT_REFUSED = 1;
/** Room on disk, as a multiple of that in memory: for bodies of this life and of the last. */
const DISK_SHARE = 2;

/** Where a server listens. */
interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Runs a node until it is stopped; resolves with the exit code of the process. */
export async function startNode(settings: Settings): Promise<number> {
  const { node } = settings;
  const logger = createLogger({ node: node.name, zone: node.zone, level: settings.log.level });
  const self = nodeRecord(settings);
  const { token } = settings.peers;
  const transport = new PeerTransport({ self, listen: parseEndpoint(node.peerListen), token });
  const disk = await openDisk(settings, logger);
  if (disk === 'refused') return EXIT_REFUSED;
  const counters = new NodeCounters({ withProcessMetrics: true });
  const effects = createEffects(settings, { transport, logger, counters, disk });
  const core = createCore(settings, self, disk);
  const metrics = new NodeMetrics(counters, {
    counters: () => core.counters(),
    gauges: () => core.gauges(monotonicNow()),
    transport: () => transport.stats(),
  });
  if (disk !== null) metrics.addStats('disk', 'Data folder', () => disk.stats());
  const runner = new NodeRunner({
    core,
    effects,
    received: transport.received,
    counters,
    metricsText: () => metrics.text(),
  });
  const gateway = createGateway(settings, runner);
  await transport.start();
  runner.start();
  const { address } = await gateway.start();
  logger.logStateChange('node', 'started', { address, incarnation: self.incarnation });
  await stopRequested(runner, logger);
  await gateway.drain();
  await gateway.stop();
  runner.close();
  effects.close();
  await transport.stop();
  await disk?.close();
  logger.logStateChange('node', 'stopped', {});
  return 0;
}

function nodeRecord(settings: Settings): NodeRecord {
  const { name, zone, region, machine, peerAdvertise } = settings.node;
  return { node: name, incarnation: Date.now(), zone, region, machine, address: peerAdvertise };
}

/** Opens the data folder; `null` on a machine without a disk, `refused` where it cannot be used. */
async function openDisk(
  settings: Settings,
  logger: NodeLogger,
): Promise<BodyFolder | null | 'refused'> {
  const folder = settings.node.dataFolder;
  if (folder === null) return null;
  try {
    // Only machines with a disk need the database library.
    const storage = await import('./storage/body-folder.js');
    const disk = await storage.BodyFolder.open({
      folder,
      bytesLimit: settings.limits.maxResultBytes * DISK_SHARE,
      logChange: (change, details) => logger.logStateChange('storage', change, details),
    });
    logger.logStateChange('storage', 'data folder opened', { ...disk.usage() });
    return disk;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    logger.logStateChange('storage', 'data folder refused', { folder, reason });
    return 'refused';
  }
}

function createCore(settings: Settings, self: NodeRecord, disk: BodyFolder | null): NodeCore {
  const operators = settings.accounts.filter((account) => account.role === 'operator');
  return new NodeCore({
    self,
    random: createRandomSource((self.incarnation ^ process.pid) | 0),
    zones: settings.fleet.zones,
    operators: operators.map((account) => account.name),
    freshnessBound: settings.timing.freshnessBound,
    stopLimit: settings.timing.stopTimeout,
    replicaCount: settings.fleet.replicas,
    shardsPerDomain: settings.fleet.shardsPerDomain,
    maxResultBytes: settings.limits.maxResultBytes,
    machineListInterval: settings.timing.machineListInterval,
    diskBodies: disk?.found() ?? null,
  });
}

function createEffects(
  settings: Settings,
  own: Pick<EffectClients, 'transport' | 'logger' | 'counters' | 'disk'>,
): EffectRunner {
  const { keyValue, machineList } = settings.platform;
  const requestTimeout = settings.timing.keyValueTimeout;
  return new EffectRunner({
    ...own,
    keyValue: keyValue.map((address) => new KeyValueClient({ address, requestTimeout })),
    engines: new EngineClient(),
    machineList: new MachineListClient({ address: machineList }),
  });
}

function createGateway(settings: Settings, runner: NodeRunner): GatewayServer {
  const { limits, timing, node } = settings;
  return new GatewayServer(
    {
      listen: parseEndpoint(node.listen),
      accounts: settings.accounts,
      parseIntent: draftReader(settings.fleet.zones.map((zone) => zone.name)),
      limits: {
        maxBodyBytes: limits.maxBodyBytes,
        maxHeaderBytes: limits.maxHeaderBytes,
        bodyTimeout: limits.bodyTimeout,
        maxConnections: limits.maxConnections,
        defaultDeadline: timing.requestTimeout,
      },
    },
    runner,
  );
}

/** Resolves once a stop was asked for, by signal or by an operator's drain, and has been done. */
async function stopRequested(runner: NodeRunner, logger: NodeLogger): Promise<void> {
  let asked = false;
  const onSignal = (): void => {
    if (asked) {
      logger.logStateChange('node', 'ended at once', {});
      process.exit(EXIT_ENDED_AT_ONCE);
    }
    asked = true;
    runner.stop();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  await firstValueFrom(runner.stopped);
}

function parseEndpoint(endpoint: string): Endpoint {
  const separator = endpoint.lastIndexOf(':');
  const host = endpoint.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(endpoint.slice(separator + 1)) };
}
