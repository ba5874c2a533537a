/**
 * The workers that give scores in the world of the proof. Each answer has a signature of its own;
 * answers may fail, break off, or be preceded by the answer to an earlier request.
 */
import { Readable } from 'node:stream';
import type { EngineAnswer, EngineOutcome, EnginePort } from '../../../src/serving/engine-port.js';
import type { JobOracle } from './job-oracle.js';

/** What becomes of the next request for a score. */
export type ScoreTrouble =
  | 'attempt-failed'
  | 'refused'
  | 'broken'
  /** The answer to the request before comes in its place. */
  | 'surplus';

const REFUSED: EngineOutcome = { kind: 'not-run', reason: 'full', load: undefined };
const BROKEN: EngineOutcome = { kind: 'failed', mayHaveRun: true, cause: 'broken' };
const WRONG_ANSWER: EngineOutcome = { kind: 'failed', mayHaveRun: true, cause: 'wrong-answer' };

/** Answers score requests; nothing else is asked of it. */
export class ScoreDesk implements EnginePort {
  private readonly troubles: ScoreTrouble[] = [];
  private answers = 0;
  private lastSignature: string | undefined;

  /** With `matchesAnswers` false, a surplus answer is taken for the one that is due. */
  constructor(
    private readonly oracle: JobOracle,
    private readonly matchesAnswers: boolean,
  ) {}

  /** Something happens to the next request. */
  trouble(kind: ScoreTrouble): void {
    this.troubles.push(kind);
  }

  async send({ requestId }: { readonly requestId: string }): Promise<EngineOutcome> {
    this.oracle.scoreAsked(requestId);
    const trouble = this.troubles.shift();
    if (trouble === 'refused') return REFUSED;
    if (trouble === 'broken') return BROKEN;
    const before = this.lastSignature;
    if (trouble === 'surplus' && before !== undefined) {
      return this.matchesAnswers ? WRONG_ANSWER : answered(200, before);
    }
    this.answers += 1;
    const signature = `signature-${this.answers}`;
    if (trouble === 'attempt-failed') return answered(500, signature);
    this.lastSignature = signature;
    this.oracle.scoreGiven(requestId, signature);
    return answered(200, signature);
  }

  async probeLiveness(): Promise<'lives'> {
    return 'lives';
  }

  async probeColdTime(): Promise<undefined> {
    return undefined;
  }

  async order(): Promise<'refused'> {
    return 'refused';
  }

  async report(): Promise<undefined> {
    return undefined;
  }

  forget(): void {}
}

function answered(status: number, signature: string): EngineAnswer {
  return {
    kind: 'answered',
    status,
    headers: [],
    body: Readable.from([]),
    isStream: false,
    weightVersion: undefined,
    signature,
    load: undefined,
    discard: () => {},
  };
}
