/** One soak: a fleet of real gateways, stand-ins around it, callers, and faults from outside. */
import { mkdirSync } from 'node:fs';
import type http from 'node:http';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { KEY_PREFIXES } from '../../platform/names.js';
import { createRandomSource } from '../../src/core/random.js';
import { type Milliseconds, SECOND, type WeightVersion } from '../../src/core/units.js';
import { type AcceptanceCounts, countAcceptances } from './acceptance-log.js';
import { BuildRotation } from './build-rotation.js';
import { COLD } from './cold-request-counter.js';
import { type CrowdFault, planCrowds } from './crowd-faults.js';
import { CrowdRunner } from './crowd-runner.js';
import { FaultRunner } from './fault-runner.js';
import { planFaults, QUIET_END, QUIET_START } from './fault-schedule.js';
import { FaultTimeline } from './fault-timeline.js';
import { planPowerLoss } from './final-power-loss.js';
import { readAllJobs } from './final-reading.js';
import { GatewayGroup, ZONES } from './gateway-group.js';
import { JournalGroup, REPLICAS_A_ZONE } from './journal-group.js';
import type { LateCommitCounts } from './late-commits.js';
import { OfferedRequests } from './offered-requests.js';
import { PartialFaultRunner } from './partial-fault-runner.js';
import { planPartialFaults } from './partial-faults.js';
import { planStretch } from './partial-stretch.js';
import { PlatformStore } from './platform-store.js';
import { PowerLoss } from './power-loss.js';
import { PromiseChecker } from './promise-checker.js';
import type { Violation } from './promise-records.js';
import type { RequestSender } from './request-sender.js';
import { type CallerCounts, type CallerSurroundings, SoakCallers } from './soak-callers.js';
import { LOOKUP_SERVICE, MODEL, MODEL_SERVICE, soakConfiguration } from './soak-configuration.js';
import { planEvacuations, SoakEvacuations } from './soak-evacuations.js';
import { SoakKeys } from './soak-keys.js';
import { SoakLog } from './soak-log.js';
import type { StoreDoor } from './store-door.js';
import { StoreFaultRunner } from './store-fault-runner.js';
import { planStoreFaults } from './store-faults.js';
import { WorkerFaultRunner } from './worker-fault-runner.js';
import { planWorkerBurst, planWorkerFaults } from './worker-faults.js';
import { WorkerPool } from './worker-pool.js';
import type { WorkerStandIn } from './worker-stand-in.js';
import { ZoneFaultRunner } from './zone-fault-runner.js';
import { planZoneFaults } from './zone-faults.js';

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
  readonly checkedByPromise: PromiseChecker['checkedByPromise'];
  readonly violations: readonly Violation[];
  readonly counts: CallerCounts;
  readonly lateCommits: LateCommitCounts;
  readonly acceptances: AcceptanceCounts;
  /** What happened at the loss of all power. */
  readonly powerLoss: unknown;
  /** Most workers that ended under one request. */
  readonly mostEndedUnderOne: number;
  /** Items and scores that came to workers after the end of their job, in time or not. */
  readonly workAfterEnd: number;
}

/** Time for which owed items are watched after a burst of worker faults, and how often. */
const OWED_ITEMS_TIME: Milliseconds = 6_500;
const OWED_ITEMS_INTERVAL: Milliseconds = 100;

/** Items may wait for a place while more of the workers' slots are taken. */
const MAX_OCCUPIED_SHARE = 0.5;

/** Interval at which the processes are looked at. */
const PROCESS_CHECK_INTERVAL: Milliseconds = 1_000;

/** Time after which no process runs any more. */
const KILL_TIME: Milliseconds = 100;

/** Time for which callers go on after all that lost power has started again. */
const CALLERS_AFTER_LOSS: Milliseconds = 2_000;

/** Time in which all jobs can be read again after all that lost power has started, and a margin. */
const FINISH_LIMIT: Milliseconds = 10_000;
const FINISH_MARGIN: Milliseconds = 5_000;

/** Carries out one soak. */
export class SoakRun {
  private readonly startedAt = performance.now();
  private readonly now = (): Milliseconds => performance.now() - this.startedAt;
  private readonly log: SoakLog;
  private readonly timeline: FaultTimeline;
  private readonly checker: PromiseChecker;
  private readonly offered = new OfferedRequests();
  private readonly keys = new SoakKeys(this.now);
  private readonly store: PlatformStore;
  private readonly gateways: GatewayGroup;
  private readonly journals: JournalGroup;
  private readonly workers: WorkerPool;
  private readonly evacuations: SoakEvacuations;
  private readonly faultRunner: FaultRunner;
  private readonly partialFaults: PartialFaultRunner;
  private newest: WeightVersion = 1;
  private configurationVersion = 0;

