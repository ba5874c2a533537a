/**
 * Chooses which nodes relay the shared store to others, and which relays a follower requests in
 * turn. Each node decides from the live nodes that it knows; disagreement costs one rejected
 * request.
 *
 * Where a fleet spans regions, one relay of each region reads the store and the other relays of the
 * region read through it.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LocalityName } from '../placement/locality.js';
import type { Clock } from '../serving/clock.js';

/**
 * One relay is used for each started group of this many nodes of a zone, from which it receives some
 * 90 requests per second.
 */
const NODES_PER_RELAY = 40;

/**
 * With one relay per zone, this covers four zones, so that a failure of two zones leaves relays
 * that reach the store.
 */
const MAX_RELAY_ATTEMPTS = 4;

/** Time during which a relay that failed, while another source answered, is not requested again. */
const RELAY_PENALTY: Milliseconds = 2_000;

/** The part of the fleet registry that relays need. */
export interface RelayFleet {
  liveNodes(): string[];
  zoneOf(node: NodeId): ZoneName | undefined;
  addressOf(node: NodeId): string | undefined;
  /** Time since the store last renewed this node's lease. */
  renewalAge(): Milliseconds;
}

export interface RelayChoiceOptions {
  readonly fleet: () => RelayFleet;
  readonly self: NodeId;
  readonly zone: ZoneName;
  readonly clock: Clock;
  /**
   * The region of a zone if the fleet spans regions; a zone of unknown region counts as a region of
   * its own. @default the fleet does not span regions
   */
  readonly regionOf?: ((zone: ZoneName) => LocalityName) | undefined;
}

export class RelayChoice {
  private readonly penalizedUntil = new Map<NodeId, Milliseconds>();
  /** Nodes that did not answer the last request. */
  private readonly unanswering = new Set<NodeId>();

  constructor(private readonly options: RelayChoiceOptions) {}

  /** Whether this node is a relay. */
  get isRelay(): boolean {
    const { fleet, self, zone } = this.options;
    return this.relaysOf(zone, this.nodesByZone(fleet())).includes(self);
  }

  /**
   * The relays to request in order, those of this zone first; `self` if this node is a relay. A
   * relay that the store rejects acts as a follower for the time being, and requests the next nodes
   * in place of relays that did not answer, as its list of the fleet may be stale. It requests those
   * again only after the others, because one that stays silent takes up the time of a round.
   */
  relaysInOrder(isRejectedByStore: boolean): 'self' | readonly NodeId[] {
    const { fleet, self, zone } = this.options;
    const zones = this.nodesByZone(fleet());
    const ownZoneRelays = this.relaysOf(zone, zones);
    const isRelay = ownZoneRelays.includes(self) || ownZoneRelays.length === 0;
    if (isRelay && !isRejectedByStore) return 'self';
    const rankedRelays = isRejectedByStore ? this.rankedOthers(zones) : this.rankedRelays(zones);
    if (isRelay && rankedRelays.length === 0) return 'self';
    return rankedRelays.filter((node) => this.isUsable(node)).slice(0, MAX_RELAY_ATTEMPTS);
  }

  /** Nodes to request in place of relays; those that did not answer the last request come last. */
  private rankedOthers(zones: ReadonlyMap<ZoneName, readonly NodeId[]>): NodeId[] {
    const { self } = this.options;
    const select = (isAnswering: boolean): Map<ZoneName, NodeId[]> => {
      const isCandidate = (node: NodeId): boolean =>
        node !== self && this.isUsable(node) && this.unanswering.has(node) !== isAnswering;
      return new Map([...zones].map(([name, nodes]) => [name, nodes.filter(isCandidate)]));
    };
    return [...this.rankedRelays(select(true)), ...this.rankedRelays(select(false))];
  }

  /** All relays: those of this zone first, then those of this region, then the others. */
  private rankedRelays(zones: ReadonlyMap<ZoneName, readonly NodeId[]>): NodeId[] {
    const { self, zone } = this.options;
    const otherZones = [...zones.keys()].filter((name) => name !== zone);
    const ownRegion = otherZones.filter((name) => this.isInOwnRegion(name));
    const otherRegions = otherZones.filter((name) => !this.isInOwnRegion(name));
    const relaysIn = (names: ZoneName[]): NodeId[] =>
      names.flatMap((name) => this.relaysOf(name, zones));
    return [relaysIn([zone]), relaysIn(ownRegion), relaysIn(otherRegions)].flatMap((nodes) =>
      rendezvousOrder(self, nodes, (node) => node),
    );
  }

  /**
   * The relay that reads the store for this region; `undefined` if that is this node, if it failed
   * recently, or if the fleet does not span regions.
   */
  firstRelay(): NodeId | undefined {
    const { fleet, self, zone, regionOf } = this.options;
    if (regionOf === undefined) return undefined;
    const zones = this.nodesByZone(fleet());
    const relays = [...zones.keys()]
      .filter((name) => this.isInOwnRegion(name))
      .flatMap((name) => this.relaysOf(name, zones));
    const [firstInRank] = rendezvousOrder(regionOf(zone), relays, (node) => node);
    if (firstInRank === undefined || firstInRank === self) return undefined;
    return this.isUsable(firstInRank) ? firstInRank : undefined;
  }

  private isInOwnRegion(zone: ZoneName): boolean {
    const { regionOf } = this.options;
    return regionOf === undefined || regionOf(zone) === regionOf(this.options.zone);
  }

  private isUsable(node: NodeId): boolean {
    return this.options.clock.now() >= (this.penalizedUntil.get(node) ?? 0);
  }

  /** Records that a node answered a request, with or without current data. */
  noteAnswer(node: NodeId): void {
    this.unanswering.delete(node);
  }

  /** Records that a node did not answer a request, and excludes it like {@link penalize}. */
  noteSilence(node: NodeId): void {
    const live = new Set(this.options.fleet().liveNodes());
    for (const earlier of this.unanswering)
      if (!live.has(earlier)) this.unanswering.delete(earlier);
    this.unanswering.add(node);
    this.penalize(node);
  }

  /** Excludes a relay for {@link RELAY_PENALTY}. */
  penalize(relay: NodeId): void {
    this.penalizedUntil.set(relay, this.options.clock.now() + RELAY_PENALTY);
  }

  private relaysOf(zone: ZoneName, zones: ReadonlyMap<ZoneName, readonly NodeId[]>): NodeId[] {
    const nodes = zones.get(zone) ?? [];
    const count = Math.ceil(nodes.length / NODES_PER_RELAY);
    return rendezvousOrder(zone, nodes, (node) => node).slice(0, count);
  }

  private nodesByZone(fleet: RelayFleet): Map<ZoneName, NodeId[]> {
    const zones = new Map<ZoneName, NodeId[]>();
    for (const node of fleet.liveNodes()) {
      const zone = fleet.zoneOf(node);
      if (zone === undefined) continue;
      const nodes = zones.get(zone);
      if (nodes === undefined) zones.set(zone, [node]);
      else nodes.push(node);
    }
    return zones;
  }
}
