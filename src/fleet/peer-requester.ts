/** Questions to other nodes by their names, counted by kind and outcome. */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import type {
  PeerAnswers,
  PeerOutcome,
  PeerPort,
  PeerRequest,
  PeerRequestOf,
} from '../peers/peer-messages.js';
import type { MayHold } from '../placement/job-residency.js';
import {
  type DistanceBetween,
  distanceInOneRegion,
  type ZoneDistance,
} from '../placement/zone-topology.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { FleetRegistry } from './fleet-registry.js';

/** Time for the answer to a probe: a few turns of a busy node's event loop. */
const PROBE_LIMIT: Milliseconds = 250;

/** Nodes that are asked whether they reach the store. */
const MOST_STORE_PROBES = 4;

/** Options of {@link PeerRequester}. */
export interface PeerRequesterOptions {
  readonly port: PeerPort;
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly metrics: FleetMetrics;
  /** How far zones are from each other. @default all are of one region */
  readonly distanceBetween?: DistanceBetween;
}

/** Asks other nodes. */
export class PeerRequester {
  constructor(private readonly options: PeerRequesterOptions) {}

  /** Asks a live node; `undefined` where it is not known. */
  async request<Kind extends PeerRequest['kind']>(
    node: NodeId,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind> | undefined> {
    const address = this.options.fleet.addressOf(node);
    return address === undefined ? undefined : this.requestAt<Kind>(address, request, limit);
  }

  /** Asks whoever lives at an address. */
  async requestAt<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind>> {
    const outcome = await this.options.port.request<Kind>(address, request, limit);
    const labels = { call: request.kind, outcome: outcome.kind };
    this.options.metrics.count('peer_calls', labels);
    return outcome;
  }

  /** Whether a node answers and reaches the store. */
  async canReachStore(node: NodeId): Promise<boolean> {
    const answer = await this.probe(node);
    return answer?.isAlive === true && answer.reachesStore;
  }

  /** Whether a node answers, whatever it reaches. */
  async isAlive(node: NodeId): Promise<boolean> {
    return (await this.probe(node))?.isAlive ?? false;
  }

  private async probe(node: NodeId): Promise<PeerAnswers['probe'] | undefined> {
    const owner = this.options.fleet.incarnationOf(node);
    if (owner === undefined) return undefined;
    const outcome = await this.request<'probe'>(node, { kind: 'probe', owner }, PROBE_LIMIT);
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  /**
   * Where this node is cut off from the store: another one that is not, of the own zone if possible,
   * else of the own region.
   */
  async findNodeReachingStore(
    where: 'anywhere' | 'own-zone' = 'anywhere',
    mayAsk: MayHold = () => true,
  ): Promise<NodeId | undefined> {
    if (!this.options.fleet.isStoreUnreachable) return undefined;
    const states = this.nodesToProbe(where, mayAsk).map(async (node) =>
      (await this.canReachStore(node)) ? node : undefined,
    );
    return (await Promise.all(states)).find((node) => node !== undefined);
  }

  /** The nearest nodes; some of the other region, if there is one, as a whole region may be cut off. */
  private nodesToProbe(where: 'anywhere' | 'own-zone', mayAsk: MayHold): NodeId[] {
    const { fleet, self, zone, distanceBetween = distanceInOneRegion } = this.options;
    const others = fleet.liveNodes().filter((node) => node !== self.node && mayAsk(node));
    const at = (distance: ZoneDistance): NodeId[] =>
      others.filter((node) => distanceBetween(zone, fleet.zoneOf(node) ?? zone) === distance);
    if (where === 'own-zone') return at('same-zone').slice(0, MOST_STORE_PROBES);
    const beyond = at('other-region').slice(0, MOST_STORE_PROBES / 2);
    const near = [...at('same-zone'), ...at('same-region')];
    return [...near.slice(0, MOST_STORE_PROBES - beyond.length), ...beyond];
  }
}
