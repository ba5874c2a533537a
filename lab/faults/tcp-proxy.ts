/**
 * A TCP proxy on loopback with faults: it can refuse connections, swallow what is sent, cut what
 * is open, and delay. A fault holds for all senders or only for those of some zones, which are
 * told apart by the first zone name in what a connection sends: an envelope between nodes begins
 * with its sender.
 */
import { type AddressInfo, createServer, type Server, Socket } from 'node:net';
import { DelayedWrites } from './delayed-writes.js';

/** What happens to traffic. */
export type LinkState =
  | 'open'
  | 'refuse'
  | 'black-hole'
  /** What clients send arrives; what comes back is swallowed. */
  | 'one-way';

/** Options of {@link TcpProxy}. */
export interface TcpProxyOptions {
  /** Host and port that is forwarded to. */
  readonly target: string;
  /** Names by which senders are told apart; none where all are treated alike. */
  readonly senders?: readonly string[];
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
  readonly toClient: DelayedWrites;
  readonly toServer: DelayedWrites;
  sender: string | null;
  /** Whether bytes of this connection were swallowed, so that it cannot be used any more. */
  swallowed: boolean;
  /** Whether it carries nothing any more and stays open: neither side is told. */
  isSilenced: boolean;
}

/** Bytes of a connection in which its sender is looked for. */
const SENDER_SEARCH_BYTES = 4_096;

/** One proxy in front of one address. */
export class TcpProxy {
  private readonly links = new Set<Link>();
  private readonly server: Server;
  private general: LinkState = 'open';
  private readonly bySender = new Map<string, LinkState>();
  /** Time by which each piece of data is held back, in milliseconds. */
  delay = 0;

  constructor(private readonly options: TcpProxyOptions) {
    this.server = createServer((client) => this.accept(client));
  }

  /** Starts listening; gives the address to be used in the target's place. */
  async start(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sets what happens to all traffic, or to that of one sender. */
  set(state: LinkState, sender?: string): void {
    if (sender === undefined) this.general = state;
    else this.bySender.set(sender, state);
    for (const link of [...this.links]) this.applyTo(link);
  }

  /** How many open connections have lost bytes. */
  get swallowedLinks(): number {
    return [...this.links].filter((link) => link.swallowed).length;
  }

  /** Open connections, or those of them that are chosen, carry nothing from now on; new ones work. */
  silence(isChosen: () => boolean = () => true): void {
    for (const link of this.links) link.isSilenced ||= isChosen();
  }

  /** Breaks all open connections once. */
  cut(): void {
    for (const link of [...this.links]) this.end(link);
  }

  /** Breaks everything and listens no more. */
  async close(): Promise<void> {
    this.cut();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private accept(client: Socket): void {
    if (this.general === 'refuse') {
      client.on('error', () => undefined);
      client.resetAndDestroy();
      return;
    }
    const [host, port] = this.options.target.split(':');
    const server = new Socket();
    const link: Link = {
      ...{ client, server, sender: null, swallowed: false, isSilenced: false },
      ...{ toClient: new DelayedWrites(client), toServer: new DelayedWrites(server) },
    };
    this.links.add(link);
    client.setNoDelay(true);
    server.setNoDelay(true);
    for (const socket of [client, server]) {
      socket.on('error', () => undefined);
      socket.on('close', () => this.end(link));
    }
    server.connect({ host: host ?? '127.0.0.1', port: Number(port) });
    client.on('data', (data: Buffer) => this.fromClient(link, data));
    server.on('data', (data: Buffer) => this.forward(link, data, link.toClient));
  }

  private fromClient(link: Link, data: Buffer): void {
    if (link.sender === null) {
      link.sender = this.senderOf(data);
      this.applyTo(link);
    }
    this.forward(link, data, link.toServer);
  }

  /** The sender named first in a piece of data. */
  private senderOf(data: Buffer): string | null {
    const text = data.subarray(0, SENDER_SEARCH_BYTES).toString('latin1');
    const found = (this.options.senders ?? [])
      .map((sender) => ({ sender, at: text.indexOf(`"${sender}"`) }))
      .filter(({ at }) => at >= 0)
      .sort((left, right) => left.at - right.at);
    return found[0]?.sender ?? null;
  }

  private forward(link: Link, data: Buffer, to: DelayedWrites): void {
    if (link.isSilenced) return;
    const state = this.stateOf(link);
    if (state === 'black-hole' || (state === 'one-way' && to === link.toClient)) {
      link.swallowed = true;
      return;
    }
    if (!link.swallowed) to.push(data, this.delay);
  }

  /** A refused link breaks; one whose bytes were swallowed breaks when it is opened again. */
  private applyTo(link: Link): void {
    const state = this.stateOf(link);
    if (state === 'refuse') this.reset(link);
    else if (state === 'open' && link.swallowed) this.end(link);
  }

  private stateOf(link: Link): LinkState {
    const own = link.sender === null ? 'open' : (this.bySender.get(link.sender) ?? 'open');
    return own === 'open' ? this.general : own;
  }

  private reset(link: Link): void {
    link.client.resetAndDestroy();
    this.end(link);
  }

  private end(link: Link): void {
    if (!this.links.delete(link)) return;
    link.toClient.stop();
    link.toServer.stop();
    link.client.destroy();
    link.server.destroy();
  }
}
