/** Writes to one side of a connection, each held back for a while; their order stays what it was. */
import type { Socket } from 'node:net';

interface HeldPiece {
  readonly data: Buffer;
  readonly dueAt: number;
}

/** Pieces on their way to one socket. */
export class DelayedWrites {
  private held: HeldPiece[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly to: Socket) {}

  /** Writes a piece after a delay in milliseconds, but not before those that were pushed earlier. */
  push(data: Buffer, delay: number): void {
    if (delay === 0 && this.held.length === 0) {
      this.write(data);
      return;
    }
    const earliest = this.held.at(-1)?.dueAt ?? 0;
    this.held.push({ data, dueAt: Math.max(earliest, performance.now() + delay) });
    this.schedule();
  }

  /** Drops what is held back. */
  stop(): void {
    clearTimeout(this.timer);
    this.held = [];
  }

  private schedule(): void {
    const [first] = this.held;
    if (first === undefined || this.timer !== undefined) return;
    const wait = Math.max(0, Math.ceil(first.dueAt - performance.now()));
    this.timer = setTimeout(() => this.writeDue(), wait);
  }

  private writeDue(): void {
    this.timer = undefined;
    const now = performance.now();
    for (
      let first = this.held[0];
      first !== undefined && first.dueAt <= now;
      first = this.held[0]
    ) {
      this.held.shift();
      this.write(first.data);
    }
    this.schedule();
  }

  private write(data: Buffer): void {
    if (!this.to.destroyed) this.to.write(data);
  }
}
