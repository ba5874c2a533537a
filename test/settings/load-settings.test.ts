import { writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import { formatDuration, parseDuration } from '../../src/settings/duration.js';
import { loadSettings } from '../../src/settings/load-settings.js';
import type { SchemaProblem } from '../../src/settings/schema-problems.js';
import { ENVIRONMENT, SETTINGS_TEXT } from './fixtures/settings-text.js';

const file = path.join(t.testdir({}), 'node.toml');

function load(text: string, flags = {}, environment = ENVIRONMENT) {
  writeFileSync(file, text);
  return loadSettings(file, flags, environment);
}

function problemsOf(text: string, environment = ENVIRONMENT): readonly SchemaProblem[] {
  const result = load(text, {}, environment);
  if (result.isOk) throw new Error('the settings were accepted');
  return result.error;
}

t.test('a file is converted to plain numbers, with defaults', async (t) => {
  const settings = load(SETTINGS_TEXT).unwrapOrElse((problems) => {
    throw new Error(JSON.stringify(problems));
  });
  t.match(settings, {
    node: { name: 'abdali-1', peerListen: '127.0.0.1:7401', dataFolder: null },
    platform: { keyValue: ['127.0.0.1:7390'] },
    fleet: { replicas: 3, shardsPerDomain: 4 },
    accounts: [{ name: 'amal', role: 'operator' }],
    peers: { token: 'a-shared-peer-token' },
    limits: { bodyTimeout: 2_500, maxHeaderBytes: 16_384 },
    timing: { freshnessBound: 6_000, stopTimeout: 60_000 },
    log: { level: 'info' },
  });
});

t.test('a node advertises its listen address by default', async (t) => {
  const addressOf = (text: string) =>
    load(text)
      .map((settings) => settings.node.peerAdvertise)
      .unwrapOr('none');
  const listen = 'peer_listen = "127.0.0.1:7401"';
  const advertised = `${listen}\npeer_advertise = "127.0.0.1:9000"`;
  t.equal(addressOf(SETTINGS_TEXT), '127.0.0.1:7401');
  t.equal(addressOf(SETTINGS_TEXT.replace(listen, advertised)), '127.0.0.1:9000');
});

t.test('flags override the file and are validated like it', async (t) => {
  const flags = { name: 'abdali-2', 'key-value': '127.0.0.1:1,127.0.0.1:2', 'log-level': 'warn' };
  const settings = load(SETTINGS_TEXT, flags).unwrapOrElse(() => t.fail() as never);
  t.equal(settings.node.name, 'abdali-2');
  t.same(settings.platform.keyValue, ['127.0.0.1:1', '127.0.0.1:2']);
  t.equal(settings.log.level, 'warn');
  const wrong = load(SETTINGS_TEXT, { zone: 'nowhere' });
  t.match(wrong.isErr && wrong.error, [{ key: 'node.zone', accepted: 'abdali-hall, marka-hall' }]);
});

t.test('each problem has the key, the reason and the accepted values', async (t) => {
  const text = SETTINGS_TEXT.replace('machine = "m-1"', 'machnie = "m-1"')
    .replace('zone = "abdali-hall"\n', '')
    .replace('"2500ms"', '"2500"')
    .replace('127.0.0.1:7400', 'localhost:7400')
    .replace('"operator"', '"root"')
    .concat('\n[timing]\nfreshness_bound = 6\n[fleet.shard]\n');
  const problems = new Map(problemsOf(text).map((problem) => [problem.key, problem]));
  t.match(problems.get('node.machnie'), { reason: /not known/, accepted: /name, zone, region/ });
  t.match(problems.get('node.machine'), { reason: /missing/, accepted: /letters/ });
  t.match(problems.get('node.zone'), { reason: /missing/ });
  t.match(problems.get('limits.body_timeout'), { reason: /"2500"/, accepted: /ms, s, m or h/ });
  t.match(problems.get('node.listen'), { accepted: /ip:port/ });
  t.match(problems.get('accounts[0].role'), { accepted: 'trainer, caller, operator' });
  t.match(problems.get('timing.freshness_bound'), { accepted: /number with a unit/ });
  t.match(problems.get('fleet.shard'), { accepted: /zones, shards_per_domain, replicas/ });
  t.equal(problems.size, 8, 'no other problems');
});

t.test('problems across keys are reported', async (t) => {
  const other = SETTINGS_TEXT.replace('region = "amman"\nmachine', 'region = "kigali"\nmachine');
  t.match(problemsOf(other), [{ key: 'node.region', accepted: 'amman' }]);
  const digest = /token_digest = .*/.exec(SETTINGS_TEXT)?.[0] ?? '';
  const twice = `${SETTINGS_TEXT}\n[[accounts]]\nname = "amal"\nrole = "caller"\n${digest}\n`;
  t.match(problemsOf(twice), [{ reason: /"amal" is named twice/ }, { reason: /token_digest/ }]);
  t.match(problemsOf(SETTINGS_TEXT.replace('zones = [', 'replicas = 2\nzones = [')), [
    { key: 'fleet.replicas', accepted: /odd/ },
  ]);
});

t.test('the peer token comes from a file or a variable', async (t) => {
  t.match(problemsOf(SETTINGS_TEXT, { PEER_TOKEN: '' }), [{ key: 'peers.token_variable' }]);
  const both = SETTINGS_TEXT.replace('[peers]', '[peers]\ntoken_file = "x"');
  t.match(problemsOf(both), [{ key: 'peers', accepted: /not both/ }]);
  const tokenFile = path.join(path.dirname(file), 'token');
  const fromFile = SETTINGS_TEXT.replace(
    'token_variable = "PEER_TOKEN"',
    `token_file = "${tokenFile}"`,
  );
  t.match(problemsOf(fromFile), [{ key: 'peers.token_file', reason: /ENOENT/ }]);
  writeFileSync(tokenFile, 'short\n');
  t.match(problemsOf(fromFile), [{ reason: 'the token is too short' }]);
});

t.test('a file that is not TOML or is missing is a problem', async (t) => {
  t.match(problemsOf('[node\nname = 1'), [{ accepted: 'a TOML document' }]);
  t.ok(loadSettings(`${file}.missing`, {}, {}).isErr);
});

t.test('durations require a unit', async (t) => {
  for (const [text, value] of Object.entries({ '500ms': 500, '1.5s': 1_500, '10m': 600_000 })) {
    t.equal(parseDuration(text).unwrapOr(-1), value);
  }
  for (const text of ['5', 's', '-5s', '5 s', '5d', '']) t.ok(parseDuration(text).isNothing, text);
  for (const text of ['1ms', '90s', '10m', '24h', '0ms']) {
    t.equal(formatDuration(parseDuration(text).unwrapOr(-1)), text);
  }
});
