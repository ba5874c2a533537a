/** The engines of one running deployment: emulator processes that can be killed and restarted. */
import path from 'node:path';
import type { WorkerRecord } from '../../src/platform/worker.js';
import type { AcceptedDocument, AcceptedRequest } from '../emulator/accepted-log.js';
import { TcpProxy } from '../faults/tcp-proxy.js';
import { requestJson } from '../load/json-client.js';
import type { DemoDeployment } from './deployments.js';
import type { ProcessGroup, StartedProcess } from './process-group.js';

/** Slots of each emulated engine. */
const ENGINE_SLOTS = 12;
/** Engines decode this many times faster than the emulator's defaults. */
const TIME_SCALE = 2;
const LAB_TIMEOUT_MILLISECONDS = 5_000;

/** One engine. */
interface RunningEngine {
  /** What the machine list says of it. */
  readonly worker: WorkerRecord;
  /** Address of the engine's own process. */
  readonly address: string;
  process: StartedProcess;
}

/** All engines of a deployment. */
export class RunningEngines {
  /** Proxies before the engines, by worker; empty where the deployment has none. */
  readonly proxies = new Map<string, TcpProxy>();
  private weightStoreAddress = '';
  private readonly engines = new Map<string, RunningEngine>();

  constructor(
    private readonly deployment: DemoDeployment,
    private readonly group: ProcessGroup,
    private readonly folder: string,
    private readonly proxied: boolean,
  ) {}

  /** Starts all engines; they load weight versions from the weight store. */
  async start(weightStoreAddress: string): Promise<void> {
    this.weightStoreAddress = weightStoreAddress;
    const { training, portal, zones } = this.deployment;
    const planned = [training, portal].flatMap(({ model, workers }) =>
      Array.from({ length: workers }, (_unused, index) => {
        const zone = zones[index % zones.length] ?? '';
        return { worker: `${model}-${index + 1}`, model, zone, slots: ENGINE_SLOTS };
      }),
    );
    const engines = await Promise.all(planned.map((worker) => this.startEngine(worker)));
    for (const engine of engines) this.engines.set(engine.worker.worker, engine);
  }

  /** All workers as the machine list names them. */
  workers(): readonly WorkerRecord[] {
    return [...this.engines.values()].map((engine) => engine.worker);
  }

  /** Kills an engine's process without warning. */
  async kill(worker: string): Promise<void> {
    const engine = this.engine(worker);
    engine.process.child.kill('SIGKILL');
    await engine.process.exited;
  }

  /** Starts an engine again on its port, with its first version, epoch 0 and no memory. */
  async restart(worker: string): Promise<void> {
    const engine = this.engine(worker);
    const port = engine.address.split(':')[1] ?? '0';
    const parameters = [...this.parameters(engine.worker), '--port', port];
    const started = await this.group.startEmulatorProcess(worker, parameters);
    engine.process = started.process;
  }

  /** Everything the engines accepted, by worker. Throws where an engine does not tell. */
  async accepted(): Promise<ReadonlyMap<string, readonly AcceptedRequest[]>> {
    const entries = await Promise.all(
      [...this.engines].map(async ([worker, { address }]) => {
        const request = { method: 'GET', address, path: '/lab/accepted' } as const;
        const answer = await requestJson({ ...request, timeout: LAB_TIMEOUT_MILLISECONDS });
        if (answer?.status !== 200) throw new Error(`${worker} does not tell what it accepted`);
        return [worker, (answer.document as AcceptedDocument).accepted] as const;
      }),
    );
    return new Map(entries);
  }

  private engine(worker: string): RunningEngine {
    const found = this.engines.get(worker);
    if (found === undefined) throw new Error(`there is no worker ${worker}`);
    return found;
  }

  private async startEngine(planned: Omit<WorkerRecord, 'address'>): Promise<RunningEngine> {
    const { worker } = planned;
    const { address, process } = await this.group.startEmulatorProcess(
      worker,
      this.parameters(planned),
    );
    if (!this.proxied) return { worker: { ...planned, address }, address, process };
    const proxy = new TcpProxy({ target: address });
    this.proxies.set(worker, proxy);
    return { worker: { ...planned, address: await proxy.start() }, address, process };
  }

  private parameters(planned: Pick<WorkerRecord, 'worker' | 'model'>): readonly string[] {
    const { worker, model } = planned;
    const acceptedFile = path.join(this.folder, `${this.deployment.name}-${worker}.accepted`);
    const named = ['engine', '--worker', worker, '--model', model, '--accepted-file', acceptedFile];
    const speed = ['--slots', String(ENGINE_SLOTS), '--time-scale', String(TIME_SCALE)];
    return [...named, ...speed, '--weight-store', this.weightStoreAddress];
  }
}
