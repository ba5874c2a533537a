/** Which nodes hold a shard: spread over zones, then machines, then by rendezvous hash. */
import { rendezvousOrder } from '../core/hashing.js';
import { identityKey, type NodeRecord } from '../core/identity.js';

/** How many replicas a group should have; odd sizes lose no fault tolerance per replica. */
export function targetSize(liveCount: number, replicaCount: number): number {
  const size = Math.min(liveCount, replicaCount);
  return size > 2 && size % 2 === 0 ? size - 1 : size;
}

/** How many of the members may fail before the group loses its majority; may be negative. */
export function faultTolerance(memberCount: number, aliveCount: number): number {
  return aliveCount - (Math.floor(memberCount / 2) + 1);
}

/**
 * Fills up a group to a size.
 *
 * @param key Key of the group, for the rendezvous order.
 * @param kept Members that stay.
 * @param candidates Live nodes of the domain, kept members among them or not.
 */
export function fillMembers(
  key: string,
  kept: readonly NodeRecord[],
  candidates: readonly NodeRecord[],
  size: number,
): NodeRecord[] {
  const chosen = [...kept];
  if (chosen.length >= size) return chosen;
  const keptNodes = new Set(kept.map((member) => member.node));
  const free = candidates.filter((candidate) => !keptNodes.has(candidate.node));
  const ordered = rendezvousOrder(key, free, identityKey);
  while (chosen.length < size && ordered.length > 0) {
    const best = mostSpread(ordered, chosen);
    chosen.push(best);
    ordered.splice(ordered.indexOf(best), 1);
  }
  return chosen;
}

/** The first candidate that shares its zone, then its machine, with the fewest members. */
function mostSpread(ordered: readonly NodeRecord[], chosen: readonly NodeRecord[]): NodeRecord {
  const sharedWith = (candidate: NodeRecord): number => {
    const sameZone = chosen.filter((member) => member.zone === candidate.zone).length;
    const sameMachine = chosen.filter((member) => member.machine === candidate.machine).length;
    return sameZone * chosen.length + sameZone + sameMachine;
  };
  return ordered.reduce((best, candidate) =>
    sharedWith(candidate) < sharedWith(best) ? candidate : best,
  );
}
