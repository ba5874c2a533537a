/** Registers under every fault the network and the fleet have, against an append-only list. */
import t from 'tap';
import { type FleetNode, LedgerFleet, nodeOf } from '../../lab/bench/ledger-fleet.js';
import type { NodeIdentity } from '../../src/core/identity.js';
import type { LedgerOutcome } from '../../src/ledger/ledger.js';

const ZONES = ['east', 'north', 'west'];
const OPERATION_TIMEOUT = 4_000;

const KEYS = ['list/0', 'list/1', 'list/2'];

type List = readonly string[];

const keep = () => ({ kind: 'keep' }) as const;

/** Appends with their outcomes; checks that all that was seen fits one order of appends. */
class ListOracle {
  readonly unavailable: { entry: string; mayHaveApplied: boolean }[] = [];
  committed = 0;
  checked = 0;
  readonly problems: string[] = [];
  readonly #longest = new Map<string, List>();
  readonly #entries = new Set<string>();

  /** Length every later answer must have at least. */
  knownLength(key: string): number {
    return this.#longest.get(key)?.length ?? 0;
  }

  observe(key: string, list: List, entry: string | null, lengthBefore: number): void {
    this.checked += 1;
    if (list.length < lengthBefore) this.problems.push(`${key}: went back to ${list.length}`);
    if (new Set(list).size !== list.length) this.problems.push(`${key}: an entry twice`);
    if (entry !== null && !list.includes(entry)) this.problems.push(`${key}: lost ${entry}`);
    if (entry !== null) this.committed += 1;
    if (entry !== null) this.#entries.add(entry);
    const longest = this.#longest.get(key) ?? [];
    const [shorter, longer] = list.length < longest.length ? [list, longest] : [longest, list];
    if (!shorter.every((item, place) => longer[place] === item)) {
      this.problems.push(`${key}: two orders: ${list.join(' ')} and ${longest.join(' ')}`);
    }
    this.#longest.set(key, longer);
  }

