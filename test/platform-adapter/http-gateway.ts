/** A gateway in this process that callers reach over HTTP, in front of an emulated store and workers. */
import http from 'node:http';
import type t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { FEED_TRANSLATION, storageDrainPort } from '../../platform/feeds.js';
import { Ingress } from '../../platform/ingress.js';
import type { Milliseconds } from '../../src/core/units.js';
import { GatewayNode } from '../../src/fleet/gateway-node.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually, StubPeers } from '../fleet/fleet-fixtures.js';
import {
  recordingLog,
  type Script,
  ScriptedEngine,
  VERSION_FIELD,
} from '../serving/serving-fixtures.js';
import { HeldStore } from './held-store.js';

export const CONFIGURATION = {
  version: 3,
  routes: [
    { name: 'look', host: 'h', path_prefix: '/look/', kind: 'read_only', service: 's' },
    {
      name: 'draw',
      host: 'h',
      path_prefix: '/draw/',
      kind: 'rollout',
      service: 's',
      max_attempts: 3,
      resumable: true,
    },
  ],
  services: [{ name: 's' }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 2_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

const WORKER = {
  service: 's',
  address: '127.0.0.1:9',
  zone: 'z',
  slots: 4,
  state: 'ready',
  models: [{ name: 'm', version: 1 }],
};

export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

export interface Fixture {
  readonly store: SharedStoreEmulator;
  /** The gateway's way to the store. */
  readonly heldStore: HeldStore;
  readonly node: GatewayNode;
  readonly engine: ScriptedEngine;
  readonly lines: ReturnType<typeof recordingLog>['lines'];
  call(method: string, path: string, body?: string, headers?: object): Promise<Answer>;
}

export const CHANGE_BOUND: Milliseconds = 2_000;

const ANY_PORT = '127.0.0.1:0';

export async function gateway(
  test: Pick<typeof t, 'teardown'>,
  ...scripts: Script[]
): Promise<Fixture> {
  const store = new SharedStoreEmulator();
  const engine = new ScriptedEngine(scripts);
  const heldStore = new HeldStore(store);
  const clock = PROCESS_CLOCK;
  const { log, lines } = recordingLog();
  const node = new GatewayNode({
    node: 'node-1',
    zone: 'z',
    store: heldStore,
    engine,
    peers: new StubPeers(),
    peerAddress: '127.0.0.1:1',
    feeds: FEED_TRANSLATION,
    versionField: VERSION_FIELD,
    clock,
    log,
    metrics: new FleetMetrics(),
    timings: () => ({
      coordinatorHandOver: 0,
      areTokensChecked: true,
      changeBound: CHANGE_BOUND,
      jobRetention: 60_000,
      stopLimit: 8_000,
    }),
    storageDrains: storageDrainPort(store),
  });
  const server = new Ingress(node, clock);
  const port = await server.listen(ANY_PORT);
  node.start();
  test.teardown(async () => {
    server.close();
    await node.stop();
  });
  const call: Fixture['call'] = (method, path, body = '', headers = {}) =>
    new Promise((resolve, reject) => {
      const options = { port, host: '127.0.0.1', method, path, agent: false };
      const all = { host: 'h', 'x-wardwing-request-id': 'id-1', ...headers };
      const request = http.request({ ...options, headers: all }, (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text });
        });
      });
      request.on('error', reject);
      request.end(body);
    });
  return { store, heldStore, node, engine, lines, call };
}

export async function startConfiguredGateway(
  test: Pick<typeof t, 'teardown'>,
  configuration: object,
  ...scripts: Script[]
): Promise<Fixture> {
  const fixture = await gateway(test, ...scripts);
  fixture.store.write('op/config', JSON.stringify(configuration));
  fixture.store.write('servers/w1', JSON.stringify(WORKER));
  await eventually(() => fixture.node.isReady && fixture.node.registry.get('w1') !== undefined);
  return fixture;
}

/** The body of a submission of so many items. */
export const submissionBody = (items: number): string =>
  JSON.stringify({
    step: 0,
    model: 'm',
    min_version: 1,
    desired_count: 1,
    requests: Array.from({ length: items }, (_, index) => ({
      id: `item-${index}`,
      path: `/draw/${index}`,
      headers: { 'X-Own': 'kept' },
      body: Buffer.from(`body ${index}`).toString('base64'),
      tokens: 10,
      group: 'g',
    })),
  });
