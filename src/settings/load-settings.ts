/** Loads the settings of a node from a file, flags and environment, including the peer token. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { Result } from 'true-myth';
import { applyFlags, type FlagValues } from './flags.js';
import type { SchemaProblem } from './schema-problems.js';
import type { Settings } from './settings.js';
import { checkSettings, type WrittenSettings } from './settings-schema.js';

/** Minimum length of the peer token, in characters. */
const MIN_TOKEN_LENGTH = 16;

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** The settings, or all problems found. */
export type LoadedSettings = Result<Settings, readonly SchemaProblem[]>;

/** Loads the settings of a node; flags override keys of the file. */
export function loadSettings(
  path: string,
  flags: FlagValues,
  environment: Environment,
): LoadedSettings {
  return readText(path, 'a file that can be read')
    .andThen((text) => parseToml(path, text))
    .andThen((document) => checkSettings(applyFlags(document, flags)))
    .andThen((written) =>
      readPeerToken(written, environment).map((token) => toSettings(written, token)),
    );
}

/** Parses TOML; a syntax error is reported with line and column. */
export function parseToml(
  path: string,
  text: string,
): Result<Readonly<Record<string, unknown>>, readonly SchemaProblem[]> {
  try {
    return Result.ok(parse(text));
  } catch (error) {
    const reason = error instanceof Error ? error.message.trim() : String(error);
    return Result.err([{ key: path, reason, accepted: 'a TOML document' }]);
  }
}

/** Reads a text file; `accepted` completes the problem of an unreadable file. */
export function readText(path: string, accepted: string): Result<string, readonly SchemaProblem[]> {
  try {
    return Result.ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Result.err([{ key: path, reason, accepted }]);
  }
}

function readPeerToken(
  written: WrittenSettings,
  environment: Environment,
): Result<string, readonly SchemaProblem[]> {
  const { token_file: file, token_variable: variable } = written.peers;
  const accepted = `a token of at least ${MIN_TOKEN_LENGTH} characters`;
  const key = file === undefined ? 'peers.token_variable' : 'peers.token_file';
  const found: Result<string, readonly SchemaProblem[]> =
    file === undefined
      ? Result.ok(environment[variable ?? ''] ?? '')
      : readText(file, accepted).mapErr((problems) =>
          problems.map((problem) => ({ ...problem, key })),
        );
  return found.andThen((text) => {
    const token = text.trim();
    if (token.length >= MIN_TOKEN_LENGTH) return Result.ok<string, readonly SchemaProblem[]>(token);
    const reason = token === '' ? 'the token is missing' : 'the token is too short';
    return Result.err<string, readonly SchemaProblem[]>([{ key, reason, accepted }]);
  });
}

function toSettings(written: WrittenSettings, token: string): Settings {
  const { node, platform, fleet, limits, timing } = written;
  return {
    node: {
      name: node.name,
      zone: node.zone,
      region: node.region,
      machine: node.machine,
      listen: node.listen,
      peerListen: node.peer_listen,
      peerAdvertise: node.peer_advertise ?? node.peer_listen,
      dataFolder: node.data_folder,
    },
    platform: { keyValue: platform.key_value, machineList: platform.machine_list },
    fleet: {
      zones: fleet.zones,
      shardsPerDomain: fleet.shards_per_domain,
      replicas: fleet.replicas,
    },
    accounts: written.accounts.map((account) => ({
      name: account.name,
      role: account.role,
      tokenDigest: account.token_digest,
    })),
    peers: { token },
    limits: {
      maxBodyBytes: limits.max_body_bytes,
      maxHeaderBytes: limits.max_header_bytes,
      bodyTimeout: limits.body_timeout,
      maxConnections: limits.max_connections,
      maxResultBytes: limits.max_result_bytes,
    },
    timing: {
      freshnessBound: timing.freshness_bound,
      stopTimeout: timing.stop_timeout,
      requestTimeout: timing.request_timeout,
      keyValueTimeout: timing.key_value_timeout,
      machineListInterval: timing.machine_list_interval,
    },
    log: { level: written.log.level },
  };
}
