/**
 * Which nodes follow the shared store for others, and which of them a follower asks in turn. Each
 * node works this out from the live nodes that it knows; two that disagree for a moment cost a
 * question more, as a node that does not follow the store says so.
 *
 * Where a fleet spans regions, one relay of each region reads the store, and the others of the region
 * read it by way of that one; followers ask the relays of their region before those of another.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LocalityName } from '../placement/locality.js';
import type { Clock } from '../serving/clock.js';

/** Nodes of one zone for each one that follows the store. One relay answers some 90 questions a second. */
const NODES_PER_RELAY = 40;

/**
 * Relays that are asked before the store is: with one relay a zone, those of four zones. Where two
 * were asked, a blow to two zones left their nodes with relays that were both cut off.
 */
const RELAYS_ASKED = 4;

/** Time for which a relay that did not help, while another source did, is not asked again. */
const RELAY_PENALTY: Milliseconds = 2_000;

/** The live nodes, as a relay needs to know them. */
export interface RelayFleet {
  liveNodes(): string[];
  zoneOf(node: NodeId): ZoneName | undefined;
  addressOf(node: NodeId): string | undefined;
  /** Time since the store last renewed this node's lease. */
  renewalAge(): Milliseconds;
}

/** Options of {@link RelayChoice}. */
export interface RelayChoiceOptions {
  readonly fleet: () => RelayFleet;
  readonly self: NodeId;
  readonly zone: ZoneName;
  readonly clock: Clock;
  /** The region of a zone, where the fleet spans several. @default it does not */
  readonly regionOf?: ((zone: ZoneName) => LocalityName) | undefined;
}

/** Chooses relays. */
export class RelayChoice {
  private readonly penalizedUntil = new Map<NodeId, Milliseconds>();

  constructor(private readonly options: RelayChoiceOptions) {}

  /** Whether this node is to follow the store for others. */
  get isRelay(): boolean {
    const { fleet, self, zone } = this.options;
    return this.relaysOf(zone, this.nodesByZone(fleet())).includes(self);
  }

  /** The nodes to ask in turn, of the own zone first; `self` where this node is a relay. */
  inOrder(): 'self' | readonly NodeId[] {
    const { fleet, self, zone, clock } = this.options;
    const zones = this.nodesByZone(fleet());
    const own = this.relaysOf(zone, zones);
    if (own.includes(self) || own.length === 0) return 'self';
    const others = [...zones.keys()].filter((name) => name !== zone);
    const near = others.filter((name) => this.isInOwnRegion(name));
    const far = others.filter((name) => !this.isInOwnRegion(name));
    const relaysIn = (names: ZoneName[]): NodeId[] =>
      names.flatMap((name) => this.relaysOf(name, zones));
    const ranked = [own, relaysIn(near), relaysIn(far)].flatMap((nodes) =>
      rendezvousOrder(self, nodes, (node) => node),
    );
    return ranked.filter((node) => this.isUsable(node, clock.now())).slice(0, RELAYS_ASKED);
  }

  /**
   * The relay of the own region that reads the store for the others; `undefined` where this node is
   * that one, is to do without it for a while, or the fleet does not span regions.
   */
  firstRelay(): NodeId | undefined {
    const { fleet, self, zone, clock, regionOf } = this.options;
    if (regionOf === undefined) return undefined;
    const zones = this.nodesByZone(fleet());
    const relays = [...zones.keys()]
      .filter((name) => this.isInOwnRegion(name))
      .flatMap((name) => this.relaysOf(name, zones));
    const [first] = rendezvousOrder(regionOf(zone), relays, (node) => node);
    if (first === undefined || first === self) return undefined;
    return this.isUsable(first, clock.now()) ? first : undefined;
  }

  private isInOwnRegion(zone: ZoneName): boolean {
    const { regionOf } = this.options;
    return regionOf === undefined || regionOf(zone) === regionOf(this.options.zone);
  }

  private isUsable(node: NodeId, now: Milliseconds): boolean {
    return now >= (this.penalizedUntil.get(node) ?? 0);
  }

  /** Leaves a relay alone for a while. */
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
