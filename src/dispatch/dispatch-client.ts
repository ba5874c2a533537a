/**
 * The origin's side of dispatches: sends a generation to a worker's home node, repeats itself
 * until the home answers, and reports exactly one outcome. A home that stays silent makes the
 * outcome `lost`: the work may have run.
 */
import type { GenerationRequest, TokenSegment } from '../core/generation.js';
import type { NodeId, NodeIdentity, WorkerId } from '../core/identity.js';
import { sameIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type HomeContact, HomeSilence } from './home-silence.js';
import type { DispatchMessage, DispatchOutcome } from './messages.js';

/** How a dispatch ended, as its origin knows it. */
export type OriginOutcome = DispatchOutcome | { readonly kind: 'lost' };

/** What the origin is told of one dispatch. */
export interface DispatchListener {
  /** The home has taken the dispatch in; called once at most. */
  onAccepted?(): void;
  onSegment?(segment: TokenSegment, text: string): void;
  /** Called once. */
  onEnd(outcome: OriginOutcome): void;
}

/** One dispatch to be started. */
export interface DispatchOrder {
  readonly dispatchId: string;
  readonly home: NodeIdentity;
  readonly worker: WorkerId;
  readonly request: GenerationRequest;
  readonly stream: boolean;
}

/** Settings of the client. */
export interface DispatchClientOptions {
  readonly send: (to: NodeIdentity, message: DispatchMessage) => void;
  /** Told of each dispatch whose home fell silent, was declared dead or came back. */
  readonly onLost?: () => void;
  /** Time between repetitions to a silent home. @default 400 */
  readonly repeatInterval?: Milliseconds;
  /** Silence after which the dispatch counts as lost. @default 2000 */
  readonly silenceLimit?: Milliseconds;
  /** Silence of a home that runs dispatches after which it is asked by one. @default 1000 */
  readonly queryInterval?: Milliseconds;
  /** Off only in the lab: an answer without an owner then goes to some open dispatch. */
  readonly matchIdentity?: boolean;
}

interface OpenDispatch {
  readonly order: DispatchOrder;
  readonly listener: DispatchListener;
  readonly contact: HomeContact;
  accepted: boolean;
  lastHeard: Milliseconds;
  lastSent: Milliseconds;
}

const DEFAULT_REPEAT_INTERVAL: Milliseconds = 400;
const DEFAULT_SILENCE_LIMIT: Milliseconds = 2_000;
const DEFAULT_QUERY_INTERVAL: Milliseconds = 1_000;
/** A dispatch is asked about for itself at this multiple of the interval. */
const OWN_QUERY_FACTOR = 10;

/** Origin side of all dispatches of one node. */
export class DispatchClient {
  private readonly open = new Map<string, OpenDispatch>();
  private readonly homes = new HomeSilence();
  private readonly send: DispatchClientOptions['send'];
  private readonly onLost: () => void;
  private readonly repeatInterval: Milliseconds;
  private readonly silenceLimit: Milliseconds;
  private readonly queryInterval: Milliseconds;
  private readonly matchIdentity: boolean;

  constructor(options: DispatchClientOptions) {
    this.send = options.send;
    this.onLost = options.onLost ?? (() => undefined);
    this.repeatInterval = options.repeatInterval ?? DEFAULT_REPEAT_INTERVAL;
    this.silenceLimit = options.silenceLimit ?? DEFAULT_SILENCE_LIMIT;
    this.queryInterval = options.queryInterval ?? DEFAULT_QUERY_INTERVAL;
    this.matchIdentity = options.matchIdentity ?? true;
  }

  /** How many dispatches have no outcome yet. */
  get openCount(): number {
    return this.open.size;
  }

  /** Starts a dispatch. */
  start(order: DispatchOrder, listener: DispatchListener, now: Milliseconds): void {
    this.open.set(order.dispatchId, {
      order,
      listener,
      contact: this.homes.opened(order.home, now),
      accepted: false,
      lastHeard: now,
      lastSent: now,
    });
    this.sendDispatch(order);
  }

  /** Gives a dispatch up; its listener is not called any more. */
  cancel(dispatchId: string): void {
    const dispatch = this.open.get(dispatchId);
    if (dispatch === undefined) return;
    this.forget(dispatch);
    this.send(dispatch.order.home, { kind: 'dispatch-cancel', dispatchId });
  }

