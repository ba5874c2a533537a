/**
 * Checks the promises by what callers and workers see on their sockets: complete answers, samples
 * whose text and versions are those that were made, positions that never change, jobs that stay,
 * refusals that are true, orders under rising tokens, scores that are the answer to the item's own
 * score request after its text, no work for jobs that have ended, and none under another tenant than
 * the one whose key was shown, no lookup outside the region that may serve it, a new configuration in
 * force in time, nothing for evacuated zones, and no request that its caller had not sent so.
 */
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { EndedJobs } from './ended-jobs.js';
import { LethalRequestChecker } from './lethal-request-checker.js';
import { OrderTurns } from './order-turns.js';
import { OwedItems } from './owed-items.js';
import type { KnownJobReads, ReadResult, SubmittedJob, Violation } from './promise-records.js';
import type { RequestSender } from './request-sender.js';
import { ALLOWED_REGION } from './soak-call.js';
import { EVACUATION_BOUND } from './soak-evacuations.js';
import { KEY_PREFIX, UNAUTHORIZED } from './soak-keys.js';
import type { SoakLog } from './soak-log.js';

interface KnownJob extends SubmittedJob {
  isAccepted: boolean;
  readonly positions: string[];
}

/** Time after a worker said that it leaves in which work may still reach it. */
const DRAIN_LIMIT: Milliseconds = 2_000;

/** Time without a run after which an item counts as left out. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

/** Line of a sample that event `index` of an item makes at a version. */
export function sampleLine(item: string, index: number, version: WeightVersion): string {
  return `${item}.${index}.v${version}`;
}

function describeProcess({ name, detail }: { name: string; detail: string }): string {
  return `${name} ${detail}`;
}

/** Collects what was seen and says what was broken. */
export class PromiseChecker {
  readonly violations: Violation[] = [];
  /** Comparisons made. */
  checked = 0;
  /** Comparisons by promise; some are made only while nothing excuses a breach. */
  readonly checkedByPromise: Partial<Record<Violation['promise'], number>> = {};
  private readonly jobs = new Map<string, KnownJob>();
  private readonly jobOfItem = new Map<string, string>();
  private readonly tenants = new Map<string, string>();
  private readonly startedItems = new Set<string>();
  private readonly holders = new Map<number, string>();
  private readonly itemOfScore = new Map<string, string>();
  /** Items whose text some worker has made to its end. */
  private readonly endedTexts = new Set<string>();
  /** Signatures of successful answers, by score request. */
  private readonly signatures = new Map<string, Set<string>>();
  private readonly lethalRequests = new LethalRequestChecker();
  private readonly endedJobs: EndedJobs;
  private readonly orderTurns: OrderTurns;
  private readonly owedItems: OwedItems;
  private readonly leftOut = new Set<string>();

  constructor(
    private readonly now: () => Milliseconds,
    log?: Pick<SoakLog, 'note'>,
  ) {
    this.endedJobs = new EndedJobs(now, log);
    this.orderTurns = new OrderTurns(now);
    this.owedItems = new OwedItems(now);
  }

  /** Items and scores that came to workers after the end of their job, in time or not. */
  get workAfterEnd(): number {
    return this.endedJobs.workAfterEnd;
  }

  /** Most workers that ended under one request. */
  get mostEndedUnderOne(): number {
    return this.lethalRequests.mostEndedUnderOne;
  }

  /** A worker began a request that ends it. */
  lethalBegun(path: string, worker: string): void {
    const isAllowed = this.lethalRequests.begin(path, this.now());
    const detail = `${worker} is number ${this.lethalRequests.runsOf(path)} that ends under ${path}`;
    this.check(isAllowed, 'query-of-death', detail);
  }

  /** All gateways lost their memory while the store was away from some of them since a moment. */
  memoryLost(storeAwaySince: Milliseconds): void {
    this.lethalRequests.noteMemoryLost(storeAwaySince);
  }

