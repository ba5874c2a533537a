/**
 * The body of a node-to-node request: one devalue document with the sender, the life of the peer
 * that is meant, and the messages. A text that stands twice in a batch travels once.
 */
import { parse, stringify } from 'devalue';
import { Result } from 'true-myth';
import * as z from 'zod';
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { PeerMessage } from '../node/peer-message.js';

/** Messages from one node to one peer. */
export interface PeerEnvelope {
  readonly from: NodeRecord;
  /** The life that is meant; `null` where the sender knew an address only. */
  readonly to: NodeIdentity | null;
  readonly messages: readonly PeerMessage[];
}

/** Why a body is not an envelope. */
export interface EnvelopeError {
  readonly reason: string;
}

const identitySchema = z.strictObject({ node: z.string().min(1), incarnation: z.number() });

/** Every module that speaks to its like on other nodes; the type names any that is missing. */
const MODULES: Readonly<Record<PeerMessage['module'], true>> = {
  membership: true,
  'config-feed': true,
  'machine-feed': true,
  ledger: true,
  dispatch: true,
  rollouts: true,
  routing: true,
  status: true,
};

const envelopeSchema = z.strictObject({
  from: z.strictObject({
    ...identitySchema.shape,
    zone: z.string(),
    region: z.string(),
    address: z.string().min(1),
    machine: z.string(),
  }),
  to: identitySchema.nullable(),
  messages: z.array(
    z.strictObject({
      module: z.enum(Object.keys(MODULES)),
      body: z.looseObject({ kind: z.string() }),
    }),
  ),
});

/** Encodes an envelope; throws where a message holds something other than plain data. */
export function encodeEnvelope(envelope: PeerEnvelope): string {
  return stringify(envelope);
}

/** Reads a body; the messages' own fields are trusted, as peers are authenticated. */
export function decodeEnvelope(body: string): Result<PeerEnvelope, EnvelopeError> {
  try {
    const value: unknown = parse(body);
    envelopeSchema.parse(value);
    return Result.ok(value as PeerEnvelope);
  } catch (error) {
    return Result.err({ reason: error instanceof Error ? error.message : String(error) });
  }
}
