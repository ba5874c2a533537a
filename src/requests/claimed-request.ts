/**
 * One request that may run at most once. Its key is claimed on a majority of replicas before the
 * only dispatch; the outcome is written to the same register, so that a repeat of the key gets the
 * first outcome. Where the outcome cannot be known the answer says so, and the key stays claimed.
 */
import type { Permission } from '../access/permission.js';
import type { GenerationResult } from '../core/generation.js';
import { sameIdentity } from '../core/identity.js';
import type { LedgerCallback, NodePorts, RegisterAddress } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import type { GenerationOutcome, GenerationRunner } from '../dispatch/generation-runner.js';
import {
  type ExecutionState,
  executionStateOf,
  type Failure,
  failure,
} from '../errors/error-kinds.js';
import type { LedgerChange } from '../ledger/ledger.js';
import { type LedgerRecord, type RequestRecord, requestKey } from '../rollouts/records.js';
import { decodeResult, encodeResult } from '../rollouts/step-bodies.js';
import { type GenerateCall, generationOf, requestDigest } from './interactive-request.js';

/** Time given to one ledger operation. */
const LEDGER_TIMEOUT: Milliseconds = 3 * SECOND;
/** Time between looks at a key that another attempt holds. */
const POLL_INTERVAL: Milliseconds = 200;
/** Workers tried in all; each but the last has refused before any engine saw the work. */
const MAX_ATTEMPTS = 3;
/** How often the release of an unused claim is tried. */
const RELEASE_ATTEMPTS = 5;

/** How a claimed request ends for its caller. */
export type ClaimedOutcome =
  | { readonly kind: 'finished'; readonly result: GenerationResult }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** One call with an idempotency key that may run at most once. */
export class ClaimedRequest {
  private readonly attempt: string;
  private readonly address: RegisterAddress;
  private readonly digest: string;
  private dispatched = false;
  private holdsKey = false;
  private over = false;

  constructor(
    private readonly node: NodePorts,
    private readonly runner: GenerationRunner,
    private readonly call: GenerateCall,
    private readonly permission: Permission,
    idempotencyKey: string,
    private readonly ended: (outcome: ClaimedOutcome) => void,
  ) {
    const key = requestKey(call.account, idempotencyKey);
    this.attempt = node.random.identifier();
    this.address = { domain: permission.intent.name, shardKey: key, key };
    this.digest = requestDigest(call);
  }

  /** Claims the key, or finds out what became of it. */
  start(): void {
    if (!this.node.mechanisms['claim-before-dispatch']) {
      this.dispatch();
      return;
    }
    const deadline = Math.min(this.call.deadline, this.node.now() + LEDGER_TIMEOUT);
    const claim = (current: LedgerRecord | null) => this.claim(current);
    this.node.ledger.change(this.address, claim, deadline, (outcome) => {
      if (outcome.kind !== 'changed') {
        const detail = 'the key could not be read; this call dispatched nothing';
        const reason = failure('ledger_unavailable', detail, { ran: this.ranSoFar() });
        this.end({ kind: 'failed', failure: reason });
        this.release();
        return;
      }
      if (this.over) this.release();
      else if (outcome.value?.kind === 'request') this.claimed(outcome.value);
    });
  }

  /** A claim that was never used, or that may have taken effect unseen, is given back. */
  private release(attempts = RELEASE_ATTEMPTS): void {
    if (this.dispatched || attempts === 0) return;
    this.recordState({ kind: 'not-run' }, (outcome) => {
      if (outcome.kind !== 'changed') this.release(attempts - 1);
    });
  }

  /** The deadline passed: the caller is answered, and what runs goes on to be recorded. */
  expire(): void {
    if (this.over) return;
    const reason = failure('deadline_exceeded', 'the deadline passed', { ran: this.ranSoFar() });
    this.answer({ kind: 'failed', failure: reason });
  }

  /**
   * Whether the work behind the key ran, for a failure of this call: an earlier call with the same
   * key may have run it, as long as this one does not hold the key.
   */
  private ranSoFar(): ExecutionState {
    return this.holdsKey && !this.dispatched ? 'no' : 'unknown';
  }

  /** Takes a free key; a key whose attempt did not run is free again. */
  private claim(current: LedgerRecord | null): LedgerChange<LedgerRecord> {
    if (current !== null && current.kind !== 'request') return { kind: 'keep' };
    const free = current === null || current.state.kind === 'not-run';
    if (!free || (current !== null && current.bodyDigest !== this.digest)) {
      return { kind: 'keep' };
    }
    const value: RequestRecord = {
      kind: 'request',
      bodyDigest: this.digest,
      attempt: this.attempt,
      claimedBy: { node: this.node.self.node, incarnation: this.node.self.incarnation },
      state: { kind: 'claimed' },
    };
    return { kind: 'write', value };
  }

