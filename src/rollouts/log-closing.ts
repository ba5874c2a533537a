/** Closes a step's delivery log on behalf of its trainer, from any node. */
import type { IntentName } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import { type Milliseconds, SECOND } from '../core/units.js';
import { closeLog, isSealed, pageOf } from './delivery-log.js';
import { findOpenPage } from './delivery-log-reader.js';
import { type ClosingMark, pageKey } from './records.js';

/** Time given to one change of a page. */
const LEDGER_TIMEOUT: Milliseconds = 5 * SECOND;

/** What a log closed by its trainer says. */
const CLOSED_BY_TRAINER: ClosingMark = {
  kind: 'step_closed',
  detail: 'the trainer closed the step',
};

/**
 * Puts the closing mark on the page that is written next.
 *
 * @param done is told whether the log is closed, or was whole or closed before.
 */
export function closeDeliveryLog(
  node: NodePorts,
  intent: IntentName,
  step: string,
  done: (closed: boolean) => void,
): void {
  findOpenPage(node, intent, step, (page) => {
    if (page === null) done(false);
    else closeAt(node, intent, step, page, done);
  });
}

/** Closes at a page, or at a later one where that page has become full meanwhile. */
function closeAt(
  node: NodePorts,
  intent: IntentName,
  step: string,
  page: number,
  done: (closed: boolean) => void,
): void {
  const address = { domain: intent, shardKey: step, key: pageKey(step, page) };
  const change = closeLog(page, CLOSED_BY_TRAINER);
  node.ledger.change(address, change, node.now() + LEDGER_TIMEOUT, (outcome) => {
    if (outcome.kind !== 'changed') {
      done(false);
      return;
    }
    const value = pageOf(outcome.value, page);
    if (isSealed(value) && value.closed === null) closeAt(node, intent, step, page + 1, done);
    else done(true);
  });
}
