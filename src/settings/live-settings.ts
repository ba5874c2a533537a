/**
 * Reloads settings at runtime: on a signal, and when their file changes. An invalid file does not
 * change the active settings; the log names the invalid key.
 */
import { statSync } from 'node:fs';
import { isDeepStrictEqual } from 'node:util';
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';

const DEFAULT_POLL_INTERVAL: Milliseconds = 5_000;

/** Cause of a reload. */
export type ReloadCause = 'signal' | 'file';

/** Options of {@link LiveSettings}. */
export interface LiveSettingsOptions<Settings extends object> {
  readonly path: string;
  /** Reads and validates the file; throws an error whose message names the invalid key. */
  readonly read: (path: string) => Settings;
  readonly log: DecisionLog;
  /** Keys that a reload applies; the log names other changed keys, which need a restart. */
  readonly reloadable: readonly (keyof Settings & string)[];
  /** Interval between checks of the file for changes. @default 5,000 ms */
  readonly pollInterval?: Milliseconds;
}

/** Holds the active settings. */
export class LiveSettings<Settings extends object> {
  private settings: Settings;
  /** State of the file before it was last read, so that no change during the read is missed. */
  private lastFileState: string;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LiveSettingsOptions<Settings>) {
    this.lastFileState = fileState(options.path);
    this.settings = options.read(options.path);
  }

  /** The active settings. */
  get current(): Settings {
    return this.settings;
  }

  /** Reloads the settings on changes of the file, until {@link unwatch}. */
  watch(): void {
    const { pollInterval = DEFAULT_POLL_INTERVAL } = this.options;
    this.timer = setInterval(() => this.poll(), pollInterval);
    this.timer.unref();
  }

  unwatch(): void {
    clearInterval(this.timer);
  }

  /** Reads the file and applies reloadable keys; an invalid file is logged and ignored. */
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

/** Inode, size and modification time of a file, which detect changes; `missing` where there is none. */
function fileState(path: string): string {
  const stat = statSync(path, { throwIfNoEntry: false });
  return stat === undefined ? 'missing' : `${stat.ino} ${stat.size} ${stat.mtimeMs}`;
}
