/** The workers of the soak: each behind a proxy, registered in the store as the platform does it. */
import { setTimeout as sleep } from 'node:timers/promises';
import { KEY_PREFIXES } from '../../platform/names.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { TcpProxy } from '../faults/tcp-proxy.js';
import { ZONE_REGIONS, ZONES } from './gateway-group.js';
import { oddEntriesOf } from './odd-entries.js';
import { pick } from './pick.js';
import type { PlatformStore } from './platform-store.js';
import { MODEL_SERVICE } from './soak-configuration.js';
import { SLOTS, WorkerStandIn, type WorkerSurroundings } from './worker-stand-in.js';

/** A place for a worker; its lives follow each other there. */
export interface WorkerPlace {
  readonly service: string;
  readonly zone: string;
  worker: WorkerStandIn;
  link: TcpProxy;
  address: string;
}

/** Time that a worker serves on after it said that it leaves. */
const LINGER: Milliseconds = 2_600;

/** Time after which the record of a worker that fell silent goes. */
const RECORD_LIFE: Milliseconds = 2_000;

/** Keeps workers running. */
export class WorkerPool {
  readonly places: WorkerPlace[] = [];
  private isStopped = false;

  constructor(
    private readonly store: PlatformStore,
    private readonly random: RandomSource,
    private readonly surroundings: Omit<
      WorkerSurroundings,
      'onChange' | 'onLethal' | 'region' | 'bearsLittleWhenCold'
    >,
    private readonly newestVersion: () => WeightVersion,
  ) {}

  /** Starts so many workers of a service, in the zones in turn. */
  async start(service: string, count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const zone = ZONES[index % ZONES.length] ?? '';
      this.places.push(await this.launch(service, zone));
    }
  }

  /** A worker ends in the middle of everything; another life begins after a while. */
  async crash(place: WorkerPlace, pause: Milliseconds): Promise<void> {
    if (place.worker.hasEnded) return undefined;
    return this.replace(place, Math.max(pause, RECORD_LIFE));
  }

  /** The same, but its record goes and another life begins as soon as `pause` is over. */
  async crashBriefly(place: WorkerPlace, pause: Milliseconds): Promise<void> {
    if (!place.worker.hasEnded) await this.replace(place, pause);
  }

  /** Another writer leaves an odd entry among those of the workers, for good. */
  addOddEntry(service: string, target: number): void {
    const text = pick(oddEntriesOf(service), target);
    this.store.emulator.write(`${KEY_PREFIXES.workers}odd-${service}-${target}`, text);
  }

  /** Requests at the workers of a service, as a share of their slots. */
  occupiedShare(service: string): number {
    const workers = this.places.filter((place) => place.service === service);
    const running = workers.reduce((sum, { worker }) => sum + worker.runningRequests, 0);
    return running / Math.max(1, workers.length * SLOTS);
  }

  private async replace(place: WorkerPlace, pause: Milliseconds): Promise<void> {
    const { worker, link } = place;
    worker.crash();
    await link.close();
    await sleep(pause);
    this.store.emulator.erase(`${KEY_PREFIXES.workers}${worker.id}`);
    if (!this.isStopped) Object.assign(place, await this.launch(place.service, place.zone));
  }

  /** A worker says that it leaves, serves on for a while, and is replaced. */
  async leave(place: WorkerPlace): Promise<void> {
    const { worker, link } = place;
    if (worker.isLeaving) return;
    worker.leave();
    await sleep(LINGER);
    if (worker.hasEnded) return;
    worker.crash();
    await link.close();
    this.store.emulator.erase(`${KEY_PREFIXES.workers}${worker.id}`);
    Object.assign(place, await this.launch(place.service, place.zone));
  }

  /** Ends all workers. */
  async stop(): Promise<void> {
    for (const { worker, link } of this.places) {
      worker.crash();
      await link.close();
    }
    this.isStopped = true;
  }

  private async launch(service: string, zone: string): Promise<WorkerPlace> {
    const onChange = (changed: WorkerStandIn): void => this.register(service, changed, address);
    const id = `i-${this.random.identifier().slice(0, 10)}`;
    const worker = new WorkerStandIn(id, zone, this.newestVersion(), {
      ...this.surroundings,
      region: ZONE_REGIONS.get(zone) ?? '',
      onChange,
      bearsLittleWhenCold: service === MODEL_SERVICE,
      onLethal: (ended) => this.endUnderRequest(ended),
    });
    const link = new TcpProxy({ target: await worker.start() });
    const address = await link.start();
    this.register(service, worker, address);
    return { service, zone, worker, link, address };
  }

  private endUnderRequest(worker: WorkerStandIn): void {
    const place = this.places.find((one) => one.worker === worker);
    if (place !== undefined) void this.crash(place, 0);
  }

  private register(service: string, worker: WorkerStandIn, address: string): void {
    const models = [{ name: this.surroundings.model, version: worker.weightVersion, adapters: [] }];
    const record = {
      service,
      address,
      zone: worker.zone,
      version: 'v1',
      slots: SLOTS,
      state: worker.isLeaving ? 'draining' : 'ready',
      cold_remaining_ms: worker.coldFor,
      models,
      sequence: 1,
    };
    this.store.emulator.write(`${KEY_PREFIXES.workers}${worker.id}`, JSON.stringify(record));
  }
}
