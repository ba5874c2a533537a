/**
 * Bench of the machine feed alone: zones of 100 and 340 nodes in simulated time with the letter's
 * 12,700 machines. Bytes each node sends, idle and at several rates of change; reads of the list;
 * time until all nodes know a change. Takes about a minute.
 */
import { loadavg } from 'node:os';
import { round } from '../common/statistics.js';
import type { CommandFlags } from '../main.js';
import { HollowMachineFleet, machineRecords, withState } from './hollow-machine-fleet.js';

const SIZES = [100, 340] as const;
const MACHINES = 12_700;
const SEED = 11;
const START_MILLISECONDS = 15_000;
const IDLE_MILLISECONDS = 30_000;
/** One change each 27 s is the letter's rate with all failures; each second is far beyond it. */
const CHANGE_INTERVALS = [27_000, 1_000] as const;
const CHANGES = 12;

/** Runs the bench. */
export async function run(_name: string, _flags: CommandFlags): Promise<number> {
  for (const size of SIZES) measure(size);
  return 0;
}

function measure(size: number): void {
  const fleet = new HollowMachineFleet(size, SEED, 0, machineRecords(MACHINES));
  fleet.announceMembers();
  fleet.runFor(START_MILLISECONDS);
  report(fleet, size, 'idle', IDLE_MILLISECONDS, []);
  for (const interval of CHANGE_INTERVALS) measureChanges(fleet, size, interval);
}

function measureChanges(fleet: HollowMachineFleet, size: number, interval: number): void {
  const delays: number[] = [];
  let changedAt = 0;
  fleet.onMachines = (_node, now) => delays.push(now - changedAt);
  resetCounts(fleet);
  for (let change = 0; change < CHANGES; change += 1) {
    const position = (change * 1_009 + interval) % MACHINES;
    const state = fleet.list[position]?.state === 'live' ? 'leaving' : 'live';
    fleet.list = withState(fleet.list, position, state);
    changedAt = fleet.now;
    fleet.runFor(interval);
  }
  fleet.onMachines = () => {};
  print(fleet, size, `one change each ${interval} ms`, interval * CHANGES, delays);
}

function report(
  fleet: HollowMachineFleet,
  size: number,
  part: string,
  duration: number,
  delays: number[],
): void {
  resetCounts(fleet);
  fleet.runFor(duration);
  print(fleet, size, part, duration, delays);
}

function resetCounts(fleet: HollowMachineFleet): void {
  fleet.fleet.traffic.reset();
  fleet.reads.clear();
}

function print(
  fleet: HollowMachineFleet,
  size: number,
  part: string,
  duration: number,
  delays: number[],
): void {
  const totals = fleet.fleet.traffic.totals();
  const seconds = duration / 1_000;
  const reads = [...fleet.reads.values()].reduce((sum, count) => sum + count, 0);
  delays.sort((left, right) => left - right);
  const at = (share: number) => {
    const delay = delays[Math.min(delays.length - 1, Math.floor(delays.length * share))];
    return delay === undefined ? null : round(delay, 0);
  };
  const figures = {
    nodes_in_zone: size,
    machines: MACHINES,
    part,
    sent_bytes_per_second_mean: round(totals.bytes / size / seconds, 0),
    sent_bytes_per_second_largest: round(totals.largestNodeBytes / seconds, 0),
    messages_per_second_a_node: round(totals.messages / size / seconds, 2),
    mean_bytes: Object.fromEntries(
      Object.entries(totals.kinds).map(([kind, { meanBytes }]) => [kind, meanBytes]),
    ),
    nodes_that_read: fleet.reads.size,
    reads_per_second_in_zone: round(reads / seconds, 2),
    changes_taken_in: delays.length,
    known_ms_p50: at(0.5),
    known_ms_p99: at(0.99),
    known_ms_max: at(1),
    load_1m: round(loadavg()[0] ?? 0, 1),
  };
  console.log(JSON.stringify(figures));
}
