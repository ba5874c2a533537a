/**
 * Holds requests that reach a starting node before it has read its configuration and its workers.
 * When a whole fleet restarts at once, a rejected caller would retry at another starting node and
 * be rejected again.
 */
import type { Milliseconds } from '../core/units.js';

/** Upper limit for holding a request; nodes are normally ready within 0.8 s of their start. */
export const MAX_START_WAIT: Milliseconds = 1_000;

/** Upper limit as a share of the caller's timeout; the rest is left for the work. */
export const START_WAIT_SHARE = 0.4;

/** Timeout of a caller that sends none. */
const DEFAULT_TIMEOUT: Milliseconds = 2_500;

/**
 * Requests held at once; limits memory and the burst that reaches the workers when the gate opens.
 */
export const MAX_HELD_REQUESTS = 256;

/** Longest time for which a request is held, by the caller's timeout. */
export function holdLimitOf(timeout: Milliseconds | undefined): Milliseconds {
  return Math.min(MAX_START_WAIT, START_WAIT_SHARE * (timeout ?? DEFAULT_TIMEOUT));
}

/** Opens once, when the node has its configuration and its workers. */
export class StartGate {
  private readonly held = new Set<() => void>();
  private isOpen = false;

  /** Number of held requests. */
  get waiting(): number {
    return this.held.size;
  }

  /** Releases all held requests; later ones are not held. */
  open(): void {
    this.isOpen = true;
    for (const release of this.held) release();
  }

  /**
   * Resolves when the gate opens, after {@link holdLimitOf}, or when the caller disconnects; at
   * once if the gate is open or {@link MAX_HELD_REQUESTS} are held.
   */
  wait(timeout: Milliseconds | undefined, disconnectSignal: AbortSignal): Promise<void> {
    if (this.isOpen || this.held.size >= MAX_HELD_REQUESTS || disconnectSignal.aborted)
      return Promise.resolve();
    return new Promise((resolve) => {
      const release = (): void => {
        clearTimeout(timer);
        disconnectSignal.removeEventListener('abort', release);
        this.held.delete(release);
        resolve();
      };
      const timer = setTimeout(release, holdLimitOf(timeout));
      disconnectSignal.addEventListener('abort', release);
      this.held.add(release);
    });
  }
}
