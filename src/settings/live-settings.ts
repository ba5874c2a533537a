/**
 * Settings that are read again while the process runs: on a signal, and when their file has
 * changed without one. A file that can't be used changes nothing; the log names the key at fault.
 */
import { statSync } from 'node:fs';
import { isDeepStrictEqual } from 'node:util';
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

const DEFAULT_POLL_INTERVAL: Milliseconds = 5_000;

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
  readonly pollInterval?: Milliseconds;
}

/** Holds the settings in force. */
export class LiveSettings<Settings extends object> {
  private settings: Settings;
  /** State of the file before it was last read, so that no later change is missed. */
  private lastFileState: string;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LiveSettingsOptions<Settings>) {
    this.lastFileState = fileState(options.path);
    this.settings = options.read(options.path);
  }

  /** The settings in force. */
  get current(): Settings {
    return this.settings;
  }

  /** Follows the file until {@link unwatch}. */
  watch(): void {
    const { pollInterval = DEFAULT_POLL_INTERVAL } = this.options;
    this.timer = setInterval(() => this.poll(), pollInterval);
    this.timer.unref();
  }

  /** Follows the file no more. */
  unwatch(): void {
    clearInterval(this.timer);
  }

  /** Reads the file again; the settings in force stay where it can't be used. */
  reload(cause: ReloadCause): void {
    const { path, read, log, reloadable } = this.options;
    this.lastFileState = fileState(path);
    let loaded: Settings;
    try {
      loaded = read(path);
    } catch (error) {
      log.state('settings-rejected', { cause, problem: String(error) });
      return;
    }
    const changed = this.changedKeys(loaded);
    const ignored = changed.filter((key) => !reloadable.includes(key));
    const applied = Object.fromEntries(reloadable.map((key) => [key, loaded[key]]));
    this.settings = { ...this.settings, ...applied };
    log.state('settings-reloaded', {
      cause,
      changed: changed.join(' '),
      needRestart: ignored.join(' '),
    });
  }

  private poll(): void {
    if (fileState(this.options.path) !== this.lastFileState) this.reload('file');
  }

  private changedKeys(loaded: Settings): (keyof Settings & string)[] {
    const keys = Object.keys(loaded) as (keyof Settings & string)[];
    return keys.filter((key) => !isDeepStrictEqual(loaded[key], this.settings[key]));
  }
}

/** What changes when a file is written anew; `missing` where there is none. */
function fileState(path: string): string {
  const stat = statSync(path, { throwIfNoEntry: false });
  return stat === undefined ? 'missing' : `${stat.ino} ${stat.size} ${stat.mtimeMs}`;
}
