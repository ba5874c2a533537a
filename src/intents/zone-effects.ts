/**
 * What a draft changes in each zone: who may start or must stop doing what, what is refused, and
 * what the zone does while it is cut off. Other intents that allow the same are taken into account.
 */
import { type Configuration, type Intent, newestVersion } from '../config-feed/configuration.js';
import type { TrafficClass } from '../core/generation.js';
import type { AccountName, ModelName, ZoneName } from '../core/identity.js';
import type { ErrorKind } from '../errors/error-kinds.js';
import { formatDuration } from '../settings/duration.js';

/** One thing an account may do in a zone. */
export interface Permission {
  readonly account: AccountName;
  readonly traffic: TrafficClass;
  readonly model: ModelName;
}

/** A refusal the change brings about, with the kind of error the account will see. */
export interface ExpectedRefusal extends Permission {
  readonly kind: ErrorKind;
  readonly reason: string;
}

/** What changes in one zone. */
export interface ZoneEffect {
  readonly zone: ZoneName;
  readonly starts: readonly Permission[];
  readonly stops: readonly Permission[];
  readonly refused: readonly ExpectedRefusal[];
  /** One sentence on what the zone does while its configuration is not fresh. */
  readonly whenCutOff: string;
}

/** The effects of replacing `before` by `after`, for every zone that either names. */
export function zoneEffects(
  before: Intent | null,
  after: Intent,
  configuration: Configuration,
): ZoneEffect[] {
  const zones = [...new Set([...(before?.zones ?? []), ...after.zones])].sort();
  const others = [...configuration.intents.values()].filter((other) => other.name !== after.name);
  return zones.map((zone) => effectInZone(zone, before, after, others, configuration));
}

function effectInZone(
  zone: ZoneName,
  before: Intent | null,
  after: Intent,
  others: readonly Intent[],
  configuration: Configuration,
): ZoneEffect {
  const otherwise = others.flatMap((other) => permissionsIn(other, zone));
  const old = before === null ? [] : permissionsIn(before, zone);
  const fresh = permissionsIn(after, zone);
  const stops = without(without(old, fresh), otherwise);
  return {
    zone,
    starts: without(without(fresh, old), otherwise),
    stops,
    refused: [
      ...stops.map((permission) => refusal(permission, 'zone_not_allowed', 'no intent allows it')),
      ...versionRefusals(after, fresh, configuration),
    ],
    whenCutOff: cutOffSentence(zone, after),
  };
}

function permissionsIn(intent: Intent, zone: ZoneName): Permission[] {
  if (!intent.zones.includes(zone)) return [];
  const { model } = intent;
  const interactive = intent.interactive.accounts.map(
    (account): Permission => ({ account, traffic: 'interactive', model }),
  );
  if (intent.trainer === null) return interactive;
  return [{ account: intent.trainer, traffic: 'training', model }, ...interactive];
}

function without(from: readonly Permission[], removed: readonly Permission[]): Permission[] {
  return from.filter((permission) => !removed.some((other) => samePermission(permission, other)));
}

function samePermission(left: Permission, right: Permission): boolean {
  return (
    left.account === right.account && left.traffic === right.traffic && left.model === right.model
  );
}

function refusal(permission: Permission, kind: ErrorKind, reason: string): ExpectedRefusal {
  return { ...permission, kind, reason };
}

function versionRefusals(
  after: Intent,
  allowed: readonly Permission[],
  configuration: Configuration,
): ExpectedRefusal[] {
  const newest = newestVersion(configuration, after.model);
  if (newest !== undefined && newest >= after.minimumVersion) return [];
  const known = newest === undefined ? 'no version is published' : `the newest is ${newest}`;
  const reason = `needs version ${after.minimumVersion} or newer, ${known}`;
  return allowed.map((permission) => refusal(permission, 'version_unknown', reason));
}

function cutOffSentence(zone: ZoneName, after: Intent): string {
  if (!after.zones.includes(zone)) return 'refuses all work of this intent';
  if (after.cutOff.kind === 'refuse') return 'refuses all work of this intent at once';
  const duration = formatDuration(after.cutOff.duration);
  return `serves inside the zone for ${duration} after it was last fresh, then refuses`;
}
