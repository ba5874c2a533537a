/** Writes a bench's outcome as a page with SVG plots, reproducible from its seeds. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import * as echarts from 'echarts';
import type { DeploymentName } from './deployment-settings.js';
import type { RunFigures } from './measures.js';
import type { VariantOutcome } from './targets.js';

const PLOT_SIZE = { width: 900, height: 560 };

const PLOTS: readonly { readonly file: string; readonly figures: readonly (keyof RunFigures)[] }[] =
  [
    { file: 'idle-share', figures: ['idle_share'] },
    { file: 'staleness', figures: ['staleness_mean_seconds', 'staleness_p99_seconds'] },
    { file: 'step-time', figures: ['step_p50_seconds', 'step_p99_seconds'] },
  ];

/** Draws one bar chart, a bar a variant and figure; returns SVG. */
function drawPlot(
  title: string,
  outcomes: readonly VariantOutcome[],
  figures: readonly (keyof RunFigures)[],
): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, ...PLOT_SIZE });
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { bottom: 0 },
    grid: { left: 330, right: 40, top: 40, bottom: 50 },
    xAxis: { type: 'value' },
    yAxis: { type: 'category', inverse: true, data: outcomes.map(({ variant }) => variant.name) },
    series: figures.map((figure) => ({
      name: figure,
      type: 'bar',
      label: { show: true, position: 'right' },
      data: outcomes.map(({ median }) => median[figure]),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function tableOf(outcomes: readonly VariantOutcome[]): string[] {
  const names = Object.keys(outcomes[0]?.median ?? {}) as (keyof RunFigures)[];
  const rows = outcomes.map(
    ({ variant, median }) =>
      `| ${variant.name} | ${names.map((name) => String(median[name])).join(' | ')} |`,
  );
  return [`| variant | ${names.join(' | ')} |`, `| --- |${' --- |'.repeat(names.length)}`, ...rows];
}

/** Writes `NAME.md` and its plots below a folder. */
export function writeReport(
  folder: string,
  deployment: DeploymentName,
  seeds: readonly number[],
  outcomes: readonly VariantOutcome[],
  summary: object,
): void {
  mkdirSync(folder, { recursive: true });
  const images = PLOTS.map(({ file, figures }) => {
    const name = `${deployment}-${file}.svg`;
    const title = `${deployment}: ${file}, medians of ${seeds.length} seeds`;
    writeFileSync(path.join(folder, name), drawPlot(title, outcomes, figures));
    return `![${title}](${name})`;
  });
  const lines = [
    `# Results: ${deployment}`,
    '',
    `Made by \`npm run --silent bench -- ${deployment} --report\`, seeds ${seeds.join(', ')}.`,
    'Medians over the seeds, simulated time. What the variants do and what the figures mean is in',
    '[the design page](../design/experiments.md).',
    '',
    ...images.flatMap((image) => [image, '']),
    ...tableOf(outcomes),
    '',
    '```json',
    JSON.stringify(summary, null, 2),
    '```',
    '',
  ];
  writeFileSync(path.join(folder, `${deployment}.md`), lines.join('\n'));
}
