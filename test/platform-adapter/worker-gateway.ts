/** A gateway in this process that callers and workers reach over HTTP, in front of an emulated store. */
import type t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { EngineClient } from '../../platform/engine-client.js';
import { FEED_TRANSLATION, storageDrainPort } from '../../platform/feeds.js';
import { Ingress } from '../../platform/ingress.js';
import { GatewayNode } from '../../src/fleet/gateway-node.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually, StubPeers } from '../fleet/fleet-fixtures.js';
import { recordingLog, VERSION_FIELD } from '../serving/serving-fixtures.js';

export interface WorkerGateway {
  readonly ingress: Ingress;
  readonly port: number;
}

export interface WorkerGatewayOptions {
  /** As the operator writes it; the workers are those of its service `s`. */
  readonly configuration: object;
  /** Addresses of the workers, by id. */
  readonly workers: ReadonlyMap<string, string>;
  readonly slots: number;
}

/** Starts a gateway; resolves once it knows its configuration and its workers. */
export async function startWorkerGateway(
  test: Pick<typeof t, 'teardown'>,
  { configuration, workers, slots }: WorkerGatewayOptions,
): Promise<WorkerGateway> {
  const store = new SharedStoreEmulator();
  const engine = new EngineClient();
  const node = new GatewayNode({
    node: 'node-1',
    zone: 'z',
    store,
    engine,
    peers: new StubPeers(),
    peerAddress: '127.0.0.1:1',
    feeds: FEED_TRANSLATION,
    versionField: VERSION_FIELD,
    clock: PROCESS_CLOCK,
    log: recordingLog().log,
    metrics: new FleetMetrics(),
    timings: () => ({
      coordinatorHandOver: 0,
      areTokensChecked: true,
      changeBound: 2_000,
      jobRetention: 60_000,
      stopLimit: 8_000,
    }),
    storageDrains: storageDrainPort(store),
  });
  const ingress = new Ingress(node, PROCESS_CLOCK);
  const port = await ingress.listen('127.0.0.1:0');
  node.start();
  store.write('op/config', JSON.stringify(configuration));
  for (const [id, address] of workers) {
    const record = { service: 's', address, zone: 'z', slots, state: 'ready', models: [] };
    store.write(`servers/${id}`, JSON.stringify(record));
  }
  test.teardown(async () => {
    for (const id of workers.keys()) engine.forget(id);
    ingress.close();
    await node.stop();
  });
  const ids = [...workers.keys()];
  const areKnown = (): boolean => ids.every((id) => node.registry.get(id) !== undefined);
  await eventually(() => node.isReady && areKnown());
  return { ingress, port };
}
