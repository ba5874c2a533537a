/**
 * Complete gateways in zones of several regions over one store; messages between them that carry
 * the body of an item or its result are recorded.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import type t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { FEED_TRANSLATION, storageDrainPort } from '../../platform/feeds.js';
import type { Milliseconds } from '../../src/core/units.js';
import { GatewayNode } from '../../src/fleet/gateway-node.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { REPLICA_PREFIX } from '../../src/journal/replica-record.js';
import type {
  PeerHandler,
  PeerOutcome,
  PeerPort,
  PeerRequest,
} from '../../src/peers/peer-messages.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { EngineOutcome, EngineRequest } from '../../src/serving/engine-port.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { DecisionLog } from '../../src/telemetry/decision-log.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { specification } from '../jobs/job-fixtures.js';
import { openReplica, temporaryFolder } from '../journal/journal-fixtures.js';
import { answer, ScriptedEngine } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

/** Region of each zone. */
export const ZONE_REGIONS: ReadonlyMap<string, string> = new Map([
  ['north-1', 'north'],
  ['north-2', 'north'],
  ['south-1', 'south'],
  ['south-2', 'south'],
]);

/** The body of every item, and the text that workers return for it. */
const BODY = Buffer.from('a question').toString('base64');
const RESULT = 'an-answer';

const HOST = 'trainer.example';
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 100_000,
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

/** A message that carried the body of an item or its result to a gateway. */
export interface Delivery {
  readonly to: string;
  readonly by: PeerRequest['kind'];
}

/** The replicas of the zones' journals, by address, and the location of each. */
export interface Replicas {
  readonly byAddress: ReadonlyMap<string, PeerHandler>;
  readonly places: readonly ReplicaLocation[];
}

/** Number of replicas that store a job. */
const GROUP_SIZE = 2;

/** Regions to which routes and tenants limit their work; those not named are not limited. */
export interface Limits {
  readonly routes?: Readonly<Record<string, readonly string[]>>;
  readonly tenants?: Readonly<Record<string, readonly string[]>>;
}

/** Answers items at once, or holds them until they are aborted. */
class SwitchedEngine extends ScriptedEngine {
  holds = false;

  override send(request: EngineRequest, signal: AbortSignal): Promise<EngineOutcome> {
    if (this.holds) return super.send(request, signal);
    this.requests.push(request);
    const event = `id: 0\ndata: ${RESULT}\n\n`;
    return Promise.resolve(answer(event, { isStream: true }));
  }
}

export interface RegionalGateway {
  readonly name: string;
  readonly zone: string;
  readonly node: GatewayNode;
  readonly metrics: FleetMetrics;
  readonly lines: string[];
}

/** The gateways, by name. */
export class RegionalGateways {
  readonly store = new SharedStoreEmulator();
  readonly engine = new SwitchedEngine();
  readonly deliveries: Delivery[] = [];
  /** Whether the regions are partitioned from each other. */
  areRegionsPartitioned = false;
  /** Delay of each commit at the store. */
  commitTime: Milliseconds = 0;
  /** Gateways that do not reach the store. */
  readonly withoutStore = new Set<string>();
  /** Gateways that no other gateway reaches. */
  readonly isolated = new Set<string>();
  private readonly gateways = new Map<string, RegionalGateway>();
  private version = 0;

  /** With replicas, each zone serves its own callers. */
  constructor(private readonly replicas: Replicas = { byAddress: new Map(), places: [] }) {
    for (const place of replicas.places) {
      this.store.write(`${REPLICA_PREFIX}${place.node}`, JSON.stringify(place));
    }
  }

  /** Starts gateways, given by the zone of each; each region has one worker. */
  async start(zones: Readonly<Record<string, string>>, limits: Limits): Promise<void> {
    this.configure(limits);
    for (const zone of ['north-1', 'south-1']) {
      const record = { service: 'service', address: '10.0.0.1:80', zone, slots: 8, state: 'ready' };
      const models = [{ name: 'model-a', version: 1 }];
      this.store.write(`servers/${zone}`, JSON.stringify({ ...record, models }));
    }
    for (const [name, zone] of Object.entries(zones)) this.add(name, zone);
    const count = Object.keys(zones).length;
    await eventually(() => this.all().every(({ node }) => node.isReady));
    await eventually(() => this.all().every(({ node }) => node.liveNodes === count));
  }

  async stop(): Promise<void> {
    await Promise.all(this.all().map(({ node }) => node.stop()));
    this.store.setAvailability('refusing');
  }

  /** Writes a configuration; each service path is a route of that name. */
  configure({ routes = {}, tenants = {} }: Limits): void {
    this.version += 1;
    const common = { host: HOST, kind: 'rollout', service: 'service', max_attempts: 3 };
    const namedRoutes = Object.entries({ free: undefined, ...routes }).map(([name, regions]) => ({
      ...{ ...common, name, path_prefix: `/${name}/`, target_latency_ms: 500 },
      ...(regions === undefined ? {} : { allowed_regions: regions }),
    }));
    const tenantRecords = Object.entries(tenants).map(([name, regions]) => ({
      ...{ name, api_keys: [`key of ${name}`], allowed_regions: regions },
    }));
    const services = [{ name: 'service' }];
    const configuration = { version: this.version, routes: namedRoutes, services, limits: LIMITS };
    this.store.write('op/config', JSON.stringify({ ...configuration, tenants: tenantRecords }));
  }

