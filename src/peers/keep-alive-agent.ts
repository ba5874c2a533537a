/** Pooled keep-alive connections. */
import http from 'node:http';

/** Host and port on which a process listens. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Pools connections and reuses the most recently used one. */
export class KeepAliveAgent extends http.Agent {
  constructor() {
    super({ keepAlive: true, scheduling: 'lifo' });
  }

  /**
   * Closes the idle connections to an address after a call to it timed out: they may all be dead,
   * and each would let another call time out.
   */
  closeIdle(place: HostAndPort): void {
    for (const socket of this.freeSockets[this.getName(place)] ?? []) socket.destroy();
  }
}
