/** Carries out the faults of whole zones and of their machines with disks. */

import { withLink } from './fault-runner.js';
import type { FaultPerformance } from './fault-timeline.js';
import { type GatewayGroup, type SoakGateway, ZONES } from './gateway-group.js';
import type { JournalGroup } from './journal-group.js';
import { pick } from './pick.js';
import type { ZoneFault } from './zone-faults.js';

/** How faults of `planZoneFaults` are brought on. */
export class ZoneFaultRunner implements FaultPerformance<ZoneFault> {
  constructor(
    private readonly gateways: GatewayGroup,
    private readonly journals: JournalGroup,
  ) {}

  /** The loss of a journal's replica strikes no gateway. */
  readonly struckBy = ({ kind, target }: ZoneFault): SoakGateway[] => {
    if (kind !== 'zone-without-store') return [];
    const struck = pick(ZONES, target);
    return this.gateways.gateways.filter(({ zone }) => zone === struck);
  };

  readonly isStoreAway = ({ kind }: ZoneFault): boolean => kind === 'zone-without-store';

  readonly breaksContact = (): boolean => true;

  readonly nameOf = (fault: ZoneFault): string => {
    const names = this.struckBy(fault).map(({ name }) => name);
    return `${fault.kind} ${names.join(' ')}`;
  };

  readonly perform = async (
    { kind, duration, target }: ZoneFault,
    struck: readonly SoakGateway[],
  ): Promise<void> => {
    if (kind !== 'zone-without-store') {
      const disk = kind === 'replica-wiped' ? 'empty' : 'kept';
      return this.journals.killAndRestart(target, disk, duration / 4);
    }
    await Promise.all(struck.map((gateway) => withLink(gateway, 'black-hole', duration)));
  };
}
