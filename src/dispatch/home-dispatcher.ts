/**
 * The home node's side of dispatches: admits work to the workers it is home of, runs it on their
 * engines and reports the outcome until the origin has acknowledged it. A dispatch id is run at
 * most once in one life of a home, whatever is repeated, late or out of order.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { NodeId, NodeIdentity } from '../core/identity.js';
import { sameIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { MINUTE } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { EngineEvent, WorkerRecord } from '../platform/worker.js';
import { DispatchMemory, type HomeDispatch } from './dispatch-memory.js';
import { outcomeOf, withdrawnOutcome } from './dispatch-outcomes.js';
import type { HomeDispatcherOptions } from './home-dispatcher-options.js';
import type { DispatchMessage, DispatchOutcome } from './messages.js';
import { PartialAnswer } from './partial-answer.js';
import { SegmentIntake } from './segment-intake.js';

const DEFAULT_REPEAT_INTERVAL: Milliseconds = 400;
/** How long an outcome is repeated to an origin that does not acknowledge it. */
const REPEAT_LIMIT: Milliseconds = MINUTE;

/** Home side of all dispatches of one node. */
export class HomeDispatcher {
  private readonly dispatches = new DispatchMemory();
  /** Dispatches whose outcome is not acknowledged yet. */
  private readonly unacknowledged = new Set<HomeDispatch>();
  private readonly intake: SegmentIntake;
  private readonly repeatInterval: Milliseconds;

  constructor(private readonly options: HomeDispatcherOptions) {
    this.intake = new SegmentIntake(options);
    this.repeatInterval = options.repeatInterval ?? DEFAULT_REPEAT_INTERVAL;
  }

  /** How many dispatches are queued or run here. */
  get activeCount(): number {
    return this.dispatches.activeCount;
  }

  /** How many outcomes are kept for origins that may ask again. */
  get outcomeCount(): number {
    return this.dispatches.outcomeCount;
  }

  /** How many outcomes their origins have not acknowledged. */
  get unacknowledgedCount(): number {
    return this.unacknowledged.size;
  }

  /** Takes in an origin's message. */
  receive(from: NodeIdentity, message: DispatchMessage, now: Milliseconds): void {
    switch (message.kind) {
      case 'dispatch':
        this.receiveDispatch(from, message, now);
        return;
      case 'dispatch-query':
        this.receiveQuery(from, message.dispatchId, now);
        return;
      case 'dispatch-cancel':
        this.receiveCancel(from, message.dispatchId, now);
        return;
      case 'dispatch-acknowledged':
        this.receiveAcknowledgement(message.dispatchId);
        return;
      default:
        return;
    }
  }

  /** Takes in an event of an engine. */
  engineEvent(dispatchId: string, event: EngineEvent, now: Milliseconds): void {
    const dispatch = this.dispatches.get(dispatchId);
    if (dispatch === undefined || dispatch.state !== 'running') return;
    if (event.kind !== 'segment') {
      this.end(dispatch, outcomeOf(event, this.intake.partialOf(dispatch)), now);
      return;
    }
    const fault = this.intake.take(dispatch, event, now);
    if (fault !== null) this.endEarly(dispatch, fault, now);
  }

  /** Repeats unacknowledged outcomes and forgets old dispatches. */
  tick(now: Milliseconds): void {
    for (const dispatch of [...this.unacknowledged]) this.repeatOutcome(dispatch, now);
    this.dispatches.sweep(now);
  }

  /** The origin's life ended: its work is cancelled, for nobody would take the outcome. */
  originGone(node: NodeId, survivor: NodeIdentity | null, now: Milliseconds): void {
    for (const dispatch of [...this.dispatches.activeDispatches(), ...this.unacknowledged]) {
      if (dispatch.origin.node !== node) continue;
      if (survivor !== null && sameIdentity(dispatch.origin, survivor)) continue;
      this.unacknowledged.delete(dispatch);
      if (dispatch.state !== 'ended') this.abort(dispatch, now);
    }
  }

