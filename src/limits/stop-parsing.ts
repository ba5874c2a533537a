/** Closes a connection in the middle of the bytes that were read together. */
import type { Socket } from 'node:net';

/** The parser of an HTTP connection, which Node's types leave out. */
interface ParsedSocket extends Socket {
  readonly parser?: { onIncoming?: (() => number) | null } | null;
}

/**
 * Closes a connection and drops the requests that are left in the bytes read together, which may be more
 * than a thousand. Node parses these to their end, and would keep them until all connections that are
 * readable now have been read.
 */
export function stopParsing(socket: Socket): void {
  const { parser } = socket as ParsedSocket;
  if (typeof parser?.onIncoming === 'function') parser.onIncoming = () => 0;
  socket.destroy();
}
