/** One soak: a fleet of real gateways, stand-ins around it, callers, and faults from outside. */
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { KEY_PREFIXES } from '../../platform/names.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { BuildRotation } from './build-rotation.js';
import { Disturbances, isOfOneGateway, leavesGatewaysAlone } from './disturbances.js';
import { type PlannedFault, planFaults, QUIET_END } from './fault-schedule.js';
import { GatewayGroup, type SoakGateway, ZONES } from './gateway-group.js';
import { JournalGroup } from './journal-group.js';
import { PlatformStore } from './platform-store.js';
import { PromiseChecker, type Violation } from './promise-checker.js';
import { type CallerCounts, SoakCallers } from './soak-callers.js';
import { LOOKUP_SERVICE, MODEL, MODEL_SERVICE, soakConfiguration } from './soak-configuration.js';
import { planEvacuations, SoakEvacuations } from './soak-evacuations.js';
import { SoakKeys } from './soak-keys.js';
import { WorkerPool } from './worker-pool.js';
import type { WorkerStandIn } from './worker-stand-in.js';
import { planZoneFaults, type ZoneFault } from './zone-faults.js';

/** What to run. */
export interface SoakOptions {
  readonly seed: number;
  readonly length: Milliseconds;
  readonly gateways: number;
  readonly modelWorkers: number;
  readonly lookupWorkers: number;
  /** Where settings and logs go. */
  readonly folder: string;
  /** A built tree of another commit, whose programs run beside this one's. */
  readonly otherBuild: string | undefined;
}

/** What came of it. */
export interface SoakReport {
  readonly faults: number;
  readonly checked: number;
  readonly violations: readonly Violation[];
  readonly counts: CallerCounts;
  /** Most workers that ended under one request. */
  readonly mostEndedUnderOne: number;
}

/** The zone that the trainer is in; its calls to hand in and to end come to gateways there. */
const TRAINER_ZONE = 'zone-a';

/** Time after a fault in which late work is excused. */
const CALM_AFTER: Milliseconds = 3_500;

/** Time for reading everything again at the end. */
const LAST_READ_LIMIT: Milliseconds = 15_000;

/** Delay of a slow link to the store. */
const SLOW_LINK: Milliseconds = 150;
const SLOW_WORKER: Milliseconds = 60;

/** Share of one gateway's connections to the store that fall silent: those of watches may, or others. */
const SILENCED_SHARE = 0.5;

/** Changes or signals that come one after the other. */
const SERIES_LENGTH = 4;
const SERIES_PAUSE: Milliseconds = 150;

/** Carries out one soak. */
export class SoakRun {
  private readonly startedAt = performance.now();
  private readonly store = new PlatformStore();
  private readonly checker: PromiseChecker;
  private readonly gateways: GatewayGroup;
  private readonly journals: JournalGroup;
  private readonly workers: WorkerPool;
  private readonly underWay = new Set<Promise<void>>();
  private newest: WeightVersion = 1;
  private configurationVersion = 0;
  private readonly evacuations: SoakEvacuations;
  private readonly keys = new SoakKeys(() => this.elapsed());
  private lastFaultAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private readonly silenced: RandomSource;
  private readonly disturbances = new Disturbances(() => this.elapsed());

  constructor(private readonly options: SoakOptions) {
    const now = (): Milliseconds => performance.now() - this.startedAt;
    this.checker = new PromiseChecker(now);
    const builds = new BuildRotation(options.otherBuild);
    this.gateways = new GatewayGroup(options.folder, () => this.store.open(), builds);
    this.journals = new JournalGroup(path.join(options.folder, 'journals'), builds);
    const isCalm = (): boolean => this.isCalm();
    this.evacuations = new SoakEvacuations({
      ...{ store: this.store.emulator, zones: ZONES, checker: this.checker, now, isCalm },
      calmAddresses: () => this.calmAddresses(),
    });
    const surroundings = {
      ...{ checker: this.checker, model: MODEL, now, isCalm },
      onRequest: (request: string, { zone }: WorkerStandIn) =>
        this.evacuations.requestArrived(request, zone),
    };
    const random = createRandomSource(options.seed + 1);
    this.silenced = createRandomSource(options.seed + 3);
    this.workers = new WorkerPool(this.store, random, surroundings, () => this.newest);
  }

