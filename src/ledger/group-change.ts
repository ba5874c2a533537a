/** Decides what the next record of a replica group should be, if it should change at all. */
import { type GroupRecord, groupKey } from '../config-feed/configuration.js';
import { identityKey, type NodeIdentity, type NodeRecord } from '../core/identity.js';
import { faultTolerance, fillMembers, targetSize } from './placement.js';

/** What the decision rests on. */
export interface GroupSituation {
  readonly domain: string;
  readonly shard: number;
  readonly replicaCount: number;
  /** Living nodes of the domain's zones. */
  readonly live: readonly NodeRecord[];
  /** The record of a living node of the domain by its identity key. */
  readonly liveRecord: (identity: string) => NodeRecord | undefined;
  /** Zones of the domain with living nodes. */
  readonly liveZones: ReadonlySet<string>;
  /** Whether the set of living nodes has been the same for long. */
  readonly isSettled: boolean;
  /** Whether a life has been gone for so long, or so surely, that it is to be replaced. */
  readonly isGone: (identity: string) => boolean;
  /** Whether a living member is in a zone that the domain no longer names. */
  readonly isMisplaced: (identity: string) => boolean;
}

function identitiesOf(members: readonly NodeRecord[]) {
  return members.map(({ node, incarnation }) => ({ node, incarnation }));
}

/** The first record of a group; `undefined` while no node lives. */
export function planCreation(situation: GroupSituation): GroupRecord | undefined {
  const { domain, shard, live, replicaCount } = situation;
  const size = targetSize(live.length, replicaCount);
  const members = fillMembers(groupKey(domain, shard), [], live, size);
  if (members.length === 0) return undefined;
  return { domain, shard, epoch: 1, members: identitiesOf(members), previousMembers: [] };
}

/**
 * The record that follows the current one; `undefined` where no change is of use. A majority of
 * the current members always stays, and at most a minority is removed. Members in a zone that the
 * domain no longer names are removed even where the group is weaker for it, a minority at a time.
 */
export function planChange(
  current: GroupRecord,
  situation: GroupSituation,
): GroupRecord | undefined {
  const { domain, shard, live, replicaCount } = situation;
  const minority = Math.floor((current.members.length - 1) / 2);
  const present = current.members.filter((member) => !situation.isGone(identityKey(member)));
  const gone = current.members.length - present.length;
  if (gone > minority) return undefined;
  const misplaced = present.filter((member) => situation.isMisplaced(identityKey(member)));
  const evicted = misplaced.slice(0, minority - gone);
  const kept = present.filter((member) => !evicted.includes(member));
  const aliveKept = kept.flatMap((member) => situation.liveRecord(identityKey(member)) ?? []);
  const waitedFor = kept.length - aliveKept.length;
  const size = targetSize(live.length, replicaCount) - waitedFor;
  const members = fillMembers(groupKey(domain, shard), aliveKept, live, size);
  const silent = kept.filter((member) => !situation.liveRecord(identityKey(member)));
  const nextMembers = [...identitiesOf(members), ...silent];
  const toleranceBefore = faultTolerance(current.members.length, aliveKept.length);
  const toleranceAfter = faultTolerance(nextMembers.length, members.length);
  if (evicted.length > 0) return successor(current, nextMembers);
  const becomesPair = current.members.length === 1 && nextMembers.length === 2;
  if (toleranceAfter > toleranceBefore || becomesPair) return successor(current, nextMembers);
  const isWhole = situation.isSettled && aliveKept.length === current.members.length;
  return isWhole ? planSpread(current, aliveKept, situation) : undefined;
}

/** Moves one member to a zone that has too few, once the fleet has settled. */
function planSpread(
  current: GroupRecord,
  members: readonly NodeRecord[],
  situation: GroupSituation,
): GroupRecord | undefined {
  if (members.length < 3) return undefined;
  const key = groupKey(situation.domain, situation.shard);
  const countIn = (zone: string): number => members.filter((item) => item.zone === zone).length;
  const fullest = members.reduce((left, right) =>
    countIn(right.zone) > countIn(left.zone) ? right : left,
  );
  const leastCount = Math.min(...[...situation.liveZones].map(countIn));
  if (countIn(fullest.zone) - leastCount < 2) return undefined;
  const kept = members.filter((member) => member !== fullest);
  const next = fillMembers(key, kept, situation.live, members.length);
  const added = next.at(-1);
  if (added === undefined || countIn(fullest.zone) - countIn(added.zone) < 2) return undefined;
  return successor(current, identitiesOf(next));
}

function successor(current: GroupRecord, members: readonly NodeIdentity[]): GroupRecord {
  const { domain, shard, epoch, members: previousMembers } = current;
  return { domain, shard, epoch: epoch + 1, members, previousMembers };
}
