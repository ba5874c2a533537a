import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import path from 'node:path';
import t from 'tap';
import { nodeCommand } from '../../src/cli/node-command.js';
import { COMMANDS, runProgram } from '../../src/cli/program.js';
import type { Settings } from '../../src/settings/settings.js';
import { SETTINGS_TEXT } from '../settings/fixtures/settings-text.js';

const INTENT_TEXT = `
name = "pricing"
trainer = "pricing-trainer"
model = "model-bench"
zones = ["abdali-hall"]
staleness_bound = 2
cut_off = { rule = "refuse" }
`;

const folder = t.testdir({
  'node.toml': SETTINGS_TEXT,
  'wrong.toml': SETTINGS_TEXT.replace('machine =', 'machnie ='),
  'intent.toml': INTENT_TEXT,
  'wrong-intent.toml': INTENT_TEXT.replace('zones', 'zone'),
  token: 'token-from-file\n',
});

const inFolder = (name: string) => path.join(folder, name);

async function run(args: readonly string[], commands = COMMANDS) {
  const lines: string[] = [];
  const errors: string[] = [];
  let pausedMs = 0;
  const code = await runProgram(
    args,
    {
      writeLine: (text) => lines.push(text),
      writeError: (text) => errors.push(text),
      environment: { PEER_TOKEN: 'a-shared-peer-token', WARDWING_TOKEN: 'token-of-amal' },
      pause: async (duration) => {
        pausedMs += duration;
      },
    },
    commands,
  );
  return { code, lines, errors, paused: pausedMs };
}

interface Received {
  readonly line: string;
  readonly token: string | undefined;
  readonly body: unknown;
}

