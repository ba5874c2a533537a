/** Connections that are kept open between calls. */
import http from 'node:http';

/** Where a process listens. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Keeps connections and reuses the one that was used last. */
export class KeptConnections extends http.Agent {
  constructor() {
    super({ keepAlive: true, scheduling: 'lifo' });
  }

  /**
   * Closes the idle connections to a place where a call got no answer. All that were open may have
   * gone silent together; each of them would cost one more call its whole time.
   */
  dropIdle(place: HostAndPort): void {
    for (const socket of this.freeSockets[this.getName(place)] ?? []) socket.destroy();
  }
}
