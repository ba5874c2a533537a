/** Which version of a model the workers of a zone should run. */
import type { Configuration } from '../config-feed/configuration.js';
import type { ModelName, ZoneName } from '../core/identity.js';
import type { WeightVersion } from '../core/units.js';

/**
 * The version the workers of a zone should run: the newest published one that no intent for this
 * model and zone rules out by its maximum. An operator rolls back by lowering a maximum.
 * @returns `undefined` where no published version fits.
 */
export function targetVersion(
  configuration: Configuration,
  model: ModelName,
  zone: ZoneName,
): WeightVersion | undefined {
  const ceiling = maximumVersionIn(configuration, model, zone);
  const versions = configuration.catalogues.get(model)?.versions ?? [];
  return versions.findLast((entry) => entry.version <= ceiling)?.version;
}

/** The lowest maximum of the intents for a model in a zone; infinite where none sets one. */
function maximumVersionIn(
  configuration: Configuration,
  model: ModelName,
  zone: ZoneName,
): WeightVersion {
  let lowest = Number.POSITIVE_INFINITY;
  for (const intent of configuration.intents.values()) {
    if (intent.model !== model || !intent.zones.includes(zone)) continue;
    lowest = Math.min(lowest, intent.maximumVersion ?? lowest);
  }
  return lowest;
}
