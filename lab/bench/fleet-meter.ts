/**
 * Counts what the decision cores of a fleet cause, by module, and the time they take, by event.
 * It stands between a simulated node and its core.
 */
import { stringify } from 'devalue';
import type { NodeCore } from '../../src/node/node-core.js';
import type { NodeEffect, NodeEvent } from '../../src/node/node-events.js';
import type { NodeLogic } from '../simulation/ports.js';

/** One message of a kind in this many is encoded for its size. */
const SAMPLE_EVERY = 50;

interface MessageTotals {
  messages: number;
  sampled: number;
  sampledBytes: number;
}

/** Figures of one kind of message or request. */
export interface TrafficFigure {
  readonly count: number;
  /** Estimated bytes of all; 0 for requests, which are counted only. */
  readonly bytes: number;
}

/** Counts of one phase of a run. */
export class FleetMeter {
  private readonly messages = new Map<string, MessageTotals>();
  private readonly requests = new Map<string, number>();
  private readonly eventTime = new Map<string, number>();
  private readonly sentBytes = new Map<string, number>();
  private coreTime = 0;
  private samplingTime = 0;

  /** Forgets all counts. */
  reset(): void {
    this.messages.clear();
    this.requests.clear();
    this.eventTime.clear();
    this.sentBytes.clear();
    this.coreTime = 0;
    this.samplingTime = 0;
  }

  /** A node's logic with this meter before it. */
  measured(core: NodeCore): NodeLogic {
    return {
      handle: (event, now) => this.handle(core, event, now),
      configuration: () => core.configuration(),
    };
  }

  /** Messages by module and kind. */
  traffic(): ReadonlyMap<string, TrafficFigure> {
    const figures = [...this.messages].map(([kind, totals]): [string, TrafficFigure] => {
      const mean = totals.sampledBytes / Math.max(1, totals.sampled);
      return [kind, { count: totals.messages, bytes: totals.messages * mean }];
    });
    return new Map(figures);
  }

  /** Requests to the platform by kind. */
  requestCounts(): ReadonlyMap<string, number> {
    return this.requests;
  }

  /** Milliseconds spent in cores, by kind of event. */
  timeByEvent(): ReadonlyMap<string, number> {
    return this.eventTime;
  }

  /** Estimated bytes that the node that sent most has sent. */
  largestSender(): number {
    let largest = 0;
    for (const bytes of this.sentBytes.values()) largest = Math.max(largest, bytes);
    return largest;
  }

  /** Milliseconds spent on sampling, to be left out of what the fleet used. */
  get samplingMilliseconds(): number {
    return this.samplingTime;
  }

  /** Milliseconds spent in cores. */
  get coreMilliseconds(): number {
    return this.coreTime;
  }

  private handle(core: NodeCore, event: NodeEvent, now: number): readonly NodeEffect[] {
    const started = performance.now();
    const effects = core.handle(event, now);
    const ended = performance.now();
    const took = ended - started;
    const kind = event.kind === 'peer-message' ? `peer ${event.message.module}` : event.kind;
    this.coreTime += took;
    this.eventTime.set(kind, (this.eventTime.get(kind) ?? 0) + took);
    for (const effect of effects) this.count(core, effect);
    this.samplingTime += performance.now() - ended;
    return effects;
  }

  private count(core: NodeCore, effect: NodeEffect): void {
    switch (effect.kind) {
      case 'send':
        this.countMessage(core, effect);
        return;
      case 'key-value': {
        const module = effect.requestId.split(':')[0] ?? '';
        this.countRequest(`key-value ${module} ${effect.operation.kind}`);
        return;
      }
      case 'watch-start':
      case 'worker-poll':
      case 'worker-order':
      case 'machine-list-poll':
      case 'engine-start':
        this.countRequest(effect.kind);
        return;
      default:
        return;
    }
  }

  private countRequest(kind: string): void {
    this.requests.set(kind, (this.requests.get(kind) ?? 0) + 1);
  }

  private countMessage(core: NodeCore, effect: Extract<NodeEffect, { kind: 'send' }>): void {
    const kind = `${effect.message.module} ${messageKind(effect.message.body)}`;
    const totals = this.messages.get(kind) ?? { messages: 0, sampled: 0, sampledBytes: 0 };
    this.messages.set(kind, totals);
    if (totals.messages % SAMPLE_EVERY === 0) {
      const text = stringify({ from: core.self, to: effect.to, message: effect.message });
      totals.sampled += 1;
      totals.sampledBytes += Buffer.byteLength(text);
    }
    totals.messages += 1;
    const { node } = core.self;
    const mean = totals.sampledBytes / totals.sampled;
    this.sentBytes.set(node, (this.sentBytes.get(node) ?? 0) + mean);
  }
}

function messageKind(body: object): string {
  const { kind, content } = body as { readonly kind?: string; readonly content?: object };
  if (typeof kind === 'string') return kind;
  return (content as { readonly kind?: string } | undefined)?.kind ?? 'message';
}
