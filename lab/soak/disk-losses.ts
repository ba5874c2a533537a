/**
 * Which disks of replicas were lost before the store had what they held. A zone may lose as many at
 * once as `fault_tolerance.machines` says.
 */

/** Disks of one zone that may be lost at once. */
export const TOLERATED_DISK_LOSSES = 2;

/** Keeps the losses of all zones. */
export class DiskLosses {
  private readonly lostByZone = new Map<string, Set<string>>();

  /** Replicas of a zone whose last disk was lost before the store had what it held. */
  lostIn(zone: string): readonly string[] {
    return [...(this.lostByZone.get(zone) ?? [])];
  }

  /** Whether a replica's disk may be lost now. */
  mayLose(zone: string, replica: string): boolean {
    const lost = new Set(this.lostByZone.get(zone)).add(replica);
    return lost.size <= TOLERATED_DISK_LOSSES;
  }

  /** The disk of a replica is lost; throws where that is more than the zone may lose. */
  noteLost(zone: string, replica: string): void {
    if (!this.mayLose(zone, replica)) throw new Error(`${zone} may not lose another disk`);
    this.lostByZone.set(zone, new Set(this.lostByZone.get(zone)).add(replica));
  }

  /** The store has all that the lost disks of a zone held. */
  noteSynced(zone: string): void {
    this.lostByZone.delete(zone);
  }
}

/**
 * The disks that a zone loses next: those that are lost already, and of the others the first ones in
 * the order of preference.
 */
export function disksToLose(
  preferred: readonly string[],
  alreadyLost: readonly string[],
): readonly string[] {
  const others = preferred.filter((replica) => !alreadyLost.includes(replica));
  return [...alreadyLost, ...others].slice(0, TOLERATED_DISK_LOSSES);
}
