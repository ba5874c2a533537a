/**
 * The answer to one caller. It is given once, and never left open: whatever can't be sent is replaced
 * by a failure, or the connection is closed.
 */
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { AnswerSink } from './answer-sink.js';
import type { EngineAnswer } from './engine-port.js';
import type { ExchangeReport } from './exchange-report.js';
import type { KnownWorker } from './worker-registry.js';

/**
 * - `none`: nothing was sent.
 * - `begun`: the head of a stream was sent.
 * - `ended`: the caller has a complete answer, or its connection was closed.
 */
type AnswerState = 'none' | 'begun' | 'ended';

/** The head of a worker's answer. */
type AnswerHead = Pick<EngineAnswer, 'status' | 'headers'>;

export interface CallerAnswerOptions {
  readonly sink: AnswerSink;
  readonly report: ExchangeReport;
  readonly log: Pick<DecisionLog, 'fault'>;
  /** Aborted when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
  /** Attempts at workers so far. */
  readonly attempts: () => number;
}

export class CallerAnswer {
  private state: AnswerState = 'none';
  private stream: { readonly worker: KnownWorker; readonly status: number } | undefined;

  constructor(private readonly options: CallerAnswerOptions) {}

  /** Whether the caller still waits for the beginning of an answer. */
  get isAwaited(): boolean {
    return this.state === 'none' && !this.options.disconnectSignal.aborted;
  }

  /** Sends a complete answer of a worker. */
  sendComplete(worker: KnownWorker, { status, headers }: AnswerHead, body: Buffer): void {
    if (!this.isAwaited) return;
    const { sink, report, attempts } = this.options;
    if (!this.attempt(() => sink.sendComplete(status, headers, body))) return;
    this.state = 'ended';
    report.noteAnswered('request-answered', worker, status, attempts());
  }

  /** Sends the head of a stream; returns whether the stream may follow. */
  begin(worker: KnownWorker, { status, headers }: AnswerHead): boolean {
    if (!this.isAwaited) return false;
    if (!this.attempt(() => this.options.sink.begin(status, headers))) return false;
    this.state = 'begun';
    this.stream = { worker, status };
    return true;
  }

  /** Completes a stream. */
  end(): void {
    if (this.state !== 'begun') return;
    this.state = 'ended';
    this.options.sink.end();
    this.noteStream('stream-answered');
  }

  /** Closes the connection of a stream, so that the caller sees it as incomplete. */
  breakOff(): void {
    if (this.state !== 'begun') return;
    this.state = 'ended';
    this.options.sink.abort();
    this.noteStream('stream-broken-off');
  }

  /** Answers with a failure of this node; closes the connection if a stream has begun. */
  fail(reason: Failure): void {
    if (this.state === 'begun') this.breakOff();
    if (!this.isAwaited) return;
    this.state = 'ended';
    const { sink, report, log, attempts } = this.options;
    try {
      sink.fail(reason);
    } catch (error) {
      log.fault('answer-failed', error);
      sink.abort();
    }
    report.noteFailed(reason, attempts());
  }

  /** Sends a worker's answer; one that can't be sent is replaced by a failure. */
  private attempt(send: () => void): boolean {
    try {
      send();
      return true;
    } catch (error) {
      this.options.log.fault('answer-failed', error);
      this.fail(failure('engine_failed', "the worker's answer can't be sent on"));
      return false;
    }
  }

  private noteStream(outcome: 'stream-answered' | 'stream-broken-off'): void {
    if (this.stream === undefined) return;
    const { worker, status } = this.stream;
    this.options.report.noteAnswered(outcome, worker, status, this.options.attempts());
  }
}