  /** A request that ends its workers was answered: never with success. */
  lethalAnswered(path: string, status: number): void {
    this.check(status !== 200, 'query-of-death', `${path} was answered with ${status}`);
  }

  /** A request came to a cold worker; `excess` tells how many came within a second where it bears fewer. */
  coldRequestCame(worker: string, excess: number | undefined): void {
    this.check(excess === undefined, 'cold-worker', `${worker} got ${excess} within a second`);
  }

  /** The processes were looked at: which ended by themselves or took too much memory. */
  processesSeen(faults: readonly { readonly name: string; readonly detail: string }[]): void {
    this.check(faults.length === 0, 'process-bounds', faults.map(describeProcess).join('; '));
  }

  /** A lookup that only one region may serve came to a worker. */
  regionalLookupCame(request: string, region: string): void {
    this.check(region === ALLOWED_REGION, 'residency', `${request} came to ${region}`);
  }

  /** A lookup got a success with this body. */
  lookupAnswered(request: string, body: string, expected: string): void {
    this.check(body === expected, 'complete-answer', `${request} got ${body.slice(0, 60)}`);
  }

  /** A caller is about to ask under a tenant's key; its items run under the same tenant. */
  requestOffered(request: string, tenant: string): void {
    this.tenants.set(request, tenant);
  }

  /** A request came to a worker; `difference` tells what its caller had not sent so. */
  requestCame(difference: string | undefined): void {
    this.check(difference === undefined, 'unasked-request', difference ?? '');
  }

  /** A worker took a request, told of a tenant; its headers are looked through for keys. */
  tenantTold(request: string, tenant: string | undefined, headers: readonly string[]): void {
    const job = this.jobOfItem.get(request);
    const asked = this.tenants.get(job ?? request);
    this.check(tenant === asked, 'tenant-told', `${request} of ${asked} ran for ${tenant}`);
    const holdsKey = headers.some((value) => value.startsWith(KEY_PREFIX));
    this.check(!holdsKey, 'tenant-told', `${request} came with its key`);
  }

  /** A request with a key that was taken away came to a status. */
  revokedKeyAnswered(status: number, age: Milliseconds): void {
    this.check(status !== 200, 'key-revoked', `served ${Math.round(age)} ms after its key went`);
  }

  /** A calm gateway was asked with a key that the newest configuration brought. */
  newKeyAnswered(gateway: string, status: number, age: Milliseconds): void {
    const detail = `${gateway} refused a key ${Math.round(age)} ms after it was added`;
    this.check(status !== UNAUTHORIZED, 'configuration-in-force', detail);
  }

  /** A gateway was asked with a key that has been in force for longer than a change may take. */
  keyInForceAnswered(gateway: string, status: number, age: Milliseconds): void {
    const detail = `${gateway} refused a key for good ${Math.round(age)} ms after it was added`;
    this.check(status !== UNAUTHORIZED, 'stale-rejection', detail);
  }

  /** A job is about to be handed in for the first time. */
  jobOffered(job: SubmittedJob): void {
    this.jobs.set(job.id, { ...job, isAccepted: false, positions: [] });
    for (const item of job.events.keys()) this.jobOfItem.set(item, job.id);
    for (const [item, request] of job.scoreRequests ?? []) this.itemOfScore.set(request, item);
  }

  /** A job was answered with 202. */
  jobAccepted(job: string): void {
    const known = this.jobs.get(job);
    if (known === undefined) return;
    known.isAccepted = true;
    this.owedItems.noteAccepted(job, [...known.events.keys()]);
  }

  /** All attempts at a job were refused with a promise that nothing of it runs. */
  jobRefused(job: string): void {
    const started = [...(this.jobs.get(job)?.events.keys() ?? [])].filter((item) =>
      this.startedItems.has(item),
    );
    this.check(started.length === 0, 'refusal-true', `${job} was refused, ${started[0]} ran`);
  }

