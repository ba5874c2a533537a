/**
 * The interface of a node to its decision modules (dispatch, rollouts, requests). The node turns each
 * call into an effect without I/O, and runs callbacks only while it handles a later event.
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

/** Receives the outcome of a ledger operation. */
export type LedgerCallback = (outcome: LedgerOutcome<LedgerRecord>) => void;

/** Address of a register: domain of the intent, key that selects the shard, and key of the register. */
export interface RegisterAddress {
  readonly domain: string;
  readonly shardKey: string;
  readonly key: string;
}

/** The replicated ledger; callbacks receive the outcomes. */
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
  /** Queries of the ledger that have no effects. */
  readonly view: Pick<Ledger<LedgerRecord>, 'localEntries' | 'groupFor' | 'isActiveMember'>;
  /** Removes the register with a key; for a key that ends with `/`, all registers with that prefix. */
  removeRegisters(domain: string, shardKey: string, key: string): void;
  /** Removes the bodies of a shard key with these digests, or all of them for `null`. */
  removeBodies(domain: string, shardKey: string, digests: readonly string[] | null): void;
}

/** State and actions of a node for its decision modules. */
export interface NodePorts {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  readonly mechanisms: MechanismSwitches;
  readonly ledger: LedgerPort;
  /** Time of the current event. */
  now(): Milliseconds;
  configuration(): Configuration;
  /** Time since the cached configuration was last known to be complete; infinite where it never was. */
  freshnessAge(): Milliseconds;
  /** Whether the configuration is fresh enough to know the newest weight version. */
  isFresh(): boolean;
  /** Whether a peer has confirmed this incarnation since its start or its last process pause. */
  isConfirmed(): boolean;
  /** Whether the membership module considers the incarnation live. */
  isAlive(identity: NodeIdentity): boolean;
  isStopping(): boolean;
  /** Runs a callback at the first tick after a delay. */
  schedule(delay: Milliseconds, callback: () => void): void;
  send(to: NodeIdentity, message: PeerMessage): void;
  reply(callId: string, reply: CallReply): void;
  /** Records a decision for the operators' explain command, without data of callers. */
  recordDecision(subject: string, decision: string, reason: string): void;
  stateChange(module: string, change: string, details: ChangeDetails): void;
}
