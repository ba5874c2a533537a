/** Whole gateways in one process, over one store and with direct ways to each other. */
import { setTimeout as sleep } from 'node:timers/promises';
import { FEED_TRANSLATION, storageDrainPort } from '../../platform/feeds.js';
import type { RegionName, ZoneName } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { Failure } from '../../src/errors/error-kinds.js';
import { GatewayNode } from '../../src/fleet/gateway-node.js';
import type { FleetTimings } from '../../src/fleet/gateway-options.js';
import { JOURNAL_ZONE_PREFIX } from '../../src/journal/replica-directory.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { REPLICA_PREFIX, replicaRecordOf } from '../../src/journal/replica-record.js';
import type {
  PeerHandler,
  PeerOutcome,
  PeerPort,
  PeerRequest,
} from '../../src/peers/peer-messages.js';
import type { AnswerSink } from '../../src/serving/answer-sink.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { EnginePort } from '../../src/serving/engine-port.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { DecisionLog } from '../../src/telemetry/decision-log.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { cuttableStore } from './cuttable-store.js';
import { SharedStoreEmulator } from './shared-store-emulator.js';
import { StoreLink } from './store-link.js';

/** The service that all requests go to. */
export const LOOKUP_SERVICE = 'lookups';

/** The host of all routes. */
export const HOST = 'site.example';

/** The model that workers of jobs have. */
export const MODEL = 'model-a';

const PATIENCE: Milliseconds = 5_000;

const LOOKUP_ROUTE = {
  name: 'lookups',
  host: HOST,
  path_prefix: '/look/',
  kind: 'read_only',
  service: LOOKUP_SERVICE,
  target_latency_ms: 150,
  timeout_ms: 1_500,
};

const JOB_ROUTE = {
  name: 'rollouts',
  host: HOST,
  path_prefix: '/rollouts/',
  kind: 'rollout',
  service: LOOKUP_SERVICE,
  target_latency_ms: 500,
  max_attempts: 2,
  max_queue_s: 60,
  resumable: true,
};

const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 2_000,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

const TIMINGS = {
  coordinatorHandOver: 0,
  areTokensChecked: true,
  changeBound: 2_000,
  jobRetention: 60_000,
  stopLimit: 8_000,
};

/** Time between two looks at a condition. */
const LOOK_INTERVAL: Milliseconds = 5;

/** What gateways are joined with. */
export interface JoinedGatewaysOptions {
  /** The region of each zone, where the fleet spans several. @default one region */
  readonly regions?: ReadonlyMap<ZoneName, RegionName>;
  /** Above 0 zones serve their own callers, and so many replicas keep a job. @default 0 */
  readonly replicasOfJob?: number;
  /** Times that differ from the usual ones. @default none */
  readonly timings?: Partial<FleetTimings>;
}

/** One gateway, and what it counted and logged. */
export interface JoinedGateway {
  readonly name: string;
  readonly zone: ZoneName;
  readonly node: GatewayNode;
  /** Its way to the store. */
  readonly link: StoreLink;
  readonly metrics: FleetMetrics;
  readonly lines: readonly string[];
}

/** What one try of a caller came to. */
export interface TryOutcome {
  readonly status: number | undefined;
  readonly body: string;
  readonly failure: Failure | undefined;
}

class TrySink implements AnswerSink, TryOutcome {
  status: number | undefined;
  body = '';
  failure: Failure | undefined;

  sendComplete(status: number, _headers: readonly string[], body: Buffer): void {
    this.status = status;
    this.body = body.toString();
  }
  begin(status: number): void {
    this.status = status;
  }
  async write(chunk: Buffer): Promise<void> {
    this.body += chunk.toString();
  }
  end(): void {}
  abort(): void {}
  fail(failure: Failure): void {
    this.failure = failure;
  }
}

/** Who is at an address; without a handler nobody listens there any more. */
interface Listener {
  readonly zone: ZoneName;
  readonly handler: PeerHandler | undefined;
}

