/** Many clients at one address that send and don't read. */
import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { type Milliseconds, SECOND } from '../../src/core/units.js';

/** Time in which a crowd comes to rest: all is sent, or its connections are closed. */
const REST_LIMIT: Milliseconds = 40 * SECOND;
const REST_CHECK_INTERVAL: Milliseconds = 100;

/** Checks in a row without progress after which a crowd counts as at rest. */
const REST_CHECKS = 20;

/** What a client sends; a piece is written once the piece before it is taken. */
export type Pieces = Iterable<Buffer>;

/** A crowd of raw connections. */
export class Crowd {
  private readonly sockets: net.Socket[] = [];

  private constructor() {}

  /** Opens connections, over each of which the pieces are sent; none reads anything. */
  static open(address: string, count: number, piecesOf: (index: number) => Pieces): Crowd {
    const crowd = new Crowd();
    const [host = '', port] = address.split(':');
    for (let index = 0; index < count; index += 1) {
      const socket = net.connect({ host, port: Number(port) });
      socket.on('error', () => {});
      socket.pause();
      crowd.sockets.push(socket);
      sendAll(socket, piecesOf(index)[Symbol.iterator]());
    }
    return crowd;
  }

  /** Connections that neither side has closed. */
  get openCount(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length;
  }

  /** Resolves when no connection makes progress any more. */
  async rest(): Promise<void> {
    const giveUpAt = performance.now() + REST_LIMIT;
    let last = -1;
    for (let still = 0; still < REST_CHECKS && performance.now() < giveUpAt; still += 1) {
      await sleep(REST_CHECK_INTERVAL);
      const sent = this.sockets.reduce(
        (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
        0,
      );
      if (sent !== last) still = 0;
      last = sent;
    }
  }

  /** Resolves when all connections are closed, or after a time. */
  async closed(limit: Milliseconds): Promise<void> {
    const giveUpAt = performance.now() + limit;
    while (this.openCount > 0 && performance.now() < giveUpAt) await sleep(REST_CHECK_INTERVAL);
  }

  /** Closes all connections. */
  leave(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}

function sendAll(socket: net.Socket, pieces: Iterator<Buffer>): void {
  const sendNext = (): void => {
    const next = pieces.next();
    if (next.done === true || socket.destroyed) return;
    socket.write(next.value, (error) => {
      if (error === undefined || error === null) setImmediate(sendNext);
    });
  };
  socket.once('connect', sendNext);
}

/** One chunk of a chunked body. */
export function chunkOf(bytes: number): Buffer {
  return Buffer.concat([
    Buffer.from(`${bytes.toString(16)}\r\n`),
    Buffer.alloc(bytes, 'x'),
    Buffer.from('\r\n'),
  ]);
}

/** So many one-byte chunks in a row. */
export function tinyChunks(count: number): Buffer {
  return Buffer.alloc(6 * count, '1\r\nx\r\n');
}
