/**
 * The form in which operators write an intent (TOML file or JSON body, keys in snake case), its
 * checks, and the form in which it is kept in the key-value service (JSON of {@link Intent}).
 */
import { Result } from 'true-myth';
import * as z from 'zod';
import {
  type CutOffRule,
  type Intent,
  RESERVED_SHARE_LIMIT,
} from '../config-feed/configuration.js';
import type { ZoneName } from '../core/identity.js';
import { MINUTE, type Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { formatDuration } from '../settings/duration.js';
import {
  checkDocument,
  durationField,
  formatProblem,
  nameField,
  type SchemaProblem,
} from '../settings/schema-problems.js';

/** Longest time a cut-off zone may go on serving: one day. */
const CUT_OFF_DURATION_LIMIT: Milliseconds = 24 * 60 * MINUTE;

const nameSchema = nameField('hall-a');

const versionSchema = z.int().min(1).describe('a whole number, 1 or larger');

const cutOffSchema = z
  .strictObject({
    rule: z.enum(['refuse', 'serve']),
    duration: durationField().optional(),
  })
  .refine((cutOff) => (cutOff.rule === 'serve') === (cutOff.duration !== undefined), {
    path: ['duration'],
    message: 'a duration goes with the rule "serve" and with no other',
  })
  .transform(
    (cutOff): CutOffRule =>
      cutOff.rule === 'serve'
        ? { kind: 'serve', duration: cutOff.duration ?? 0 }
        : { kind: 'refuse' },
  );

const interactiveSchema = z.strictObject({
  accounts: z.array(nameSchema).default([]),
  reserved_share: z
    .number()
    .min(0)
    .max(RESERVED_SHARE_LIMIT)
    .default(0)
    .describe(`a number from 0 to ${RESERVED_SHARE_LIMIT}`),
});

/** The written form of an intent; its output is an {@link Intent}. */
export const intentSchema = z
  .strictObject({
    name: nameSchema,
    trainer: nameSchema.nullable().default(null),
    model: nameSchema,
    zones: z.array(nameSchema).describe('a list of zone names; empty revokes the intent'),
    minimum_version: versionSchema.default(1),
    maximum_version: versionSchema.nullable().default(null),
    staleness_bound: z.int().min(0).describe('a whole number of versions, 0 or larger'),
    version_span: z.enum(['record', 'restart']).default('record'),
    interactive: interactiveSchema.prefault({}),
    cut_off: cutOffSchema,
  })
  .transform(
    (written): Intent => ({
      name: written.name,
      trainer: written.trainer,
      model: written.model,
      zones: written.zones,
      minimumVersion: written.minimum_version,
      maximumVersion: written.maximum_version,
      stalenessBound: written.staleness_bound,
      versionSpan: written.version_span,
      interactive: {
        accounts: written.interactive.accounts,
        reservedShare: written.interactive.reserved_share,
      },
      cutOff: written.cut_off,
    }),
  );

/** Reads a written intent; reports all problems of form, or else all of meaning. */
export function parseIntent(
  document: unknown,
  knownZones: readonly ZoneName[],
): Result<Intent, readonly SchemaProblem[]> {
  return checkDocument(intentSchema, document).andThen((intent) => {
    const problems = checkIntent(intent, knownZones);
    return problems.length === 0
      ? Result.ok<Intent, readonly SchemaProblem[]>(intent)
      : Result.err<Intent, readonly SchemaProblem[]>(problems);
  });
}

/** Makes the gateway's reader of drafts: {@link parseIntent} with one failure for all problems. */
export function draftReader(
  knownZones: readonly ZoneName[],
): (document: unknown) => Result<Intent, Failure> {
  return (document) =>
    parseIntent(document, knownZones).mapErr((problems) =>
      failure('invalid_intent', problems.map(formatProblem).join('; ')),
    );
}

/** Checks what an intent means against the zones of the fleet; empty when it may be proposed. */
export function checkIntent(intent: Intent, knownZones: readonly ZoneName[]): SchemaProblem[] {
  return [
    ...checkZones(intent, knownZones),
    ...checkVersions(intent),
    ...checkCutOff(intent),
    ...checkInteractive(intent),
  ];
}

function checkZones(intent: Intent, knownZones: readonly ZoneName[]): SchemaProblem[] {
  const accepted = `each of ${knownZones.join(', ')} at most once`;
  const unknown = intent.zones.filter((zone) => !knownZones.includes(zone));
  const repeated = intent.zones.filter((zone, place) => intent.zones.indexOf(zone) !== place);
  return [
    ...unknown.map((zone) => problem('zones', `"${zone}" is not a zone of the fleet`, accepted)),
    ...repeated.map((zone) => problem('zones', `"${zone}" is named twice`, accepted)),
  ];
}

function checkVersions(intent: Intent): SchemaProblem[] {
  const { minimumVersion, maximumVersion } = intent;
  if (maximumVersion === null || maximumVersion >= minimumVersion) return [];
  const reason = `${maximumVersion} is below minimum_version ${minimumVersion}`;
  return [problem('maximum_version', reason, `${minimumVersion} or larger`)];
}

function checkCutOff(intent: Intent): SchemaProblem[] {
  if (intent.cutOff.kind === 'refuse') return [];
  const { duration } = intent.cutOff;
  if (duration > 0 && duration <= CUT_OFF_DURATION_LIMIT) return [];
  const reason = `${formatDuration(duration)} is out of range`;
  return [problem('cut_off.duration', reason, 'more than 0ms and at most 24h')];
}

function checkInteractive(intent: Intent): SchemaProblem[] {
  const { accounts, reservedShare } = intent.interactive;
  const problems: SchemaProblem[] = [];
  if (!(reservedShare >= 0 && reservedShare <= RESERVED_SHARE_LIMIT)) {
    const accepted = `a number from 0 to ${RESERVED_SHARE_LIMIT}`;
    problems.push(
      problem('interactive.reserved_share', `${reservedShare} is out of range`, accepted),
    );
  }
  if (intent.trainer === null && accounts.length === 0) {
    const accepted = 'a trainer, or at least one interactive account';
    problems.push(problem('trainer', 'nobody may do anything under this intent', accepted));
  }
  return problems;
}

function problem(key: string, reason: string, accepted: string): SchemaProblem {
  return { key, reason, accepted };
}

/** The written form of an intent, as {@link parseIntent} reads it. */
export function intentDocument(intent: Intent): Readonly<Record<string, unknown>> {
  return {
    name: intent.name,
    trainer: intent.trainer,
    model: intent.model,
    zones: intent.zones,
    minimum_version: intent.minimumVersion,
    maximum_version: intent.maximumVersion,
    staleness_bound: intent.stalenessBound,
    version_span: intent.versionSpan,
    interactive: {
      accounts: intent.interactive.accounts,
      reserved_share: intent.interactive.reservedShare,
    },
    cut_off:
      intent.cutOff.kind === 'serve'
        ? { rule: 'serve', duration: formatDuration(intent.cutOff.duration) }
        : { rule: 'refuse' },
  };
}
