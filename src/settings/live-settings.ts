/**
 * Settings that are read again while the process runs: on a signal, and when their file has
 * changed without one. A file that can't be used changes nothing; the log names the key at fault.
 */
import { unwatchFile, watchFile } from 'node:fs';
import { isDeepStrictEqual } from 'node:util';
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

const DEFAULT_LOOK_INTERVAL: Milliseconds = 5_000;

/** Why settings were read again. */
export type ReloadCause = 'signal' | 'file';

/** Options of {@link LiveSettings}. */
export interface LiveSettingsOptions<Settings extends object> {
  readonly path: string;
  /** Reads and checks the file; throws an error whose message names the key at fault. */
  readonly read: (path: string) => Settings;
  readonly log: DecisionLog;
  /** Keys that take effect at once; a change of any other needs a restart, and the log says so. */
  readonly reloadable: readonly (keyof Settings & string)[];
  /** Time between two looks at the file. @default 5,000 ms */
  readonly lookInterval?: Milliseconds;
}

/** Holds the settings in force. */
export class LiveSettings<Settings extends object> {
  private settings: Settings;

  constructor(private readonly options: LiveSettingsOptions<Settings>) {
    this.settings = options.read(options.path);
  }

  /** The settings in force. */
  get current(): Settings {
    return this.settings;
  }

  /** Follows the file until {@link unwatch}. */
  watch(): void {
    const { path, lookInterval = DEFAULT_LOOK_INTERVAL } = this.options;
    watchFile(path, { interval: lookInterval, persistent: false }, this.onFileChange);
  }

  /** Follows the file no more. */
  unwatch(): void {
    unwatchFile(this.options.path, this.onFileChange);
  }

  /** Reads the file again; the settings in force stay where it can't be used. */
  reload(cause: ReloadCause): void {
    const { path, read, log, reloadable } = this.options;
    let fresh: Settings;
    try {
      fresh = read(path);
    } catch (error) {
      log.state('settings-rejected', { cause, problem: String(error) });
      return;
    }
    const changed = this.changedKeys(fresh);
    const ignored = changed.filter((key) => !reloadable.includes(key));
    const taken = Object.fromEntries(reloadable.map((key) => [key, fresh[key]]));
    this.settings = { ...this.settings, ...taken };
    log.state('settings-reloaded', {
      cause,
      changed: changed.join(' '),
      needRestart: ignored.join(' '),
    });
  }

  private readonly onFileChange = (): void => this.reload('file');

  private changedKeys(fresh: Settings): (keyof Settings & string)[] {
    const keys = Object.keys(fresh) as (keyof Settings & string)[];
    return keys.filter((key) => !isDeepStrictEqual(fresh[key], this.settings[key]));
  }
}
