/** Starts the project's gateways with the command of the deploy file, and ends only these. */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { createServer } from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..', '..');

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The command of a role in deploy/system.toml, as a list of words. */
function commandOf(role) {
  const text = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** A host on loopback of its own, since some ports of a gateway are the same at all of them. */
const subnet = 20 + (process.pid % 200);
let hosts = 0;
function nextHost() {
  hosts += 1;
  return `127.${subnet}.${1 + Math.floor(Math.random() * 250)}.${hosts + 1}`;
}

async function freePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Processes that were started, so that none outlives the script, however it ends. */
const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));

export class Gateway {
  #child;
  #log;

  /** Settings as DEPLOY.md shows them; `settings` replaces or adds fields. */
  static async create({ folder, name, zone, storeAddress, settings = {} }) {
    const gateway = new Gateway();
    const host = nextHost();
    const front = await freePort(host);
    const readiness = await freePort(host);
    const peer = await freePort(host);
    const fields = {
      node_name: name,
      machine_class: 'front',
      serves: 'front',
      ip: host,
      zone,
      region: 'ie-west',
      'zones.shannon-a': 'ie-west',
      'zones.shannon-b': 'ie-west',
      'listen.front': `${host}:${front}`,
      'listen.readiness': `${host}:${readiness}`,
      internal_ports: `${peer},${peer}`,
      bootstrap: 'false',
      'limits.cpu_share': 0.675,
      'limits.cores': 1,
      'fault_tolerance.machines': 1,
      'fault_tolerance.zones': 0,
      'fault_tolerance.regions': 0,
      'bounds.contact_ms': 3_000,
      'bounds.config_apply_ms': 2_000,
      'bounds.drain_ms': 2_000,
      'bounds.grace_s': 8,
      'bounds.status_s': 120,
      'bounds.require_fence': false,
      'bounds.lease_ms': 3_000,
      'bounds.thaw_slack_ms': 300,
      'platform.address': storeAddress,
      'platform.form': 'kv',
      ...settings,
    };
    gateway.name = name;
    gateway.front = { host, port: front };
    gateway.readiness = { host, port: readiness };
    gateway.file = path.join(folder, `${name}.conf`);
    const lines = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
    writeFileSync(gateway.file, `${lines.join('\n')}\n`);
    gateway.#log = createWriteStream(path.join(folder, `${name}.log`), { flags: 'a' });
    return gateway;
  }

  start() {
    const [program, ...words] = commandOf('gateway');
    const run = program === 'node' ? process.execPath : program;
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, WARDWING_CONFIG: this.file };
    const child = spawn(run, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.#child = child;
    children.add(child);
    child.once('exit', () => children.delete(child));
    this.exited = new Promise((resolve) => child.once('exit', resolve));
    child.stdout.pipe(this.#log, { end: false });
    child.stderr.pipe(this.#log, { end: false });
  }

  get isRunning() {
    return (
      this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
    );
  }

  signal(name) {
    if (this.isRunning) this.#child.kill(name);
  }

  /** Resolves once the gateway says that it is ready; rejects after a time limit. */
  async ready(limit = 20_000) {
    const end = Date.now() + limit;
    while (Date.now() < end) {
      const status = await ask(this.readiness, '/wardwing/readiness');
      if (status === 200) return;
      await pause(100);
    }
    throw new Error(`${this.name} is not ready`);
  }

  async end() {
    if (!this.isRunning) return;
    this.signal('SIGTERM');
    const kill = setTimeout(() => this.signal('SIGKILL'), 9_000);
    await this.exited;
    clearTimeout(kill);
  }
}

function ask({ host, port }, path) {
  return new Promise((resolve) => {
    const call = http.get({ host, port, path, agent: false, timeout: 500 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(undefined));
  });
}
