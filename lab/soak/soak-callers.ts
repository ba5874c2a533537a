/** The callers of the soak: lookups, and trainers that draw step after step. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { JobLookers } from './job-lookers.js';
import type { OfferedRequests } from './offered-requests.js';
import type { PromiseChecker } from './promise-checker.js';
import {
  LOOKUP_LIMIT,
  LOOKUP_PREFIX,
  performCall,
  REGIONAL_PREFIX,
  type SoakAnswer,
} from './soak-call.js';
import type { SoakEvacuations } from './soak-evacuations.js';
import { SoakKeyCallers } from './soak-key-callers.js';
import type { SoakKeys } from './soak-keys.js';
import { SoakLethalCallers } from './soak-lethal-callers.js';
import { SoakTrainer, type TrainerCounts, type TrainerIdentity } from './soak-trainer.js';
import { SoakUploadCallers, type UploadCounts } from './soak-upload-callers.js';

/** The trainers; each has steps of its own. */
const TRAINERS: readonly TrainerIdentity[] = [
  { tenant: 'trainers', zone: 'zone-a', namesVersions: true },
  { tenant: 'trainers-b', zone: 'zone-b', namesVersions: false },
  { tenant: 'trainers-c', zone: 'zone-a', namesVersions: false },
  { tenant: 'trainers-d', zone: 'zone-b', namesVersions: false },
];

/** What callers need of the soak around them. */
export interface CallerSurroundings {
  readonly checker: PromiseChecker;
  readonly offered: OfferedRequests;
  readonly keys: SoakKeys;
  readonly evacuations: Pick<SoakEvacuations, 'requestOffered'>;
  /** Whether no fault is going on that excuses a key's late end. */
  readonly isCalm: () => boolean;
  /** Whether the store does not answer some gateways. */
  readonly isStoreAway: () => boolean;
  /** Whether some gateways lack a part of the store's answers, or the gateways of other regions. */
  readonly arePartlyServed: () => boolean;
  readonly random: RandomSource;
  readonly now: () => Milliseconds;
  readonly zones: readonly string[];
  /** Front addresses of gateways that nothing has happened to lately, whatever befell others. */
  readonly calmAddresses: () => readonly string[];
  /** Whether all gateways are of a build that refuses for good by a current configuration only. */
  readonly rejectsOnlyWhenCurrent: boolean;
  /** Front addresses of the gateways. */
  readonly addresses: () => readonly string[];
  /** Those of one zone. */
  readonly addressesIn: (zone: string) => readonly string[];
  readonly model: string;
  /** Names a version to the platform. */
  readonly nameVersion: (version: WeightVersion) => void;
  /** The version named last. */
  readonly newestVersion: () => WeightVersion;
}

/** What came of all calls. */
export interface CallerCounts extends TrainerCounts, UploadCounts {
  lookups: number;
  lookupsServed: number;
  /** Lookups that were not served, by the status and detail of the answer, or `no answer`. */
  readonly lookupsUnserved: Record<string, number>;
}

/** Asks until told to stop. */
export class SoakCallers {
  readonly counts: CallerCounts = {
    lookups: 0,
    lookupsServed: 0,
    lookupsUnserved: {},
    uploads: 0,
    uploadsServed: 0,
    uploadsBrokenOff: 0,
    steps: 0,
    stepsWhole: 0,
    stepsAbandoned: 0,
    overlappingSubmissions: 0,
    overlapsWhileStoreAway: 0,
    acceptedInOtherZone: 0,
  };
  private isStopped = false;
  private readonly keyCallers: SoakKeyCallers;
  private readonly lethalCallers: SoakLethalCallers;
  private readonly uploadCallers: SoakUploadCallers;
  private readonly trainers: readonly SoakTrainer[];
  private readonly jobLookers: JobLookers;
  private loops: Promise<void>[] = [];

  constructor(private readonly surroundings: CallerSurroundings) {
    this.keyCallers = new SoakKeyCallers(surroundings);
    this.lethalCallers = new SoakLethalCallers(surroundings);
    this.uploadCallers = new SoakUploadCallers(surroundings, this.counts);
    this.jobLookers = new JobLookers(surroundings);
    this.trainers = TRAINERS.map(
      (identity) => new SoakTrainer(identity, surroundings, this.counts),
    );
  }

  /** Begins to ask. */
  start(): void {
    const prefixes = [LOOKUP_PREFIX, LOOKUP_PREFIX, REGIONAL_PREFIX];
    this.loops = prefixes.map((prefix) => this.lookups(prefix));
    for (const trainer of this.trainers) trainer.start();
    this.jobLookers.start();
    this.keyCallers.start();
    this.lethalCallers.start();
    this.uploadCallers.start();
  }

  /** After a loss of power, trainers hand in once more what was accepted a moment ago. */
  async repeatRecent(): Promise<void> {
    await Promise.all(this.trainers.map((trainer) => trainer.repeatRecent()));
  }

  /** Asks no more; resolves when nothing is under way. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const trainers = this.trainers.map((trainer) => trainer.stop());
    const { jobLookers, keyCallers, lethalCallers, uploadCallers } = this;
    const others = [jobLookers, keyCallers, lethalCallers, uploadCallers];
    const stopped = others.map((callers) => callers.stop());
    await Promise.all([...this.loops, ...trainers, ...stopped]);
  }

  private async lookups(prefix: string): Promise<void> {
    const { checker, offered, random, keys, addresses, evacuations } = this.surroundings;
    while (!this.isStopped) {
      const id = random.identifier();
      checker.requestOffered(id, 'brokers');
      const all = addresses();
      const address = all[random.integer(all.length)] ?? '';
      evacuations.requestOffered(id, address);
      const path = `${prefix}${id}`;
      const body = `question-${id}`;
      offered.note({ id, method: 'POST', path, body: Buffer.from(body) });
      const answer = await performCall({
        address,
        method: 'POST',
        path,
        id,
        key: keys.currentKey('brokers'),
        body,
        wait: undefined,
        limit: LOOKUP_LIMIT,
      });
      this.counts.lookups += 1;
      if (answer?.status === 200) {
        this.counts.lookupsServed += 1;
        checker.lookupAnswered(id, answer.body, `${id}:question-${id}`);
      } else {
        const outcome = outcomeOf(answer);
        this.counts.lookupsUnserved[outcome] = (this.counts.lookupsUnserved[outcome] ?? 0) + 1;
      }
      await sleep(40);
    }
  }
}

/** Status and body of an answer, which name the kind of a refusal; callers tell them apart by it. */
function outcomeOf(answer: SoakAnswer | undefined): string {
  return answer === undefined ? 'no answer' : `${answer.status} ${answer.body}`.slice(0, 120);
}
