/**
 * The body of a node-to-node request: one devalue document a line. The first line is the header
 * `{from, to}`, each further line is one {@link PeerMessage}. Messages are encoded when they are
 * handed over, so that the outbox knows their size and later changes by the sender do not show.
 */
import { parse, stringify } from 'devalue';
import type Result from 'true-myth/result';
import * as result from 'true-myth/result';
import { z } from 'zod';
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { PeerMessage } from '../node/peer-message.js';

/** Messages from one node to one peer. */
export interface PeerEnvelope {
  readonly from: NodeRecord;
  /** The life that is meant; `null` where the sender knew an address only. */
  readonly to: NodeIdentity | null;
  readonly messages: readonly PeerMessage[];
}

/** One message in its wire form: a devalue document without line breaks. */
export type EncodedMessage = string;

/** Why a body is not an envelope. */
export interface EnvelopeError {
  readonly reason: string;
}

const LINE_BREAK = '\n';

const identitySchema = z.strictObject({ node: z.string().min(1), incarnation: z.number() });

const headerSchema = z.strictObject({
  from: z.strictObject({
    ...identitySchema.shape,
    zone: z.string(),
    region: z.string(),
    address: z.string().min(1),
    machine: z.string(),
  }),
  to: identitySchema.nullable(),
});

const MODULES = ['membership', 'config-feed', 'ledger', 'dispatch', 'rollouts', 'routing'] as const;

const messageSchema = z.strictObject({
  module: z.enum(MODULES satisfies readonly PeerMessage['module'][]),
  body: z.looseObject({ kind: z.string() }),
});

/** Encodes one message. */
export function encodeMessage(message: PeerMessage): EncodedMessage {
  return stringify(message);
}

/** Joins encoded messages to one body. */
export function encodeEnvelope(
  from: NodeRecord,
  to: NodeIdentity | null,
  messages: readonly EncodedMessage[],
): string {
  return [stringify({ from, to }), ...messages].join(LINE_BREAK);
}

/** Reads a body; the messages' own fields are trusted, as peers are authenticated. */
export function decodeEnvelope(body: string): Result<PeerEnvelope, EnvelopeError> {
  const [headerLine = '', ...messageLines] = body.split(LINE_BREAK);
  try {
    const header = headerSchema.parse(parse(headerLine));
    const messages = messageLines.map(decodeMessage);
    return result.ok({ ...header, messages });
  } catch (error) {
    return result.err({ reason: error instanceof Error ? error.message : String(error) });
  }
}

function decodeMessage(line: string): PeerMessage {
  const value: unknown = parse(line);
  messageSchema.parse(value);
  return value as PeerMessage;
}
