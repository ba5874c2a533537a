/** Brings planned faults on in time, and keeps in mind what is under way. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { Disturbances } from './disturbances.js';
import type { SoakGateway } from './gateway-group.js';
import type { SoakLog } from './soak-log.js';

/** Time for which a gateway has to run and to reach the store to be in touch. */
const CONTACT_TIME: Milliseconds = 3_000;

/** Time after a fault in which late work is excused. */
const CALM_AFTER: Milliseconds = 3_500;

/** A planned fault, as far as the timeline needs it. */
interface TimedFault {
  /** Milliseconds since the soak began. */
  readonly at: Milliseconds;
}

/** How faults of one plan are brought on. */
export interface FaultPerformance<Fault extends TimedFault> {
  /** The gateways that have an excuse while the fault is under way. */
  readonly struckBy: (fault: Fault) => 'all' | readonly SoakGateway[];
  /** Whether some gateways don't reach the store, or are not answered, meanwhile. */
  readonly isStoreAway: (fault: Fault) => boolean;
  /** Whether struck gateways stand still, or have no way to the store or none from it. */
  readonly breaksContact: (fault: Fault) => boolean;
  /** What happens to whom, for the log. */
  readonly nameOf: (fault: Fault) => string;
  /** Resolves when the fault is over. */
  readonly perform: (fault: Fault, struck: readonly SoakGateway[]) => Promise<void>;
}

/** The faults of one soak. */
export class FaultTimeline {
  private readonly underWay = new Set<Promise<void>>();
  private readonly disturbances: Disturbances;
  private readonly lostContacts: Disturbances;
  private lastFaultAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private storeFaults = 0;
  private storeLostAt: Milliseconds = Number.POSITIVE_INFINITY;
  private storeBackAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly now: () => Milliseconds,
    private readonly log?: Pick<SoakLog, 'note'>,
  ) {
    this.disturbances = new Disturbances(now);
    this.lostContacts = new Disturbances(now);
  }

  /** Brings on the faults of a plan in order; resolves when the last one has begun. */
  async bringOn<Fault extends TimedFault>(
    faults: readonly Fault[],
    performance: FaultPerformance<Fault>,
  ): Promise<void> {
    for (const fault of faults) {
      await sleep(Math.max(0, fault.at - this.now()));
      this.begin(fault, performance);
    }
  }

  /** Resolves when no fault is under way. */
  async allOver(): Promise<void> {
    await Promise.all(this.underWay);
  }

  /** Whether nothing happens, nor did lately. */
  get isCalm(): boolean {
    return this.underWay.size === 0 && this.now() - this.lastFaultAt > CALM_AFTER;
  }

  /** Whether nothing has happened to a gateway lately, whatever befell others. */
  isCalmFor(gateway: SoakGateway): boolean {
    return this.disturbances.areOverFor(gateway, CALM_AFTER);
  }

  /** Whether a gateway has run and reached the store all the time lately, whatever else befell it. */
  isInTouch(gateway: SoakGateway): boolean {
    return this.lostContacts.areOverFor(gateway, CONTACT_TIME);
  }

  /** Whether a fault is under way in which the store does not answer some gateways. */
  get isStoreAway(): boolean {
    return this.storeFaults > 0;
  }

  /**
   * Since when the store has not answered some gateways; infinite while it answers all. A shorter
   * return than that of late work does not count, as gateways ask again only after a pause.
   */
  get storeAwaySince(): Milliseconds {
    return this.isStoreAway ? this.storeLostAt : Number.POSITIVE_INFINITY;
  }

  private begin<Fault extends TimedFault>(
    fault: Fault,
    { struckBy, isStoreAway, breaksContact, nameOf, perform }: FaultPerformance<Fault>,
  ): void {
    const struck = struckBy(fault);
    const gateways = struck === 'all' ? [] : struck;
    const name = nameOf(fault);
    this.log?.note('fault-begins', { name });
    const kept = breaksContact(fault)
      ? [this.disturbances, this.lostContacts]
      : [this.disturbances];
    const ends = kept.flatMap((disturbances) =>
      struck === 'all'
        ? [disturbances.begin(undefined)]
        : struck.map((gateway) => disturbances.begin(gateway)),
    );
    const storeFaults = isStoreAway(fault) ? 1 : 0;
    if (storeFaults > 0) this.noteStoreLost();
    this.storeFaults += storeFaults;
    const work = perform(fault, gateways).finally(() => {
      this.log?.note('fault-ends', { name });
      for (const end of ends) end();
      this.storeFaults -= storeFaults;
      if (storeFaults > 0 && !this.isStoreAway) this.storeBackAt = this.now();
      this.underWay.delete(work);
      this.lastFaultAt = this.now();
    });
    this.underWay.add(work);
  }

  private noteStoreLost(): void {
    if (this.isStoreAway || this.now() - this.storeBackAt <= CALM_AFTER) return;
    this.storeLostAt = this.now();
  }
}
