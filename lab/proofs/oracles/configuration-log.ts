/**
 * The configuration over time, noted from the changes of the key-value service as they took
 * effect.
 */
import {
  FEED_PREFIX,
  FEED_PREFIXES,
  type Intent,
  type ModelCatalogue,
} from '../../../src/config-feed/configuration.js';
import type { AccountName, IntentName, ModelName, ZoneName } from '../../../src/core/identity.js';
import type { Milliseconds, Revision, WeightVersion } from '../../../src/core/units.js';
import type { Observation } from '../../simulation/observation.js';
import { decodeRecord } from '../../simulation/record-encoding.js';

interface Dated<Value> {
  readonly at: Milliseconds;
  readonly value: Value;
}

/** What stood in the key-value service at each time. */
export class ConfigurationLog {
  readonly #intents = new Map<IntentName, Dated<Intent>[]>();
  readonly #newest = new Map<ModelName, Dated<WeightVersion>[]>();
  readonly #revisions: Dated<Revision>[] = [];
  readonly #values = new Map<string, string | null>();

  /** Notes a change. */
  observe(observation: Observation): void {
    if (observation.kind !== 'key-value-changed') return;
    const { at, key, value, revision } = observation;
    if (!key.startsWith(FEED_PREFIX)) return;
    if (value !== (this.#values.get(key) ?? null)) this.#revisions.push({ at, value: revision });
    this.#values.set(key, value);
    if (value === null) return;
    if (key.startsWith(FEED_PREFIXES.intents)) {
      const intent = decodeRecord<Intent>(value);
      append(this.#intents, intent.name, { at, value: intent });
    }
    if (key.startsWith(FEED_PREFIXES.versions)) {
      const catalogue = decodeRecord<ModelCatalogue>(value);
      const version = catalogue.versions.at(-1)?.version ?? 0;
      append(this.#newest, catalogue.model, { at, value: version });
    }
  }

  /** Newest version of a model published at or before a time; 0 where none was. */
  newestVersion(model: ModelName, time: Milliseconds): WeightVersion {
    return lastAt(this.#newest.get(model) ?? [], time) ?? 0;
  }

  /** Revision of the last change of the configuration's content at or before a time. */
  revision(time: Milliseconds): Revision {
    return lastAt(this.#revisions, time) ?? 0;
  }

  /** Every form an intent had at some time from `since` on. */
  intentForms(name: IntentName, since: Milliseconds): Intent[] {
    return formsSince(this.#intents.get(name) ?? [], since);
  }

  /** The trainer's intents in every form they had at some time from `since` on. */
  trainerIntents(account: AccountName, since: Milliseconds): Intent[] {
    return [...this.#intents.values()]
      .flatMap((forms) => formsSince(forms, since))
      .filter((intent) => intent.trainer === account);
  }

  /** Zones that some intent of the trainer allowed at some time from `since` on. */
  trainerZones(account: AccountName, since: Milliseconds): ReadonlySet<ZoneName> {
    return new Set(this.trainerIntents(account, since).flatMap((intent) => intent.zones));
  }
}

function append<Value>(log: Map<string, Dated<Value>[]>, name: string, entry: Dated<Value>): void {
  const entries = log.get(name) ?? [];
  entries.push(entry);
  log.set(name, entries);
}

function lastAt<Value>(entries: readonly Dated<Value>[], time: Milliseconds): Value | undefined {
  return entries.findLast((entry) => entry.at <= time)?.value;
}

function formsSince<Value>(entries: readonly Dated<Value>[], since: Milliseconds): Value[] {
  return entries
    .filter((_, position) => (entries[position + 1]?.at ?? Number.POSITIVE_INFINITY) > since)
    .map((entry) => entry.value);
}