  /** Ends with a failure all queued or running dispatches that a test names. */
  withdraw(
    test: (request: GenerationRequest, worker: WorkerRecord) => Failure | null,
    now: Milliseconds,
  ): number {
    let withdrawn = 0;
    for (const dispatch of this.dispatches.activeDispatches()) {
      if (dispatch.state === 'ended' || dispatch.request === null || dispatch.worker === null) {
        continue;
      }
      const reason = test(dispatch.request, dispatch.worker);
      if (reason === null) continue;
      withdrawn += 1;
      this.endEarly(dispatch, reason, now);
    }
    return withdrawn;
  }

  private receiveDispatch(
    from: NodeIdentity,
    message: Extract<DispatchMessage, { kind: 'dispatch' }>,
    now: Milliseconds,
  ): void {
    if (this.options.deduplicate !== false) {
      if (this.dispatches.isSettled(message.dispatchId)) return;
      const known = this.dispatches.get(message.dispatchId);
      if (known !== undefined) {
        this.answer(known, now);
        return;
      }
    }
    const decision = this.options.acceptable(message.worker, message.request, now);
    if ('failure' in decision) {
      this.refuse(from, message.dispatchId, decision.failure, now);
      return;
    }
    this.admit(from, message, decision.worker, now);
  }

  private admit(
    from: NodeIdentity,
    message: Extract<DispatchMessage, { kind: 'dispatch' }>,
    worker: WorkerRecord,
    now: Milliseconds,
  ): void {
    const { dispatchId, request, stream } = message;
    const admission = this.options.admission.admit(dispatchId, request, worker, now);
    if (admission.kind === 'refused') {
      this.refuse(from, dispatchId, admission.failure, now);
      return;
    }
    const dispatch: HomeDispatch = {
      dispatchId,
      origin: from,
      stream,
      request,
      worker,
      state: 'queued',
      outcome: null,
      answer: request.trafficClass === 'training' ? new PartialAnswer(now) : null,
      changedAt: now,
      lastSent: now,
    };
    this.dispatches.keep(dispatch);
    this.options.send(from, { kind: 'dispatch-accepted', dispatchId });
    if (admission.kind === 'queued') return;
    if (admission.preempt !== null) this.preempt(admission.preempt, now);
    this.start(dispatch, now);
  }

  private start(dispatch: HomeDispatch, now: Milliseconds): void {
    if (dispatch.worker === null || dispatch.request === null) return;
    const decision = this.options.acceptable(dispatch.worker.worker, dispatch.request, now);
    if ('failure' in decision) {
      this.end(dispatch, { kind: 'refused', failure: decision.failure }, now);
      return;
    }
    dispatch.state = 'running';
    dispatch.changedAt = now;
    this.options.startEngine(dispatch.dispatchId, dispatch.worker, dispatch.request);
  }

  private preempt(dispatchId: string, now: Milliseconds): void {
    const victim = this.dispatches.get(dispatchId);
    if (victim === undefined || victim.state === 'ended') return;
    this.stopRunning(victim);
    this.end(victim, { kind: 'preempted', partial: this.intake.partialOf(victim) }, now);
  }

  private receiveQuery(from: NodeIdentity, dispatchId: string, now: Milliseconds): void {
    if (this.dispatches.isSettled(dispatchId)) return;
    const known = this.dispatches.get(dispatchId);
    if (known !== undefined) {
      this.answer(known, now);
      return;
    }
    this.bar(from, dispatchId, now);
  }

  private receiveCancel(from: NodeIdentity, dispatchId: string, now: Milliseconds): void {
    if (this.dispatches.isSettled(dispatchId)) return;
    const known = this.dispatches.get(dispatchId);
    if (known === undefined) {
      this.bar(from, dispatchId, now);
      return;
    }
    this.unacknowledged.delete(known);
    if (known.state !== 'ended') this.abort(known, now);
  }

