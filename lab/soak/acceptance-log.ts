/** How jobs were accepted, by what the gateways of a soak logged. */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import * as z from 'zod';

const LINE = z.object({
  zone: z.string(),
  msg: z.string(),
  job: z.string(),
  outcome: z.string().optional(),
});
type LogLine = z.infer<typeof LINE>;

/** What was logged. */
export interface AcceptanceCounts {
  /** Jobs that the store took from the node that accepted them. */
  acceptedByStore: number;
  /** Jobs that a zone accepted by its journal. */
  acceptedByJournal: number;
  /** Jobs that were accepted by the journal and found to be another node's in the store. */
  journaledSuperseded: number;
  /** Jobs that were found in a journal whose writer had ended. */
  recoveredFromJournal: number;
  /** Jobs that nodes of more than one zone accepted. */
  acceptedInTwoZones: string[];
}

/** Counts the lines of all gateways whose logs are in a folder. */
export function countAcceptances(folder: string): AcceptanceCounts {
  const files = readdirSync(folder).filter((name) => name.endsWith('.log'));
  const lines = files.flatMap((name) => readFileSync(path.join(folder, name), 'utf8').split('\n'));
  return countLines(lines.flatMap((line) => parse(line) ?? []));
}

/** Counts lines about jobs. */
export function countLines(lines: readonly LogLine[]): AcceptanceCounts {
  const named = (name: string): LogLine[] => lines.filter(({ msg }) => msg === name);
  const stored = named('job-submitted').filter(({ outcome }) => outcome === 'changed');
  const journaled = named('job-journaled');
  const zonesByJob = new Map<string, Set<string>>();
  for (const { job, zone } of [...stored, ...journaled]) {
    zonesByJob.set(job, new Set(zonesByJob.get(job)).add(zone));
  }
  return {
    acceptedByStore: stored.length,
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