  /** Resolves once all gateways have applied the newest configuration. */
  async configured(): Promise<void> {
    const { version } = this;
    await eventually(() => this.all().every(({ node }) => node.configuration.version === version));
  }

  all(): RegionalGateway[] {
    return [...this.gateways.values()];
  }

  gatewayNamed(name: string): RegionalGateway {
    const gateway = this.gateways.get(name);
    if (gateway === undefined) throw new Error(name);
    return gateway;
  }

  /** Names of the gateways that own a job. */
  runnersOf(job: string): string[] {
    const runs = ({ node }: RegionalGateway): boolean =>
      node.jobs.ownedJobs().some((owned) => owned.spec.id === job && owned.isOpen);
    return this.all()
      .filter(runs)
      .map(({ name }) => name);
  }

  /** Distinct deliveries of bodies and results to gateways of a region, as `GATEWAY by KIND`. */
  reachedIn(region: string): string[] {
    const reached = this.deliveries.filter(({ to }) => this.regionOf(to) === region);
    return [...new Set(reached.map(({ to, by }) => `${to} by ${by}`))];
  }

  /** Regions of the workers that received requests. */
  workerRegions(): string[] {
    const zones = this.engine.requests.map(({ worker }) => ZONE_REGIONS.get(worker.zone) ?? '');
    return [...new Set(zones)];
  }

  private regionOf(name: string): string | undefined {
    const replica = this.replicas.places.find(({ address }) => address === name);
    return ZONE_REGIONS.get((replica ?? this.gatewayNamed(name)).zone);
  }

  private add(name: string, zone: string): void {
    const metrics = new FleetMetrics();
    const lines: string[] = [];
    const destination = { write: (line: string) => void lines.push(line) };
    const node = new GatewayNode({
      ...{ node: name, zone, engine: this.engine, peerAddress: name, metrics },
      store: this.storeOf(name),
      peers: this.peersOf(name),
      feeds: FEED_TRANSLATION,
      versionField: 'weights-version',
      clock: PROCESS_CLOCK,
      log: new DecisionLog({ node: name, zone, clock: PROCESS_CLOCK, destination }),
      timings: () => TIMINGS,
      storageDrains: storageDrainPort(this.store),
      zoneRegions: ZONE_REGIONS,
      areZonesAutonomous: this.replicas.places.length > 0,
      journalReplicas: GROUP_SIZE,
    });
    this.gateways.set(name, { name, zone, node, metrics, lines });
    node.start();
  }

  /** The store, unless it is unreachable for the gateway. */
  private storeOf(name: string): SharedStore {
    const failed = { kind: 'failed', effect: 'not-done' } as const;
    return new Proxy(this.store, {
      get: (store, property) => {
        const member: unknown = Reflect.get(store, property);
        if (typeof member !== 'function') return member;
        return async (...given: unknown[]) => {
          if (property === 'commit' && this.commitTime > 0) await sleep(this.commitTime);
          return this.withoutStore.has(name) ? failed : member.apply(store, given);
        };
      },
    });
  }

  private peersOf(from: string): PeerPort {
    return {
      request: async <Kind extends PeerRequest['kind']>(
        to: string,
        request: PeerRequest,
      ): Promise<PeerOutcome<Kind>> => {
        const target = this.replicas.byAddress.get(to) ?? this.gateways.get(to)?.node.peerHandler;
        if (target === undefined || this.arePartitioned(from, to)) return { kind: 'silent' };
        this.noteDelivery(to, request.kind, request);
        const answered = await target.answer(request);
        this.noteDelivery(from, request.kind, answered);
        return { kind: 'answered', answer: answered } as PeerOutcome<Kind>;
      },
    };
  }

  private arePartitioned(from: string, to: string): boolean {
    if (this.isolated.has(from) || this.isolated.has(to)) return true;
    return this.areRegionsPartitioned && this.regionOf(from) !== this.regionOf(to);
  }

  private noteDelivery(to: string, by: PeerRequest['kind'], message: unknown): void {
    const text = JSON.stringify(message, (_, value: unknown) =>
      value instanceof Map ? [...value] : value,
    );
    if (text.includes(BODY) || text.includes(RESULT)) this.deliveries.push({ to, by });
  }
}

/** Two replicas in each zone, which stop with the test. */
export async function replicasInAllZones(test: Pick<typeof t, 'teardown'>): Promise<Replicas> {
  const byAddress = new Map<string, PeerHandler>();
  const places: ReplicaLocation[] = [];
  for (const zone of ZONE_REGIONS.keys()) {
    for (const number of [1, 2]) {
      const replica = await openReplica(temporaryFolder(test));
      test.teardown(() => replica.stop());
      const address = `replica-${number}-${zone}`;
      byAddress.set(address, replica);
      places.push({ node: address, zone, address, disk: replica.disk });
    }
  }
  return { byAddress, places };
}

/** A job on a route, whose items take the same route. */
export function jobOn(route: string, id: string, tenant?: string): JobSpecification {
  const spec = specification(id, 2);
  const items = spec.items.map((item, index) => ({
    ...{ ...item, id: `${id}-${index}`, path: `/${route}/${index}`, body: BODY },
  }));
  return {
    ...spec,
    host: HOST,
    path: `/${route}/`,
    items,
    ...(tenant === undefined ? {} : { tenant }),
  };
}
