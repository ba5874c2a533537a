/**
 * Emulated machine list over HTTP: `GET /machines` answers what `POST /lab/machines` set, late.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { machineList } from '../../src/platform/machine-list-client.js';
import type { MachineRecord } from '../../src/platform/worker.js';
import { type RunningServer, readBody, sendJson, startServer } from './http-server.js';

/** Options of {@link startMachineListEmulator}. */
export interface MachineListOptions {
  /** Loopback port; 0 for any free one. */
  readonly port: number;
  /** How late a change is seen; the first list is seen at once. */
  readonly lag: Milliseconds;
}

/** Starts the list. */
export async function startMachineListEmulator(
  options: MachineListOptions,
): Promise<RunningServer> {
  let shown: readonly MachineRecord[] | undefined;
  const timers = new Set<NodeJS.Timeout>();
  const show = (machines: readonly MachineRecord[]): void => {
    shown = machines;
  };
  const server = await startServer(
    {
      'GET /machines': (_request, response) => sendJson(response, 200, shown ?? []),
      'POST /lab/machines': async (request, response) => {
        const machines = machineList.parse(await readBody(request));
        if (shown === undefined) show(machines);
        else timers.add(setTimeout(() => show(machines), options.lag));
        sendJson(response, 200, { machines: machines.length });
      },
    },
    options.port,
  );
  const close = (): Promise<void> => {
    for (const timer of timers) clearTimeout(timer);
    return server.close();
  };
  return { address: server.address, close };
}
