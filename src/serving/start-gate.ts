/**
 * Holds requests that come to a node which has just started and does not know its configuration or its
 * workers yet.
 *
 * The load: all machines of a fleet start again at the same moment. Their callers come to nodes that
 * learn both 0.05 to 0.8 s after their start (median 0.47 s, 69 nodes); one that is refused comes back
 * once, to another such node, and is refused again. A caller that waits a moment is served, late at
 * worst, and it was not going to be served anywhere sooner.
 */
import type { Milliseconds } from '../core/units.js';

/** Time for which a request is held at most: the slowest of those starts, and a quarter more. */
export const MAX_START_WAIT: Milliseconds = 1_000;

/** Share of a caller's patience that is spent here at most; the rest is for the work itself. */
export const START_WAIT_SHARE = 0.4;

/** Patience of a caller that names none. */
const DEFAULT_TIMEOUT: Milliseconds = 2_500;

/**
 * Requests held at once: an assumed bound on memory, and on what comes to the workers all together. No
 * load that reaches it was seen.
 */
export const MAX_HELD_REQUESTS = 256;

/** How long a request is held at most. */
export function startWaitOf(timeout: Milliseconds | undefined): Milliseconds {
  return Math.min(MAX_START_WAIT, START_WAIT_SHARE * (timeout ?? DEFAULT_TIMEOUT));
}

/** Opens once, when the node knows enough to serve. */
export class StartGate {
  private readonly held = new Set<() => void>();
  private isOpen = false;

  /** Requests that wait. */
  get waiting(): number {
    return this.held.size;
  }

  /** The node can serve: all that waits goes on. */
  open(): void {
    this.isOpen = true;
    for (const release of this.held) release();
  }

  /**
   * Resolves when the node can serve, when the request has waited long enough, or when its caller has
   * left; at once where it can serve already, or too many wait.
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
      const timer = setTimeout(release, startWaitOf(timeout));
      disconnectSignal.addEventListener('abort', release);
      this.held.add(release);
    });
  }
}
