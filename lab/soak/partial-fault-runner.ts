/** Carries out the faults that take a part of its calls from a gateway. */
import { setTimeout as sleep } from 'node:timers/promises';
import { rendezvousOrder } from '../../src/core/hashing.js';
import type { FaultPerformance } from './fault-timeline.js';
import { type GatewayGroup, type SoakGateway, ZONES } from './gateway-group.js';
import type { PartialEffect, PartialFault } from './partial-faults.js';
import { pick } from './pick.js';
import type { PlatformStore } from './platform-store.js';
import type { StoreCallKind } from './store-call-kinds.js';
import type { PartialRefusal } from './store-door.js';
import { jobOwnerIn, struckGateways } from './store-fault-runner.js';

/** What the store does to calls of one kind. */
const STORE_EFFECTS: Readonly<
  Record<
    Exclude<PartialEffect, 'region-links-silent'>,
    { readonly kind: StoreCallKind; readonly refusal: PartialRefusal }
  >
> = {
  'reads-held': { kind: 'read', refusal: 'held' },
  'reads-refused': { kind: 'read', refusal: 'unavailable' },
  'watches-held': { kind: 'watch', refusal: 'held' },
  'watches-refused': { kind: 'watch', refusal: 'unavailable' },
};

/** What faults are brought on. */
export interface PartialFaultSurroundings {
  readonly store: PlatformStore;
  readonly gateways: GatewayGroup;
  readonly writeConfiguration: () => void;
}

/** How faults of `planPartialFaults` are brought on. */
export class PartialFaultRunner implements FaultPerformance<PartialFault> {
  private underWay = 0;

  constructor(private readonly surroundings: PartialFaultSurroundings) {}

  /** Whether such a fault is under way. */
  get isUnderWay(): boolean {
    return this.underWay > 0;
  }

  /** Silent links leave each gateway its store, and excuse none. */
  readonly struckBy = (fault: PartialFault): SoakGateway[] =>
    fault.effect === 'region-links-silent' ? [] : this.gatewaysOf(fault);

  /** The lease is renewed and commits are carried out. */
  readonly isStoreAway = (): boolean => false;

  readonly breaksContact = (): boolean => false;

  readonly nameOf = (fault: PartialFault): string => {
    const names = this.gatewaysOf(fault).map(({ name }) => name);
    return `${fault.effect} ${fault.struck} ${names.join(' ')}`;
  };

  readonly perform = async (fault: PartialFault): Promise<void> => {
    const { effect, duration, changesAfter } = fault;
    const ends = this.gatewaysOf(fault).map((gateway) => begin(effect, gateway));
    this.underWay += 1;
    let passed = 0;
    for (const after of changesAfter) {
      await sleep(after - passed);
      passed = after;
      this.surroundings.writeConfiguration();
    }
    await sleep(duration - passed);
    this.underWay -= 1;
    for (const end of ends) end();
  };

  private gatewaysOf({ struck, target }: PartialFault): SoakGateway[] {
    const { gateways, store } = this.surroundings;
    const all = gateways.gateways;
    if (struck === 'relays') return ZONES.flatMap((zone) => relayOf(zone, all));
    if (struck === 'relay') return relayOf(pick(ZONES, target), all);
    return struckGateways({ struck, target }, all, (zone) => jobOwnerIn(zone, store.emulator));
  }
}

function begin(effect: PartialEffect, { storeDoor, regionLink }: SoakGateway): () => void {
  if (effect === 'region-links-silent') return regionLink.silence();
  const { kind, refusal } = STORE_EFFECTS[effect];
  return storeDoor.keepBack(kind, refusal);
}

/** The gateway that reads the store for a zone while all of the zone run; none for an empty zone. */
export function relayOf<Gateway extends Pick<SoakGateway, 'name' | 'zone'>>(
  zone: string,
  gateways: readonly Gateway[],
): Gateway[] {
  const inZone = gateways.filter((gateway) => gateway.zone === zone);
  return rendezvousOrder(zone, inZone, ({ name }) => name).slice(0, 1);
}