  /** Runs to the end. */
  async run(): Promise<SoakReport> {
    const { seed, length } = this.options;
    const faults = planFaults(seed, length);
    this.writeConfiguration();
    await this.workers.start(MODEL_SERVICE, this.options.modelWorkers);
    await this.workers.start(LOOKUP_SERVICE, this.options.lookupWorkers);
    const openStore = async (): Promise<string> => (await this.store.open()).address;
    await this.journals.start(ZONES, openStore);
    await this.gateways.start(this.options.gateways);
    const callers = new SoakCallers({
      checker: this.checker,
      keys: this.keys,
      evacuations: this.evacuations,
      isCalm: () => this.isCalm(),
      random: createRandomSource(seed + 2),
      now: () => this.elapsed(),
      calmAddresses: () => this.calmAddresses(),
      addresses: () => this.gateways.gateways.map((gateway) => gateway.address),
      trainerAddresses: () =>
        this.gateways.gateways
          .filter(({ zone }) => zone === TRAINER_ZONE)
          .map((gateway) => gateway.address),
      model: MODEL,
      nameVersion: (version) => this.nameVersion(version),
    });
    callers.start();
    const zoneFaults = planZoneFaults(seed + 4, length);
    const ofZones = this.bringOnZoneFaults(zoneFaults);
    const evacuations = planEvacuations(seed + 5, length);
    const ofEvacuations = this.evacuations.run(evacuations);
    for (const fault of faults) await this.bringOn(fault);
    await Promise.all([ofZones, ofEvacuations]);
    await this.sleepUntil(length - QUIET_END);
    await Promise.all(this.underWay);
    await callers.stop();
    await callers.readAllAgain(LAST_READ_LIMIT);
    await this.gateways.stop();
    await this.journals.stop();
    await this.workers.stop();
    this.store.stop();
    const { violations, checked, mostEndedUnderOne } = this.checker;
    const { counts } = callers;
    const brought = faults.length + zoneFaults.length + evacuations.length;
    return { faults: brought, checked, violations, counts, mostEndedUnderOne };
  }

  private calmAddresses(): string[] {
    const isCalm = (gateway: SoakGateway): boolean =>
      this.disturbances.areOverFor(gateway, CALM_AFTER);
    return this.gateways.gateways.filter(isCalm).map(({ address }) => address);
  }

  private isCalm(): boolean {
    return this.underWay.size === 0 && this.elapsed() - this.lastFaultAt > CALM_AFTER;
  }

  private elapsed(): Milliseconds {
    return performance.now() - this.startedAt;
  }

  private async sleepUntil(at: Milliseconds): Promise<void> {
    await sleep(Math.max(0, at - this.elapsed()));
  }

  private async bringOn(fault: PlannedFault): Promise<void> {
    await this.sleepUntil(fault.at);
    const struck = isOfOneGateway(fault.kind)
      ? pick(this.gateways.gateways, fault.target)
      : undefined;
    const end = leavesGatewaysAlone(fault.kind) ? () => {} : this.disturbances.begin(struck);
    const work = this.perform(fault).finally(() => {
      end();
      this.underWay.delete(work);
      this.lastFaultAt = this.elapsed();
    });
    this.underWay.add(work);
  }

  private async bringOnZoneFaults(faults: readonly ZoneFault[]): Promise<void> {
    for (const fault of faults) {
      await this.sleepUntil(fault.at);
      const struck = this.struckBy(fault);
      const ends = struck.map((gateway) => this.disturbances.begin(gateway));
      const work = this.performOnZone(fault, struck).finally(() => {
        for (const end of ends) end();
        this.underWay.delete(work);
        this.lastFaultAt = this.elapsed();
      });
      this.underWay.add(work);
    }
  }

  /** The gateways that a fault of a zone strikes; the loss of a journal's replica strikes none. */
  private struckBy({ kind, target }: ZoneFault): SoakGateway[] {
    if (kind !== 'zone-without-store') return [];
    const struck = pick(ZONES, target);
    return this.gateways.gateways.filter(({ zone }) => zone === struck);
  }

  private async performOnZone(
    { kind, duration, target }: ZoneFault,
    struck: readonly SoakGateway[],
  ): Promise<void> {
    if (kind !== 'zone-without-store') {
      const disk = kind === 'replica-wiped' ? 'empty' : 'kept';
      return this.journals.killAndRestart(target, disk, duration / 4);
    }
    await Promise.all(struck.map((gateway) => this.withLink(gateway, 'black-hole', duration)));
  }

