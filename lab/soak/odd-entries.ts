/** Entries that another writer left among those of the workers, and that name no worker to call. */

const NESTING_DEPTH = 50_000;

/** An entry that is sound but for some fields. */
function entry(service: string, fields: Readonly<Record<string, unknown>>): string {
  const models = [{ name: 'model', version: 1, adapters: [] }];
  const sound = { service, zone: 'north', version: 'v1', slots: 8, state: 'ready', sequence: 1 };
  return JSON.stringify({ ...sound, address: '127.0.0.1:1', models, ...fields });
}

/** The texts for a service. Some can be parsed; nobody listens at their address. */
export function oddEntriesOf(service: string): readonly string[] {
  const nested = `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`;
  return [
    entry(service, { address: '127.0.0.1:65536' }),
    entry(service, { address: '127.0.0.1:99999' }),
    entry(service, { address: '127.0.0.1:0' }),
    entry(service, { address: '999.1.1.1:80' }),
    entry(service, { address: 'nowhere' }),
    entry(service, {}),
    entry(service, { slots: 2 ** 53 }),
    entry(service, { models: [{ name: 'model', version: 1e308 }] }),
    entry(service, { born: 1e300 }),
    entry(service, { cold_remaining_ms: 1e308 }),
    entry(service, { slots: 8 }).replace('"slots":8', '"slots":1e400'),
    entry(service, { models: nested }),
    nested,
    'null',
    '',
  ];
}
