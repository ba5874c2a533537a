/**
 * What a composite decision module (dispatch, rollouts, requests) may ask of the node it is part
 * of. The node turns each call into an effect; nothing here does I/O. Callbacks are run while a
 * later event is handled, never inside the call that takes them.
 */
import type { Configuration } from '../config-feed/configuration.js';
import type { Ledger, LedgerChange, LedgerOutcome } from '../ledger/ledger.js';
import type { CallReply } from '../node/calls.js';
import type { MechanismSwitches } from '../node/mechanisms.js';
import type { PeerMessage } from '../node/peer-message.js';
import type { LedgerRecord } from '../rollouts/records.js';
import type { CounterSink } from './counter-names.js';
import type { NodeIdentity, NodeRecord } from './identity.js';
import type { RandomSource } from './random.js';
import type { ChangeDetails } from './state-change.js';
import type { Milliseconds } from './units.js';

/** Takes the outcome of a ledger operation. */
export type LedgerCallback = (outcome: LedgerOutcome<LedgerRecord>) => void;

/** Which register is meant: the intent's domain, the key that picks the shard, and its own key. */
export interface RegisterAddress {
  readonly domain: string;
  readonly shardKey: string;
  readonly key: string;
}

/** The replicated ledger, with outcomes by callback. */
export interface LedgerPort {
  change(
    address: RegisterAddress,
    apply: (current: LedgerRecord | null) => LedgerChange<LedgerRecord>,
    deadline: Milliseconds,
    done: LedgerCallback,
  ): void;
  read(address: RegisterAddress, deadline: Milliseconds, done: LedgerCallback): void;
  storeBody(
    domain: string,
    shardKey: string,
    body: string,
    deadline: Milliseconds,
    done: (digest: string, outcome: LedgerOutcome<LedgerRecord>) => void,
  ): void;
  fetchBody(
    domain: string,
    shardKey: string,
    digest: string,
    deadline: Milliseconds,
    done: LedgerCallback,
  ): void;
  /** The ledger itself, for queries that have no effects. */
  readonly view: Pick<Ledger<LedgerRecord>, 'localEntries' | 'groupFor' | 'isActiveMember'>;
  /** Forgets the register with a key or, where the key ends with `/`, all below it. */
  removeRegisters(domain: string, shardKey: string, key: string): void;
  /** Forgets bodies of a shard key: those with these digests, or all of them for `null`. */
  removeBodies(domain: string, shardKey: string, digests: readonly string[] | null): void;
}

/** The node as its composite modules see it. */
export interface NodePorts {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  readonly mechanisms: MechanismSwitches;
  readonly ledger: LedgerPort;
  /** Time of the event that is being handled. */
  now(): Milliseconds;
  configuration(): Configuration;
  /** Age of the configuration; infinite where it was never fresh. */
  freshnessAge(): Milliseconds;
  /** Whether the configuration is fresh enough to tell the newest weight version. */
  isFresh(): boolean;
  /** Whether this node has not been declared dead while it was frozen. */
  isConfirmed(): boolean;
  /** Whether the life is thought to be in service. */
  isAlive(identity: NodeIdentity): boolean;
  isStopping(): boolean;
  /** Runs a callback at the first tick after a delay. */
  later(delay: Milliseconds, callback: () => void): void;
  send(to: NodeIdentity, message: PeerMessage): void;
  reply(callId: string, reply: CallReply): void;
  /** Keeps a decision so that it can be explained; never with a caller's data. */
  explain(subject: string, decision: string, reason: string): void;
  stateChange(module: string, change: string, details: ChangeDetails): void;
}
