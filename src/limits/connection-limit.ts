/**
 * Bounds the open connections of a server. A connection beyond the limit is accepted, and an older one is
 * closed: the longest without a request, else the longest in sending one, else the longest in reading its
 * answer. If all await an answer, the new connection is closed.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';

/** What a connection does, by the order in which connections are closed. */
const CLOSABLE_PHASES = ['idle', 'receiving', 'answering'] as const;

type ClosablePhase = (typeof CLOSABLE_PHASES)[number];

/** `working`: a whole request awaits its answer. */
type ConnectionPhase = ClosablePhase | 'working';

export interface ConnectionLimitOptions {
  /** Most connections. */
  readonly limit: number;
  /** Called when a connection is closed, with its phase. */
  readonly onClosed?: (phase: ConnectionPhase) => void;
}

export class ConnectionLimit {
  private readonly phases = new Map<Socket, ConnectionPhase>();
  private readonly openRequests = new WeakMap<Socket, number>();
  /** Connections of each phase in the order in which they entered it. */
  private readonly byPhase: Readonly<Record<ClosablePhase, Set<Socket>>> = {
    idle: new Set(),
    receiving: new Set(),
    answering: new Set(),
  };

  constructor(private readonly options: ConnectionLimitOptions) {}

  /** Connections that are open. */
  get count(): number {
    return this.phases.size;
  }

  /** Follows the connections and requests of a server. */
  watch(server: http.Server): void {
    server.on('connection', (socket: Socket) => this.noteOpened(socket));
    server.on('request', (request, response) => this.noteRequest(request, response));
  }

  private noteOpened(socket: Socket): void {
    this.enter(socket, 'idle');
    socket.once('close', () => this.forget(socket));
    if (this.count <= this.options.limit) return;
    const closed = this.longestClosable(socket) ?? socket;
    const phase = closed === socket ? 'working' : (this.phases.get(closed) ?? 'idle');
    this.forget(closed);
    closed.destroy();
    this.options.onClosed?.(phase);
  }

  private noteRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request;
    if (!this.phases.has(socket)) return;
    const open = (this.openRequests.get(socket) ?? 0) + 1;
    this.openRequests.set(socket, open);
    this.enter(socket, 'receiving');
    request.once('end', () => this.enterIfOpen(socket, 'working'));
    response.once('prefinish', () => {
      if (this.openRequests.get(socket) === 1) this.enterIfOpen(socket, 'answering');
    });
    response.once('close', () => {
      const left = (this.openRequests.get(socket) ?? 1) - 1;
      this.openRequests.set(socket, left);
      if (left === 0) this.enterIfOpen(socket, 'idle');
    });
  }

  private enterIfOpen(socket: Socket, phase: ConnectionPhase): void {
    if (this.phases.has(socket)) this.enter(socket, phase);
  }

  private enter(socket: Socket, phase: ConnectionPhase): void {
    this.leavePhase(socket);
    this.phases.set(socket, phase);
    if (phase !== 'working') this.byPhase[phase].add(socket);
  }

  private forget(socket: Socket): void {
    this.leavePhase(socket);
    this.phases.delete(socket);
  }

  private leavePhase(socket: Socket): void {
    const phase = this.phases.get(socket);
    if (phase !== undefined && phase !== 'working') this.byPhase[phase].delete(socket);
  }

  private longestClosable(opened: Socket): Socket | undefined {
    for (const phase of CLOSABLE_PHASES) {
      for (const socket of this.byPhase[phase]) if (socket !== opened) return socket;
    }
    return undefined;
  }
}
