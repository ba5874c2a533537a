/**
 * How jobs were accepted, by what the gateways of a soak logged and what the store has. Gateways limit
 * the lines about single decisions, so whether the store took a job is read from the store.
 */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import * as z from 'zod';
import { decodeHead, JOB_KEYS } from '../../src/jobs/job-records.js';
import type { SharedStoreEmulator } from '../emulator/shared-store-emulator.js';

const LINE = z.object({
  zone: z.string(),
  msg: z.string(),
  job: z.string(),
});
type LogLine = z.infer<typeof LINE>;

/** What was logged and stored. */
export interface AcceptanceCounts {
  /** Jobs that the store has at the end. */
  inStore: number;
  /** Jobs that a zone accepted by its journal. */
  acceptedByJournal: number;
  /** Jobs that were accepted by the journal and found to be another node's in the store. */
  journaledSuperseded: number;
  /** Jobs that were found in a journal whose writer had ended. */
  recoveredFromJournal: number;
  /** Jobs that nodes of more than one zone accepted. */
  acceptedInTwoZones: string[];
}

/** Counts the lines of all gateways whose logs are in a folder, and the jobs in the store. */
export function countAcceptances(
  folder: string,
  store: Pick<SharedStoreEmulator, 'keys' | 'valueOf'>,
): AcceptanceCounts {
  const files = readdirSync(folder).filter((name) => name.endsWith('.log'));
  const lines = files.flatMap((name) => readFileSync(path.join(folder, name), 'utf8').split('\n'));
  const logged = lines.flatMap((line) => parse(line) ?? []);
  const named = (name: string): LogLine[] => logged.filter(({ msg }) => msg === name);
  const stored = store.keys(JOB_KEYS.heads).map((key) => ({
    job: JOB_KEYS.jobOfHead(key),
    zone: decodeHead(store.valueOf(key) ?? '')?.zone ?? '',
  }));
  const journaled = named('job-journaled');
  const zonesByJob = new Map<string, Set<string>>();
  for (const { job, zone } of [...stored, ...journaled]) {
    zonesByJob.set(job, new Set(zonesByJob.get(job)).add(zone));
  }
  return {
    inStore: stored.length,
    acceptedByJournal: journaled.length,
    journaledSuperseded: named('journaled-job-superseded').length,
    recoveredFromJournal: named('job-recovered').length,
    acceptedInTwoZones: [...zonesByJob].filter(([, zones]) => zones.size > 1).map(([job]) => job),
  };
}

function parse(line: string): LogLine | undefined {
  if (!line.includes('"job"')) return undefined;
  try {
    return LINE.safeParse(JSON.parse(line)).data;
  } catch {
    // A line that a kill cut short.
    return undefined;
  }
}
