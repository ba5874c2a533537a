/**
 * The schema of the settings file (TOML, keys in snake case) and the checks across keys. Unknown keys
 * are rejected.
 */
import { isIP } from 'node:net';
import { Result } from 'true-myth';
import * as z from 'zod';
import { KIBIBYTE, MEBIBYTE } from '../core/units.js';
import { checkDocument, durationField, nameField, type SchemaProblem } from './schema-problems.js';

const MAX_PORT = 65_535;

const nameSchema = nameField();

const endpointSchema = z
  .string()
  .refine(isEndpoint, 'this is not an IP address and port')
  .describe('ip:port, e.g. "127.0.0.1:7400" or "[::1]:7400"');

const nodeSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  region: nameSchema,
  machine: nameSchema,
  listen: endpointSchema,
  peer_listen: endpointSchema,
  peer_advertise: endpointSchema.nullable().default(null),
  data_folder: z.string().min(1).nullable().default(null).describe('the path of a folder'),
});

const platformSchema = z.strictObject({
  key_value: z.array(endpointSchema).min(1).describe('a list of ip:port, at least one'),
  machine_list: endpointSchema,
});

const fleetSchema = z.strictObject({
  zones: z
    .array(z.strictObject({ name: nameSchema, region: nameSchema }))
    .min(1)
    .describe('a list of zones, e.g. [{ name = "hall-a", region = "region-1" }]'),
  shards_per_domain: wholeNumber(1, 1_024).default(4),
  replicas: z
    .int()
    .min(1)
    .max(9)
    .refine((count) => count % 2 === 1, 'an even number of replicas tolerates no more failures')
    .default(3)
    .describe('an odd whole number from 1 to 9'),
});

const accountSchema = z.strictObject({
  name: nameSchema,
  role: z.enum(['trainer', 'caller', 'operator']),
  token_digest: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'this is not a SHA-256 digest')
    .describe('64 hexadecimal digits in lower case'),
});

const peersSchema = z
  .strictObject({
    token_file: z.string().min(1).optional().describe('the path of a file with the token'),
    token_variable: z.string().min(1).optional().describe('the name of an environment variable'),
  })
  .refine(
    (peers) => (peers.token_file === undefined) !== (peers.token_variable === undefined),
    'exactly one source of the token is required',
  )
  .describe('token_file or token_variable, not both');

const limitsSchema = z.strictObject({
  max_body_bytes: wholeNumber(KIBIBYTE, 1_024 * MEBIBYTE).default(4 * MEBIBYTE),
  max_header_bytes: wholeNumber(KIBIBYTE, MEBIBYTE).default(16 * KIBIBYTE),
  body_timeout: duration('10s'),
  max_connections: wholeNumber(1, 100_000).default(1_024),
  max_result_bytes: wholeNumber(MEBIBYTE, 65_536 * MEBIBYTE).default(64 * MEBIBYTE),
});

const timingSchema = z.strictObject({
  freshness_bound: duration('6s'),
  stop_timeout: duration('60s'),
  request_timeout: duration('60s'),
  key_value_timeout: duration('2s'),
  machine_list_interval: duration('1s'),
});

const settingsSchema = z.strictObject({
  node: nodeSchema,
  platform: platformSchema,
  fleet: fleetSchema,
  accounts: z.array(accountSchema).default([]),
  peers: peersSchema,
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info') })
    .prefault({}),
});

/** A valid settings document, with the keys of the file. */
export type WrittenSettings = z.output<typeof settingsSchema>;

/** Validates a document; checks across keys run only if each key is valid. */
export function checkSettings(
  document: unknown,
): Result<WrittenSettings, readonly SchemaProblem[]> {
  return checkDocument(settingsSchema, document).andThen((written) => {
    const problems = [...zoneProblems(written), ...accountProblems(written)];
    return problems.length === 0
      ? Result.ok<WrittenSettings, readonly SchemaProblem[]>(written)
      : Result.err<WrittenSettings, readonly SchemaProblem[]>(problems);
  });
}

function zoneProblems(written: WrittenSettings): SchemaProblem[] {
  const { node, fleet } = written;
  const names = fleet.zones.map((zone) => zone.name);
  const problems = duplicatesIn(names).map((name) => ({
    key: 'fleet.zones',
    reason: `the zone "${name}" is named twice`,
    accepted: 'each zone once',
  }));
  const ownZone = fleet.zones.find((zone) => zone.name === node.zone);
  if (ownZone === undefined) {
    const reason = `"${node.zone}" is not a zone of the fleet`;
    problems.push({ key: 'node.zone', reason, accepted: names.join(', ') });
  } else if (ownZone.region !== node.region) {
    const reason = `the zone "${ownZone.name}" is in another region`;
    problems.push({ key: 'node.region', reason, accepted: ownZone.region });
  }
  return problems;
}

function accountProblems(written: WrittenSettings): SchemaProblem[] {
  const names = duplicatesIn(written.accounts.map((account) => account.name));
  const digests = duplicatesIn(written.accounts.map((account) => account.token_digest));
  return [
    ...names.map((name) => ({
      key: 'accounts',
      reason: `the account "${name}" is named twice`,
      accepted: 'each account once',
    })),
    ...digests.map(() => ({
      key: 'accounts',
      reason: 'two accounts have the same token_digest',
      accepted: 'a token of its own for each account',
    })),
  ];
}

function duplicatesIn(names: readonly string[]): string[] {
  return [...new Set(names.filter((name, index) => names.indexOf(name) !== index))];
}

function wholeNumber(minimum: number, maximum: number): z.ZodInt {
  return z.int().min(minimum).max(maximum).describe(`a whole number from ${minimum} to ${maximum}`);
}

function duration(defaultValue: string) {
  return durationField()
    .refine((value) => value > 0, 'the duration must be above 0')
    .prefault(defaultValue);
}

function isEndpoint(text: string): boolean {
  const match = /^(?:\[(.+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const port = Number(match[3]);
  const address = match[1] ?? match[2] ?? '';
  const version = match[1] === undefined ? 4 : 6;
  return isIP(address) === version && port >= 1 && port <= MAX_PORT;
}
