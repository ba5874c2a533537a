/**
 * Everything a generated run or a recorded trace does to a deployment: operations of clients and
 * operators, and faults. Actions are plain data; a fault heals by itself after its duration, so
 * that any part of a trace can be left out. Nodes, workers and zones are named by their position
 * in the plan, which wraps around.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** What clients and operators do. */
export type Operation =
  | {
      readonly kind: 'submit-step';
      readonly trainer: number;
      readonly samples: number;
      readonly maxTokens: number;
      readonly timeout: Milliseconds;
    }
  /** The trainer reads again from its last acknowledged cursor. */
  | { readonly kind: 'read-again'; readonly trainer: number }
  /** The trainer stops waiting for its oldest open step. */
  | { readonly kind: 'stop-waiting'; readonly trainer: number }
  | {
      readonly kind: 'ask';
      readonly caller: number;
      readonly repeatable: boolean;
      readonly keyed: boolean;
      readonly stream: boolean;
      readonly maxTokens: number;
      readonly patience: Milliseconds;
    }
  | { readonly kind: 'publish-version'; readonly model: number }
  /** Changes the zones of an intent: all, or all but one. */
  | {
      readonly kind: 'change-zones';
      readonly intent: number;
      readonly without: number | null;
      readonly cutOffServes: boolean;
    }
  /** Two operators propose from the same state and both confirm. */
  | {
      readonly kind: 'race';
      readonly intent: number;
      readonly firstReserve: number;
      readonly secondReserve: number;
    }
  | {
      readonly kind: 'drain';
      readonly target: 'node' | 'worker';
      readonly position: number;
      readonly duration: Milliseconds;
    }
  /** An operator asks a node for the state of the fleet. */
  | { readonly kind: 'ask-status'; readonly node: number };

/** What goes wrong, or is taken away on purpose. */
export type Fault =
  | { readonly kind: 'kill'; readonly node: number; readonly downtime: Milliseconds }
  | { readonly kind: 'stop'; readonly node: number; readonly downtime: Milliseconds }
  | { readonly kind: 'freeze'; readonly node: number; readonly duration: Milliseconds }
  | { readonly kind: 'clock-rate'; readonly node: number; readonly rate: number }
  | {
      readonly kind: 'cut-zones';
      readonly first: number;
      readonly second: number;
      readonly oneWay: boolean;
      readonly duration: Milliseconds;
    }
  /** Cuts a zone from all other zones and from the platform's services. */
  | { readonly kind: 'isolate-zone'; readonly zone: number; readonly duration: Milliseconds }
  | {
      readonly kind: 'disturb-network';
      readonly loss: number;
      readonly duplication: number;
      readonly jitter: Milliseconds;
      readonly duration: Milliseconds;
    }
  | { readonly kind: 'crash-engine'; readonly worker: number; readonly downtime: Milliseconds }
  | { readonly kind: 'fail-swaps'; readonly worker: number; readonly duration: Milliseconds }
  | {
      readonly kind: 'worker-leaves';
      readonly worker: number;
      readonly sign: 'report' | 'machine-list';
      readonly duration: Milliseconds;
    }
  /** A planned stop: the sign, a while for running work, then the end of the process. */
  | {
      readonly kind: 'stop-worker';
      readonly worker: number;
      readonly sign: 'report' | 'machine-list';
      readonly downtime: Milliseconds;
    }
  | { readonly kind: 'key-value-outage'; readonly duration: Milliseconds }
  | {
      readonly kind: 'key-value-slow';
      readonly slowness: Milliseconds;
      readonly duration: Milliseconds;
    }
  | {
      readonly kind: 'key-value-limit';
      readonly refusedShare: number;
      readonly duration: Milliseconds;
    }
  | {
      readonly kind: 'key-value-lost-answers';
      readonly share: number;
      readonly duration: Milliseconds;
    }
  | { readonly kind: 'watches-break'; readonly compact: boolean }
  | {
      readonly kind: 'machine-list-lag';
      readonly lag: Milliseconds;
      readonly duration: Milliseconds;
    };

/** An operation or a fault. */
export type Action = Operation | Fault;

/** One step of a run: an action some time after the step before. */
export interface Step {
  readonly after: Milliseconds;
  readonly action: Action;
}

const FAULT_KINDS: ReadonlySet<string> = new Set<Fault['kind']>([
  'kill',
  'stop',
  'freeze',
  'clock-rate',
  'cut-zones',
  'isolate-zone',
  'disturb-network',
  'crash-engine',
  'fail-swaps',
  'worker-leaves',
  'stop-worker',
  'key-value-outage',
  'key-value-slow',
  'key-value-limit',
  'key-value-lost-answers',
  'watches-break',
  'machine-list-lag',
]);

/** Whether an action is a fault. */
export function isFault(action: Action): action is Fault {
  return FAULT_KINDS.has(action.kind);
}

/** How long a fault lasts by itself; 0 for one that has no duration. */
export function durationOf(action: Action): Milliseconds {
  if ('duration' in action) return action.duration;
  return 'downtime' in action ? action.downtime : 0;
}
