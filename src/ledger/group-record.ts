/** Replica group records: reading and writing their text form, and questions about members. */
import { type GroupRecord, groupKey } from '../config-feed/configuration.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';

/** How many of `size` members make a majority. */
export function majorityOf(size: number): number {
  return Math.floor(size / 2) + 1;
}

/** Whether a life of a node is among the identities. */
export function includesIdentity(members: readonly NodeIdentity[], key: string): boolean {
  return members.some((member) => identityKey(member) === key);
}

/** Current and previous members, each once. */
export function allMembersOf(record: GroupRecord): NodeIdentity[] {
  const unique = new Map<string, NodeIdentity>();
  for (const member of [...record.members, ...record.previousMembers]) {
    unique.set(identityKey(member), member);
  }
  return [...unique.values()];
}

/** The key-value key of a record's group. */
export function keyOfRecord(record: GroupRecord): string {
  return groupKey(record.domain, record.shard);
}

/** The text kept in the key-value service. */
export function encodeGroupRecord(record: GroupRecord): string {
  return JSON.stringify(record);
}

function isIdentityList(value: unknown): value is NodeIdentity[] {
  const isIdentity = (item: unknown): boolean => {
    const identity = item as Partial<NodeIdentity> | null;
    return typeof identity?.node === 'string' && typeof identity.incarnation === 'number';
  };
  return Array.isArray(value) && value.every(isIdentity);
}

/** Reads a record's text; `undefined` where it is not one. */
export function decodeGroupRecord(text: string): GroupRecord | undefined {
  let value: Partial<GroupRecord> | null;
  try {
    value = JSON.parse(text) as Partial<GroupRecord> | null;
  } catch {
    return undefined;
  }
  const isRecord =
    typeof value?.domain === 'string' &&
    Number.isInteger(value.shard) &&
    Number.isInteger(value.epoch) &&
    isIdentityList(value.members) &&
    isIdentityList(value.previousMembers);
  return isRecord ? (value as GroupRecord) : undefined;
}
