/** Carries out the end of a soak: trouble with the store, then all processes lose power at once. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type { FaultTimeline } from './fault-timeline.js';
import type { PlannedPowerLoss } from './final-power-loss.js';
import type { GatewayGroup } from './gateway-group.js';
import type { JournalGroup } from './journal-group.js';
import type { PlatformStore } from './platform-store.js';
import { StoreFaultRunner } from './store-fault-runner.js';

/** Time by which the trouble outlasts the kill of all processes. */
const TROUBLE_MARGIN: Milliseconds = 200;

/** What loses power, and what is around it. */
export interface PowerLossSurroundings {
  readonly timeline: FaultTimeline;
  readonly store: PlatformStore;
  readonly gateways: GatewayGroup;
  readonly journals: JournalGroup;
  readonly now: () => Milliseconds;
}

/** What is there after the restart. */
export interface RestartedFleet {
  /** Front addresses of gateways that no caller has asked before. */
  readonly readers: readonly string[];
  /** Replicas whose disk is empty. */
  readonly emptied: readonly string[];
  /** Jobs of which the replicas held what the store lacked just before the loss. */
  readonly unsyncedJobs: number;
}

/** Brings the end on. */
export class PowerLoss {
  constructor(private readonly surroundings: PowerLossSurroundings) {}

  /** Resolves at the moment at which the power is to be lost; the trouble lasts a little longer. */
  async bringTrouble({ trouble, duration, target }: PlannedPowerLoss): Promise<void> {
    const { timeline, store, gateways, now } = this.surroundings;
    const at = now();
    const lasting = duration + TROUBLE_MARGIN;
    const faults = trouble.map((effect) => ({ ...effect, at, target, duration: lasting }));
    await timeline.bringOn(faults, new StoreFaultRunner(store, gateways));
    await sleep(Math.max(0, at + duration - now()));
  }

  /** Kills all processes at once; resolves when all have started again, and new gateways too. */
  async loseAndRestart(plan: PlannedPowerLoss): Promise<RestartedFleet> {
    const { timeline, now } = this.surroundings;
    const loss = this.performLoss(plan);
    await timeline.bringOn([{ at: now() }], {
      struckBy: () => 'all',
      isStoreAway: () => false,
      breaksContact: () => true,
      nameOf: () => 'power-loss',
      perform: async () => void (await loss),
    });
    return loss;
  }

  private async performLoss({
    replicas,
    gatewayDelays,
  }: PlannedPowerLoss): Promise<RestartedFleet> {
    const { gateways, journals } = this.surroundings;
    const unsyncedJobs = await journals.countUnsyncedJobs();
    await Promise.all([gateways.killAll(), journals.killAll()]);
    const [emptied, readers] = await Promise.all([
      journals.restartAll(replicas),
      gateways.startReaders(),
      gateways.restartAll(gatewayDelays),
    ]);
    return { readers: readers.map(({ address }) => address), emptied, unsyncedJobs };
  }
}
