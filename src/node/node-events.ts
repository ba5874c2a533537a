/**
 * Everything that can happen to a node and everything it can cause. `NodeCore` maps the first to
 * the second without any I/O; real processes and the simulator in `lab/` carry both.
 */
import type { GenerationRequest } from '../core/generation.js';
import type { NodeIdentity, NodeRecord, WorkerId } from '../core/identity.js';
import type { DiskBodyName, DiskRequest } from '../ledger/ledger.js';
import type {
  KeyValueOperation,
  KeyValueResult,
  KeyValueWatchEvent,
  KeyValueWatchRequest,
} from '../platform/key-value.js';
import type {
  EngineEvent,
  MachineRecord,
  WorkerOrder,
  WorkerOrderResult,
  WorkerRecord,
  WorkerReport,
} from '../platform/worker.js';
import type { CallReply, NodeCall } from './calls.js';
import type { PeerMessage } from './peer-message.js';

/** Something that happened. */
export type NodeEvent =
  | { readonly kind: 'tick' }
  | {
      readonly kind: 'peer-message';
      readonly from: NodeRecord;
      /** The life the sender meant; `null` where it knew an address only. */
      readonly to: NodeIdentity | null;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: 'key-value-result';
      readonly requestId: string;
      readonly result: KeyValueResult;
    }
  | { readonly kind: 'watch'; readonly watchId: string; readonly event: KeyValueWatchEvent }
  | { readonly kind: 'engine'; readonly dispatchId: string; readonly event: EngineEvent }
  | { readonly kind: 'worker-report'; readonly report: WorkerReport }
  | { readonly kind: 'worker-unreachable'; readonly worker: WorkerId }
  | { readonly kind: 'order-result'; readonly orderId: string; readonly result: WorkerOrderResult }
  | { readonly kind: 'machine-list'; readonly machines: readonly MachineRecord[] }
  | {
      /** Answers a `load` request; the body is `null` where it cannot be read. */
      readonly kind: 'body-loaded';
      readonly name: DiskBodyName;
      readonly body: string | null;
    }
  | { readonly kind: 'call'; readonly callId: string; readonly call: NodeCall }
  | { readonly kind: 'call-abandoned'; readonly callId: string }
  | { readonly kind: 'stop' };

/** Something to be done. */
export type NodeEffect =
  | {
      readonly kind: 'send';
      /** The life that is meant; `null` where only an address is known. */
      readonly to: NodeIdentity | null;
      readonly address: string;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: 'key-value';
      readonly requestId: string;
      readonly operation: KeyValueOperation;
    }
  | KeyValueWatchRequest
  | {
      readonly kind: 'engine-start';
      readonly dispatchId: string;
      readonly worker: WorkerRecord;
      readonly request: GenerationRequest;
    }
  | { readonly kind: 'engine-cancel'; readonly dispatchId: string; readonly worker: WorkerRecord }
  | { readonly kind: 'worker-poll'; readonly worker: WorkerRecord }
  | {
      readonly kind: 'worker-order';
      readonly orderId: string;
      readonly worker: WorkerRecord;
      readonly order: WorkerOrder;
    }
  | { readonly kind: 'machine-list-poll' }
  /** Only on nodes with a disk; requests are carried out in order. */
  | { readonly kind: 'disk'; readonly request: DiskRequest }
  | { readonly kind: 'reply'; readonly callId: string; readonly reply: CallReply }
  | {
      /** One log line; only for changes of state. */
      readonly kind: 'state-change';
      readonly module: string;
      readonly change: string;
      readonly details: Readonly<Record<string, string | number | boolean>>;
    }
  /** All work has ended after a `stop`; the process may exit. */
  | { readonly kind: 'stopped' };

/** How often `tick` must be given. */
export const TICK_INTERVAL_MILLISECONDS = 50;
