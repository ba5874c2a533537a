/**
 * Judges interactive answers: each is the whole answer to its own request, a repeated order gets
 * the first answer, no order runs twice, and "not run" is true by the engines' own logs.
 */
import { expectedText } from '../emulator/generated-text.js';
import type { AnswerEvent, ClientEvent } from './client-events.js';
import type { InteractiveReport } from './interactive-report.js';

const STATUS_OK = 200;

/** Oracle of the callers of one deployment. Each request has a prompt and seed of its own. */
export class InteractiveOracle {
  private readonly answers = new Map<string, AnswerEvent[]>();
  /** Times at which engines accepted a request, by its name. */
  private readonly accepted = new Map<string, number[]>();

  constructor(readonly report: InteractiveReport) {}

  /** Takes in an event; those of trainers are not its business. */
  take(event: ClientEvent): void {
    if (event.kind === 'answer') this.answer(event);
    if (event.kind !== 'accepted') return;
    this.report.accepted += 1;
    addTo(this.accepted, nameOf(event), event.at);
  }

  /** Judges what can be told only when all answers and the engines' logs are in. */
  finish(): void {
    for (const [name, answers] of this.answers) {
      const accepted = this.accepted.get(name) ?? [];
      const isOrder = answers.some((answer) => answer.order);
      if (isOrder && accepted.length > 1) this.report.ordersRunTwice += 1;
      if (saysFalselyNotRun(answers, accepted)) this.report.falseNotRun += 1;
    }
  }

  private answer(event: AnswerEvent): void {
    const earlier = this.answers.get(nameOf(event)) ?? [];
    if (event.status === STATUS_OK) this.judgeText(event);
    if (event.order) this.judgeRepeat(event, earlier);
    addTo(this.answers, nameOf(event), event);
  }

  private judgeText(event: AnswerEvent): void {
    this.report.answered += 1;
    const expected = expectedText(event.prompt, event.seed, event.versions);
    if (event.text !== expected) this.report.wrongText += 1;
  }

  private judgeRepeat(event: AnswerEvent, earlier: readonly AnswerEvent[]): void {
    const result = earlier.find((answer) => answer.status === STATUS_OK);
    if (result === undefined) return;
    const differs = event.status === STATUS_OK && event.text !== result.text;
    if (differs || event.problem === 'key_conflict') this.report.differentRepeats += 1;
  }
}

/**
 * Whether a "not run" is contradicted. It speaks of its own call: where an earlier call of the
 * same request may have run, an acceptance can be that call's.
 */
function saysFalselyNotRun(answers: readonly AnswerEvent[], accepted: readonly number[]): boolean {
  if (accepted.length === 0) return false;
  const mayHaveRun = answers.findIndex((answer) => answer.ran !== 'no');
  if (mayHaveRun === -1) return true;
  return answers.slice(0, mayHaveRun).some((answer) => accepted.some((at) => at <= answer.at));
}

function nameOf(event: { readonly prompt: string; readonly seed: number }): string {
  return `${event.seed} ${event.prompt}`;
}

function addTo<Value>(lists: Map<string, Value[]>, name: string, value: Value): void {
  const list = lists.get(name);
  if (list === undefined) lists.set(name, [value]);
  else list.push(value);
}
