/**
 * Recordings of what clients did and received: NDJSON files whose first line states the outcome,
 * and whose other lines are the events, each with the name of its deployment. A recording is
 * judged again by the oracles of the run that made it.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import * as z from 'zod';
import { type ClientEvent, clientEvent } from './client-events.js';
import { InteractiveOracle } from './interactive-oracle.js';
import { InteractiveReport } from './interactive-report.js';
import { TrainerOracle } from './trainer-oracle.js';
import { TrainerReport } from './trainer-report.js';

const violations = z.record(z.string(), z.number());

const recordingHeader = z.object({
  kind: z.literal('client-recording'),
  deployments: z.array(
    z.object({ name: z.string(), stalenessBound: z.number(), versionGrace: z.number() }),
  ),
  outcome: z.object({
    holds: z.boolean(),
    /** Samples and answers that were judged. */
    checked: z.number(),
    /** Broken promises by name. */
    violations,
  }),
});

const recordedEvent = z.object({ deployment: z.string(), event: clientEvent });

/** First line of a recording. */
export type RecordingHeader = z.infer<typeof recordingHeader>;

/** What a run came to. */
export type RecordingOutcome = RecordingHeader['outcome'];

/** One event and whose it is. */
export type RecordedEvent = z.infer<typeof recordedEvent>;

/** What came of judging a recording again. */
export interface RecordingResult extends RecordingOutcome {
  /** One line for each part of the outcome that differs; empty where it is as stated. */
  readonly differences: readonly string[];
}

/** Broken promises of one deployment by name. */
export function violationsOf(
  trainer: TrainerReport,
  interactive: InteractiveReport,
): Readonly<Record<string, number>> {
  const { twice, lost, wrongText, changed, tooOld } = trainer;
  const { wrongText: wrongAnswer, differentRepeats, ordersRunTwice, falseNotRun } = interactive;
  const sample = { twice, lost, wrongText, changed, tooOld };
  return { ...sample, wrongAnswer, differentRepeats, ordersRunTwice, falseNotRun };
}

/** The outcome of a run over all its deployments. */
export function outcomeOf(
  reports: readonly { readonly trainer: TrainerReport; readonly interactive: InteractiveReport }[],
): RecordingOutcome {
  const total: Record<string, number> = {};
  let checked = 0;
  for (const { trainer, interactive } of reports) {
    checked += trainer.delivered + interactive.answered;
    for (const [name, count] of Object.entries(violationsOf(trainer, interactive))) {
      total[name] = (total[name] ?? 0) + count;
    }
  }
  const holds = checked > 0 && Object.values(total).every((count) => count === 0);
  return { holds, checked, violations: total };
}

/** Whether a file is a recording, by its first line. */
export function isRecording(file: string): boolean {
  const [first = ''] = readFileSync(file, 'utf8').split('\n', 1);
  return recordingHeader.safeParse(JSON.parse(first)).success;
}

/** Writes a recording. */
export function writeRecording(
  file: string,
  header: RecordingHeader,
  events: readonly RecordedEvent[],
): void {
  const lines = [header, ...events].map((line) => JSON.stringify(line));
  writeFileSync(file, `${lines.join('\n')}\n`);
}

/** Judges a recording again. Throws where the file is no recording. */
export function judgeRecording(file: string): RecordingResult {
  const lines = readFileSync(file, 'utf8').split('\n');
  const [first, ...rest] = lines.filter((line) => line !== '').map((line) => JSON.parse(line));
  const header = recordingHeader.parse(first);
  const events = rest.map((line) => recordedEvent.parse(line));
  const reports = header.deployments.map((deployment) => {
    const own = events.filter((line) => line.deployment === deployment.name);
    return judge(
      own.map(({ event }) => event),
      deployment,
    );
  });
  const outcome = outcomeOf(reports);
  return { ...outcome, differences: differencesOf(header.outcome, outcome) };
}

function judge(
  events: readonly ClientEvent[],
  options: RecordingHeader['deployments'][number],
): { readonly trainer: TrainerReport; readonly interactive: InteractiveReport } {
  const trainerOracle = new TrainerOracle(options, new TrainerReport());
  const interactiveOracle = new InteractiveOracle(new InteractiveReport());
  for (const event of events) {
    trainerOracle.take(event);
    interactiveOracle.take(event);
  }
  interactiveOracle.finish();
  return { trainer: trainerOracle.report, interactive: interactiveOracle.report };
}

function differencesOf(stated: RecordingOutcome, actual: RecordingOutcome): string[] {
  const names = new Set([...Object.keys(stated.violations), ...Object.keys(actual.violations)]);
  const parts: [string, unknown, unknown][] = [
    ['holds', stated.holds, actual.holds],
    ['checked', stated.checked, actual.checked],
  ];
  for (const name of names) {
    parts.push([name, stated.violations[name] ?? 0, actual.violations[name] ?? 0]);
  }
  return parts
    .filter(([, before, after]) => before !== after)
    .map(([name, before, after]) => `${name}: stated ${String(before)}, came out ${String(after)}`);
}
