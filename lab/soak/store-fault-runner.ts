/** Carries out the faults of the store towards groups of gateways. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { decodeHead, JOB_KEYS } from '../../src/jobs/job-records.js';
import type { SharedStoreEmulator } from '../emulator/shared-store-emulator.js';
import { withDoor, withLink } from './fault-runner.js';
import type { FaultPerformance } from './fault-timeline.js';
import { type GatewayGroup, type SoakGateway, ZONES } from './gateway-group.js';
import { pick } from './pick.js';
import type { PlatformStore } from './platform-store.js';
import { LATE_SHARE, type StoreEffect, type StoreFault } from './store-faults.js';

/** Interval at which it is checked whether the last late commit was carried out. */
const LATE_CHECK_INTERVAL: Milliseconds = 50;

/** How faults of `planStoreFaults` are brought on. */
export class StoreFaultRunner implements FaultPerformance<StoreFault> {
  constructor(
    private readonly store: PlatformStore,
    private readonly gateways: GatewayGroup,
  ) {}

  readonly struckBy = (fault: StoreFault): SoakGateway[] =>
    struckGateways(fault, this.gateways.gateways, (zone) => jobOwnerIn(zone, this.store.emulator));

  readonly isStoreAway = (): boolean => true;

  /** A gateway whose commits are late is answered all else. */
  readonly breaksContact = ({ effect }: StoreFault): boolean => effect !== 'commits-late';

  readonly nameOf = (fault: StoreFault): string => {
    const names = this.struckBy(fault).map(({ name }) => name);
    return `${fault.effect} ${fault.struck} ${names.join(' ')}`;
  };

  readonly perform = async (
    { effect, duration }: StoreFault,
    struck: readonly SoakGateway[],
  ): Promise<void> => {
    await Promise.all(struck.map((gateway) => withEffect(gateway, effect, duration)));
    while (effect === 'commits-late' && this.store.lateCommits.areUnderWay) {
      await sleep(LATE_CHECK_INTERVAL);
    }
  };
}

async function withEffect(
  gateway: SoakGateway,
  effect: StoreEffect,
  duration: Milliseconds,
): Promise<void> {
  if (effect === 'silent') return withLink(gateway, 'black-hole', duration);
  if (effect !== 'commits-late') return withDoor(gateway, effect, duration);
  gateway.storeDoor.lateShare = LATE_SHARE;
  await sleep(duration);
  gateway.storeDoor.lateShare = 0;
}

/** The gateways of a fault's group; a zone whose job owner is not known is struck whole. */
export function struckGateways<Gateway extends Pick<SoakGateway, 'name' | 'zone'>>(
  { struck, target }: Pick<StoreFault, 'struck' | 'target'>,
  gateways: readonly Gateway[],
  jobOwnerOf: (zone: string) => string | undefined,
): Gateway[] {
  const zone = pick(ZONES, target);
  const inZone = gateways.filter((gateway) => gateway.zone === zone);
  switch (struck) {
    case 'all':
      return [...gateways];
    case 'zone':
      return inZone;
    case 'zone-but-one': {
      const served = pick(inZone, target);
      return inZone.filter((gateway) => gateway !== served);
    }
    case 'half': {
      const first = target % gateways.length;
      const rotated = [...gateways.slice(first), ...gateways.slice(0, first)];
      return rotated.slice(0, Math.ceil(gateways.length / 2));
    }
    case 'job-owner': {
      const owner = jobOwnerOf(zone);
      const struckOwner = inZone.filter(({ name }) => name === owner);
      return struckOwner.length > 0 ? struckOwner : inZone;
    }
  }
}

/** The node that owns the job of a zone that was submitted last. */
export function jobOwnerIn(
  zone: string,
  store: Pick<SharedStoreEmulator, 'keys' | 'valueOf'>,
): string | undefined {
  const heads = store
    .keys(JOB_KEYS.heads)
    .map((key) => decodeHead(store.valueOf(key) ?? ''))
    .filter((head) => head?.zone === zone && head.owner !== null)
    .sort((left, right) => (right?.submittedAt ?? 0) - (left?.submittedAt ?? 0));
  return heads[0]?.owner?.node;
}
