/**
 * Publishing a weight version: appends to a model's catalogue by compare-and-swap. Versions only
 * rise; publishing the same version with the same digest again succeeds and changes nothing.
 */
import {
  catalogueKey,
  type ModelCatalogue,
  type PublishedVersion,
} from '../config-feed/configuration.js';
import type { AccountName, ModelName } from '../core/identity.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { KeyValueEntry } from '../platform/key-value.js';
import {
  accepted,
  type Procedure,
  read,
  readPatiently,
  refused,
  type StateChange,
  transact,
} from './procedure.js';

/** What a publication needs. */
export interface PublishInput {
  readonly account: AccountName;
  readonly model: ModelName;
  readonly version: PublishedVersion;
  /** How many versions a catalogue keeps; older ones are dropped. */
  readonly catalogueLimit: number;
}

/** Appends a version to its model's catalogue. */
export function* publishVersion(input: PublishInput): Procedure {
  const key = catalogueKey(input.model);
  let unknown = false;
  for (;;) {
    const found = yield* unknown ? readPatiently(key) : read(key);
    const entry = found.entries[0];
    const versions = versionsOf(entry);
    if (versions.some((known) => isSamePublication(known, input.version))) {
      return accepted(entry?.modRevision ?? found.revision, unknown ? published(input) : null);
    }
    const problem = problemWith(input, versions);
    if (problem !== null) return refused(problem);
    const catalogue: ModelCatalogue = {
      model: input.model,
      versions: [...versions, input.version].slice(-input.catalogueLimit),
    };
    const outcome = yield* transact(
      [{ key, modRevision: entry?.modRevision ?? 0 }],
      [{ kind: 'put', key, value: JSON.stringify(catalogue) }],
      unknown,
    );
    if (outcome.kind === 'applied') return accepted(outcome.revision, published(input));
    if (outcome.kind === 'unknown') unknown = true;
  }
}

function versionsOf(entry: KeyValueEntry | undefined): readonly PublishedVersion[] {
  return entry === undefined ? [] : (JSON.parse(entry.value) as ModelCatalogue).versions;
}

function isSamePublication(known: PublishedVersion, asked: PublishedVersion): boolean {
  return known.version === asked.version && known.digest === asked.digest;
}

function problemWith(input: PublishInput, versions: readonly PublishedVersion[]): Failure | null {
  const { version } = input.version;
  const newest = versions.at(-1)?.version ?? 0;
  if (versions.some((known) => known.version === version)) {
    const detail = `version ${version} of "${input.model}" was published with another digest`;
    return failure('key_conflict', detail);
  }
  if (version > newest) return null;
  const detail = `version ${version} of "${input.model}" is not above the newest, ${newest}`;
  return failure('malformed_request', detail);
}

function published(input: PublishInput): StateChange {
  return {
    change: 'version-published',
    details: { model: input.model, version: input.version.version, account: input.account },
  };
}
