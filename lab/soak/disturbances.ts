/** Which gateways of a soak something has happened to, and since when that is over. */
import type { Milliseconds } from '../../src/core/units.js';
import type { FaultKind } from './fault-schedule.js';
import type { SoakGateway } from './gateway-group.js';

/** Faults that touch neither a gateway nor its way to the store. */
const HARMLESS_TO_GATEWAYS: readonly FaultKind[] = [
  'worker-crashed',
  'worker-silent',
  'worker-slow',
  'worker-reset',
  'worker-links-silent',
  'worker-leaves',
  'configuration-changed',
  'configurations-in-series',
];

/** Whether gateways have no excuse while such a fault is under way. */
export function leavesGatewaysAlone(kind: FaultKind): boolean {
  return HARMLESS_TO_GATEWAYS.includes(kind);
}

/** Whether such a fault strikes one gateway and leaves the others without an excuse. */
export function isOfOneGateway(kind: FaultKind): boolean {
  return kind.startsWith('gateway-') || kind === 'signals-in-series';
}

interface Disturbance {
  underWay: number;
  endedAt: Milliseconds;
}

/** Keeps in mind what is under way. */
export class Disturbances {
  private readonly ofGateways = new Map<SoakGateway, Disturbance>();
  private readonly ofAll: Disturbance = { underWay: 0, endedAt: 0 };

  constructor(private readonly now: () => Milliseconds) {}

  /** A fault begins, at one gateway or at all; the function that it gives ends it. */
  begin(gateway: SoakGateway | undefined): () => void {
    const disturbance = gateway === undefined ? this.ofAll : this.of(gateway);
    disturbance.underWay += 1;
    return () => {
      disturbance.underWay -= 1;
      disturbance.endedAt = this.now();
    };
  }

  /** Whether nothing has happened to a gateway for some time; the soak's begin counts as something. */
  areOverFor(gateway: SoakGateway, time: Milliseconds): boolean {
    const isOver = ({ underWay, endedAt }: Disturbance): boolean =>
      underWay === 0 && this.now() - endedAt > time;
    return isOver(this.ofAll) && isOver(this.of(gateway));
  }

  private of(gateway: SoakGateway): Disturbance {
    const known = this.ofGateways.get(gateway);
    if (known !== undefined) return known;
    const fresh = { underWay: 0, endedAt: 0 };
    this.ofGateways.set(gateway, fresh);
    return fresh;
  }
}
