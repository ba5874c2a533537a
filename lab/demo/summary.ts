/** The demo's closing table. */
import { build } from 'hdr-histogram-js';
import type { DeploymentReport } from './deployment-run.js';
import { leftInTime } from './leaving-machine.js';

/** A row: a name and one value for each deployment. */
type Row = readonly [string, ...string[]];

/** The table as text. */
export function summaryTable(reports: readonly DeploymentReport[]): string {
  const rows: Row[] = [['', ...reports.map((report) => report.name)], ...dataRows(reports)];
  const widths = rows[0]?.map((_cell, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) => row.map((cell, column) => cell.padEnd(widths?.[column] ?? 0)).join('  '))
    .join('\n');
}

/** Whether every promise the demo can see held. */
export function promisesHeld(reports: readonly DeploymentReport[]): boolean {
  return reports.every(
    (report) =>
      report.trainer.holds &&
      report.interactive.holds &&
      report.refusedBeforeConfirm &&
      leftInTime(report.leaving),
  );
}

function dataRows(reports: readonly DeploymentReport[]): readonly Row[] {
  const row = (name: string, value: (report: DeploymentReport) => string | number): Row => {
    return [name, ...reports.map((report) => String(value(report)))];
  };
  return [
    row('refused before the plan was confirmed', (r) => (r.refusedBeforeConfirm ? 'yes' : 'NO')),
    row('node killed and started again', (r) => r.killedNode),
    row('worker whose machine left for a while', (r) => r.leaving.worker),
    row('its starts before the sign', (r) => r.leaving.startsBefore),
    row('its starts over 3 s after the sign', (r) => r.leaving.lateStarts),
    row('starts on the others in that time', (r) => r.leaving.startsElsewhere),
    row('its last start after the sign, ms', (r) => Math.round(r.leaving.lastStart)),
    row('its starts after its return', (r) => r.leaving.startsAfterReturn),
    row('steps drawn', (r) => r.trainer.steps),
    row('samples asked', (r) => r.trainer.asked),
    row('samples delivered', (r) => r.trainer.delivered),
    row('samples twice', (r) => r.trainer.twice),
    row('samples lost', (r) => r.trainer.lost),
    row('samples with a wrong text', (r) => r.trainer.wrongText),
    row('samples changed on reading again', (r) => r.trainer.changed),
    row('samples older than the bound', (r) => r.trainer.tooOld),
    row('samples made by two versions or more', (r) => r.trainer.spanning),
    row('weight versions', (r) => [...r.trainer.versions].sort((a, b) => a - b).join(' ')),
    row('trainer idle share', (r) => `${(r.trainer.idleShare * 100).toFixed(1)} %`),
    row('staleness mean, versions', (r) => mean(r.trainer.stalenessVersions).toFixed(2)),
    row('staleness p99, versions', (r) => percentile(r.trainer.stalenessVersions, 99)),
    row('staleness p99, ms', (r) => percentile(r.trainer.stalenessMilliseconds, 99)),
    row('lookups and orders asked', (r) => r.interactive.asked),
    row('answers, order repeats included', (r) => r.interactive.answered),
    row('answered wrongly', (r) => r.interactive.wrongText),
    row('orders', (r) => r.interactive.orders),
    row('order repeats with another answer', (r) => r.interactive.differentRepeats),
    row('orders that ran twice', (r) => r.interactive.ordersRunTwice),
    row('"not run" that was false', (r) => r.interactive.falseNotRun),
    row('lookup p50, ms', (r) => percentile(r.interactive.latencies, 50)),
    row('lookup p99, ms', (r) => percentile(r.interactive.latencies, 99)),
    row('refusals to the trainer', (r) => kinds(r.trainer.refusals)),
    row('refusals to callers', (r) => kinds(r.interactive.refusals)),
  ];
}

function kinds(counts: ReadonlyMap<string, number>): string {
  const parts = [...counts].map(([kind, count]) => `${kind} ${count}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}

function percentile(values: readonly number[], rank: number): number {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.round(value));
  return histogram.getValueAtPercentile(rank);
}
