/**
 * One read of a step by cursor: waits until there is something from the cursor on, the step has
 * ended, or the reader's deadline is over, and answers at once then. Reading again gives the same
 * bytes, since positions and results never change.
 */

import type { IntentName } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { DeliveredSample, StepPage } from '../node/calls.js';
import { isSealed, locate, pageOf } from './delivery-log.js';
import { readPages } from './delivery-log-reader.js';
import type { ClosingMark, DeliveryEntry, DeliveryPage, StepRecord } from './records.js';
import { pageKey } from './records.js';
import { decodeResult } from './step-bodies.js';

/** What is read. */
export interface StepReadOrder {
  readonly callId: string;
  readonly intent: IntentName;
  readonly stepKey: string;
  readonly record: StepRecord;
  readonly cursor: number;
  /** Samples returned at most. */
  readonly limit: number;
  /** When to answer even with nothing new, on the node's clock. */
  readonly deadline: Milliseconds;
}

/** Time between looks at a page that had nothing new. */
const POLL_INTERVAL: Milliseconds = 150;
/** Time given to one ledger operation. */
const LEDGER_TIMEOUT: Milliseconds = 2 * SECOND;

/** One read in progress. */
export class StepReader {
  private over = false;
  private busy = false;
  private nextLook: Milliseconds = 0;

  constructor(
    private readonly node: NodePorts,
    private readonly order: StepReadOrder,
  ) {}

  /** Whether the reply was sent or is not wanted any more. */
  get isOver(): boolean {
    return this.over;
  }

  /** Looks for the first time. */
  start(): void {
    if (this.order.record.state === 'expired') {
      this.fail(failure('not_found', 'the step ended a while ago; its samples are gone'));
      return;
    }
    this.look();
  }

  /** Looks again when it is time. */
  tick(): void {
    if (this.over || this.busy) return;
    if (this.node.now() >= this.nextLook) this.look();
  }

  /** The caller went away. */
  abandon(): void {
    this.over = true;
  }

  private look(): void {
    this.busy = true;
    const { page, offset } = locate(this.order.cursor);
    const address = this.pageAddress(page);
    this.node.ledger.read(address, this.node.now() + LEDGER_TIMEOUT, (outcome) => {
      this.busy = false;
      if (this.over) return;
      if (outcome.kind !== 'changed') {
        this.tryAgain(failure('ledger_unavailable', 'no majority answers', { ran: 'unknown' }));
        return;
      }
      this.consider(pageOf(outcome.value, page), offset);
    });
  }

  private consider(page: DeliveryPage, offset: number): void {
    const entries = page.entries.slice(offset, offset + this.order.limit);
    const mayHaveMore = isSealed(page) && page.closed === null;
    if (entries.length > 0 && entries.length < this.order.limit && mayHaveMore) {
      this.readOn(entries, page);
      return;
    }
    if (entries.length > 0) {
      this.fetch(entries, closingMarkAfter(page, offset + entries.length));
      return;
    }
    if (page.closed !== null || this.order.cursor >= this.order.record.sampleCount) {
      this.finish([], page.closed);
      return;
    }
    this.tryAgain(null);
  }

  /** Reads the pages that follow a full one, so that one call can return many samples. */
  private readOn(first: readonly DeliveryEntry[], page: DeliveryPage): void {
    const { intent, stepKey, limit } = this.order;
    this.busy = true;
    readPages(this.node, intent, stepKey, page.page + 1, (pages) => {
      this.busy = false;
      if (this.over) return;
      const all = [...first, ...(pages ?? []).flatMap((next) => next.entries)];
      const entries = all.slice(0, limit);
      const closed = entries.length === all.length ? (pages?.at(-1)?.closed ?? null) : null;
      this.fetch(entries, closed);
    });
  }

  /** Waits for the next look, or ends the read when its time is over or the node stops. */
  private tryAgain(trouble: Failure | null): void {
    const now = this.node.now();
    this.nextLook = now + POLL_INTERVAL;
    if (this.nextLook < this.order.deadline && !this.node.isStopping()) return;
    if (trouble === null) this.finish([], null);
    else this.fail(trouble);
  }

  private fetch(entries: readonly DeliveryEntry[], closed: ClosingMark | null): void {
    this.busy = true;
    const samples = new Map<number, DeliveredSample>();
    let failed = false;
    for (const [index, entry] of entries.entries()) {
      this.fetchOne(entry, this.order.cursor + index, (sample, position) => {
        if (this.over || failed) return;
        if (sample === 'forgotten') {
          this.fail(failure('cursor_conflict', `${position} is acknowledged and forgotten`));
          return;
        }
        if (sample === null) {
          failed = true;
          this.busy = false;
          this.tryAgain(failure('ledger_unavailable', 'a result could not be fetched'));
          return;
        }
        samples.set(index, sample);
        if (samples.size < entries.length) return;
        const ordered = entries.map((_entry, place) => samples.get(place) as DeliveredSample);
        this.finish(ordered, closed);
      });
    }
  }

  private fetchOne(
    entry: DeliveryEntry,
    position: number,
    done: (sample: DeliveredSample | 'forgotten' | null, position: number) => void,
  ): void {
    const { intent, stepKey } = this.order;
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.fetchBody(intent, stepKey, entry.digest, deadline, (outcome) => {
      if (outcome.kind !== 'body') {
        const isForgotten =
          outcome.kind === 'body-missing' && position < this.order.record.acknowledged;
        done(isForgotten ? 'forgotten' : null, position);
        return;
      }
      const stored = decodeResult(outcome.body);
      done({ position, key: stored.key, result: stored.result }, position);
    });
  }

  private finish(samples: readonly DeliveredSample[], closed: ClosingMark | null): void {
    const { record, cursor } = this.order;
    const nextCursor = cursor + samples.length;
    const complete = nextCursor >= record.sampleCount;
    const page: StepPage = {
      stepId: record.stepId,
      samples,
      nextCursor,
      acknowledged: record.acknowledged,
      sampleCount: record.sampleCount,
      state: stateOf(complete, closed),
      failure: complete || closed === null ? null : closingFailure(closed),
    };
    this.over = true;
    this.node.reply(this.order.callId, { kind: 'done', body: { kind: 'step-page', page } });
  }

  private fail(value: Failure): void {
    this.over = true;
    this.node.reply(this.order.callId, { kind: 'failed', failure: value });
  }

  private pageAddress(page: number): { domain: string; shardKey: string; key: string } {
    const { intent, stepKey } = this.order;
    return { domain: intent, shardKey: stepKey, key: pageKey(stepKey, page) };
  }
}

/** The closing mark, where nothing of the page is left after a place. */
function closingMarkAfter(page: DeliveryPage, place: number): ClosingMark | null {
  return place >= page.entries.length ? page.closed : null;
}

function stateOf(complete: boolean, closed: ClosingMark | null): StepPage['state'] {
  if (complete) return 'complete';
  return closed === null ? 'open' : 'closed';
}

function closingFailure(mark: ClosingMark): Failure {
  return failure(mark.kind, mark.detail);
}
