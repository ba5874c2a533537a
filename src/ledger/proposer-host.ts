/** What a proposer works on, and what it needs from the ledger. */
import type { GroupRecord } from '../config-feed/configuration.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerEnvironment } from './environment.js';
import type { LedgerMessage } from './messages.js';
import type { PreparedRegisters } from './prepared-registers.js';

/** Whatever waits for the answers to a request. */
export interface AnswerReceiver {
  receive(from: string, message: LedgerMessage, now: Milliseconds): void;
}

/** A register and the shard it is in. */
export interface RegisterAddress {
  readonly domain: string;
  readonly shard: number;
  readonly shardKey: string;
  readonly key: string;
}

/** What a proposer needs from the ledger. */
export interface ProposerHost<Value> {
  readonly environment: LedgerEnvironment<Value>;
  readonly prepared: PreparedRegisters<Value>;
  group(domain: string, shard: number): GroupRecord | undefined;
  /** Counter this node's own replica promised for the register; 0 for none. */
  promisedCounter(address: RegisterAddress): number;
  /** Answers to the request go to this receiver from now on. */
  route(request: number, receiver: AnswerReceiver): void;
  unroute(request: number): void;
}
