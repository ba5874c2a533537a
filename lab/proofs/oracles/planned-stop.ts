/** A planned stop of a node or a worker cuts off no request. */
import type { NodeId } from '../../../src/core/identity.js';
import type { Milliseconds } from '../../../src/core/units.js';
import { executionStateOf } from '../../../src/errors/error-kinds.js';
import type { CallReply, NodeCall } from '../../../src/node/calls.js';
import type { LostCallCause, Observation } from '../../simulation/observation.js';
import { Oracle } from '../oracle.js';

interface OpenCall {
  readonly at: Milliseconds;
  readonly node: NodeId;
  readonly call: NodeCall;
}

/**
 * A call that is open at a node that was asked to stop may not lose its connection, and no call
 * whose work an engine accepted may fail for the stop of a node or worker. A node that was asked to
 * stop must end by itself. Meant for runs whose only faults are planned
 * stops and such as must not matter to a running request.
 */
export class PlannedStopOracle extends Oracle {
  readonly #open = new Map<string, OpenCall>();
  readonly #stopping = new Set<NodeId>();
  /** When an engine last accepted each prompt. */
  readonly #acceptedAt = new Map<string, Milliseconds>();
  /** Whether anything has been asked to stop so far. */
  #anyStop = false;

  override observe(observation: Observation): void {
    switch (observation.kind) {
      case 'call':
        this.#open.set(observation.callId, observation);
        break;
      case 'engine-accepted':
        this.#acceptedAt.set(observation.request.prompt, observation.at);
        break;
      case 'node-stop-asked':
        this.#stopping.add(observation.node);
        this.#anyStop = true;
        break;
      case 'worker-leaving':
        this.#anyStop = true;
        break;
      case 'node-started':
        this.#stopping.delete(observation.node);
        break;
      case 'node-ended':
        this.#noteEnd(observation.at, observation.node, observation.planned);
        break;
      case 'reply-sent':
        this.#noteReply(observation.at, observation.callId, observation.reply);
        break;
      case 'call-lost':
        this.#noteLost(observation.at, observation.callId, observation.cause);
        break;
      default:
        break;
    }
  }

  #noteEnd(at: Milliseconds, node: NodeId, planned: boolean): void {
    if (!this.#stopping.has(node)) return;
    this.compare(planned, at, () => `${node} did not stop by itself`);
  }

  #noteReply(at: Milliseconds, callId: string, reply: CallReply): void {
    if (reply.kind === 'segment') return;
    const open = this.#take(callId);
    if (open === undefined) return;
    const cutOff =
      reply.kind === 'failed' &&
      open.call.kind === 'generate' &&
      reply.failure.kind !== 'deadline_exceeded' &&
      (this.#acceptedAt.get(open.call.prompt) ?? Number.NEGATIVE_INFINITY) >= open.at &&
      executionStateOf(reply.failure) !== 'no';
    if (!this.#anyStop) return;
    this.compare(!cutOff, at, () => {
      const cause = reply.kind === 'failed' ? `${reply.failure.kind}, ${reply.failure.detail}` : '';
      return `${callId} at ${open.node} failed for a planned stop: ${cause}`;
    });
  }

  #noteLost(at: Milliseconds, callId: string, cause: LostCallCause): void {
    const open = this.#take(callId);
    if (open === undefined || !this.#stopping.has(open.node) || cause === 'connection-refused')
      return;
    this.compare(cause !== 'connection-lost', at, () => `${callId} at ${open.node} was cut off`);
  }

  #take(callId: string): OpenCall | undefined {
    const open = this.#open.get(callId);
    this.#open.delete(callId);
    return open;
  }
}
