/** Command-line flags that override keys of the settings file. */

/** Flags by name, without the leading dashes. */
export type FlagValues = Readonly<Record<string, unknown>>;

/** A flag and the settings key that it overrides. */
export interface SettingsFlag {
  readonly flag: string;
  readonly section: string;
  readonly key: string;
  /** Whether the value is a comma-separated list. */
  readonly isList: boolean;
  readonly help: string;
}

export const SETTINGS_FLAGS: readonly SettingsFlag[] = [
  flag('name', 'node', 'name', 'Name of the node'),
  flag('zone', 'node', 'zone', 'Zone of the node'),
  flag('region', 'node', 'region', 'Region of the node'),
  flag('machine', 'node', 'machine', 'Machine that runs the node'),
  flag('listen', 'node', 'listen', 'ip:port for callers'),
  flag('peer-listen', 'node', 'peer_listen', 'ip:port for other nodes'),
  flag('data-folder', 'node', 'data_folder', 'Folder for bulk data'),
  { ...flag('key-value', 'platform', 'key_value', 'ip:port,... of the service'), isList: true },
  flag('machine-list', 'platform', 'machine_list', 'ip:port of the machine list'),
  flag('freshness-bound', 'timing', 'freshness_bound', 'Age limit of the configuration'),
  flag('stop-timeout', 'timing', 'stop_timeout', 'Longest time a stop waits for work'),
  flag('log-level', 'log', 'level', 'debug, info, warn, error or silent'),
];

function flag(name: string, section: string, key: string, help: string): SettingsFlag {
  return { flag: name, section, key, isList: false, help };
}

/** A copy of the document in which flags replace the values of their keys. */
export function applyFlags(
  document: Readonly<Record<string, unknown>>,
  values: FlagValues,
): Record<string, unknown> {
  const result: Record<string, unknown> = { ...document };
  for (const entry of SETTINGS_FLAGS) {
    const value = values[entry.flag];
    if (value === undefined) continue;
    const section = result[entry.section];
    const keys = typeof section === 'object' && section !== null ? section : {};
    const text = String(value);
    result[entry.section] = { ...keys, [entry.key]: entry.isList ? text.split(',') : text };
  }
  return result;
}
