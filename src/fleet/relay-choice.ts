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
  /**
   * The region of a zone, where the fleet spans several; a zone whose region is not known is one by
   * itself. @default it does not
   */
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

  /**
   * The nodes to ask in turn, of the own zone first; `self` where this node is a relay. One that the
   * store turns away is none for the time being. What it knows of the fleet may be old as well: in the
   * place of relays that did not answer it asks the nodes that come after them.
   */
  inOrder(isTurnedAway: boolean): 'self' | readonly NodeId[] {
    const { fleet, self, zone } = this.options;
    const zones = this.nodesByZone(fleet());
    const own = this.relaysOf(zone, zones);
    const isRelay = own.includes(self) || own.length === 0;
    if (isRelay && !isTurnedAway) return 'self';
    const ranked = this.ranked(isTurnedAway ? this.othersUsable(zones) : zones);
    if (isRelay && ranked.length === 0) return 'self';
    return ranked.filter((node) => this.isUsable(node)).slice(0, RELAYS_ASKED);
  }

  private othersUsable(zones: ReadonlyMap<ZoneName, readonly NodeId[]>): Map<ZoneName, NodeId[]> {
    const { self } = this.options;
    const isAsked = (node: NodeId): boolean => node !== self && this.isUsable(node);
    return new Map([...zones].map(([name, nodes]) => [name, nodes.filter(isAsked)]));
  }

  /** All relays: those of the own zone first, then those of the own region. */
  private ranked(zones: ReadonlyMap<ZoneName, readonly NodeId[]>): NodeId[] {
    const { self, zone } = this.options;
    const others = [...zones.keys()].filter((name) => name !== zone);
    const near = others.filter((name) => this.isInOwnRegion(name));
    const far = others.filter((name) => !this.isInOwnRegion(name));
    const relaysIn = (names: ZoneName[]): NodeId[] =>
      names.flatMap((name) => this.relaysOf(name, zones));
    return [relaysIn([zone]), relaysIn(near), relaysIn(far)].flatMap((nodes) =>
      rendezvousOrder(self, nodes, (node) => node),
    );
  }

  /**
   * The relay of the own region that reads the store for the others; `undefined` where this node is
   * that one, is to do without it for a while, or the fleet does not span regions.
   */
  firstRelay(): NodeId | undefined {
    const { fleet, self, zone, regionOf } = this.options;
    if (regionOf === undefined) return undefined;
    const zones = this.nodesByZone(fleet());
    const relays = [...zones.keys()]
      .filter((name) => this.isInOwnRegion(name))
      .flatMap((name) => this.relaysOf(name, zones));
    const [first] = rendezvousOrder(regionOf(zone), relays, (node) => node);
    if (first === undefined || first === self) return undefined;
    return this.isUsable(first) ? first : undefined;
  }

  private isInOwnRegion(zone: ZoneName): boolean {
    const { regionOf } = this.options;
    return regionOf === undefined || regionOf(zone) === regionOf(this.options.zone);
  }

  private isUsable(node: NodeId): boolean {
    return this.options.clock.now() >= (this.penalizedUntil.get(node) ?? 0);
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
