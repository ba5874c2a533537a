/** The way to one gateway from the gateways of other regions; it can fall silent for a while. */
import net from 'node:net';

/** One connection, and whether bytes of it were swallowed. */
interface Connection {
  readonly near: net.Socket;
  readonly far: net.Socket;
  isBroken: boolean;
}

/** Forwards connections, or swallows what comes over them while neither side is told. */
export class RegionLink {
  private readonly connections = new Set<Connection>();
  private readonly server = net.createServer((near) => this.accept(near));
  private silences = 0;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {}

  /** Resolves when gateways can connect. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Carries nothing from now on; the function that it gives ends that. */
  silence(): () => void {
    this.silences += 1;
    return () => {
      this.silences -= 1;
      if (this.silences > 0) return;
      for (const connection of this.connections) if (connection.isBroken) this.end(connection);
    };
  }

  /** Breaks everything and listens no more. */
  close(): void {
    this.server.close();
    for (const connection of this.connections) this.end(connection);
  }

  private accept(near: net.Socket): void {
    const far = net.connect(this.targetPort, this.targetHost);
    const connection: Connection = { near, far, isBroken: false };
    this.connections.add(connection);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      from.setNoDelay(true);
      from.on('data', (data: Buffer) => this.forward(connection, data, to));
      from.on('error', () => undefined);
      from.on('close', () => this.end(connection));
    }
  }

  private forward(connection: Connection, data: Buffer, to: net.Socket): void {
    if (this.silences > 0) connection.isBroken = true;
    else if (!connection.isBroken) to.write(data);
  }

  private end(connection: Connection): void {
    this.connections.delete(connection);
    connection.near.destroy();
    connection.far.destroy();
  }
}
