/**
 * Starts the demo's processes and ends them. Only processes started here are ever signalled, each
 * by its own handle.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync } from 'node:fs';
import { createServer } from 'node:net';
import path from 'node:path';

/** A process that was started. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or `null` where a signal ended it. */
  readonly exited: Promise<number | null>;
}

/** Line by which an emulator tells its address. */
const LISTENING_PATTERN = /listening on (\S+)/;
/** Time given to a process to end by itself before it is killed. */
const END_LIMIT_MILLISECONDS = 5_000;
/** Ports for nodes: 20000 to 31999. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

/** Processes of one demo, with one log file each. */
export class ProcessGroup {
  private readonly processes: StartedProcess[] = [];

  constructor(private readonly logFolder: string) {
    mkdirSync(logFolder, { recursive: true });
  }

  /** Starts a program of this package. */
  start(
    name: string,
    script: string,
    parameters: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): StartedProcess {
    const child = spawn(process.execPath, [script, ...parameters], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    const log = createWriteStream(path.join(this.logFolder, `${name}.log`), { flags: 'a' });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
    const started = { name, child, exited };
    this.processes.push(started);
    return started;
  }

  /** Starts an emulator and waits until it listens; gives its address. */
  async startEmulator(name: string, parameters: readonly string[]): Promise<string> {
    return (await this.startEmulatorProcess(name, parameters)).address;
  }

  /** Starts an emulator and waits until it listens. */
  async startEmulatorProcess(
    name: string,
    parameters: readonly string[],
  ): Promise<{ readonly address: string; readonly process: StartedProcess }> {
    const started = this.start(name, labScript(), ['emulate', ...parameters]);
    const { child, exited } = started;
    return new Promise((resolve, reject) => {
      child.stdout?.on('data', (chunk: Buffer) => {
        const address = LISTENING_PATTERN.exec(chunk.toString('utf8'))?.[1];
        if (address !== undefined) resolve({ address, process: started });
      });
      void exited.then((code) => reject(new Error(`${name} ended with ${code}`)));
    });
  }

  /** Kills all at the same moment, as a loss of power does; resolves when none is left. */
  async killAll(): Promise<void> {
    const running = this.processes.filter(isRunning);
    for (const { child } of running) child.kill('SIGKILL');
    await Promise.all(running.map((started) => started.exited));
  }

  /** Asks all to end, and kills those that do not; resolves when none is left. */
  async stopAll(): Promise<void> {
    const running = this.processes.filter(isRunning);
    for (const { child } of running) child.kill('SIGTERM');
    const timer = setTimeout(() => {
      for (const { child } of running.filter(isRunning)) child.kill('SIGKILL');
    }, END_LIMIT_MILLISECONDS);
    await Promise.all(running.map((started) => started.exited));
    clearTimeout(timer);
  }
}

/** Whether a process has not ended. */
export function isRunning(started: StartedProcess): boolean {
  return started.child.exitCode === null && started.child.signalCode === null;
}

/** Path of the lab's program. */
export function labScript(): string {
  return path.join(import.meta.dirname, '..', 'main.js');
}

/** Path of wardwing's own program. */
export function productScript(): string {
  return path.join(import.meta.dirname, '..', '..', 'src', 'cli', 'main.js');
}

/** Ports given out by this process, which may not be taken yet. */
const givenPorts = new Set<number>();

/**
 * Finds free ports on loopback, each given out once. They lie below the ports that systems give to outgoing
 * connections, one of which could otherwise take the port of a node before it starts, or while it
 * is down.
 */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (givenPorts.has(port)) continue;
    givenPorts.add(port);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