/** The gateways. */
export class JoinedGateways {
  readonly store = new SharedStoreEmulator();
  readonly gateways: JoinedGateway[] = [];
  /** Addresses that do not answer other nodes. */
  readonly silent = new Set<string>();
  /** Zones that are cut off from all others. */
  readonly cutZones = new Set<ZoneName>();
  /** Whether gateways of different regions reach each other. */
  isLinkUp = true;
  /** Regions that do not reach the store. */
  readonly withoutStore = new Set<RegionName>();
  /** Questions between the gateways, by kind. */
  readonly asked = new Map<string, number>();
  private readonly byAddress = new Map<string, Listener>();
  private tries = 0;
  private readonly regions: ReadonlyMap<ZoneName, RegionName>;

  constructor(
    private readonly engine: EnginePort,
    private readonly options: JoinedGatewaysOptions = {},
  ) {
    this.regions = options.regions ?? new Map();
  }

  /** A replica of a zone's journal answers at its address from now on. */
  addReplica(place: ReplicaLocation, handler: PeerHandler): void {
    this.byAddress.set(place.address, { zone: place.zone, handler });
    this.store.write(`${REPLICA_PREFIX}${place.node}`, replicaRecordOf(place));
    this.store.write(`${JOURNAL_ZONE_PREFIX}${place.zone}`, '');
  }

  /** Starts gateways in so many zones, on whose route a try may go to so many workers. */
  async start(count: number, maxAttempts: number, zones = 1): Promise<void> {
    const routes = [{ ...LOOKUP_ROUTE, max_attempts: maxAttempts }, JOB_ROUTE];
    const services = [{ name: LOOKUP_SERVICE }];
    const configuration = { version: 1, routes, services, limits: LIMITS };
    this.store.write('op/config', JSON.stringify(configuration));
    for (let index = 0; index < count; index += 1) this.add(`zone-${1 + (index % zones)}`);
    await until(() => this.gateways.every(({ node }) => node.isReady));
  }

  /** Resolves once all gateways know each other. */
  async formed(): Promise<void> {
    const count = this.gateways.length;
    await until(() => this.gateways.every(({ node }) => node.liveNodes === count));
  }

  /** Stops all gateways, and the watches that relays hold for others. */
  async stop(): Promise<void> {
    const all = [...this.gateways];
    await Promise.all(all.map((gateway) => this.remove(gateway)));
    for (const { link } of all) link.hasEnded = true;
    this.store.setAvailability('refusing');
  }

  /** A gateway's process ends without a word, and its lease goes on; the machine may start again. */
  crash(gateway: JoinedGateway): void {
    const address = addressOf(gateway.name);
    gateway.link.hasEnded = true;
    this.byAddress.set(address, { zone: gateway.zone, handler: undefined });
    this.gateways.splice(this.gateways.indexOf(gateway), 1);
    void gateway.node.stop();
  }