  /** The end of a job was acknowledged. */
  jobEnded(job: string): void {
    this.endedJobs.noteEnded(job);
    this.owedItems.noteEnded(job);
  }

  /** A caller is about to ask for the end of a job. */
  endRequested(job: string): void {
    this.owedItems.noteEnded(job);
  }

  /** A worker took an item or the request for a score. */
  workBegan(request: string): void {
    this.owedItems.noteStarted(this.itemOfScore.get(request) ?? request);
  }

  /** A worker is done with such a request, in whatever way. */
  workLeft(request: string): void {
    this.owedItems.noteLeft(this.itemOfScore.get(request) ?? request);
  }

  /** All is calm since a moment, and workers have room: each owed item is at one again and again. */
  checkOwedItems(since: Milliseconds): void {
    const leftOut = this.owedItems.leftOut(since, MAX_IDLE_TIME);
    this.check(true, 'item-left-out', '');
    for (const { item, idle } of leftOut) {
      if (this.leftOut.has(item)) continue;
      this.leftOut.add(item);
      const detail = `${item} of ${this.jobOfItem.get(item)} was at no worker for ${Math.round(idle)} ms`;
      this.check(false, 'item-left-out', detail);
    }
  }

  /** An accepted job was answered as unknown. */
  jobUnknown(job: string): void {
    const isAccepted = this.jobs.get(job)?.isAccepted === true;
    this.check(!isAccepted, 'job-kept', `${job} was accepted and is not known`);
  }

  /** Results were read from a position on. */
  resultsRead(job: string, total: number, after: number, results: readonly ReadResult[]): void {
    const known = this.jobs.get(job);
    if (known === undefined) return;
    this.check(total === known.events.size, 'positions', `${job} has total ${total}`);
    for (const [offset, result] of results.entries()) {
      this.owedItems.noteDone(result.id);
      this.checkPosition(known, after + offset, result);
      this.checkSample(known, result);
    }
  }

  /**
   * Results that were read before and are asked for again, from the start, at one gateway; a count
   * below 0 tells that the job could not be read.
   */
  resultsReadAgain(
    job: string,
    count: number,
    gateway: string,
    seen = this.jobs.get(job)?.positions.length ?? 0,
  ): void {
    const isReadable = count >= 0;
    const detail = isReadable ? `has ${count}` : 'can not be read';
    const holds = isReadable && count >= seen;
    this.check(holds, 'job-kept', `${job} had ${seen} results and ${detail} at ${gateway}`);
  }

  /** A worker began to run an item. */
  itemStarted(
    item: string,
    sender: RequestSender,
    isLeavingSince: Milliseconds | undefined,
    isCalm: boolean,
  ): void {
    this.startedItems.add(item);
    this.checkNotEnded(item, item, sender);
    if (isLeavingSince === undefined || !isCalm) return;
    const leavingFor = this.now() - isLeavingSince;
    this.check(leavingFor <= DRAIN_LIMIT, 'leaving-worker', `${item} after ${leavingFor} ms`);
  }

  /** Something reached a worker whose zone had been evacuated for some time. */
  evacuatedZoneReached(request: string, evacuatedFor: Milliseconds): void {
    const detail = `${request} after ${Math.round(evacuatedFor)} ms`;
    this.check(evacuatedFor <= EVACUATION_BOUND, 'evacuated-zone', detail);
  }

  /** A worker sent the last event of an item. */
  textEnded(item: string): void {
    this.endedTexts.add(item);
  }

  /** A worker took a score request. */
  scoreAsked(request: string, sender: RequestSender): void {
    const item = this.itemOfScore.get(request);
    this.check(item !== undefined, 'sample-score', `nobody named the score request ${request}`);
    if (item === undefined) return;
    this.check(this.endedTexts.has(item), 'sample-score', `${request} came before its text`);
    this.checkNotEnded(request, item, sender);
  }

