/** Judges what one trainer received: each sample once, whole, unchanged and fresh enough. */
import { expectedText } from '../emulator/generated-text.js';
import type { ClientEvent, SampleEvent } from './client-events.js';
import type { TrainerReport } from './trainer-report.js';
import { VersionRecord } from './version-record.js';

/** What the samples must keep to. */
export interface TrainerOracleOptions {
  /** How many versions behind a token may be. */
  readonly stalenessBound: number;
  /** Time a published version may take to be known everywhere, in milliseconds. */
  readonly versionGrace: number;
}

interface StepState {
  readonly asked: ReadonlyMap<string, { readonly prompt: string; readonly seed: number }>;
  /** Position and text of each sample received, by key. */
  readonly received: Map<string, string>;
}

/** Oracle of one trainer. */
export class TrainerOracle {
  private readonly versions = new VersionRecord();
  private readonly steps = new Map<string, StepState>();

  constructor(
    private readonly options: TrainerOracleOptions,
    readonly report: TrainerReport,
  ) {}

  /** Takes in an event; those of callers and engines are not its business. */
  take(event: ClientEvent): void {
    switch (event.kind) {
      case 'published':
        this.versions.published(event.version, event.at);
        return;
      case 'step-accepted':
        this.report.asked += event.samples.length;
        this.steps.set(event.stepId, {
          asked: new Map(event.samples.map((sample) => [sample.key, sample])),
          received: new Map(),
        });
        return;
      case 'sample':
        this.judge(event);
        return;
      case 'sample-again':
        this.judgeAgain(event);
        return;
      case 'step-over':
        this.judgeStep(event.stepId, event.state);
        return;
      case 'answer':
      case 'accepted':
        return;
    }
  }

  private judge(sample: SampleEvent): void {
    const step = this.steps.get(sample.stepId);
    if (step === undefined) throw new RangeError(`step ${sample.stepId} was never accepted`);
    const asked = step.asked.get(sample.key);
    if (step.received.has(sample.key)) this.report.twice += 1;
    step.received.set(sample.key, contentOf(sample));
    this.report.delivered += 1;
    const expected = asked && expectedText(asked.prompt, asked.seed, sample.versions);
    if (expected !== sample.text) this.report.wrongText += 1;
    this.judgeVersions(sample);
  }

  private judgeAgain(sample: SampleEvent): void {
    const first = this.steps.get(sample.stepId)?.received.get(sample.key);
    if (first !== contentOf(sample)) this.report.changed += 1;
  }

  private judgeStep(stepId: string, state: 'complete' | 'closed'): void {
    const step = this.steps.get(stepId);
    if (step === undefined) throw new RangeError(`step ${stepId} was never accepted`);
    this.report.steps += 1;
    if (state === 'closed') this.report.closedSteps += 1;
    else this.report.lost += step.asked.size - step.received.size;
  }

  private judgeVersions(sample: SampleEvent): void {
    const { stalenessBound, versionGrace } = this.options;
    const { at, versions } = sample;
    const oldest = Math.min(...versions.map((range) => range.version));
    for (const range of versions) this.report.versions.add(range.version);
    if (versions.length > 1) this.report.spanning += 1;
    this.report.stalenessVersions.push(Math.max(0, this.versions.newestAt(at) - oldest));
    this.report.stalenessMilliseconds.push(this.versions.ageAt(oldest, at));
    const known = this.versions.newestAt(at - versionGrace);
    if (oldest < known - stalenessBound) this.report.tooOld += 1;
  }
}

function contentOf(sample: SampleEvent): string {
  return `${sample.position} ${sample.text}`;
}