  private claimed(record: RequestRecord): void {
    if (record.bodyDigest !== this.digest) {
      const reason = failure('key_conflict', 'the idempotency key was used with another body');
      this.end({ kind: 'failed', failure: reason });
      return;
    }
    if (record.attempt === this.attempt) {
      this.holdsKey = true;
      this.node.counters.increment('requests_claimed');
      this.dispatch();
      return;
    }
    this.follow(record);
  }

  /** Another attempt holds the key: its outcome is this call's outcome. */
  private follow(record: RequestRecord): void {
    switch (record.state.kind) {
      case 'done':
        this.fetchResult(record.state.resultDigest);
        return;
      case 'unknown':
        this.end({ kind: 'failed', failure: record.state.failure });
        return;
      case 'claimed':
        this.awaitOther(record);
        return;
      case 'not-run':
        this.start();
        return;
    }
  }

  private awaitOther(record: RequestRecord): void {
    const own = sameIdentity(record.claimedBy, this.node.self);
    if (!own && !this.node.isAlive(record.claimedBy)) {
      const detail = 'the node that ran it is gone; its outcome is not known';
      this.end({ kind: 'failed', failure: failure('outcome_unknown', detail) });
      return;
    }
    this.node.schedule(POLL_INTERVAL, () => {
      if (!this.over) this.start();
    });
  }

  private fetchResult(digest: string): void {
    const { domain, shardKey } = this.address;
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.fetchBody(domain, shardKey, digest, deadline, (outcome) => {
      if (this.over) return;
      if (outcome.kind === 'body') {
        this.end({ kind: 'finished', result: decodeResult(outcome.body).result });
        return;
      }
      const detail = 'it ran; its answer could not be fetched';
      const reason = failure('ledger_unavailable', detail, { ran: 'yes' });
      this.end({ kind: 'failed', failure: reason });
    });
  }

  private dispatch(): void {
    if (this.dispatched) return;
    this.dispatched = true;
    const request = generationOf(this.call, this.attempt, this.permission);
    const order = {
      request,
      zones: this.permission.zones,
      stream: false,
      deadline: this.call.deadline,
      maxAttempts: MAX_ATTEMPTS,
    };
    this.runner.run(order, { onEnd: (outcome) => this.generated(outcome) });
  }

  private generated(outcome: GenerationOutcome): void {
    if (outcome.kind === 'finished') {
      this.recordResult(outcome.result);
      return;
    }
    const notRun = executionStateOf(outcome.failure) === 'no';
    if (!notRun) this.node.counters.increment('requests_unknown');
    const state: RequestRecord['state'] = notRun
      ? { kind: 'not-run' }
      : { kind: 'unknown', failure: outcome.failure };
    this.recordState(state, () => this.end({ kind: 'failed', failure: outcome.failure }));
  }

  /** The answer is kept before it is given, so that a repeat finds it. */
  private recordResult(result: GenerationResult): void {
    const { domain, shardKey, key } = this.address;
    const body = encodeResult(key, result);
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.storeBody(domain, shardKey, body, deadline, (digest, outcome) => {
      const state: RequestRecord['state'] =
        outcome.kind === 'stored'
          ? { kind: 'done', resultDigest: digest }
          : { kind: 'unknown', failure: answerNotKept() };
      this.recordState(state, () => this.end({ kind: 'finished', result }));
    });
  }

  private recordState(state: RequestRecord['state'], next: LedgerCallback): void {
    const change = (current: LedgerRecord | null): LedgerChange<LedgerRecord> => {
      const own = current?.kind === 'request' && current.attempt === this.attempt;
      if (!own || current.state.kind !== 'claimed') return { kind: 'keep' };
      return { kind: 'write', value: { ...current, state } };
    };
    this.node.ledger.change(this.address, change, this.node.now() + LEDGER_TIMEOUT, next);
  }

  private end(outcome: ClaimedOutcome): void {
    if (!this.over) this.answer(outcome);
  }

  private answer(outcome: ClaimedOutcome): void {
    this.over = true;
    this.ended(outcome);
  }
}

/** What a repeat is told where the first call got an answer that could not be kept. */
function answerNotKept(): Failure {
  return failure('outcome_unknown', 'it ran; its answer could not be kept', { ran: 'yes' });
}