  private async perform({ kind, duration, target }: PlannedFault): Promise<void> {
    const { emulator } = this.store;
    const gateway = pick(this.gateways.gateways, target);
    const place = pick(this.workers.places, target);
    switch (kind) {
      case 'gateway-killed':
        return this.gateways.killAndRestart(gateway, duration / 4);
      case 'gateway-paused':
        return this.gateways.pause(gateway, duration);
      case 'gateway-stopped':
        return this.gateways.stopAndRestart(gateway);
      case 'gateway-without-store':
        return this.withLink(gateway, 'black-hole', duration);
      case 'gateway-hears-no-store':
        return this.withLink(gateway, 'one-way', duration);
      case 'gateway-store-slow':
        gateway.storeLink.delay = SLOW_LINK;
        await sleep(duration);
        gateway.storeLink.delay = 0;
        return undefined;
      case 'gateway-store-reset':
        return gateway.storeLink.cut();
      case 'gateway-store-links-silent':
        return gateway.storeLink.silence(() => this.silenced.fraction() < SILENCED_SHARE);
      case 'gateway-turned-away':
        return this.withDoor(gateway, 'unavailable', duration);
      case 'gateway-throttled':
        return this.withDoor(gateway, 'throttled', duration);
      case 'gateway-keys-revoked':
        gateway.storeDoor.revokeKeys();
        return this.withDoor(gateway, 'unavailable', duration);
      case 'gateway-replaced':
        return this.gateways.replace(gateway, duration / 4);
      case 'all-gateways-killed':
        await Promise.all(
          this.gateways.gateways.map((one) => this.gateways.killAndRestart(one, 300)),
        );
        return undefined;
      case 'store-refusing':
      case 'store-silent':
        emulator.setAvailability(kind === 'store-silent' ? 'silent' : 'refusing');
        await sleep(duration);
        emulator.setAvailability('up');
        return undefined;
      case 'store-forgets':
        return emulator.compact();
      case 'store-leases-lapse':
        return emulator.lapseLeases();
      case 'store-answers-lost':
        return emulator.loseAnswers('applied', 'applied', 'applied');
      case 'store-writes-late':
        emulator.loseAnswers('applied-late', 'applied-late');
        await sleep(duration);
        return emulator.applyLateCommits();
      case 'worker-crashed':
        return this.workers.crash(place, duration / 2);
      case 'worker-silent':
        place.link.set('black-hole');
        await sleep(duration);
        return place.link.set('open');
      case 'worker-slow':
        place.link.delay = SLOW_WORKER;
        await sleep(duration);
        place.link.delay = 0;
        return undefined;
      case 'worker-reset':
        return place.link.cut();
      case 'worker-links-silent':
        return place.link.silence();
      case 'all-links-silent':
        for (const { storeLink } of this.gateways.gateways) storeLink.silence();
        for (const { link } of this.workers.places) link.silence();
        return undefined;
      case 'worker-leaves':
        return this.workers.leave(place);
      case 'configuration-changed':
        return this.writeConfiguration();
      case 'configurations-in-series':
        for (let count = 0; count < SERIES_LENGTH; count += 1) {
          this.writeConfiguration();
          await sleep(SERIES_PAUSE);
        }
        return undefined;
      case 'signals-in-series':
        return this.gateways.signalInSeries(gateway, SERIES_LENGTH, SERIES_PAUSE);
    }
  }

  private async withLink(
    { storeLink }: SoakGateway,
    state: 'black-hole' | 'one-way',
    duration: Milliseconds,
  ): Promise<void> {
    storeLink.set(state);
    await sleep(duration);
    storeLink.set('open');
  }

  /** The store turns one gateway away and serves the others. */
  private async withDoor(
    { storeDoor }: SoakGateway,
    refusal: 'unavailable' | 'throttled',
    duration: Milliseconds,
  ): Promise<void> {
    storeDoor.refuse(refusal);
    await sleep(duration);
    storeDoor.refuse(undefined);
  }

  private nameVersion(version: WeightVersion): void {
    this.newest = version;
    const named = JSON.stringify({ model: MODEL, version });
    this.store.emulator.write(`${KEY_PREFIXES.version}${MODEL}`, named);
  }

  private writeConfiguration(): void {
    this.configurationVersion += 1 + (this.configurationVersion % 3);
    const configuration = soakConfiguration(this.configurationVersion, this.keys.rotate());
    this.store.emulator.write(KEY_PREFIXES.configuration, JSON.stringify(configuration));
  }
}

function pick<Item>(items: readonly Item[], target: number): Item {
  const item = items[target % items.length];
  if (item === undefined) throw new Error('there is nothing to pick from');
  return item;
}