/** A fake HTTP interface of a node; the answer `null` closes the connection. */
async function startServer(answer: (received: Received) => [number, unknown] | null) {
  const received: Received[] = [];
  const server: Server = createServer(async (request, response) => {
    const body = await bodyOf(request);
    const line = `${request.method} ${request.url}`;
    received.push({ line, token: request.headers.authorization, body });
    const answered = answer(received.at(-1) as Received);
    if (answered === null) request.socket.destroy();
    else response.writeHead(answered[0]).end(JSON.stringify(answered[1]));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const endpoint = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { received, endpoint };
}

async function bodyOf(request: IncomingMessage): Promise<unknown> {
  let text = '';
  for await (const chunk of request) text += String(chunk);
  return text === '' ? null : JSON.parse(text);
}

t.test('check: exit code 0 for a valid file, 2 for an invalid one', async (t) => {
  t.match(await run(['check', inFolder('node.toml')]), {
    code: 0,
    lines: [/valid, node abdali-1/],
  });
  const wrong = await run(['check', inFolder('wrong.toml')]);
  t.match(wrong, { code: 2, errors: [/^node.machine: .*missing/, /^node.machnie: .*not known/] });
  const json = await run(['check', '--json', inFolder('wrong.toml')]);
  t.equal(json.code, 2);
  t.match(JSON.parse(json.lines[0] ?? ''), {
    valid: false,
    problems: [{ key: 'node.machine' }, {}],
  });
  t.equal((await run(['check', inFolder('node.toml'), '--zone', 'nowhere'])).code, 2);
});

t.test('invalid usage gives exit code 2 and names what is accepted', async (t) => {
  const calls: [string, RegExp][] = [
    ['', /names no command; accepted: node, check/],
    ['intent destroy', /names no command/],
    ['intent confirm', /plan: .*missing; accepted: wardwing intent confirm PLAN/],
    ['status surplus', /surplus: there is no such parameter/],
    ['status --unknown 1', /--unknown: this flag is not known/],
    ['status', /--endpoint: this flag is missing/],
    ['status --endpoint localhost', /"localhost" is not an endpoint/],
    ['drain rack r1', /kind: "rack" cannot be drained; accepted: node, worker, zone/],
    ['publish m 0 d 10', /version: "0"/],
    ['node', /--settings: this flag is missing/],
    [`node --settings ${inFolder('wrong.toml')}`, /node.machine/],
    [`intent propose ${inFolder('wrong-intent.toml')} --endpoint 127.0.0.1:1`, /zones: .*missing/],
    ['intent confirm p --wait --wait-timeout 5 --endpoint 127.0.0.1:1', /--wait-timeout/],
  ];
  for (const [commandLine, message] of calls) {
    const result = await run(commandLine.split(' ').filter((arg) => arg !== ''));
    t.equal(result.code, 2, commandLine);
    t.match(result.errors[0], message);
  }
});

t.test('node starts with the settings, and flags override the file', async (t) => {
  let started: Settings | undefined;
  const program = {
    startNode: async (settings: Settings) => {
      started = settings;
      return 0;
    },
  };
  const args = ['node', '--settings', inFolder('node.toml'), '--name', '7'];
  const result = await run(args, [nodeCommand(async () => program)]);
  t.equal(result.code, 0);
  t.equal(started?.node.name, '7');
});

t.test('each command sends its request with the token', async (t) => {
  const server = await startServer(() => [200, { revision: 12 }]);
  const target = ['--endpoint', server.endpoint, '--json'];
  const propose = [...target, '--token-file', inFolder('token')];
  t.equal((await run(['intent', 'propose', inFolder('intent.toml'), ...propose])).code, 0);
  const confirmed = await run(['intent', 'confirm', '0042', ...target]);
  t.same(confirmed.lines, ['{"revision":12}']);
  await run(['intent', 'show', ...target]);
  await run(['intent', 'history', ...target]);
  await run(['explain', 'step/7', ...target]);
  await run(['drain', 'node', 'abdali-1', '--undo', ...target]);
  await run(['publish', 'model-bench', '7', '0012', '99', ...target]);
  t.match(server.received, [
    {
      line: 'POST /v1/intents/propose',
      token: 'Bearer token-from-file',
      body: { draft: { name: 'pricing', zones: ['abdali-hall'], cut_off: { rule: 'refuse' } } },
    },
    { line: 'POST /v1/intents/confirm', token: 'Bearer token-of-amal', body: { plan_id: '0042' } },
    { line: 'GET /v1/intents' },
    { line: 'GET /v1/intents/history' },
    { line: 'GET /v1/explain/step%2F7' },
    { body: { target: { kind: 'node', name: 'abdali-1' }, drained: false } },
    {
      line: 'POST /v1/models/model-bench/versions',
      body: { version: 7, digest: '0012', bytes: 99 },
    },
  ]);
});

t.test('refused, unreachable and unknown outcomes have different exit codes', async (t) => {
  const problem = { kind: 'plan_stale', ran: 'no', retry_after_ms: null, detail: 'by "basil"' };
  const stale = await startServer(() => [409, problem]);
  const refused = await run(['intent', 'confirm', 'p', '--endpoint', stale.endpoint]);
  t.match(refused, { code: 1, errors: [/plan_stale: by "basil"/] });
  const unknown = await startServer(() => [
    504,
    { ...problem, kind: 'confirm_unknown', ran: 'unknown' },
  ]);
  t.equal((await run(['intent', 'confirm', 'p', '--endpoint', unknown.endpoint])).code, 4);
  const broken = await startServer(() => null);
  t.equal((await run(['drain', 'node', 'n', '--endpoint', broken.endpoint])).code, 4);
  t.equal((await run(['status', '--endpoint', broken.endpoint])).code, 3);
  t.equal((await run(['drain', 'node', 'n', '--endpoint', '127.0.0.1:1'])).code, 3);
});

t.test(
  'confirm --wait reports each zone when the plan is active, and partitioned ones',
  async (t) => {
    let statusRequests = 0;
    const partitioned = { lowestRevision: null, nodes: 2, answered: 0, fresh: false };
    const zone = (lowestRevision: number) => ({ lowestRevision, nodes: 2, fresh: true });
    const server = await startServer(({ line }) => {
      if (line.startsWith('POST')) return [202, { revision: 20 }];
      statusRequests += 1;
      // The first status lacks the answer of one node, whose revision may be lower.
      const abdali =
        statusRequests >= 2 ? zone(20) : { ...zone(statusRequests === 1 ? 20 : 19), answered: 1 };
      return [200, { zones: { abdali, marka: statusRequests >= 3 ? zone(21) : partitioned } }];
    });
    const args = ['intent', 'confirm', 'p', '--wait', '--json', '--endpoint', server.endpoint];
    const result = await run(args);
    t.equal(result.code, 0);
    t.match(
      result.lines.slice(1).map((line) => JSON.parse(line)),
      [
        { zone: 'abdali', state: 'in-force', revision: 20, after_ms: 500 },
        { zone: 'marka', state: 'in-force', revision: 21, after_ms: 1_000 },
      ],
    );
    statusRequests = Number.NEGATIVE_INFINITY;
    const late = await run([...args, '--wait-timeout', '2s']);
    t.equal(late.code, 4, 'not active in all zones');
    t.match(
      late.lines.slice(1).map((line) => JSON.parse(line)),
      [
        { zone: 'abdali', state: 'not-seen' },
        { zone: 'marka', state: 'cut-off' },
      ],
    );
    t.equal(late.paused, 2_000);
  },
);

t.test('explain reads the logs of nodes from a folder', async (t) => {
  const time = '2026-01-01T00:00:00.000Z';
  const entry = { time, node: 'n1', request: 'r1', kind: 'overloaded', msg: 'request-refused' };
  const logs = t.testdir({ 'n1.log': `${JSON.stringify(entry)}\n`, 'n2.log': 'no line\n' });
  const found = await run(['explain', 'r1', '--logs', logs]);
  t.equal(found.code, 0);
  t.match(found.lines.join(), /n1 {2}request-refused {2}request=r1 kind=overloaded/);
  const none = await run(['explain', 'r2', '--logs', logs]);
  t.equal(none.code, 1);
  t.match(none.errors.join(), /none of 1 lines names "r2"/);
  const unreadable = await run(['explain', 'r1', '--logs', path.join(logs, 'none')]);
  t.equal(unreadable.code, 2);
  t.match(unreadable.errors.join(), /--logs/);
});