  /** A dispatch asked about or cancelled before it came must never run if it comes late. */
  private bar(from: NodeIdentity, dispatchId: string, now: Milliseconds): void {
    const unknown = failure('no_worker', 'the home node has not seen this dispatch', { ran: 'no' });
    if (this.options.barUnknown === false) {
      const outcome: DispatchOutcome = { kind: 'refused', failure: unknown };
      this.options.send(from, { kind: 'dispatch-ended', dispatchId, outcome });
      return;
    }
    this.refuse(from, dispatchId, unknown, now);
  }

  private receiveAcknowledgement(dispatchId: string): void {
    const known = this.dispatches.get(dispatchId);
    if (known?.state !== 'ended') return;
    this.unacknowledged.delete(known);
    // Messages of the home to itself come once and in order, so none is left to come.
    this.dispatches.settle(dispatchId, !this.intake.isSelf(known.origin));
  }

  private refuse(from: NodeIdentity, dispatchId: string, reason: Failure, now: Milliseconds): void {
    const outcome: DispatchOutcome = { kind: 'refused', failure: reason };
    this.dispatches.keep({
      dispatchId,
      origin: from,
      stream: false,
      request: null,
      worker: null,
      state: 'ended',
      outcome,
      answer: null,
      changedAt: now,
      lastSent: now,
    });
    this.options.send(from, { kind: 'dispatch-ended', dispatchId, outcome });
  }

  private answer(dispatch: HomeDispatch, now: Milliseconds): void {
    const { dispatchId, origin, outcome } = dispatch;
    dispatch.lastSent = now;
    if (outcome === null) this.options.send(origin, { kind: 'dispatch-accepted', dispatchId });
    else this.options.send(origin, { kind: 'dispatch-ended', dispatchId, outcome });
  }

  /** Ends a dispatch that may not go on here. */
  private endEarly(dispatch: HomeDispatch, reason: Failure, now: Milliseconds): void {
    this.stopRunning(dispatch);
    const partial = this.intake.partialOf(dispatch);
    this.end(dispatch, withdrawnOutcome(dispatch.state, reason, partial), now);
  }

  private abort(dispatch: HomeDispatch, now: Milliseconds): void {
    this.stopRunning(dispatch);
    const reason = failure('outcome_unknown', 'the origin gave the dispatch up');
    dispatch.outcome = { kind: 'failed', failure: reason, partial: null };
    this.close(dispatch, now);
  }

  private stopRunning(dispatch: HomeDispatch): void {
    if (dispatch.state !== 'running' || dispatch.worker === null) return;
    this.options.cancelEngine(dispatch.dispatchId, dispatch.worker);
  }

  private end(dispatch: HomeDispatch, outcome: DispatchOutcome, now: Milliseconds): void {
    if (dispatch.worker !== null) {
      this.options.outcomeSeen(dispatch.worker.worker, outcome, now);
    }
    dispatch.outcome = outcome;
    this.unacknowledged.add(dispatch);
    this.answer(dispatch, now);
    this.close(dispatch, now);
  }

  private close(dispatch: HomeDispatch, now: Milliseconds): void {
    dispatch.state = 'ended';
    dispatch.answer = null;
    dispatch.changedAt = now;
    this.dispatches.keep(dispatch);
    for (const startable of this.options.admission.release(dispatch.dispatchId, now)) {
      const next = this.dispatches.get(startable);
      if (next !== undefined && next.state === 'queued') this.start(next, now);
    }
  }

  private repeatOutcome(dispatch: HomeDispatch, now: Milliseconds): void {
    if (now - dispatch.changedAt > REPEAT_LIMIT) {
      this.unacknowledged.delete(dispatch);
      return;
    }
    if (now - dispatch.lastSent >= this.repeatInterval) this.answer(dispatch, now);
  }
}