  constructor(private readonly options: SoakOptions) {
    const { seed, folder } = options;
    const builds = new BuildRotation(options.otherBuild);
    mkdirSync(folder, { recursive: true });
    this.log = new SoakLog(path.join(folder, 'soak.jsonl'), this.now);
    this.timeline = new FaultTimeline(this.now, this.log);
    this.checker = new PromiseChecker(this.now, this.log);
    this.store = new PlatformStore(createRandomSource(seed + 9));
    this.gateways = new GatewayGroup(folder, () => this.openStore(), builds);
    this.journals = new JournalGroup(path.join(folder, 'journals'), builds);
    const isCalm = (): boolean => this.timeline.isCalm;
    this.evacuations = new SoakEvacuations({
      ...{ store: this.store.emulator, zones: ZONES, checker: this.checker },
      ...{ now: this.now, isCalm, calmAddresses: () => this.calmAddresses() },
    });
    const surroundings = {
      ...{ checker: this.checker, model: MODEL, now: this.now, isCalm },
      senderNamed: (name: string | undefined) => this.senderNamed(name),
      requestCame: (request: http.IncomingMessage, body?: Buffer) =>
        this.checker.requestCame(this.offered.differenceOf(request, body)),
      onRequest: (request: string, { zone }: WorkerStandIn) =>
        this.evacuations.requestArrived(request, zone),
    };
    const random = createRandomSource(seed + 1);
    this.workers = new WorkerPool(this.store, random, surroundings, () => this.newest);
    const { store, gateways, workers } = this;
    const writeConfiguration = (): void => this.writeConfiguration();
    const silenced = createRandomSource(seed + 3);
    this.faultRunner = new FaultRunner({ store, gateways, workers, silenced, writeConfiguration });
    this.partialFaults = new PartialFaultRunner({ store, gateways, writeConfiguration });
  }

  /** Runs to the end. */
  async run(): Promise<SoakReport> {
    const { length, folder } = this.options;
    this.writeConfiguration();
    await this.workers.start(MODEL_SERVICE, this.options.modelWorkers);
    await this.workers.start(LOOKUP_SERVICE, this.options.lookupWorkers);
    const openStore = async (): Promise<string> => (await this.store.open()).address;
    await this.journals.start(ZONES, openStore);
    await this.gateways.start(this.options.gateways);
    const callers = new SoakCallers(this.callerSurroundings());
    callers.start();
    const faults = await this.bringOnFaults();
    await sleep(Math.max(0, length - QUIET_END - this.now()));
    await this.timeline.allOver();
    const burstFaults = await this.bringOnBurst();
    const partialFaults = await this.bringOnStretch();
    const powerLoss = await this.losePower(callers);
    await this.gateways.stop();
    await this.journals.stop();
    await this.workers.stop();
    this.store.stop();
    const { violations, checked, checkedByPromise, mostEndedUnderOne, workAfterEnd } = this.checker;
    const { counts } = callers;
    const { counts: lateCommits } = this.store.lateCommits;
    const acceptances = countAcceptances(path.join(folder, 'logs'), this.store.emulator);
    const seen = { checked, checkedByPromise, violations, counts, mostEndedUnderOne, workAfterEnd };
    return {
      ...seen,
      faults: faults + burstFaults + partialFaults + 1,
      lateCommits,
      acceptances,
      powerLoss,
    };
  }

  /** Brings on all faults but the last; resolves with their number when the last one has begun. */
  private async bringOnFaults(): Promise<number> {
    const { seed, length } = this.options;
    const { timeline, store, gateways, journals } = this;
    const faults = planFaults(seed, length);
    const zoneFaults = planZoneFaults(seed + 4, length);
    const evacuations = planEvacuations(seed + 5, length);
    const storeFaults = planStoreFaults(seed + 6, length);
    const partialFaults = planPartialFaults(seed + 11, QUIET_START, length - QUIET_END);
    const workerFaults = planWorkerFaults(seed + 13, QUIET_START, length - QUIET_END);
    const crowds = this.options.otherBuild === undefined ? this.planCrowds() : [];
    const watch = setInterval(() => this.checkProcesses(), PROCESS_CHECK_INTERVAL);
    await Promise.all([
      timeline.bringOn(faults, this.faultRunner),
      timeline.bringOn(zoneFaults, new ZoneFaultRunner(gateways, journals)),
      this.evacuations.run(evacuations),
      timeline.bringOn(storeFaults, new StoreFaultRunner(store, gateways)),
      timeline.bringOn(partialFaults, this.partialFaults),
      timeline.bringOn(workerFaults, new WorkerFaultRunner(this.workers)),
      timeline.bringOn(crowds, new CrowdRunner(gateways)),
    ]);
    clearInterval(watch);
    this.checkProcesses();
    const plans = [
      faults,
      zoneFaults,
      evacuations,
      storeFaults,
      partialFaults,
      workerFaults,
      crowds,
    ];
    return plans.reduce((sum, plan) => sum + plan.length, 0);
  }

  /** Builds without limits for clients would end. */
  private planCrowds(): readonly CrowdFault[] {
    const { seed, length } = this.options;
    return planCrowds(seed + 15, QUIET_START, length - QUIET_END);
  }

  private checkProcesses(): void {
    this.checker.processesSeen(this.gateways.processFaults());
  }

