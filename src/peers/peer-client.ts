/** Asks other nodes over kept-alive HTTP; questions and answers travel in devalue. */
import http from 'node:http';
import { parse, stringify } from 'devalue';
import type { Milliseconds } from '../core/units.js';
import { readWhole } from '../serving/read-chunks.js';
import { KeptConnections } from './kept-connections.js';
import type {
  PeerAnswers,
  PeerOutcome,
  PeerPort,
  PeerRequest,
  PeerRequestOf,
} from './peer-messages.js';

/** Path of the node-to-node endpoint. */
export const PEER_PATH = '/fleet/peer';

const OK = 200;

/** Speaks to the other nodes of a fleet. */
export class PeerClient implements PeerPort {
  private readonly agent = new KeptConnections();

  ask<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind>> {
    return new Promise((resolve) => {
      const body = Buffer.from(stringify(request));
      const colon = address.lastIndexOf(':');
      const place = { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
      const call = http.request({
        ...place,
        agent: this.agent,
        method: 'POST',
        path: PEER_PATH,
        headers: { 'content-type': 'application/json', 'content-length': body.length },
      });
      const settle = (outcome: PeerOutcome<Kind>): void => {
        clearTimeout(timer);
        resolve(outcome);
        if (outcome.kind !== 'answered') call.destroy();
      };
      const timer = setTimeout(() => {
        this.agent.dropIdle(place);
        settle({ kind: 'silent' });
      }, limit);
      call.on('error', (error: NodeJS.ErrnoException) => {
        settle({ kind: error.code === 'ECONNREFUSED' ? 'refused' : 'silent' });
      });
      call.on('response', (response) => {
        void readAnswer<Kind>(response).then((answer) => {
          settle(answer === undefined ? { kind: 'silent' } : { kind: 'answered', answer });
        });
      });
      call.end(body);
    });
  }

  /** Closes all connections. */
  stop(): void {
    this.agent.destroy();
  }
}

async function readAnswer<Kind extends PeerRequest['kind']>(
  response: http.IncomingMessage,
): Promise<PeerAnswers[Kind] | undefined> {
  const body = await readWhole(response);
  if (body === undefined || response.statusCode !== OK) return undefined;
  try {
    return parse(body.toString('utf8')) as PeerAnswers[Kind];
  } catch {
    // Half an answer, or none of ours: it counts as silence, which the caller's counters tell.
    return undefined;
  }
}
