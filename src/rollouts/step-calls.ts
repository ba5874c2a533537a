/**
 * A trainer's calls about its steps: submit, read by cursor, acknowledge, close. Any node in a
 * zone of the trainer's intent answers them, from the replicated ledger.
 */
import type { PermissionAnswer } from '../access/permission.js';
import type { AccountName, IntentName, ModelName } from '../core/identity.js';
import type { LedgerCallback, NodePorts, RegisterAddress } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { NodeCall, ReplyBody } from '../node/calls.js';
import { acknowledge, locate, pageOf } from './delivery-log.js';
import { closeDeliveryLog } from './log-closing.js';
import { pageKey, type StepRecord, stepKey } from './records.js';
import { encodeSamples } from './step-bodies.js';
import { StepReader } from './step-reader.js';

/** A trainer's call. */
export type StepCall = Extract<
  NodeCall,
  { kind: 'step-submit' | 'step-read' | 'step-acknowledge' | 'step-close' }
>;

/** What the calls need beyond the general ports. */
export interface StepCallOptions {
  /** Whether an intent lets this trainer draw from this model here and now. */
  readonly permissionToSubmit: (account: AccountName, model: ModelName) => PermissionAnswer;
  /** Intents of a trainer whose samples may be read at this node now. */
  readonly readableIntents: (account: AccountName) => readonly IntentName[];
}

/** Time given to the ledger for one call. */
const LEDGER_TIMEOUT: Milliseconds = 5 * SECOND;

/** Answers trainers' calls on one node. */
export class StepCalls {
  private readonly readers = new Map<string, StepReader>();

  constructor(
    private readonly node: NodePorts,
    private readonly options: StepCallOptions,
  ) {}

  /** Takes in a call; its reply comes through the node's ports. */
  call(callId: string, call: StepCall): void {
    switch (call.kind) {
      case 'step-submit':
        this.submit(callId, call);
        return;
      case 'step-read':
        this.read(callId, call);
        return;
      case 'step-acknowledge':
        this.acknowledge(callId, call);
        return;
      case 'step-close':
        this.close(callId, call);
        return;
    }
  }

  /** The caller went away. */
  abandon(callId: string): void {
    this.readers.get(callId)?.abandon();
    this.readers.delete(callId);
  }

  /** Goes on with reads that wait. */
  tick(): void {
    for (const [callId, reader] of this.readers) {
      reader.tick();
      if (reader.isOver) this.readers.delete(callId);
    }
  }

  private submit(callId: string, call: Extract<StepCall, { kind: 'step-submit' }>): void {
    const answer = this.options.permissionToSubmit(call.account, call.model);
    if (answer.kind === 'refused') {
      this.fail(callId, answer.failure);
      return;
    }
    const intent = answer.permission.intent.name;
    const key = stepKey(call.account, call.stepId);
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    const body = encodeSamples(call.samples);
    this.node.ledger.storeBody(intent, key, body, deadline, (digest, outcome) => {
      if (outcome.kind === 'stored') this.record(callId, call, intent, digest, deadline);
      else this.fail(callId, storeFailure(outcome.kind));
    });
  }

  private record(
    callId: string,
    call: Extract<StepCall, { kind: 'step-submit' }>,
    intent: IntentName,
    samplesDigest: string,
    deadline: Milliseconds,
  ): void {
    const wanted: StepRecord = {
      kind: 'step',
      stepId: call.stepId,
      account: call.account,
      intent,
      model: call.model,
      samplesDigest,
      sampleCount: call.samples.length,
      timeout: call.timeout,
      acknowledged: 0,
      state: 'open',
    };
    let existedBefore = false;
    const address = this.stepAddress(intent, stepKey(call.account, call.stepId));
    this.node.ledger.change(
      address,
      (current) => {
        existedBefore = current !== null;
        return current === null ? { kind: 'write', value: wanted } : { kind: 'keep' };
      },
      deadline,
      (outcome) => {
        if (outcome.kind !== 'changed') {
          this.fail(callId, unavailable());
          return;
        }
        const value = outcome.value;
        if (value?.kind !== 'step' || !isSameSubmission(value, wanted)) {
          this.fail(callId, failure('key_conflict', 'the step was submitted with other samples'));
          return;
        }
        if (!existedBefore) this.node.counters.increment('steps_submitted');
        this.node.recordDecision(address.key, 'submitted', `${value.sampleCount} samples`);
        const { stepId, sampleCount } = value;
        this.done(callId, { kind: 'step-accepted', stepId, sampleCount, repeated: existedBefore });
      },
    );
  }

  private read(callId: string, call: Extract<StepCall, { kind: 'step-read' }>): void {
    this.findStep(callId, call.account, call.stepId, (record, intent) => {
      const reader = new StepReader(this.node, {
        callId,
        intent,
        stepKey: stepKey(call.account, call.stepId),
        record,
        cursor: call.cursor,
        limit: call.limit,
        deadline: call.deadline,
      });
      this.readers.set(callId, reader);
      reader.start();
    });
  }

