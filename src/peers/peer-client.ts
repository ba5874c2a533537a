/** Sends requests to other nodes over keep-alive HTTP, encoded with devalue. */
import type http from 'node:http';
import { parse, stringify } from 'devalue';
import { MEBIBYTE, type Milliseconds } from '../core/units.js';
import { isLocalFailure } from '../limits/local-failure.js';
import { readAll } from '../serving/read-chunks.js';
import { KeepAliveAgent } from './keep-alive-agent.js';
import { openRequest } from './open-request.js';
import type {
  PeerAnswers,
  PeerOutcome,
  PeerPort,
  PeerRequest,
  PeerRequestOf,
} from './peer-messages.js';
import {
  isNewKind,
  isUnsupported,
  PEER_PATH,
  PEER_STATUS,
  withAnswerDefaults,
} from './peer-protocol.js';
import { UnsupportedKinds } from './unsupported-kinds.js';

/** Longest answer of a node; its address may have passed to a process that sends without end. */
const MAX_ANSWER_BYTES = 64 * MEBIBYTE;

/** HTTP client for requests to the other nodes of a fleet. */
export class PeerClient implements PeerPort {
  private readonly agent = new KeepAliveAgent();
  private readonly unsupported = new UnsupportedKinds();

  request<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind>> {
    const isKnownUnsupported = this.unsupported.has(address, request.kind);
    if (isKnownUnsupported) return Promise.resolve({ kind: 'unsupported' });
    return new Promise((resolve) => {
      const body = Buffer.from(stringify(request));
      const colon = address.lastIndexOf(':');
      const target = { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
      const call = openRequest({
        ...target,
        agent: this.agent,
        method: 'POST',
        path: PEER_PATH,
        headers: { 'content-type': 'application/json', 'content-length': body.length },
      });
      if (call === undefined) return resolve({ kind: 'refused' });
      const settle = (outcome: PeerOutcome<Kind>): void => {
        clearTimeout(timer);
        resolve(outcome);
        const isAnswered = outcome.kind === 'answered' || outcome.kind === 'unsupported';
        if (!isAnswered) call.destroy();
      };
      const timer = setTimeout(() => {
        this.agent.closeIdle(target);
        settle({ kind: 'silent' });
      }, limit);
      call.on('error', (error: NodeJS.ErrnoException) => {
        if (isLocalFailure(error)) settle({ kind: 'unsent' });
        else settle({ kind: error.code === 'ECONNREFUSED' ? 'refused' : 'silent' });
      });
      call.on('response', (response) => {
        const { socket } = response;
        void readAnswer<Kind>(request.kind, response).then((outcome) => {
          const shouldRemember = outcome.kind === 'unsupported' && isNewKind(request.kind);
          if (shouldRemember) this.unsupported.note(address, request.kind, socket);
          settle(outcome);
        });
      });
      call.end(body);
    });
  }

  stop(): void {
    this.agent.destroy();
  }
}

async function readAnswer<Kind extends PeerRequest['kind']>(
  kind: Kind,
  response: http.IncomingMessage,
): Promise<PeerOutcome<Kind>> {
  const body = await readAll(response, MAX_ANSWER_BYTES);
  if (body === undefined) return { kind: 'silent' };
  if (isUnsupported(response.statusCode)) return { kind: 'unsupported' };
  if (response.statusCode !== PEER_STATUS.answered) return { kind: 'silent' };
  try {
    const answer = parse(body.toString('utf8')) as PeerAnswers[Kind];
    return { kind: 'answered', answer: withAnswerDefaults(kind, answer) };
  } catch {
    // An answer that can't be decoded counts as none.
    return { kind: 'silent' };
  }
}
