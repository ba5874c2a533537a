/** Carries out the faults of `planCrowds`: connections that stay open until the gateway closes them or is gone. */
import { HEADERS } from '../../platform/names.js';
import { KIBIBYTE, MEBIBYTE } from '../../src/core/units.js';
import { Crowd, chunkOf, type Pieces, tinyChunks } from '../faults/client-crowd.js';
import type { CrowdFault, CrowdKind } from './crowd-faults.js';
import type { FaultPerformance } from './fault-timeline.js';
import type { GatewayGroup, SoakGateway } from './gateway-group.js';
import { pick } from './pick.js';
import { LOOKUP_PREFIX, SOAK_HOST } from './soak-call.js';

const BODY_BYTES = 8 * MEBIBYTE;
const PIECE_BYTES = 16 * KIBIBYTE;
const MISSING_BYTES = 16;
const TINY_CHUNKS = 32 * KIBIBYTE;
const REQUESTS_AHEAD = 4_000;
const LOOKUPS_UNREAD = 8;

/** A body that is sent without its last bytes. */
function* body(pieceBytes: number): Pieces {
  yield head('POST', `Content-Length: ${BODY_BYTES}`);
  const piece = Buffer.alloc(pieceBytes, 'x');
  for (let left = BODY_BYTES - MISSING_BYTES; left > 0; left -= piece.length) {
    yield piece.subarray(0, Math.min(left, piece.length));
  }
}

function* chunked(...chunks: readonly Buffer[]): Pieces {
  yield head('POST', 'Transfer-Encoding: chunked');
  yield* chunks;
}

const PIECES: Readonly<Record<CrowdKind, () => Pieces>> = {
  'whole-bodies': () => body(BODY_BYTES),
  'bodies-in-pieces': () => body(PIECE_BYTES),
  'large-chunks': () => chunked(...Array.from({ length: 8 }, () => chunkOf(MEBIBYTE))),
  'tiny-chunks': () => chunked(tinyChunks(TINY_CHUNKS)),
  'endless-heads': () => [head('GET', `X-Long: ${'x'.repeat(12 * KIBIBYTE)}`).subarray(0, -2)],
  'requests-ahead': () => [
    Buffer.concat(Array.from({ length: REQUESTS_AHEAD }, () => head('GET'))),
  ],
  'unread-answers': () => Array.from({ length: LOOKUPS_UNREAD }, () => head('GET')),
  'silent-connections': () => [],
};

/** The head of a request without a key, which no worker is sent. */
function head(method: string, ...lines: readonly string[]): Buffer {
  const target = `${LOOKUP_PREFIX}crowd`;
  const fixed = [
    `${method} ${target} HTTP/1.1`,
    `Host: ${SOAK_HOST}`,
    `${HEADERS.requestId}: crowd`,
  ];
  return Buffer.from(`${[...fixed, ...lines].join('\r\n')}\r\n\r\n`);
}

export class CrowdRunner implements FaultPerformance<CrowdFault> {
  constructor(private readonly gateways: GatewayGroup) {}

  readonly struckBy = ({ target }: CrowdFault): readonly SoakGateway[] => [
    pick(this.gateways.gateways, target),
  ];

  readonly isStoreAway = (): boolean => false;
  readonly breaksContact = (): boolean => false;
  readonly nameOf = (fault: CrowdFault): string => {
    const names = this.struckBy(fault).map(({ name }) => name);
    return `crowd-${fault.kind} of ${fault.clients} at ${names.join(' ')}`;
  };

  readonly perform = async (
    { kind, clients, duration }: CrowdFault,
    struck: readonly SoakGateway[],
  ): Promise<void> => {
    const crowds = struck.map(({ address }) => Crowd.open(address, clients, PIECES[kind]));
    await Promise.all(crowds.map((crowd) => crowd.closed(duration)));
    for (const crowd of crowds) crowd.leave();
  };
}