  /** Takes in a home's message. */
  receive(from: NodeIdentity, message: DispatchMessage, now: Milliseconds): void {
    this.homes.heard(from, now);
    const dispatch = this.open.get(message.dispatchId) ?? this.substitute(from);
    if (message.kind === 'dispatch-ended') this.acknowledge(from, message.dispatchId);
    if (dispatch === undefined) {
      this.cancelUnwanted(from, message);
      return;
    }
    if (!sameIdentity(from, dispatch.order.home)) return;
    dispatch.lastHeard = now;
    this.noteAccepted(dispatch, message);
    if (message.kind === 'dispatch-segment') {
      dispatch.listener.onSegment?.(message.segment, message.text);
    }
    if (message.kind === 'dispatch-ended') this.end(dispatch, message.outcome);
  }

  /** An outcome that says the work ran tells that it was taken in, as its first answer was lost. */
  private noteAccepted(dispatch: OpenDispatch, message: DispatchMessage): void {
    const isRefusal = message.kind === 'dispatch-ended' && message.outcome.kind !== 'finished';
    if (!dispatch.accepted && !isRefusal) dispatch.listener.onAccepted?.();
    dispatch.accepted = true;
  }

  /** Repeats what was not answered and gives silent homes up. */
  tick(now: Milliseconds): void {
    for (const dispatch of [...this.open.values()]) this.check(dispatch, now);
  }

  /** A node was declared dead or came back as another life: its dispatches are lost. */
  homeGone(node: NodeId, survivor: NodeIdentity | null): void {
    for (const dispatch of [...this.open.values()]) {
      const { home } = dispatch.order;
      if (home.node !== node) continue;
      if (survivor !== null && sameIdentity(home, survivor)) continue;
      this.end(dispatch, { kind: 'lost' });
    }
  }

  /** Some open dispatch of a home, where answers are not matched by identifier. */
  private substitute(home: NodeIdentity): OpenDispatch | undefined {
    if (this.matchIdentity) return undefined;
    return [...this.open.values()].find((one) => sameIdentity(one.order.home, home));
  }

  private check(dispatch: OpenDispatch, now: Milliseconds): void {
    if (now - this.heardAt(dispatch) >= this.silenceLimit) {
      this.send(dispatch.order.home, {
        kind: 'dispatch-cancel',
        dispatchId: dispatch.order.dispatchId,
      });
      this.end(dispatch, { kind: 'lost' });
      return;
    }
    if (dispatch.accepted) this.query(dispatch, now);
    else if (now - dispatch.lastSent >= this.repeatInterval) this.repeat(dispatch, now);
  }

  /** A home that has taken a dispatch in lives while any message of it comes. */
  private heardAt({ contact, accepted, lastHeard }: OpenDispatch): Milliseconds {
    return accepted ? Math.max(lastHeard, contact.heardAt) : lastHeard;
  }

  private repeat(dispatch: OpenDispatch, now: Milliseconds): void {
    dispatch.lastSent = now;
    this.sendDispatch(dispatch.order);
  }

  /** Asks by one dispatch for all of a silent home, and now and then by each for itself. */
  private query(dispatch: OpenDispatch, now: Milliseconds): void {
    const quietSince = Math.max(dispatch.lastSent, dispatch.lastHeard);
    const ownInterval = this.queryInterval * OWN_QUERY_FACTOR;
    const isDue = now - quietSince >= ownInterval;
    if (!isDue && !dispatch.contact.shouldAsk(this.queryInterval, this.repeatInterval, now)) return;
    dispatch.lastSent = now;
    this.sendQuery(dispatch.order);
  }

  private end(dispatch: OpenDispatch, outcome: OriginOutcome): void {
    this.forget(dispatch);
    if (outcome.kind === 'lost') this.onLost();
    dispatch.listener.onEnd(outcome);
  }

  private forget(dispatch: OpenDispatch): void {
    this.open.delete(dispatch.order.dispatchId);
    this.homes.closed(dispatch.order.home, dispatch.contact);
  }

  private acknowledge(home: NodeIdentity, dispatchId: string): void {
    this.send(home, { kind: 'dispatch-acknowledged', dispatchId });
  }

  /** A home that works on something this node gave up is told so again. */
  private cancelUnwanted(from: NodeIdentity, message: DispatchMessage): void {
    if (message.kind !== 'dispatch-segment' && message.kind !== 'dispatch-accepted') return;
    this.send(from, { kind: 'dispatch-cancel', dispatchId: message.dispatchId });
  }

  private sendDispatch(order: DispatchOrder): void {
    const { dispatchId, worker, request, stream } = order;
    this.send(order.home, { kind: 'dispatch', dispatchId, worker, request, stream });
  }

  private sendQuery(order: DispatchOrder): void {
    this.send(order.home, { kind: 'dispatch-query', dispatchId: order.dispatchId });
  }
}
