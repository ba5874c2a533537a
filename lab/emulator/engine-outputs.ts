/**
 * What an emulated engine has said and nobody has taken yet.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { EngineEvent, WorkerOrderResult } from '../../src/platform/worker.js';

/** Something an engine says. */
export type EngineOutput =
  | { readonly kind: 'stream'; readonly dispatchId: string; readonly event: EngineEvent }
  | { readonly kind: 'order'; readonly orderId: string; readonly result: WorkerOrderResult };

/** Outputs in the order they came about. */
export class EngineOutputs {
  private outputs: EngineOutput[] = [];
  private since: Milliseconds = 0;

  /** When the oldest output came about; `undefined` of none. */
  get oldestAt(): Milliseconds | undefined {
    return this.outputs.length > 0 ? this.since : undefined;
  }

  stream(dispatchId: string, event: EngineEvent, at: Milliseconds): void {
    this.push({ kind: 'stream', dispatchId, event }, at);
  }

  order(orderId: string, result: WorkerOrderResult, at: Milliseconds): void {
    this.push({ kind: 'order', orderId, result }, at);
  }

  /** Drops everything said of one generation. */
  dropStream(dispatchId: string): void {
    if (this.outputs.length === 0) return;
    this.outputs = this.outputs.filter(
      (output) => output.kind !== 'stream' || output.dispatchId !== dispatchId,
    );
  }

  take(): readonly EngineOutput[] {
    const taken = this.outputs;
    if (taken.length > 0) this.outputs = [];
    return taken;
  }

  private push(output: EngineOutput, at: Milliseconds): void {
    if (this.outputs.length === 0) this.since = at;
    this.outputs.push(output);
  }
}
