/** Starts the project's own program, with the commands of deploy/system.toml, on loopback. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const COMMANDS = {
  front: ['--max-old-space-size=200', 'target/wardwing.mjs'],
  storage: ['--max-old-space-size=100', 'target/wardwing.mjs'],
};

export class System {
  processes = [];
  constructor({ folder, storeAddress, zones = { 'zone-a': 'region-a' }, settings = [] }) {
    Object.assign(this, { folder, storeAddress, zones, settings });
    mkdirSync(folder, { recursive: true });
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
      process.once(signal, () => void this.stopAll().then(() => process.exit(2)));
    }
  }

  /** Chooses free ports, alike on all machines. */
  async prepare() {
    const servers = await Promise.all(
      [1, 2, 3].map(async () => {
        const server = net.createServer();
        await new Promise((resolve) => server.listen(0, '0.0.0.0', resolve));
        return server;
      }),
    );
    const [front, readiness, peer] = servers.map((server) => server.address().port);
    this.ports = { front, readiness, peer };
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  }

  /** Writes a settings file and starts a process. */
  start({ name, zone, machineClass = 'front', ip, settings = [], dataFolder, bootstrap = true }) {
    const { front: port, readiness, peer } = this.ports;
    const lines = [
      ...[`node_name=${name}`, `role=${machineClass === 'front' ? 'gateway' : 'ledger'}`, `machine_class=${machineClass}`],
      ...[`serves=${machineClass}`, `ip=${ip}`, `zone=${zone}`, `region=${this.zones[zone]}`],
      ...Object.entries(this.zones).map(([one, region]) => `zones.${one}=${region}`),
      ...(machineClass === 'front' ? [`listen.front=${ip}:${port}`, `listen.readiness=${ip}:${readiness}`] : []),
      ...[`internal_ports=${peer},${peer}`, `bootstrap=${bootstrap}`, `platform.address=${this.storeAddress}`, 'platform.form=kv'],
      ...['limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=350', 'limits.file_descriptors=4100'],
      ...['bounds.config_apply_ms=2000', 'bounds.grace_s=8', 'bounds.lease_ms=3000', 'bounds.require_fence=true'],
      ...['bounds.status_s=120', 'bounds.settle_ms=1000', 'bounds.recovery_s=12', 'bounds.contact_ms=3000'],
      ...(dataFolder === undefined ? [] : [`data_dir=${dataFolder}`]),
      ...this.settings,
      ...settings,
    ];
    const file = path.join(this.folder, `${name}.conf`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    const one = { name, zone, ip, address: `${ip}:${port}`, file, machineClass, exits: [] };
    this.launch(one);
    this.processes.push(one);
    return one;
  }

  launch(one) {
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, ...(LANG === undefined ? {} : { LANG }), WARDWING_CONFIG: one.file };
    const child = spawn('node', COMMANDS[one.machineClass], { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    const log = createWriteStream(path.join(this.folder, `${one.name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    one.child = child;
    one.isRunning = true;
    one.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        one.isRunning = false;
        one.exits.push({ at: Date.now(), code, signal });
        resolve({ code, signal });
      });
    });
  }

  signal(one, signal) {
    if (one.isRunning) one.child.kill(signal);
  }

  async stopAll() {
    for (const one of this.processes) {
      one.stopped = true;
      this.signal(one, 'SIGCONT');
      this.signal(one, 'SIGKILL');
    }
    await Promise.all(this.processes.map((one) => one.exited));
  }

  logOf(one) {
    return readFileSync(path.join(this.folder, `${one.name}.log`), 'utf8');
  }

  /** Waits until the readiness endpoints answer 200. */
  async ready(list = this.processes.filter((one) => one.machineClass === 'front'), limit = 15_000) {
    const until = Date.now() + limit;
    for (const one of list) {
      for (;;) {
        const answer = await call({ address: `${one.ip}:${this.ports.readiness}`, path: '/wardwing/readiness', timeout: 500 });
        if (answer.status === 200) break;
        if (Date.now() > until) throw new Error(`${one.name} does not become ready`);
        await sleep(100);
      }
    }
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Resident memory of a process in MB, as the kernel tells it. */
export function residentMb({ child }) {
  try {
    const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'));
    return Number(line?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/** One HTTP call on a new connection; never rejects. `status` 0: no whole answer. */
export function call({ address, method = 'GET', path: target, headers = {}, body, timeout = 5_000 }) {
  const at = Date.now();
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    let isDone = false;
    const settle = (outcome) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({ ...outcome, tookMs: Date.now() - at });
      request.destroy();
    };
    const length = body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) };
    const request = http.request({ host, port, method, path: target, agent: false, headers: { ...headers, ...length } });
    const timer = setTimeout(() => settle({ status: 0, error: 'no answer in time' }), timeout);
    request.on('error', (error) => settle({ status: 0, error: error.code ?? error.message }));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => settle({ status: 0, error: error.code ?? error.message }));
      response.on('aborted', () => settle({ status: 0, error: 'answer broken off' }));
      response.on('end', () =>
        settle({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) }),
      );
    });
    request.end(body);
  });
}
