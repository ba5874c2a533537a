/** Carries out the faults of single gateways, workers and of the whole store. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { isOfOneGateway, leavesGatewaysAlone } from './disturbances.js';
import type { FaultKind, PlannedFault } from './fault-schedule.js';
import type { FaultPerformance } from './fault-timeline.js';
import type { GatewayGroup, SoakGateway } from './gateway-group.js';
import { pick } from './pick.js';
import type { PlatformStore } from './platform-store.js';
import type { WorkerPool } from './worker-pool.js';

/** Delay of a slow link to the store. */
const SLOW_LINK: Milliseconds = 150;
const SLOW_WORKER: Milliseconds = 60;

/** Share of one gateway's connections to the store that fall silent: those of watches may, or others. */
const SILENCED_SHARE = 0.5;

/** Changes or signals that come one after the other. */
const SERIES_LENGTH = 4;
const SERIES_PAUSE: Milliseconds = 150;

/** Faults in which the store does not answer some gateways. */
const STORE_AWAY: readonly FaultKind[] = [
  'gateway-without-store',
  'gateway-hears-no-store',
  'gateway-turned-away',
  'gateway-throttled',
  'gateway-keys-revoked',
  'store-refusing',
  'store-silent',
  'store-writes-late',
];

/** What faults are brought on. */
export interface FaultSurroundings {
  readonly store: PlatformStore;
  readonly gateways: GatewayGroup;
  readonly workers: WorkerPool;
  /** Chooses the connections that fall silent. */
  readonly silenced: RandomSource;
  readonly writeConfiguration: () => void;
}

/** How faults of `planFaults` are brought on. */
export class FaultRunner implements FaultPerformance<PlannedFault> {
  constructor(private readonly surroundings: FaultSurroundings) {}

  readonly struckBy = ({ kind, target }: PlannedFault): 'all' | readonly SoakGateway[] => {
    if (leavesGatewaysAlone(kind)) return [];
    const { gateways } = this.surroundings.gateways;
    return isOfOneGateway(kind) ? [pick(gateways, target)] : 'all';
  };

  readonly isStoreAway = ({ kind }: PlannedFault): boolean => STORE_AWAY.includes(kind);

  /** A slow link carries everything. */
  readonly breaksContact = ({ kind }: PlannedFault): boolean => kind !== 'gateway-store-slow';

  readonly nameOf = (fault: PlannedFault): string => {
    const struck = this.struckBy(fault);
    return `${fault.kind} ${struck === 'all' ? struck : struck.map(({ name }) => name).join(' ')}`;
  };

  readonly perform = async ({ kind, duration, target }: PlannedFault): Promise<void> => {
    const { store, gateways, workers, silenced, writeConfiguration } = this.surroundings;
    const { emulator } = store;
    const gateway = pick(gateways.gateways, target);
    const place = pick(workers.places, target);
    switch (kind) {
      case 'gateway-killed':
        return gateways.killAndRestart(gateway, duration / 4);
      case 'gateway-paused':
        return gateways.pause(gateway, duration);
      case 'gateway-stopped':
        return gateways.stopAndRestart(gateway);
      case 'gateway-without-store':
        return withLink(gateway, 'black-hole', duration);
      case 'gateway-hears-no-store':
        return withLink(gateway, 'one-way', duration);
      case 'gateway-store-slow':
        gateway.storeLink.delay = SLOW_LINK;
        await sleep(duration);
        gateway.storeLink.delay = 0;
        return undefined;
      case 'gateway-store-reset':
        return gateway.storeLink.cut();
      case 'gateway-store-links-silent':
        return gateway.storeLink.silence(() => silenced.fraction() < SILENCED_SHARE);
      case 'gateway-turned-away':
        return withDoor(gateway, 'unavailable', duration);
      case 'gateway-throttled':
        return withDoor(gateway, 'throttled', duration);
      case 'gateway-keys-revoked':
        gateway.storeDoor.revokeKeys();
        return withDoor(gateway, 'unavailable', duration);
      case 'gateway-replaced':
        return gateways.replace(gateway, duration / 4);
      case 'all-gateways-killed':
        await Promise.all(gateways.gateways.map((one) => gateways.killAndRestart(one, 300)));
        return undefined;
      case 'store-refusing':
      case 'store-silent':
        emulator.setAvailability(kind === 'store-silent' ? 'silent' : 'refusing');
        await sleep(duration);
        emulator.setAvailability('up');
        return undefined;
      case 'store-forgets':
        return emulator.compact();
      case 'store-leases-lapse':
        return emulator.lapseLeases();
      case 'store-answers-lost':
        return emulator.loseAnswers('applied', 'applied', 'applied');
      case 'store-writes-late':
        emulator.loseAnswers('applied-late', 'applied-late');
        await sleep(duration);
        return emulator.applyLateCommits();
      case 'worker-crashed':
        return workers.crash(place, duration / 2);
      case 'worker-silent':
        place.link.set('black-hole');
        await sleep(duration);
        return place.link.set('open');
      case 'worker-slow':
        place.link.delay = SLOW_WORKER;
        await sleep(duration);
        place.link.delay = 0;
        return undefined;
      case 'worker-reset':
        return place.link.cut();
      case 'worker-links-silent':
        return place.link.silence();
      case 'all-links-silent':
        for (const { storeLink } of gateways.gateways) storeLink.silence();
        for (const { link } of workers.places) link.silence();
        return undefined;
      case 'worker-leaves':
        return workers.leave(place);
      case 'configuration-changed':
        return writeConfiguration();
      case 'configurations-in-series':
        for (let count = 0; count < SERIES_LENGTH; count += 1) {
          writeConfiguration();
          await sleep(SERIES_PAUSE);
        }
        return undefined;
      case 'signals-in-series':
        return gateways.signalInSeries(gateway, SERIES_LENGTH, SERIES_PAUSE);
    }
  };
}

/** A gateway's link to the store carries nothing for a while, or nothing back. */
export async function withLink(
  { storeLink }: SoakGateway,
  state: 'black-hole' | 'one-way',
  duration: Milliseconds,
): Promise<void> {
  storeLink.set(state);
  await sleep(duration);
  storeLink.set('open');
}

/** The store turns one gateway away for a while and serves the others. */
export async function withDoor(
  { storeDoor }: SoakGateway,
  refusal: 'unavailable' | 'throttled',
  duration: Milliseconds,
): Promise<void> {
  storeDoor.refuse(refusal);
  await sleep(duration);
  storeDoor.refuse(undefined);
}
