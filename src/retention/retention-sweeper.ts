/**
 * Removes from the ledger what nobody relies on any more: results of steps that ended a while ago,
 * then their records, and requests whose idempotency window is over. Every member of a replica
 * group counts the time from when it first saw a record in its state; the first live member acts.
 */
import { rendezvousOrder } from '../core/hashing.js';
import { identityKey, sameIdentity } from '../core/identity.js';
import type { NodePorts } from '../core/node-ports.js';
import { MINUTE, type Milliseconds, SECOND } from '../core/units.js';
import { expireStep } from '../rollouts/delivery-log.js';
import {
  type LedgerRecord,
  pagePrefix,
  REQUEST_PREFIX,
  STEP_PREFIX,
  type StepRecord,
} from '../rollouts/records.js';

/** How long records are kept. */
export interface RetentionTimes {
  /** A step whose samples were all acknowledged. @default 1 min */
  readonly acknowledgedStep: Milliseconds;
  /** An ended step whose samples were not all acknowledged. @default 30 min */
  readonly endedStep: Milliseconds;
  /** The record of an expired step, which keeps its id from being used anew. @default 60 min */
  readonly stepRecord: Milliseconds;
  /**
   * A request that may run at most once: a repeat within it gets the first outcome.
   * @default 60 min
   */
  readonly request: Milliseconds;
}

/** Defaults of {@link RetentionTimes}. */
export const DEFAULT_RETENTION: RetentionTimes = {
  acknowledgedStep: MINUTE,
  endedStep: 30 * MINUTE,
  stepRecord: 60 * MINUTE,
  request: 60 * MINUTE,
};

/** How often the registers are looked through. */
const SWEEP_INTERVAL: Milliseconds = 5 * SECOND;
/** Time given to one ledger operation. */
const LEDGER_TIMEOUT: Milliseconds = 3 * SECOND;

/** How long a record has been in one state, as this node saw it. */
interface SeenRecord {
  /** The state that the time is counted in. */
  readonly phase: string;
  readonly since: Milliseconds;
}

/** Removes old records on one node. */
export class RetentionSweeper {
  private readonly seen = new Map<string, SeenRecord>();
  private nextSweep: Milliseconds = 0;

  constructor(
    private readonly node: NodePorts,
    private readonly times: RetentionTimes = DEFAULT_RETENTION,
  ) {}

  /** Looks through the registers when it is time. */
  tick(): void {
    const now = this.node.now();
    if (now < this.nextSweep) return;
    this.nextSweep = now + SWEEP_INTERVAL;
    const present = new Set<string>();
    for (const prefix of [STEP_PREFIX, REQUEST_PREFIX]) {
      for (const { domain, shardKey, key, value } of this.node.ledger.view.localEntries(prefix)) {
        present.add(key);
        this.consider(domain, shardKey, key, value, now);
      }
    }
    for (const key of this.seen.keys()) {
      if (!present.has(key)) this.seen.delete(key);
    }
  }

  private consider(
    domain: string,
    shardKey: string,
    key: string,
    value: LedgerRecord,
    now: Milliseconds,
  ): void {
    const phase = phaseOf(value);
    const known = this.seen.get(key);
    if (known?.phase !== phase) {
      this.seen.set(key, { phase, since: now });
      return;
    }
    const limit = this.limitOf(value);
    if (limit === null || now - known.since < limit) return;
    if (!this.isFirstLiveMember(domain, shardKey)) return;
    if (value.kind === 'step' && value.state !== 'expired') this.expire(domain, key);
    else this.remove(domain, shardKey, key);
  }

  private limitOf(value: LedgerRecord): Milliseconds | null {
    if (value.kind === 'request') return this.times.request;
    if (value.kind !== 'step' || value.state === 'open') return null;
    if (value.state === 'expired') return this.times.stepRecord;
    return isAcknowledged(value) ? this.times.acknowledgedStep : this.times.endedStep;
  }

  /** The record says `expired` on a majority before anything is removed. */
  private expire(domain: string, key: string): void {
    const address = { domain, shardKey: key, key };
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.change(address, expireStep(), deadline, (outcome) => {
      if (outcome.kind !== 'changed' || outcome.value?.kind !== 'step') return;
      if (outcome.value.state !== 'expired') return;
      this.node.recordDecision(key, 'expired', 'its time to be read is over');
      this.node.ledger.removeRegisters(domain, key, pagePrefix(key));
      this.node.ledger.removeBodies(domain, key, null);
    });
  }

  private remove(domain: string, shardKey: string, key: string): void {
    this.node.ledger.removeRegisters(domain, shardKey, key);
    this.node.ledger.removeBodies(domain, shardKey, null);
  }

  private isFirstLiveMember(domain: string, shardKey: string): boolean {
    const group = this.node.ledger.view.groupFor(domain, shardKey);
    const { self } = this.node;
    const live = (group?.members ?? []).filter(
      (member) => sameIdentity(member, self) || this.node.isAlive(member),
    );
    const first = rendezvousOrder(shardKey, live, identityKey)[0];
    return first !== undefined && sameIdentity(first, self);
  }
}

function isAcknowledged(step: StepRecord): boolean {
  return step.acknowledged >= step.sampleCount;
}

function phaseOf(value: LedgerRecord): string {
  if (value.kind === 'step') return `${value.state} ${isAcknowledged(value)}`;
  return value.kind;
}
