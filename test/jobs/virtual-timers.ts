/** Timers of the process that run by a test's clock. */
import type { VirtualClock } from './virtual-clock.js';

/** Runs `body` while `setTimeout` and `clearTimeout` of the process follow the clock. */
export async function withVirtualTimers<T>(
  clock: VirtualClock,
  body: () => Promise<T>,
): Promise<T> {
  const { setTimeout: setReal, clearTimeout: clearReal } = globalThis;
  const cleared = new WeakSet<object>();
  const setVirtual = (callback: (...args: unknown[]) => void, delay = 0): object => {
    const timer = { unref: () => timer, ref: () => timer };
    void clock.sleep(delay).then(() => {
      if (!cleared.has(timer)) callback();
    });
    return timer;
  };
  const clearVirtual = (timer?: object): void => {
    if (timer === undefined) return;
    cleared.add(timer);
    clearReal(timer as NodeJS.Timeout);
  };
  Object.assign(globalThis, { setTimeout: setVirtual, clearTimeout: clearVirtual });
  try {
    return await body();
  } finally {
    Object.assign(globalThis, { setTimeout: setReal, clearTimeout: clearReal });
  }
}
