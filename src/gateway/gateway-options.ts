/**
 * Options of the gateway and their defaults.
 */
import type { Result } from 'true-myth';
import type { Intent } from '../config-feed/configuration.js';
import type { AccountName } from '../core/identity.js';
import { KIBIBYTE, MEBIBYTE, MINUTE, type Milliseconds, SECOND } from '../core/units.js';
import type { Failure } from '../errors/error-kinds.js';

/** What an account may do: draw samples, ask interactively, or operate the fleet. */
export type AccountRole = 'trainer' | 'caller' | 'operator';

/** One account that may call. */
export interface GatewayAccount {
  readonly name: AccountName;
  readonly role: AccountRole;
  /** SHA-256 of the account's token, in hexadecimal. */
  readonly tokenDigest: string;
}

/** Bounds of what callers may use. */
export interface GatewayLimits {
  /**
   * Largest body of a request other than a step.
   * @default 1 MiB
   */
  readonly maxBodyBytes: number;
  /**
   * Largest body of `POST /v1/rollouts`.
   * @default 64 MiB
   */
  readonly maxRolloutBodyBytes: number;
  /**
   * Bytes of bodies that are being received, all connections together.
   * @default 128 MiB
   */
  readonly maxBodyBytesTogether: number;
  /**
   * Largest set of headers.
   * @default 16 KiB
   */
  readonly maxHeaderBytes: number;
  /**
   * Time for the headers of a request to arrive.
   * @default 10 s
   */
  readonly headerTimeout: Milliseconds;
  /**
   * Time for a body to arrive.
   * @default 30 s
   */
  readonly bodyTimeout: Milliseconds;
  /**
   * How long a refused sender may go on sending before its connection is cut.
   * @default 1 s
   */
  readonly lingerTime: Milliseconds;
  /**
   * Time for a caller to take an answer that is complete; then its connection is cut.
   * @default 30 s
   */
  readonly answerTimeout: Milliseconds;
  /**
   * Connections at once; more are closed as they come.
   * @default 4,096
   */
  readonly maxConnections: number;
  /**
   * Calls of one account under way.
   * @default 2,048
   */
  readonly maxInFlightPerAccount: number;
  /**
   * Bytes of a stream that its reader has not taken; beyond it the stream is ended.
   * @default 256 KiB
   */
  readonly maxStreamBufferBytes: number;
  /**
   * Samples of one step.
   * @default 16,384
   */
  readonly maxSamples: number;
  /**
   * Deadline of a generation whose caller names none.
   * @default 1 min
   */
  readonly defaultDeadline: Milliseconds;
  /**
   * Longest deadline a caller may name.
   * @default 10 min
   */
  readonly maxDeadline: Milliseconds;
  /**
   * Longest wait of one read of a step.
   * @default 1 min
   */
  readonly maxWait: Milliseconds;
  /**
   * How long after its deadline a call is given up when the node has not answered.
   * @default 2 s
   */
  readonly deadlineGrace: Milliseconds;
}

/** What a gateway needs to know. */
export interface GatewayOptions {
  readonly listen: { readonly host: string; readonly port: number };
  readonly accounts: readonly GatewayAccount[];
  /** Checks and types the draft of an intent. */
  readonly parseIntent: (value: unknown) => Result<Intent, Failure>;
  readonly limits?: Partial<GatewayLimits>;
}

/** Limits used where the options name none. */
export const DEFAULT_GATEWAY_LIMITS: GatewayLimits = {
  maxBodyBytes: MEBIBYTE,
  maxRolloutBodyBytes: 64 * MEBIBYTE,
  maxBodyBytesTogether: 128 * MEBIBYTE,
  maxHeaderBytes: 16 * KIBIBYTE,
  headerTimeout: 10 * SECOND,
  bodyTimeout: 30 * SECOND,
  lingerTime: SECOND,
  answerTimeout: 30 * SECOND,
  maxConnections: 4_096,
  maxInFlightPerAccount: 2_048,
  maxStreamBufferBytes: 256 * KIBIBYTE,
  maxSamples: 16_384,
  defaultDeadline: MINUTE,
  maxDeadline: 10 * MINUTE,
  maxWait: MINUTE,
  deadlineGrace: 2 * SECOND,
};
