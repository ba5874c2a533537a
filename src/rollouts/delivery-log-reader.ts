/** Reads several pages of a step's delivery log at once, and finds the page that is written next. */
import type { IntentName } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import { type Milliseconds, SECOND } from '../core/units.js';
import { isSealed, pageOf } from './delivery-log.js';
import { type DeliveryPage, pageKey } from './records.js';

/** Pages read at once. */
const READ_WINDOW = 32;
/** Time given to one read. */
const LEDGER_TIMEOUT: Milliseconds = 2 * SECOND;

/**
 * Reads a run of pages from one on, up to and including the first that is not full.
 *
 * @param done is given the pages in order, all sealed but perhaps the last; `null` where one could
 *   not be read.
 */
export function readPages(
  node: NodePorts,
  intent: IntentName,
  step: string,
  from: number,
  done: (pages: readonly DeliveryPage[] | null) => void,
): void {
  const numbers = Array.from({ length: READ_WINDOW }, (_unused, index) => from + index);
  const pages = new Map<number, DeliveryPage | null>();
  for (const page of numbers) {
    readPage(node, intent, step, page, (value) => {
      pages.set(page, value);
      if (pages.size === numbers.length) done(inOrder(numbers, pages));
    });
  }
}

/**
 * Finds the first page that is not full: doubles the step until it is past the end, then reads the
 * last run of pages.
 *
 * @param done is given the page's number; `null` where a page could not be read.
 */
export function findOpenPage(
  node: NodePorts,
  intent: IntentName,
  step: string,
  done: (page: number | null) => void,
  from = 0,
  stride = READ_WINDOW,
): void {
  readPage(node, intent, step, from + stride, (page) => {
    if (page === null) done(null);
    else if (isSealed(page)) findOpenPage(node, intent, step, done, from + stride, stride * 2);
    else walkToOpenPage(node, intent, step, from, done);
  });
}

function walkToOpenPage(
  node: NodePorts,
  intent: IntentName,
  step: string,
  from: number,
  done: (page: number | null) => void,
): void {
  readPages(node, intent, step, from, (pages) => {
    const last = pages?.at(-1);
    if (pages === null || last === undefined) done(null);
    else if (last.closed !== null || !isSealed(last)) done(last.page);
    else walkToOpenPage(node, intent, step, last.page + 1, done);
  });
}

function readPage(
  node: NodePorts,
  intent: IntentName,
  step: string,
  page: number,
  done: (page: DeliveryPage | null) => void,
): void {
  const address = { domain: intent, shardKey: step, key: pageKey(step, page) };
  node.ledger.read(address, node.now() + LEDGER_TIMEOUT, (outcome) => {
    done(outcome.kind === 'changed' ? pageOf(outcome.value, page) : null);
  });
}

function inOrder(
  numbers: readonly number[],
  pages: ReadonlyMap<number, DeliveryPage | null>,
): readonly DeliveryPage[] | null {
  const run: DeliveryPage[] = [];
  for (const number of numbers) {
    const page = pages.get(number);
    if (page === null || page === undefined) return null;
    run.push(page);
    if (!isSealed(page) || page.closed !== null) break;
  }
  return run;
}