  /** A further gateway joins, or the next life of one that has crashed. */
  add(zone: ZoneName = 'zone-1', name = `node-${this.byAddress.size + 1}`): JoinedGateway {
    const address = addressOf(name);
    const link = new StoreLink(this.storeFrom(zone));
    const metrics = new FleetMetrics();
    const lines: string[] = [];
    const destination = { write: (line: string) => void lines.push(line) };
    const node = new GatewayNode({
      node: name,
      zone,
      zoneRegions: this.regions,
      store: link,
      engine: this.engine,
      peers: this.peersOf(address, zone, link),
      peerAddress: address,
      feeds: FEED_TRANSLATION,
      versionField: 'weights-version',
      clock: PROCESS_CLOCK,
      log: new DecisionLog({ node: name, zone, clock: PROCESS_CLOCK, destination }),
      metrics,
      timings: () => ({ ...TIMINGS, ...this.options.timings }),
      storageDrains: storageDrainPort(this.store),
      areZonesAutonomous: (this.options.replicasOfJob ?? 0) > 0,
      journalReplicas: this.options.replicasOfJob ?? 0,
    });
    this.byAddress.set(address, { zone, handler: node.peerHandler });
    const gateway = { name, zone, node, link, metrics, lines };
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

  /** From now on no gateway answers another. */
  silenceAll(): void {
    for (const address of this.byAddress.keys()) this.silent.add(address);
  }

  /** Registers a worker. */
  register(id: string, zone: ZoneName = 'zone-1'): void {
    const record = { service: LOOKUP_SERVICE, address: '10.0.0.1:80', zone };
    const models = [{ name: MODEL, version: 1 }];
    const told = { ...record, slots: 8, state: 'ready', models };
    this.store.write(`servers/${id}`, JSON.stringify(told));
  }

  /** Takes a worker's record away. */
  unregister(id: string): void {
    this.store.erase(`servers/${id}`);
  }

  /** Resolves once all gateways send work to just these workers. */
  async allKnow(ids: readonly string[]): Promise<void> {
    const wanted = [...ids].sort().join();
    await until(() => this.gateways.every((gateway) => workersOf(gateway) === wanted));
  }

  /** One try of a caller at a gateway, under an id of its own. */
  async ask({ node }: JoinedGateway, path: string, body: string): Promise<TryOutcome> {
    this.tries += 1;
    const route = node.configuration.route(HOST, path);
    if ('detail' in route) throw new Error(route.detail);
    const request = {
      requestId: `try-${this.tries}`,
      caller: UNRESTRICTED,
      method: 'POST',
      path,
      host: HOST,
      headers: [],
      body: Buffer.from(body),
      timeout: PATIENCE,
      receivedAt: PROCESS_CLOCK.now(),
      lastEventId: undefined,
      disconnectSignal: new AbortController().signal,
    };
    const sink = new TrySink();
    await node.forward(request, route, sink);
    return sink;
  }

  private storeFrom(zone: ZoneName): SharedStore {
    const region = this.regions.get(zone);
    if (region === undefined) return this.store;
    return cuttableStore(this.store, () => this.withoutStore.has(region));
  }

  private isReached(from: ZoneName, to: ZoneName): boolean {
    if (from === to) return true;
    if (this.cutZones.has(from) || this.cutZones.has(to)) return false;
    return this.isLinkUp || this.regions.get(from) === this.regions.get(to);
  }

  /** All others as a gateway of a zone reaches them. */
  private peersOf(ownAddress: string, from: ZoneName, link: StoreLink): PeerPort {
    return {
      request: async <Kind extends PeerRequest['kind']>(
        address: string,
        request: PeerRequest,
        limit: Milliseconds,
      ): Promise<PeerOutcome<Kind>> => {
        this.asked.set(request.kind, (this.asked.get(request.kind) ?? 0) + 1);
        if (link.hasEnded) return new Promise(() => {});
        const listener = this.byAddress.get(address);
        const { zone = from, handler } = listener ?? {};
        if (this.silent.has(address) || this.silent.has(ownAddress)) return { kind: 'silent' };
        const isReached = this.isReached(from, zone);
        if (isReached && handler === undefined) return { kind: 'refused' };
        const answer = isReached ? await handler?.answer(request) : undefined;
        if (!this.isReached(from, zone)) {
          await sleep(limit);
          return { kind: 'silent' };
        }
        if (answer === undefined) return { kind: 'unsupported' };
        if (this.byAddress.get(address) !== listener) return { kind: 'silent' };
        return { kind: 'answered', answer } as PeerOutcome<Kind>;
      },
    };
  }
}

function addressOf(name: string): string {
  return `address-of-${name}`;
}

function workersOf({ node }: JoinedGateway): string {
  const ids = node.registry.available(LOOKUP_SERVICE).map(({ record }) => record.id);
  return ids.sort().join();
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(LOOK_INTERVAL);
}