  finish(): void {
    const seen = new Set([...this.#longest.values()].flat());
    for (const entry of this.#entries) {
      if (!seen.has(entry)) this.problems.push(`committed ${entry} is gone`);
    }
    for (const { entry, mayHaveApplied } of this.unavailable) {
      if (!mayHaveApplied && seen.has(entry)) this.problems.push(`${entry} applied after all`);
    }
  }
}

class Workload {
  readonly oracle = new ListOracle();
  readonly fleet: LedgerFleet;
  #entries = 0;

  constructor(fleet: LedgerFleet) {
    this.fleet = fleet;
  }

  upNode(): FleetNode | undefined {
    const up = this.fleet.nodes.filter((node) => node.isUp && !node.isFrozen);
    return up.length === 0 ? undefined : up[this.fleet.random.integer(up.length)];
  }

  append(key: string): void {
    const node = this.upNode();
    if (node === undefined) return;
    this.#entries += 1;
    const entry = `entry-${this.#entries}`;
    const before = this.oracle.knownLength(key);
    const now = this.fleet.queue.now;
    const request = { domain: this.fleet.domain, shardKey: key, key };
    const deadline = now + OPERATION_TIMEOUT;
    const apply = (current: unknown) => {
      const list = (current ?? []) as List;
      if (list.includes(entry)) return { kind: 'keep' } as const;
      return { kind: 'write', value: [...list, entry] } as const;
    };
    this.fleet.operate(
      node,
      (operationId, ledger) => ledger.change({ ...request, operationId, apply, deadline }, now),
      (outcome) => this.#ended(key, entry, before, outcome),
    );
  }

  /** Reads, or makes a change that keeps the value, which must be as fresh as a read. */
  read(key: string): void {
    const node = this.upNode();
    if (node === undefined) return;
    const before = this.oracle.knownLength(key);
    const now = this.fleet.queue.now;
    const request = { domain: this.fleet.domain, shardKey: key, key };
    const deadline = now + OPERATION_TIMEOUT;
    this.fleet.operate(
      node,
      (operationId, ledger) => {
        const read = { ...request, operationId, deadline };
        const isRead = this.fleet.random.integer(2) === 0;
        return isRead ? ledger.read(read, now) : ledger.change({ ...read, apply: keep }, now);
      },
      (outcome) => this.#ended(key, null, before, outcome),
    );
  }

  #ended(key: string, entry: string | null, before: number, outcome: LedgerOutcome<unknown>): void {
    if (outcome.kind === 'changed') {
      this.oracle.observe(key, (outcome.value ?? []) as List, entry, before);
    } else if (outcome.kind === 'unavailable' && entry !== null) {
      this.oracle.unavailable.push({ entry, mayHaveApplied: outcome.mayHaveApplied });
    }
  }
}

/** Whether every group keeps an active majority without the node. */
function canLose(fleet: LedgerFleet, lost: FleetNode): boolean {
  return KEYS.every((key) => {
    const records = fleet.nodes.flatMap((node) => node.ledger.groupFor(fleet.domain, key) ?? []);
    const newest = records.sort((left, right) => right.epoch - left.epoch)[0];
    if (newest === undefined) return false;
    const active = newest.members.filter((member) => {
      const node = nodeOf(fleet, member);
      if (node === undefined || node === lost || node.isFrozen) return false;
      return node.ledger.isActiveMember(fleet.domain, key);
    });
    return active.length > newest.members.length / 2;
  });
}

/** One fault at random; mostly one that leaves every group a majority. */
function breakSomething(fleet: LedgerFleet): void {
  const node = fleet.nodes[fleet.random.integer(fleet.nodes.length)] as FleetNode;
  const choice = fleet.random.integer(12);
  const isBearable = canLose(fleet, node) || fleet.random.integer(200) === 0;
  if (!node.isUp) fleet.restart(node);
  else if (choice <= 2 && isBearable) fleet.kill(node);
  else if (choice <= 6 && isBearable) fleet.restart(node);
  else if (choice <= 8 && isBearable) fleet.freeze(node, fleet.random.integer(3_000));
  else if (choice === 9) fleet.keyValue.faults.isDown = !fleet.keyValue.faults.isDown;
  else if (choice >= 10) cutZone(fleet);
}

function cutZone(fleet: LedgerFleet): void {
  const zone = ZONES[fleet.random.integer(ZONES.length)];
  fleet.network.passes = (from, to) => from === to || (from !== zone && to !== zone);
  fleet.queue.after(fleet.random.integer(3_000), () => {
    fleet.network.passes = () => true;
  });
}

function storm(seed: number, nodeCount: number): Workload {
  const fleet = new LedgerFleet({
    seed,
    nodeCount,
    zones: ZONES,
    tuning: {
      shardsPerDomain: 2,
      preparedLimit: 2,
      pageEntries: 1,
      bodyCatchUpLimit: 3_000,
      replacementGrace: 500,
      spreadDelay: 2_000,
    },
    detectionDelay: 300,
  });
  const workload = new Workload(fleet);
  fleet.run(3_000);
  Object.assign(fleet.network, { jitter: 40, lossShare: 0.05, duplicateShare: 0.1 });
  fleet.keyValue.faults.lostAnswers = 0.3;
  for (let round = 0; round < 400; round += 1) {
    for (let burst = fleet.random.integer(4); burst >= 0; burst -= 1) {
      const key = KEYS[fleet.random.integer(KEYS.length)] as string;
      if (fleet.random.integer(3) === 0) workload.read(key);
      else workload.append(key);
    }
    if (fleet.random.integer(6) === 0) breakSomething(fleet);
    fleet.run(fleet.random.integer(200));
  }
  settle(workload);
  return workload;
}

/** Whether too many members of the last epoch lost their memory for the group to go on. */
function hasLostMajority(fleet: LedgerFleet, key: string): boolean {
  const records = fleet.nodes.flatMap((node) => node.ledger.groupFor(fleet.domain, key) ?? []);
  const newest = records.sort((left, right) => right.epoch - left.epoch)[0];
  const isLost = (members: readonly NodeIdentity[]): boolean =>
    members.filter((member) => nodeOf(fleet, member)).length <= members.length / 2;
  if (newest === undefined || isLost(newest.members)) return true;
  // The last change itself needs a majority of the epoch before, until one member is active.
  const hasActive = newest.members.some((member) =>
    nodeOf(fleet, member)?.ledger.isActiveMember(fleet.domain, key),
  );
  return !hasActive && isLost(newest.previousMembers);
}

function settle(workload: Workload): void {
  const { fleet } = workload;
  Object.assign(fleet.network, { lossShare: 0, passes: () => true });
  Object.assign(fleet.keyValue.faults, { isDown: false, lostAnswers: 0 });
  for (const node of fleet.nodes) if (!node.isUp) fleet.restart(node);
  fleet.run(30_000);
  const { checked } = workload.oracle;
  for (const key of KEYS) workload.read(key);
  fleet.run(5_000);
  const lost = KEYS.filter((key) => hasLostMajority(fleet, key)).length;
  const unanswered = KEYS.length - lost - (workload.oracle.checked - checked);
  if (unanswered > 0) workload.oracle.problems.push(`${unanswered} groups do not serve`);
  workload.oracle.finish();
}

t.test('appends happen exactly once and in one order, whatever fails', async (t) => {
  let committed = 0;
  let unavailable = 0;
  for (let seed = 1; seed <= Number(process.env.LEDGER_SEEDS ?? 12); seed += 1) {
    const { oracle } = storm(seed, 5 + (seed % 4));
    t.strictSame(oracle.problems, [], `seed ${seed}`);
    committed += oracle.committed;
    unavailable += oracle.unavailable.length;
  }
  t.comment(`committed ${committed}, unavailable ${unavailable}`);
  t.ok(committed > 1_000, 'most appends commit');
});