  /** A worker answered a score request with success. */
  scoreGiven(request: string, signature: string): void {
    this.scoreHeadSent(request, signature);
    const item = this.itemOfScore.get(request);
    if (item !== undefined) this.owedItems.noteDone(item);
  }

  /** A worker sent the head of such an answer; without a length, its body is whole at any close. */
  scoreHeadSent(request: string, signature: string): void {
    const known = this.signatures.get(request) ?? new Set();
    this.signatures.set(request, known.add(signature));
  }

  /** An order of a node came to a worker, whatever became of it. */
  orderCame(worker: string, holder: string): void {
    const mistake = this.orderTurns.note(worker, holder);
    this.check(mistake === undefined, 'coordinator-turns', mistake ?? '');
  }

  /** A worker took an order. */
  orderTaken(holder: string, token: number, highestBefore: number): void {
    const before = this.holders.get(token);
    this.check(
      before === undefined || before === holder,
      'fencing',
      `${token}: ${before}, ${holder}`,
    );
    this.holders.set(token, holder);
    this.check(token >= highestBefore, 'fencing', `${token} after ${highestBefore}`);
  }

  /** Jobs that were accepted, with the results that were read. */
  acceptedJobs(): readonly KnownJobReads[] {
    return [...this.jobs.values()]
      .filter((job) => job.isAccepted)
      .map(({ id, events, positions }) => ({
        ...{ id, total: events.size, read: positions.length },
        tenant: this.tenants.get(id) ?? '',
      }));
  }

  /** Whatever happens to others, a gateway in touch sends nothing of a job that ended a while ago. */
  private checkNotEnded(request: string, item: string, sender: RequestSender): void {
    const late = this.endedJobs.noteWork(request, this.jobOfItem.get(item) ?? '', sender);
    if (sender.isInTouch) this.check(late === undefined, 'ended-job', late ?? '');
  }

  private checkPosition(job: KnownJob, position: number, result: ReadResult): void {
    const key = JSON.stringify([result.id, result.state, result.text, result.score]);
    const before = job.positions[position];
    if (before === undefined) {
      const isNew = !job.positions.some((other) => JSON.parse(other)[0] === result.id);
      this.check(isNew, 'positions', `${result.id} stands twice in ${job.id}`);
      job.positions[position] = key;
    } else this.check(before === key, 'positions', `${job.id}[${position}] has changed`);
  }

  private checkSample(job: KnownJob, result: ReadResult): void {
    const events = job.events.get(result.id);
    this.check(events !== undefined, 'positions', `${result.id} is not of ${job.id}`);
    if (result.state !== 'completed' || events === undefined) return;
    const lines = result.text.split('\n');
    const versions = lines.map((line) => Number(line.split('.v').at(-1)));
    const isWhole =
      lines.length === events &&
      lines.every((line, index) => line === sampleLine(result.id, index, versions[index] ?? 0));
    this.check(isWhole, 'sample-text', `${result.id} has ${lines.length} of ${events} events`);
    const told = [...result.versions].sort((a, b) => a - b).join();
    const made = [...new Set(versions)].sort((a, b) => a - b).join();
    this.check(told === made, 'sample-versions', `${result.id} names ${told}, made by ${made}`);
    const oldest = Math.min(...versions);
    this.check(oldest >= job.minVersion, 'sample-versions', `${result.id} is of ${oldest}`);
    this.checkScore(job, result);
  }

  private checkScore(job: KnownJob, { id, score }: ReadResult): void {
    const request = job.scoreRequests?.get(id);
    if (request === undefined) return;
    const isGiven = score !== undefined && this.signatures.get(request)?.has(score) === true;
    this.check(isGiven, 'sample-score', `${id} has ${score}, which nobody gave to ${request}`);
  }

  private check(holds: boolean, promise: Violation['promise'], detail: string): void {
    this.checked += 1;
    this.checkedByPromise[promise] = (this.checkedByPromise[promise] ?? 0) + 1;
    if (!holds) this.violations.push({ promise, detail, at: Math.round(this.now()) });
  }
}
