/** What the disk of this machine does through the library: synced and unsynced writes, reads. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ClassicLevel } from 'classic-level';
import { contentDigest } from '../../src/core/hashing.js';
import { createRandomSource } from '../../src/core/random.js';
import { BodyFolder } from '../../src/storage/body-folder.js';
import { percentile, round } from '../common/statistics.js';

/** Cost of writing small records, as an acceptor that keeps its promises would. */
export interface VoteWriteFigures {
  readonly synced: boolean;
  /** Writes that wait at the same time. */
  readonly concurrency: number;
  readonly writes: number;
  readonly writesPerSecond: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}

/** Cost of keeping and reading bodies through the data folder. */
export interface BodyFigures {
  readonly megabytes: number;
  readonly bodies: number;
  readonly persistMegabytesPerSecond: number;
  /** Opening the folder again, with the scan of names. */
  readonly openMilliseconds: number;
  readonly loadMegabytesPerSecond: number;
}

const VOTE_BYTES = 300;
const MEGABYTE = 1_000_000;
const DOMAIN = 'bench';

async function withFolder<Result>(use: (folder: string) => Promise<Result>): Promise<Result> {
  const folder = await mkdtemp(path.join(tmpdir(), 'wardwing-storage-'));
  try {
    return await use(folder);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

/** Writes small records, some at a time. */
export function measureVoteWrites(
  synced: boolean,
  concurrency: number,
  writes: number,
): Promise<VoteWriteFigures> {
  return withFolder(async (folder) => {
    const level = new ClassicLevel(folder);
    await level.open();
    const times: number[] = [];
    let next = 0;
    const writer = async (): Promise<void> => {
      while (next < writes) {
        const key = `register/${next}`;
        next += 1;
        const startedAt = performance.now();
        await level.put(key, 'v'.repeat(VOTE_BYTES), { sync: synced });
        times.push(performance.now() - startedAt);
      }
    };
    const startedAt = performance.now();
    await Promise.all(Array.from({ length: concurrency }, writer));
    const elapsed = performance.now() - startedAt;
    await level.close();
    return {
      synced,
      concurrency,
      writes,
      writesPerSecond: Math.round((writes / elapsed) * 1_000),
      p50Milliseconds: round(percentile(times, 0.5), 1),
      p99Milliseconds: round(percentile(times, 0.99), 1),
    };
  });
}

/** Bodies of hardly compressible text. */
function createBodies(count: number, bytes: number): string[] {
  const random = createRandomSource(1);
  return Array.from({ length: count }, () => {
    const parts = Array.from({ length: Math.ceil(bytes / 8) }, () => random.integer(0x7fffffff));
    return parts
      .map((part) => part.toString(16).padStart(8, '0'))
      .join('')
      .slice(0, bytes);
  });
}

/** Keeps bodies in a data folder, opens it again and reads them all. */
export function measureBodies(count: number, bytes: number): Promise<BodyFigures> {
  const bodies = createBodies(count, bytes);
  const megabytes = (count * bytes) / MEGABYTE;
  const named = bodies.map((body) => {
    return { body, name: { domain: DOMAIN, shardKey: 'step', digest: contentDigest(body) } };
  });
  return withFolder(async (folder) => {
    const options = { folder, bytesLimit: 10 * count * bytes, backlogLimit: 10 * count * bytes };
    const first = await BodyFolder.open(options);
    first.perform({ kind: 'keep-domains', domains: [DOMAIN] });
    const persist = await secondsOf(async () => {
      for (const { name, body } of named) first.perform({ kind: 'persist', name, body });
      await first.idle();
    });
    await first.close();
    let second: BodyFolder | undefined;
    const open = await secondsOf(async () => {
      second = await BodyFolder.open(options);
    });
    const load = await secondsOf(async () => {
      for (const { name } of named) second?.perform({ kind: 'load', name });
      await second?.idle();
    });
    const { bodiesLoaded } = second?.stats() ?? { bodiesLoaded: 0 };
    await second?.close();
    if (bodiesLoaded !== count) throw new Error(`only ${bodiesLoaded} bodies could be read`);
    return {
      megabytes,
      bodies: count,
      persistMegabytesPerSecond: Math.round(megabytes / persist),
      openMilliseconds: round(open * 1_000, 1),
      loadMegabytesPerSecond: Math.round(megabytes / load),
    };
  });
}

async function secondsOf(work: () => Promise<void>): Promise<number> {
  const startedAt = performance.now();
  await work();
  return (performance.now() - startedAt) / 1_000;
}
