/**
 * Runs one emulator as a process: `emulate NAME --port N`, with settings as flags in kebab case.
 * Prints `listening on HOST:PORT` once it serves, and ends on SIGTERM or SIGINT.
 */
import { numberFlag } from '../common/flags.js';
import type { CommandFlags } from '../main.js';
import { startEngineEmulator } from './engine-emulator.js';
import { DEFAULT_ENGINE_SETTINGS, type EngineSettings } from './engine-settings.js';
import type { RunningServer } from './http-server.js';
import { startKeyValueEmulator } from './key-value-emulator.js';
import { startMachineListEmulator } from './machine-list-emulator.js';
import { startWeightStoreEmulator } from './weight-store-emulator.js';

/** Defaults of the weight store: 1 GB at 500 MB a second, four downloads at once. */
const WEIGHT_STORE_DEFAULTS = {
  bytesPerSecond: 500_000_000,
  versionBytes: 1_000_000_000,
  concurrency: 4,
};

/** Default lag of the machine list. */
const MACHINE_LIST_LAG_MILLISECONDS = 5_000;

const STARTERS: Readonly<Record<string, (flags: CommandFlags) => Promise<RunningServer>>> = {
  'key-value': (flags) =>
    startKeyValueEmulator({ port: port(flags), seed: numberFlag(flags, 'seed', 1) }),
  engine: (flags) =>
    startEngineEmulator({
      port: port(flags),
      settings: engineSettings(flags),
      timeScale: numberFlag(flags, 'time-scale', 1),
      seed: numberFlag(flags, 'seed', 1),
      ...textFlag(flags, 'model', 'model'),
      ...textFlag(flags, 'accepted-file', 'acceptedFile'),
      ...textFlag(flags, 'weight-store', 'weightStore'),
    }),
  'weight-store': (flags) =>
    startWeightStoreEmulator({ port: port(flags), ...numberFlags(flags, WEIGHT_STORE_DEFAULTS) }),
  'machine-list': (flags) =>
    startMachineListEmulator({
      port: port(flags),
      lag: numberFlag(flags, 'lag', MACHINE_LIST_LAG_MILLISECONDS),
    }),
};

/** Runs an emulator until it is told to stop; returns the exit code. */
export async function run(name: string, flags: CommandFlags): Promise<number> {
  const start = STARTERS[name];
  if (start === undefined) {
    console.error(`There is no emulator "${name}"; known: ${Object.keys(STARTERS).join(', ')}`);
    return 2;
  }
  const server = await start(flags);
  console.log(`listening on ${server.address}`);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await server.close();
  return 0;
}

function engineSettings(flags: CommandFlags): EngineSettings {
  const worker = String(flags.worker ?? 'worker');
  return { worker, ...numberFlags(flags, DEFAULT_ENGINE_SETTINGS) };
}

/** Each number of the defaults, unless a flag of its name in kebab case is given. */
function numberFlags<Settings extends object>(flags: CommandFlags, defaults: Settings): Settings {
  const entries = Object.entries(defaults).map(([name, value]) => {
    const flag = name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
    return [name, numberFlag(flags, flag, Number(value))];
  });
  return Object.fromEntries(entries) as Settings;
}

/** An option from a flag, or none where the flag is absent. */
function textFlag<Option extends string>(
  flags: CommandFlags,
  flag: string,
  option: Option,
): Partial<Record<Option, string>> {
  const value = flags[flag];
  if (value === undefined) return {};
  const given: Partial<Record<Option, string>> = {};
  given[option] = String(value);
  return given;
}

function port(flags: CommandFlags): number {
  return numberFlag(flags, 'port', 0);
}
