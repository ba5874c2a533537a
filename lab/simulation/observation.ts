/**
 * What an onlooker can see of a run: at the callers, at the engines, in the key-value service and
 * on the network. Oracles judge these observations and know nothing else.
 */
import type { GenerationRequest } from '../../src/core/generation.js';
import type {
  AccountName,
  Incarnation,
  NodeId,
  WorkerId,
  ZoneName,
} from '../../src/core/identity.js';
import type { Milliseconds, Revision } from '../../src/core/units.js';
import type { CallReply, NodeCall } from '../../src/node/calls.js';
import type { EngineEvent } from '../../src/platform/worker.js';

/** How a call ended that got no final reply. */
export type LostCallCause = 'connection-refused' | 'connection-lost' | 'caller-timeout';

/** One thing seen; `at` is simulated time. */
export type Observation = { readonly at: Milliseconds } & ObservationBody;

/** What was seen. */
export type ObservationBody =
  | {
      readonly kind: 'call';
      readonly callId: string;
      readonly node: NodeId;
      readonly zone: ZoneName;
      readonly account: AccountName;
      readonly call: NodeCall;
    }
  | {
      /** The node gave the reply away; the caller may never get it. */
      readonly kind: 'reply-sent';
      readonly callId: string;
      readonly node: NodeId;
      readonly reply: CallReply;
    }
  | { readonly kind: 'reply-received'; readonly callId: string; readonly reply: CallReply }
  | { readonly kind: 'call-lost'; readonly callId: string; readonly cause: LostCallCause }
  | {
      readonly kind: 'engine-accepted';
      readonly worker: WorkerId;
      readonly zone: ZoneName;
      readonly node: NodeId;
      readonly dispatchId: string;
      readonly request: GenerationRequest;
      /** Whether the node that sent the request was still running. */
      readonly senderAlive: boolean;
    }
  | {
      readonly kind: 'engine-event';
      readonly worker: WorkerId;
      readonly dispatchId: string;
      readonly event: EngineEvent;
    }
  | { readonly kind: 'engine-crashed'; readonly worker: WorkerId }
  | {
      /** The first or a later sign that a worker is on its way out, or that it stays. */
      readonly kind: 'worker-leaving';
      readonly worker: WorkerId;
      readonly sign: 'report' | 'machine-list';
      readonly leaving: boolean;
    }
  | {
      readonly kind: 'key-value-changed';
      readonly key: string;
      readonly value: string | null;
      readonly revision: Revision;
    }
  | {
      readonly kind: 'node-started';
      readonly node: NodeId;
      readonly zone: ZoneName;
      readonly incarnation: Incarnation;
    }
  | { readonly kind: 'node-ended'; readonly node: NodeId; readonly planned: boolean }
  | {
      /** A life of a node logged that it votes in an epoch of a replica group. */
      readonly kind: 'replica-active';
      readonly node: NodeId;
      readonly incarnation: Incarnation;
      readonly domain: string;
      readonly shard: number;
      readonly epoch: number;
    }
  | { readonly kind: 'node-stop-asked'; readonly node: NodeId }
  | { readonly kind: 'node-frozen'; readonly node: NodeId }
  | { readonly kind: 'node-woken'; readonly node: NodeId }
  | {
      /** The revision that a running node acts on. */
      readonly kind: 'revision-seen';
      readonly node: NodeId;
      readonly revision: Revision;
    }
  | {
      /** A message on its way between nodes; seen only where a run asks for it. */
      readonly kind: 'message';
      readonly from: NodeId;
      readonly to: NodeId;
      readonly toZone: ZoneName;
      readonly content: unknown;
    }
  | { readonly kind: 'fault'; readonly name: string }
  | { readonly kind: 'healed' };

/** Takes observations as they are made. */
export type Observer = (observation: Observation) => void;
