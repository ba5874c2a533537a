/**
 * Plays the days of `lab/days/days` on a deployment with the users' bench and prints a line for
 * each. The bench and the deployment's file are named by the caller; neither is part of this
 * repository.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { parse } from 'smol-toml';
import * as z from 'zod';

/** What a run of the days works with. */
export interface DaysOptions {
  /** The bench's program. */
  readonly bench: string;
  /** The deployment's file. */
  readonly site: string;
  /** Only days whose names hold this text. */
  readonly only: string;
  /** What the run is for; goes into the bench's journal. */
  readonly why: string;
}

/** What came of one day. */
export interface DayOutcome {
  readonly day: string;
  /** The bench's own line, or why there is none. */
  readonly line: string;
  /** Whether all rules were kept. */
  readonly isKept: boolean;
}

/** Stands in the days for the service of the site that holds models. */
const SERVICE_PLACEHOLDER = 'MODEL_SERVICE';

const DAYS_FOLDER = path.join('lab', 'days', 'days');

const SITE = z.object({
  services: z.array(z.object({ name: z.string(), model: z.string().optional() })),
});

/** Plays the days one after the other. */
export async function runDays(
  options: DaysOptions,
  report: (outcome: DayOutcome) => void,
): Promise<boolean> {
  const service = modelServiceOf(readFileSync(options.site, 'utf8'));
  const folder = mkdtempSync(path.join('lab', 'days', 'played-'));
  let areAllKept = true;
  try {
    for (const file of readdirSync(DAYS_FOLDER).sort()) {
      if (!file.endsWith('.toml') || !file.includes(options.only)) continue;
      const text = dayFor(readFileSync(path.join(DAYS_FOLDER, file), 'utf8'), service);
      const played = path.join(folder, file);
      writeFileSync(played, text);
      const day = path.basename(file, '.toml');
      const outcome = outcomeOf(day, await play(options, played));
      areAllKept &&= outcome.isKept;
      report(outcome);
    }
  } finally {
    rmSync(folder, { recursive: true });
  }
  return areAllKept;
}

/** Name of the service of a deployment whose workers hold models. */
export function modelServiceOf(siteText: string): string {
  const { services } = SITE.parse(parse(siteText));
  const found = services.find((service) => service.model !== undefined);
  if (found === undefined) throw new Error('the deployment has no service with models');
  return found.name;
}

/** A day with the deployment's own service in it. */
export function dayFor(text: string, service: string): string {
  return text.replaceAll(SERVICE_PLACEHOLDER, service);
}

/** Reads the bench's output for a day. */
export function outcomeOf(day: string, output: string): DayOutcome {
  const line = output.split('\n').find((text) => text.startsWith(`${day} `));
  if (line === undefined) {
    return { day, line: output.trim().split('\n').at(-1) ?? 'no output', isKept: false };
  }
  return { day, line: line.trim(), isKept: !line.includes('BROKEN') && !line.includes('FAULT') };
}

function play({ bench, site, why }: DaysOptions, day: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const words = ['run', site, day, '--why', why];
    const child = spawn(bench, words, { stdio: ['ignore', 'pipe', 'inherit'] });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString('utf8');
    });
    child.once('error', reject);
    child.once('close', () => resolve(output));
  });
}
