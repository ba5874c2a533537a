/** Whole gateways in one process, over one store and with direct ways to each other, for tests. */
import type t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { FEED_TRANSLATION, storageDrainPort } from '../../platform/feeds.js';
import { GatewayNode } from '../../src/fleet/gateway-node.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { EnginePort } from '../../src/serving/engine-port.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import {
  callerRequest,
  RecordingSink,
  recordingLog,
  VERSION_FIELD,
} from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

const HOST = 'site.example';
const READ_ROUTE = {
  name: 'lookups',
  host: HOST,
  path_prefix: '/look/',
  kind: 'read_only',
  service: 'lookups',
  target_latency_ms: 150,
  timeout_ms: 1_500,
};

/** One gateway and what it logged. */
export interface JoinedGateway {
  readonly name: string;
  readonly node: GatewayNode;
  readonly metrics: FleetMetrics;
  readonly lines: readonly string[];
}

/** The gateways. */
export class JoinedGateways {
  readonly store = new SharedStoreEmulator();
  readonly gateways: JoinedGateway[] = [];
  /** Addresses that do not answer other nodes. */
  readonly silent = new Set<string>();
  /** Questions between the gateways, by kind. */
  readonly asked = new Map<string, number>();
  private readonly byAddress = new Map<string, GatewayNode>();
  private tries = 0;

  constructor(private readonly engine: EnginePort) {}

  /** Starts gateways that know a route to the service `lookups`, and ends them with the test. */
  async start(test: Pick<typeof t, 'teardown'>, count: number, maxAttempts: number): Promise<void> {
    const limits = {
      max_header_bytes: 16_384,
      max_body_bytes: 2_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    };
    const routes = [{ ...READ_ROUTE, max_attempts: maxAttempts }];
    const configuration = { version: 1, routes, services: [{ name: 'lookups' }], limits };
    this.store.write('op/config', JSON.stringify(configuration));
    for (let index = 0; index < count; index += 1) this.add();
    test.teardown(async () => {
      await Promise.all([...this.gateways].map((gateway) => this.remove(gateway)));
      // Ends the watches that relays hold for others.
      this.store.setAvailability('refusing');
    });
    await eventually(() => this.gateways.every(({ node }) => node.isReady));
  }

  /** A further gateway joins; it may be stopped with {@link remove}. */
  add(): JoinedGateway {
    const name = `node-${this.byAddress.size + 1}`;
    const address = `address-of-${name}`;
    const metrics = new FleetMetrics();
    const { log, lines } = recordingLog();
    const node = new GatewayNode({
      node: name,
      zone: 'zone-1',
      store: this.store,
      engine: this.engine,
      peers: this.peers(),
      peerAddress: address,
      feeds: FEED_TRANSLATION,
      versionField: VERSION_FIELD,
      clock: PROCESS_CLOCK,
      log,
      metrics,
      timings: () => ({
        coordinatorHandOver: 0,
        areTokensChecked: true,
        changeBound: 2_000,
        jobRetention: 60_000,
        stopLimit: 8_000,
      }),
      storageDrains: storageDrainPort(this.store),
    });
    this.byAddress.set(address, node);
    const gateway = { name, node, metrics, lines };
    this.gateways.push(gateway);
    node.start();
    return gateway;
  }

  /** Stops a gateway. */
  async remove(gateway: JoinedGateway): Promise<void> {
    this.gateways.splice(this.gateways.indexOf(gateway), 1);
    await gateway.node.stop();
    await gateway.node.finish();
  }

  /** Registers a worker of the service `lookups`. */
  register(id: string): void {
    const record = { service: 'lookups', address: `address-of-${id}`, zone: 'zone-1', slots: 8 };
    this.store.write(`servers/${id}`, JSON.stringify({ ...record, state: 'ready' }));
  }

  /** Takes a worker's record away. */
  unregister(id: string): void {
    this.store.erase(`servers/${id}`);
  }

  /** Resolves once all gateways send work to just these workers. */
  async allKnow(ids: readonly string[]): Promise<void> {
    const known = (gateway: JoinedGateway): string[] =>
      gateway.node.registry.available('lookups').map(({ record }) => record.id);
    const wanted = [...ids].sort().join();
    await eventually(() =>
      this.gateways.every((gateway) => known(gateway).sort().join() === wanted),
    );
  }

  /** One try of a caller at a gateway, under an id of its own. */
  async ask({ node }: JoinedGateway, path: string, body: string): Promise<RecordingSink> {
    this.tries += 1;
    const sink = new RecordingSink();
    const request = callerRequest({
      requestId: `try-${this.tries}`,
      host: HOST,
      path,
      body: Buffer.from(body),
    });
    const route = node.configuration.route(HOST, path);
    if ('detail' in route) throw new Error(route.detail);
    await node.forward(request, route, sink);
    return sink;
  }

  private peers(): PeerPort {
    return {
      ask: async <Kind extends PeerRequest['kind']>(
        address: string,
        request: PeerRequest,
      ): Promise<PeerOutcome<Kind>> => {
        this.asked.set(request.kind, (this.asked.get(request.kind) ?? 0) + 1);
        const node = this.byAddress.get(address);
        if (node === undefined || this.silent.has(address)) return { kind: 'silent' };
        const answer = await node.peerHandler.answer(request);
        return { kind: 'answered', answer } as PeerOutcome<Kind>;
      },
    };
  }
}
