/**
 * What all simulated clients share: calling some node that runs, and trying again elsewhere.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { type Failure, retryAfterOf } from '../../src/errors/error-kinds.js';
import type { CallReply, ReplyBody } from '../../src/node/calls.js';
import type { CallBuilder } from './calls.js';
import type { SimulatedNode } from './simulated-node.js';
import type { Simulation } from './simulation.js';

/** How long a client waits for a node before it asks another. */
export const PATIENCE: Milliseconds = 3_000;

/** Pause before the next try where no answer names one. */
const PAUSE: Milliseconds = 300;

/** How one try ended. */
export type Attempt =
  | { readonly kind: 'done'; readonly body: ReplyBody }
  | { readonly kind: 'failed'; readonly failure: Failure }
  | { readonly kind: 'lost' };

/** Asks once at a node; `onEnd` gets the outcome. */
export function attempt(
  simulation: Simulation,
  node: SimulatedNode,
  build: CallBuilder,
  patience: Milliseconds,
  onEnd: (outcome: Attempt) => void,
): void {
  simulation.calls.call(node, build, patience, {
    onReply: (reply: CallReply) => {
      if (reply.kind === 'done') onEnd({ kind: 'done', body: reply.body });
      if (reply.kind === 'failed') onEnd({ kind: 'failed', failure: reply.failure });
    },
    onLost: () => onEnd({ kind: 'lost' }),
  });
}

/** Some node of the deployment, mostly one that is not known to be down. */
export function anyNode(simulation: Simulation): SimulatedNode {
  const running = [...simulation.nodes.values()].filter((node) => node.state !== 'down');
  const choices = running.length > 0 ? running : [...simulation.nodes.values()];
  const choice = choices[simulation.random.integer(choices.length)];
  if (choice === undefined) throw new RangeError('the plan has no nodes');
  return choice;
}

/** How long a client waits after an attempt that did not succeed. */
export function pauseAfter(outcome: Attempt): Milliseconds {
  if (outcome.kind !== 'failed') return PAUSE;
  return retryAfterOf(outcome.failure) ?? PAUSE;
}
