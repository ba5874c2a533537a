/** Sends requests to other nodes by name and counts them by kind and outcome. */
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

/** Covers several iterations of a busy node's event loop. */
const PROBE_TIMEOUT: Milliseconds = 250;

/** Number of nodes that are probed for access to the store. */
const MAX_STORE_PROBES = 4;

export interface PeerRequesterOptions {
  readonly port: PeerPort;
  readonly fleet: FleetRegistry;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly metrics: FleetMetrics;
  /** Distance between zones. @default all zones are in one region */
  readonly distanceBetween?: DistanceBetween;
}

/** Sends requests to other nodes. */
export class PeerRequester {
  constructor(private readonly options: PeerRequesterOptions) {}

  /** Sends a request to a live node; `undefined` if the node is not known. */
  async request<Kind extends PeerRequest['kind']>(
    node: NodeId,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind> | undefined> {
    const address = this.options.fleet.addressOf(node);
    return address === undefined ? undefined : this.requestAt<Kind>(address, request, limit);
  }

  /** Sends a request to whichever process listens at an address. */
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

  /** Whether a node answers, even if it does not reach the store. */
  async isAlive(node: NodeId): Promise<boolean> {
    return (await this.probe(node))?.isAlive ?? false;
  }

  private async probe(node: NodeId): Promise<PeerAnswers['probe'] | undefined> {
    const owner = this.options.fleet.incarnationOf(node);
    if (owner === undefined) return undefined;
    const outcome = await this.request<'probe'>(node, { kind: 'probe', owner }, PROBE_TIMEOUT);
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  /**
   * Finds a node that reaches the store, in this zone if possible, else in this region; `undefined`
   * if this node reaches the store itself or no such node answers.
   */
  async findNodeReachingStore(
    where: 'anywhere' | 'own-zone' = 'anywhere',
    mayRequest: MayHold = () => true,
  ): Promise<NodeId | undefined> {
    if (!this.options.fleet.isStoreUnreachable) return undefined;
    const states = this.nodesToProbe(where, mayRequest).map(async (node) =>
      (await this.canReachStore(node)) ? node : undefined,
    );
    return (await Promise.all(states)).find((node) => node !== undefined);
  }

  /**
   * The nearest nodes, and some of another region if there is one, as a whole region may be
   * partitioned from the store.
   */
  private nodesToProbe(where: 'anywhere' | 'own-zone', mayRequest: MayHold): NodeId[] {
    const { fleet, self, zone, distanceBetween = distanceInOneRegion } = this.options;
    const candidates = fleet.liveNodes().filter((node) => node !== self.node && mayRequest(node));
    const nodesAt = (distance: ZoneDistance): NodeId[] =>
      candidates.filter((node) => distanceBetween(zone, fleet.zoneOf(node) ?? zone) === distance);
    if (where === 'own-zone') return nodesAt('same-zone').slice(0, MAX_STORE_PROBES);
    const otherRegion = nodesAt('other-region').slice(0, MAX_STORE_PROBES / 2);
    const ownRegion = [...nodesAt('same-zone'), ...nodesAt('same-region')];
    return [...ownRegion.slice(0, MAX_STORE_PROBES - otherRegion.length), ...otherRegion];
  }
}