  private acknowledge(callId: string, call: Extract<StepCall, { kind: 'step-acknowledge' }>): void {
    this.findStep(callId, call.account, call.stepId, (record, intent) => {
      const monotonic = this.node.mechanisms['cursor-monotonic'];
      if (monotonic && call.cursor < record.acknowledged) {
        const detail = `the step is acknowledged up to ${record.acknowledged}`;
        this.fail(callId, failure('cursor_conflict', detail));
        return;
      }
      this.checkDelivered(callId, call, intent, () => this.raiseCursor(callId, call, intent));
    });
  }

  /** A cursor beyond what was delivered cannot be acknowledged. */
  private checkDelivered(
    callId: string,
    call: Extract<StepCall, { kind: 'step-acknowledge' }>,
    intent: IntentName,
    next: () => void,
  ): void {
    if (call.cursor === 0) {
      next();
      return;
    }
    const key = stepKey(call.account, call.stepId);
    const { page, offset } = locate(call.cursor - 1);
    const address = { domain: intent, shardKey: key, key: pageKey(key, page) };
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.read(address, deadline, (outcome) => {
      if (outcome.kind !== 'changed') this.fail(callId, unavailable());
      else if (pageOf(outcome.value, page).entries.length > offset) next();
      else this.fail(callId, failure('cursor_conflict', 'the cursor is beyond what was delivered'));
    });
  }

  private raiseCursor(
    callId: string,
    call: Extract<StepCall, { kind: 'step-acknowledge' }>,
    intent: IntentName,
  ): void {
    const address = this.stepAddress(intent, stepKey(call.account, call.stepId));
    const change = acknowledge(call.cursor, this.node.mechanisms['cursor-monotonic']);
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.change(address, change, deadline, (outcome) => {
      if (outcome.kind !== 'changed' || outcome.value?.kind !== 'step') {
        this.fail(callId, unavailable());
        return;
      }
      const { stepId, acknowledged } = outcome.value;
      this.done(callId, { kind: 'step-acknowledged', stepId, cursor: acknowledged });
    });
  }

  private close(callId: string, call: Extract<StepCall, { kind: 'step-close' }>): void {
    this.findStep(callId, call.account, call.stepId, (_record, intent) => {
      const key = stepKey(call.account, call.stepId);
      closeDeliveryLog(this.node, intent, key, (closed) => {
        if (closed) this.done(callId, { kind: 'step-closed', stepId: call.stepId });
        else this.fail(callId, unavailable());
      });
    });
  }

  /** Looks a step up under each intent of its trainer that names this zone. */
  private findStep(
    callId: string,
    account: AccountName,
    stepId: string,
    found: (record: StepRecord, intent: IntentName) => void,
  ): void {
    const intents = this.options.readableIntents(account);
    if (intents.length === 0) {
      this.fail(callId, this.unreadable());
      return;
    }
    this.findUnder(callId, stepKey(account, stepId), intents, found);
  }

  /** Why nothing may be read here: for now, or because no intent allows it. */
  private unreadable(): Failure {
    if (this.node.isFresh()) {
      return failure('zone_not_allowed', 'no intent lets the trainer read here');
    }
    return failure('cut_off', 'the configuration is not fresh; no intent is known to allow it');
  }

  private findUnder(
    callId: string,
    key: string,
    intents: readonly IntentName[],
    found: (record: StepRecord, intent: IntentName) => void,
  ): void {
    const [intent, ...others] = intents;
    if (intent === undefined) {
      this.fail(callId, failure('not_found', 'there is no such step of this trainer'));
      return;
    }
    const look: LedgerCallback = (outcome) => {
      if (outcome.kind !== 'changed') this.fail(callId, unavailable());
      else if (outcome.value?.kind === 'step') found(outcome.value, intent);
      else this.findUnder(callId, key, others, found);
    };
    const deadline = this.node.now() + LEDGER_TIMEOUT;
    this.node.ledger.read(this.stepAddress(intent, key), deadline, look);
  }

  private stepAddress(intent: IntentName, key: string): RegisterAddress {
    return { domain: intent, shardKey: key, key };
  }

  private done(callId: string, body: ReplyBody): void {
    this.node.reply(callId, { kind: 'done', body });
  }

  private fail(callId: string, value: Failure): void {
    this.node.reply(callId, { kind: 'failed', failure: value });
  }
}

function isSameSubmission(left: StepRecord, right: StepRecord): boolean {
  return left.samplesDigest === right.samplesDigest && left.model === right.model;
}

function unavailable(): Failure {
  return failure('ledger_unavailable', 'no majority of the replicas answered in time', {
    ran: 'unknown',
  });
}

function storeFailure(kind: string): Failure {
  if (kind === 'full') return failure('ledger_full', 'the replicas have no room for the step');
  return failure('ledger_unavailable', 'the samples could not be kept on a majority');
}
