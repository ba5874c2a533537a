/**
 * Takes the epoch of one (zone, model) controller from the key-value service: reads the record,
 * then writes epoch + 1 with its own identity by compare-and-swap. A lost answer is settled by
 * reading back, never by writing again blind.
 */
import type { ModelName, NodeIdentity, ZoneName } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import { type Milliseconds, type Revision, SECOND } from '../core/units.js';
import type { KeyValueEntry, KeyValueOperation, KeyValueResult } from '../platform/key-value.js';
import { type BackoffOptions, backoffDelay } from '../routing/backoff.js';

/** Prefix of the records of controllers; read on demand, not part of the feed. */
const CONTROLLERS_PREFIX = '/wardwing/controllers/';

/** Time after which an unanswered request counts as failed and may have applied. */
const REQUEST_TIMEOUT: Milliseconds = 5 * SECOND;

/** Pause after another holder took the epoch, so that two nodes do not take it in turns. */
const STAND_DOWN_DELAY: BackoffOptions = { base: 4 * SECOND, maximum: 30 * SECOND };

/** Shortest such pause. */
const STAND_DOWN_MINIMUM: Milliseconds = 2 * SECOND;

/** Pause after a failed request. */
const FAILURE_DELAY: BackoffOptions = { base: 500, maximum: 10 * SECOND };

/** Shortest such pause. */
const FAILURE_MINIMUM: Milliseconds = 200;

/** Record of a controller in the key-value service, as JSON. */
export interface ControllerRecord extends NodeIdentity {
  readonly epoch: number;
  /** Unique per write attempt, to recognise one's own write after a lost answer. */
  readonly claimId: string;
}

/** A request for the key-value service. */
export interface ClaimRequest {
  readonly requestId: string;
  readonly operation: KeyValueOperation;
}

type ClaimState =
  | { readonly kind: 'waiting'; readonly until: Milliseconds }
  | { readonly kind: 'reading'; readonly requestId: string; readonly deadline: Milliseconds }
  | {
      readonly kind: 'writing';
      readonly requestId: string;
      readonly deadline: Milliseconds;
      readonly record: ControllerRecord;
    }
  | { readonly kind: 'held'; readonly epoch: number };

/** Key-value key of a controller's record. */
export function controllerKey(zone: ZoneName, model: ModelName): string {
  return `${CONTROLLERS_PREFIX}${zone}/${model}`;
}

/** The claim of one controller on its epoch. */
export class EpochClaim {
  private state: ClaimState = { kind: 'waiting', until: 0 };
  private failures = 0;
  /** How often this claim gave way to a higher epoch; each makes the next pause longer. */
  private standDowns = 0;
  /** The write whose answer was lost, until a read tells whether it applied. */
  private unsettled: ControllerRecord | undefined;
  private highestSeen = 0;

  constructor(
    private readonly key: string,
    private readonly self: NodeIdentity,
    private readonly random: RandomSource,
  ) {}

  /** The epoch held; `undefined` while there is none. */
  get epoch(): number | undefined {
    return this.state.kind === 'held' ? this.state.epoch : undefined;
  }

  /** Starts what is due; returns the next request, if any. */
  tick(now: Milliseconds): ClaimRequest | undefined {
    const state = this.state;
    if (state.kind === 'held') return undefined;
    if (state.kind === 'waiting') return now >= state.until ? this.read(now) : undefined;
    if (now >= state.deadline) this.failed(REQUEST_TIMEOUT, true, now);
    return undefined;
  }

  /** Takes in an answer; answers to earlier requests are ignored. */
  result(requestId: string, result: KeyValueResult, now: Milliseconds): ClaimRequest | undefined {
    const state = this.state;
    if (state.kind !== 'reading' && state.kind !== 'writing') return undefined;
    if (state.requestId !== requestId) return undefined;
    if (result.kind === 'failed') {
      this.failed(result.retryAfter, result.mayHaveApplied, now);
      return undefined;
    }
    this.failures = 0;
    if (state.kind === 'reading') {
      return result.kind === 'range' ? this.hasRead(result.entries[0], now) : undefined;
    }
    if (result.kind !== 'transaction') return undefined;
    if (result.succeeded) {
      this.hold(state.record.epoch);
      return undefined;
    }
    return this.read(now);
  }

  /** An engine has seen a higher epoch: another controller took over. */
  standDown(seenEpoch: number, now: Milliseconds): void {
    this.highestSeen = Math.max(this.highestSeen, seenEpoch);
    const delay = backoffDelay(this.standDowns, this.random, STAND_DOWN_DELAY, STAND_DOWN_MINIMUM);
    this.standDowns += 1;
    this.state = { kind: 'waiting', until: now + delay };
  }

  private read(now: Milliseconds): ClaimRequest {
    const requestId = this.random.identifier();
    this.state = { kind: 'reading', requestId, deadline: now + REQUEST_TIMEOUT };
    return { requestId, operation: { kind: 'range', key: this.key, prefix: false } };
  }

  private hasRead(entry: KeyValueEntry | undefined, now: Milliseconds): ClaimRequest | undefined {
    const record = entry === undefined ? undefined : parseRecord(entry.value);
    const unsettled = this.unsettled;
    this.unsettled = undefined;
    if (unsettled !== undefined && record?.claimId === unsettled.claimId) {
      this.hold(unsettled.epoch);
      return undefined;
    }
    return this.write(entry?.modRevision ?? 0, record?.epoch ?? 0, now);
  }

  private write(modRevision: Revision, seenEpoch: number, now: Milliseconds): ClaimRequest {
    this.highestSeen = Math.max(this.highestSeen, seenEpoch);
    const record: ControllerRecord = {
      epoch: this.highestSeen + 1,
      node: this.self.node,
      incarnation: this.self.incarnation,
      claimId: this.random.identifier(),
    };
    const requestId = this.random.identifier();
    this.state = { kind: 'writing', requestId, deadline: now + REQUEST_TIMEOUT, record };
    return {
      requestId,
      operation: {
        kind: 'transaction',
        compares: [{ key: this.key, modRevision }],
        writes: [{ kind: 'put', key: this.key, value: JSON.stringify(record) }],
      },
    };
  }

  private hold(epoch: number): void {
    this.highestSeen = epoch;
    this.state = { kind: 'held', epoch };
  }

  private failed(retryAfter: Milliseconds, mayHaveApplied: boolean, now: Milliseconds): void {
    if (this.state.kind === 'writing' && mayHaveApplied) this.unsettled = this.state.record;
    const minimum = Math.max(retryAfter, FAILURE_MINIMUM);
    const delay = backoffDelay(this.failures, this.random, FAILURE_DELAY, minimum);
    this.failures += 1;
    this.state = { kind: 'waiting', until: now + delay };
  }
}

function parseRecord(value: string): ControllerRecord | undefined {
  try {
    const record = JSON.parse(value) as ControllerRecord;
    return Number.isSafeInteger(record.epoch) ? record : undefined;
  } catch {
    return undefined;
  }
}