  /**
   * Brings on a burst of worker faults, then watches in the calm after it that each owed item is at a
   * worker again and again; resolves with the number of faults.
   */
  private async bringOnBurst(): Promise<number> {
    const { timeline, now, checker, workers } = this;
    const faults = planWorkerBurst(this.options.seed + 14, now());
    await timeline.bringOn(faults, new WorkerFaultRunner(workers));
    await timeline.allOver();
    await sleep(COLD.seconds * SECOND);
    let calmSince = now();
    const watchedUntil = now() + OWED_ITEMS_TIME;
    while (now() < watchedUntil) {
      await sleep(OWED_ITEMS_INTERVAL);
      if (workers.occupiedShare(MODEL_SERVICE) > MAX_OCCUPIED_SHARE) calmSince = now();
      checker.checkOwedItems(calmSince);
    }
    return faults.length;
  }

  /** Brings on the stretch without faults of all gateways; resolves with the number of its faults. */
  private async bringOnStretch(): Promise<number> {
    const { timeline, faultRunner, partialFaults } = this;
    const { partial, single } = planStretch(this.options.seed + 12, this.now());
    await Promise.all([
      timeline.bringOn(single, faultRunner),
      timeline.bringOn(partial, partialFaults),
    ]);
    await timeline.allOver();
    return partial.length + single.length;
  }

  /** All power is lost at once; then all jobs are read at gateways that were not asked before. */
  private async losePower(callers: SoakCallers): Promise<unknown> {
    const { timeline, store, gateways, journals, checker, keys, evacuations, now } = this;
    const plan = planPowerLoss(this.options.seed + 8, this.options.gateways, REPLICAS_A_ZONE);
    const loss = new PowerLoss({ timeline, store, gateways, journals, now });
    await loss.bringTrouble(plan);
    checker.memoryLost(timeline.storeAwaySince);
    const repeated = sleep(KILL_TIME).then(() => callers.repeatRecent());
    const { readers, emptied, unsyncedJobs } = await loss.loseAndRestart(plan);
    const backAt = now();
    await sleep(CALLERS_AFTER_LOSS);
    await Promise.all([repeated, callers.stop()]);
    const random = createRandomSource(this.options.seed + 10);
    const giveUpAt = Math.max(backAt + FINISH_LIMIT, now()) + FINISH_MARGIN;
    await readAllJobs(readers, giveUpAt, { checker, keys, evacuations, random, now });
    const trouble = plan.trouble.map(({ effect, struck }) => `${effect} ${struck}`);
    return { trouble, unsyncedJobs, emptied, readAfterMs: Math.round(now() - backAt) };
  }

  private callerSurroundings(): CallerSurroundings {
    const { checker, offered, keys, evacuations, now } = this;
    const addressesIn = (zone: string): string[] =>
      this.gateways.gateways
        .filter((gateway) => gateway.zone === zone)
        .map((gateway) => gateway.address);
    return {
      ...{ checker, offered, keys, evacuations, now, zones: ZONES, model: MODEL, addressesIn },
      isCalm: () => this.timeline.isCalm,
      isStoreAway: () => this.timeline.isStoreAway,
      arePartlyServed: () => this.partialFaults.isUnderWay,
      random: createRandomSource(this.options.seed + 2),
      calmAddresses: () => this.calmAddresses(),
      rejectsOnlyWhenCurrent: this.options.otherBuild === undefined,
      addresses: () => this.gateways.gateways.map((gateway) => gateway.address),
      nameVersion: (version) => this.nameVersion(version),
      newestVersion: () => this.newest,
    };
  }

  /** An entrance of one gateway to the store; what it keeps back is logged. */
  private async openStore(): Promise<StoreDoor> {
    const door = await this.store.open((url, refusal) => {
      const gateway = this.gateways.gateways.find(({ storeDoor }) => storeDoor === door)?.name;
      this.log.note('call-kept-back', { gateway, refusal, url });
    });
    return door;
  }

  private senderNamed(name: string | undefined): RequestSender {
    const gateway = this.gateways.named(name);
    const { timeline } = this;
    const isInTouch = gateway === undefined ? timeline.isCalm : timeline.isInTouch(gateway);
    return { name, isInTouch };
  }

  private calmAddresses(): string[] {
    return this.gateways.gateways
      .filter((gateway) => this.timeline.isCalmFor(gateway))
      .map(({ address }) => address);
  }

  private nameVersion(version: WeightVersion): void {
    this.newest = version;
    const named = JSON.stringify({ model: MODEL, version });
    this.store.emulator.write(`${KEY_PREFIXES.version}${MODEL}`, named);
  }

  private writeConfiguration(): void {
    this.configurationVersion += 1 + (this.configurationVersion % 3);
    this.log.note('configuration-written', { version: this.configurationVersion });
    const configuration = soakConfiguration(this.configurationVersion, this.keys.rotate());
    this.store.emulator.write(KEY_PREFIXES.configuration, JSON.stringify(configuration));
  }
}
