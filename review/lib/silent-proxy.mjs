/** A proxy on loopback whose open connections can go silent: they carry nothing more, and stay open. */
import net from 'node:net';

export class SilentProxy {
  #links = new Set();
  #server;

  constructor(target) {
    const [host, port] = target.split(':');
    this.#server = net.createServer((near) => {
      const far = net.connect({ host, port: Number(port) });
      const link = { near, far, isSilent: false };
      this.#links.add(link);
      for (const [from, to] of [
        [near, far],
        [far, near],
      ]) {
        from.setNoDelay(true);
        from.on('data', (data) => {
          if (!link.isSilent) to.write(data);
        });
        from.on('error', () => {});
        from.on('close', () => {
          if (link.isSilent) return;
          to.destroy();
          this.#links.delete(link);
        });
      }
    });
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** All open connections go silent, without a reset; returns how many. New ones work. */
  silence() {
    for (const link of this.#links) link.isSilent = true;
    return this.#links.size;
  }

  stop() {
    this.#server.close();
    for (const { near, far } of this.#links) {
      near.destroy();
      far.destroy();
    }
  }
}
