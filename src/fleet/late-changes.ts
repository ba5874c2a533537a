/** Logs changes that arrive at a node whose data is older than is usual on its path. */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

/** Minimum time between two lines about a prefix. */
const LINE_INTERVAL: Milliseconds = 10_000;

/** Changes that have just arrived. */
export interface ArrivedChanges {
  readonly prefix: string;
  /** The node that sent them, or the store. */
  readonly by: NodeId;
  /** Age of this node's data before: the changes are at most as old. */
  readonly age: Milliseconds;
  /** Age of the sender's data, with the time that its answer took. */
  readonly sourceAge: Milliseconds;
  /** The age of this node's data above which the changes count as late. */
  readonly maxAge: Milliseconds;
}

export interface LateChangesOptions {
  readonly clock: Clock;
  readonly log: Pick<DecisionLog, 'state'>;
}

export class LateChanges {
  private readonly loggedAt = new Map<string, Milliseconds>();

  constructor(private readonly options: LateChangesOptions) {}

  /** Logs the arrival of changes if this node's data was too old. */
  note({ prefix, by, age, sourceAge, maxAge }: ArrivedChanges): void {
    const now = this.options.clock.now();
    const loggedAt = this.loggedAt.get(prefix) ?? Number.NEGATIVE_INFINITY;
    if (age <= maxAge || !Number.isFinite(age) || now - loggedAt < LINE_INTERVAL) return;
    this.loggedAt.set(prefix, now);
    this.options.log.state('late-changes', {
      ...{ prefix, by },
      ageMs: Math.round(age),
      sourceAgeMs: Math.round(sourceAge),
      maxAgeMs: Math.round(maxAge),
    });
  }
}
