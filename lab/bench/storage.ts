/**
 * Bench of the data folder: what this machine's disk does through the library, in real time, and
 * what a disk saves a restarted ledger member, in simulated time. The last line is JSON.
 */
import { numberFlag } from '../common/flags.js';
import type { CommandFlags } from '../main.js';
import { measureScaling } from './ledger-scaling.js';
import { measureBodies, measureVoteWrites } from './storage-disk-probe.js';
import { RestartFleet } from './storage-fleet.js';
import type { ChannelSpeed } from './storage-fleet-options.js';

const BODY_BYTES = 16_000;
/** 50 MB. */
const BODY_COUNT = 3_125;
const SYNCED_WRITES = 500;
const UNSYNCED_WRITES = 20_000;
const CONCURRENT_WRITERS = 32;
const REFERENCE_NODES = 100;
const REFERENCE_MILLISECONDS = 10_000;

const LINKS: Readonly<Record<string, ChannelSpeed>> = {
  '1 Gbit/s': { latency: 1, bytesPerSecond: 125_000_000 },
  '100 Mbit/s': { latency: 5, bytesPerSecond: 12_500_000 },
};

/** One restart of a member that held 50 MB of bodies. */
interface RestartRow {
  readonly link: string;
  readonly hasDisk: boolean;
  readonly bytesFromPeers: number;
  readonly memberAfterMilliseconds: number | null;
  readonly activeAfterMilliseconds: number | null;
  readonly completeAfterMilliseconds: number | null;
  readonly bodiesFromPeers: number;
  readonly bodiesFromDisk: number;
}

function printed<Row>(row: Row): Row {
  console.log(JSON.stringify(row));
  return row;
}

function measureRestart(seed: number, link: string, hasDisk: boolean): RestartRow {
  const speed = LINKS[link];
  const fleet = new RestartFleet({
    seed,
    hasDisk,
    ...(speed === undefined ? {} : { link: speed }),
  });
  fleet.fill({ count: BODY_COUNT, bytes: BODY_BYTES });
  const report = fleet.restart();
  return {
    link,
    hasDisk,
    bytesFromPeers: report.bytesFromPeers,
    memberAfterMilliseconds: report.memberAfter,
    activeAfterMilliseconds: report.activeAfter,
    completeAfterMilliseconds: report.completeAfter,
    bodiesFromPeers: report.counters.bodiesRepaired,
    bodiesFromDisk: report.counters.bodiesLoaded,
  };
}

/** Runs the bench; `--seed N` may be given. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seed = numberFlag(flags, 'seed', 1);
  const voteWrites = [
    printed(await measureVoteWrites(true, 1, SYNCED_WRITES)),
    printed(await measureVoteWrites(true, CONCURRENT_WRITERS, SYNCED_WRITES)),
    printed(await measureVoteWrites(false, 1, UNSYNCED_WRITES)),
  ];
  const bodies = printed(await measureBodies(BODY_COUNT, BODY_BYTES));
  const reference = { nodes: REFERENCE_NODES, seed, milliseconds: REFERENCE_MILLISECONDS };
  const scaling = measureScaling([reference]).map(printed);
  const messagesPerSample = scaling[0]?.messagesPerSample;
  const restarts = Object.keys(LINKS).flatMap((link) =>
    [false, true].map((hasDisk) => printed(measureRestart(seed, link, hasDisk))),
  );
  console.log(
    JSON.stringify({ bench: 'storage', seed, voteWrites, bodies, messagesPerSample, restarts }),
  );
  return 0;
}
