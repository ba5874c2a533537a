/**
 * Counts the messages of a hollow fleet and their size on the wire: the devalue text of sender,
 * receiver's life and message. Sizes are sampled a kind, as encoding all of them would be slow.
 */
import { parse, stringify } from 'devalue';
import type { NodeId, NodeRecord } from '../../src/core/identity.js';
import type { Milliseconds } from '../../src/core/units.js';

/** One message in this many is encoded and decoded. */
const SAMPLE_EVERY = 20;

interface KindTotals {
  messages: number;
  sampled: number;
  sampledBytes: number;
}

/** Traffic since the last reset. */
export interface TrafficTotals {
  readonly messages: number;
  readonly bytes: number;
  /** Bytes of the node that sent most. */
  readonly largestNodeBytes: number;
  /** Estimated time to encode each message once and to decode it once. */
  readonly codecMilliseconds: Milliseconds;
  readonly kinds: Readonly<
    Record<string, { readonly messages: number; readonly meanBytes: number }>
  >;
}

/** Counts traffic. */
export class TrafficMeter {
  private kinds = new Map<string, KindTotals>();
  private nodes = new Map<NodeId, Map<string, number>>();
  private sampleTime = 0;
  private sampleCount = 0;
  /** Processor time spent on sampling, to be left out of what the fleet used. */
  samplingMilliseconds: Milliseconds = 0;

  reset(): void {
    this.kinds = new Map();
    this.nodes = new Map();
    this.sampleTime = 0;
    this.sampleCount = 0;
    this.samplingMilliseconds = 0;
  }

  count(from: NodeRecord, message: { readonly kind: string }): void {
    const totals = this.kinds.get(message.kind) ?? { messages: 0, sampled: 0, sampledBytes: 0 };
    this.kinds.set(message.kind, totals);
    if (totals.messages % SAMPLE_EVERY === 0) this.sample(from, message, totals);
    totals.messages += 1;
    const sent = this.nodes.get(from.node) ?? new Map<string, number>();
    this.nodes.set(from.node, sent);
    sent.set(message.kind, (sent.get(message.kind) ?? 0) + 1);
  }

  totals(): TrafficTotals {
    let messages = 0;
    let bytes = 0;
    const kinds: Record<string, { messages: number; meanBytes: number }> = {};
    for (const [kind, totals] of this.kinds) {
      messages += totals.messages;
      bytes += totals.messages * this.meanBytes(kind);
      kinds[kind] = { messages: totals.messages, meanBytes: Math.round(this.meanBytes(kind)) };
    }
    const codecMilliseconds = (this.sampleTime / Math.max(1, this.sampleCount)) * messages;
    const largestNodeBytes = this.largestNodeBytes();
    return { messages, bytes, largestNodeBytes, codecMilliseconds, kinds };
  }

  private largestNodeBytes(): number {
    let largest = 0;
    for (const sent of this.nodes.values()) {
      let bytes = 0;
      for (const [kind, count] of sent) bytes += count * this.meanBytes(kind);
      largest = Math.max(largest, bytes);
    }
    return largest;
  }

  private meanBytes(kind: string): number {
    const totals = this.kinds.get(kind);
    return totals === undefined || totals.sampled === 0 ? 0 : totals.sampledBytes / totals.sampled;
  }

  private sample(from: NodeRecord, message: object, totals: KindTotals): void {
    const started = performance.now();
    const to = { node: from.node, incarnation: from.incarnation };
    const text = stringify({ from, to, message });
    parse(text);
    const took = performance.now() - started;
    this.samplingMilliseconds += took;
    this.sampleTime += took;
    this.sampleCount += 1;
    totals.sampled += 1;
    totals.sampledBytes += Buffer.byteLength(text);
  }
}
