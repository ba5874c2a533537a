/** Questions between the nodes of a fleet: how this node asks them, and how it answers. */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type {
  JobPeers,
  OwnedBody,
  PassedOn,
  SubmissionPath,
  WeightNeed,
} from '../jobs/job-peers.js';
import type { OwnerListing } from '../jobs/job-reader.js';
import type { JobOwner, JobSpecification } from '../jobs/job-records.js';
import type { ResultSlice } from '../jobs/job-results.js';
import type { JobService } from '../jobs/job-service.js';
import type { DigestedWork } from '../jobs/kept-items.js';
import { STORE_RETRY_AFTER } from '../jobs/store-reads.js';
import type {
  PeerAnswers,
  PeerHandler,
  PeerOutcome,
  PeerPort,
  PeerRequest,
  PeerRequestOf,
} from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { CoordinatorLock } from './coordinator-lock.js';
import type { FleetRegistry } from './fleet-registry.js';
import type { JobPlacement } from './job-placement.js';
import type { WatchRelay } from './watch-relay.js';

/** Time for an answer. */
const KEPT_WORK_LIMIT: Milliseconds = 120;
/** Beyond the wait that is asked for: the owner may have the store confirm that nothing is listed. */
const RESULTS_LIMIT: Milliseconds = 700;
const END_LIMIT: Milliseconds = 600;
const HAND_OVER_LIMIT: Milliseconds = 600;
const NEED_LIMIT: Milliseconds = 300;
const SURRENDER_LIMIT: Milliseconds = 500;
const PROBE_LIMIT: Milliseconds = 250;

/**
 * Time that a node takes a job in for another one: in an outage of the store it runs the job's items
 * meanwhile. Callers wait some seconds for a job to be taken.
 */
const SUBMIT_LIMIT: Milliseconds = 6_000;

/** Time beyond a limit for the answer. */
const ANSWER_TIME: Milliseconds = 200;

/** Time between two looks whether a node that takes a job in still lives and reaches the store. */
const SUBMIT_CHECK_INTERVAL: Milliseconds = 800;

/** Nodes that are asked whether they reach the store. */
const MOST_STORE_PROBES = 4;

/** Nodes that a released job is offered to, one after the other. */
const HAND_OVER_OFFERS = 2;

/** Owners that a submission is offered to before the node that took it runs it itself. */
const SUBMISSION_OFFERS = 2;

/** Time for a node to take a job over: it reads a head and writes it. */
const ADOPT_LIMIT: Milliseconds = 600;

/** Options of {@link FleetPeers}. */
export interface FleetPeersOptions {
  readonly port: PeerPort;
  readonly fleet: FleetRegistry;
  readonly placement: JobPlacement;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly clock: Clock;
  readonly metrics: FleetMetrics;
  readonly jobs: () => JobService;
  readonly lock: () => CoordinatorLock;
  readonly relay: () => WatchRelay;
  /** Called on the coordinator: what a job needs. */
  readonly weightsNeeded: (need: WeightNeed) => void;
}

/** The other nodes of the fleet. */
export class FleetPeers implements JobPeers, PeerHandler {
  constructor(private readonly options: FleetPeersOptions) {}

  async keptWork(items: readonly string[]): Promise<ReadonlyMap<string, DigestedWork>> {
    const nodes = this.options.placement.owners().filter((node) => node !== this.options.self.node);
    const request = { kind: 'kept-work', items } as const;
    const outcomes = await Promise.all(
      nodes.map((node) => this.ask<'kept-work'>(node, request, KEPT_WORK_LIMIT)),
    );
    const work = new Map<string, DigestedWork>();
    for (const outcome of outcomes) {
      if (outcome?.kind !== 'answered') continue;
      for (const [id, kept] of outcome.answer.work) {
        if (isFurther(kept, work.get(id))) work.set(id, kept);
      }
    }
    return work;
  }

  async ownerListing(
    owner: JobOwner,
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<OwnerListing | undefined> {
    if (!this.options.fleet.isLive(owner)) return undefined;
    const request = { kind: 'job-results', job, after, wait } as const;
    const outcome = await this.ask<'job-results'>(owner.node, request, wait + RESULTS_LIMIT);
    if (outcome?.kind === 'refused') this.options.placement.noteSilent(owner.node);
    if (outcome?.kind !== 'answered' || !outcome.answer.isOwner) return undefined;
    return outcome.answer;
  }

  async endAtOwner(owner: JobOwner, job: string): Promise<boolean> {
    if (!this.options.fleet.isLive(owner)) return false;
    const outcome = await this.ask<'end-job'>(owner.node, { kind: 'end-job', job }, END_LIMIT);
    return outcome?.kind === 'answered' && outcome.answer.isEnded;
  }

  async surrenderedWork(owner: JobOwner, job: string): Promise<ReadonlyMap<string, DigestedWork>> {
    const request = { kind: 'surrender-job', job } as const;
    const outcome = await this.askAt<'surrender-job'>(owner.address, request, SURRENDER_LIMIT);
    return outcome.kind === 'answered' ? outcome.answer.work : new Map();
  }

  likelyOwners(job: string): readonly JobOwner[] {
    const { fleet, placement, self } = this.options;
    const nodes = placement.ownersOf(job).filter((node) => node !== self.node);
    return nodes.map((node) => fleet.ownerOf(node)).filter((owner) => owner !== undefined);
  }

  async bodyAtOwner(job: string, item: string): Promise<OwnedBody | undefined> {
    const [owner] = this.likelyOwners(job);
    if (owner === undefined) return undefined;
    const request = { kind: 'item-body', job, item } as const;
    const outcome = await this.ask<'item-body'>(owner.node, request, RESULTS_LIMIT);
    return outcome?.kind === 'answered' && outcome.answer.isOwner ? outcome.answer : undefined;
  }

  async submitElsewhere(spec: JobSpecification): Promise<SubmissionPath> {
    const { fleet, placement, self } = this.options;
    let mayRunElsewhere = false;
    for (const node of placement.ownersOf(spec.id).slice(0, SUBMISSION_OFFERS)) {
      if (node === self.node) {
        if (fleet.isCutOff) continue;
        break;
      }
      const request = { kind: 'submit-for', spec } as const;
      const outcome = await this.askWhileAble(node, request);
      if (outcome === undefined) continue;
      if (outcome.kind === 'answered') {
        const { failure: refusal } = outcome.answer;
        if (refusal?.kind !== 'ledger_unavailable') return { kind: 'answered', failure: refusal };
        continue;
      }
      placement.noteSilent(node);
      if (outcome.kind === 'silent') {
        mayRunElsewhere = true;
        break;
      }
    }
    return fleet.isCutOff
      ? this.submitAnywhere(spec, mayRunElsewhere)
      : { kind: 'here', mayRunElsewhere };
  }

  /**
   * Asks a node to take a job in, for as long as it answers probes and does not alone miss the store;
   * `silent` once it does not.
   */
  private async askWhileAble(
    node: NodeId,
    request: PeerRequestOf<'submit-for'>,
  ): Promise<PeerOutcome<'submit-for'> | undefined> {
    const { clock } = this.options;
    const asked = this.ask<'submit-for'>(node, request, SUBMIT_LIMIT + ANSWER_TIME);
    for (;;) {
      const pause = clock.sleep(SUBMIT_CHECK_INTERVAL).then(() => 'pending' as const);
      const outcome = await Promise.race([asked, pause]);
      if (outcome !== 'pending') return outcome;
      const reaches = await this.reachesStore(node);
      if (!reaches && !this.options.fleet.isCutOff) return { kind: 'silent' };
    }
  }

  private async reachesStore(node: NodeId): Promise<boolean> {
    const owner = this.options.fleet.ownerOf(node);
    if (owner === undefined) return false;
    const outcome = await this.ask<'probe'>(node, { kind: 'probe', owner }, PROBE_LIMIT);
    if (outcome?.kind !== 'answered') return false;
    return outcome.answer.isAlive && outcome.answer.reachesStore;
  }

  /** Has some node take a job in that reaches the store, as this one does not. */
  private async submitAnywhere(
    spec: JobSpecification,
    mayRunElsewhere: boolean,
  ): Promise<SubmissionPath> {
    const unknown = failure('outcome_unknown', 'another node may have stored the job');
    const node = await this.nodeThatReachesStore();
    if (node === undefined) return { kind: 'here', mayRunElsewhere };
    const request = { kind: 'submit-for', spec } as const;
    const outcome = await this.ask<'submit-for'>(node, request, SUBMIT_LIMIT + ANSWER_TIME);
    if (outcome?.kind === 'silent') return { kind: 'answered', failure: unknown };
    if (outcome?.kind !== 'answered') return { kind: 'here', mayRunElsewhere };
    const { failure: refusal } = outcome.answer;
    const isUnsure = mayRunElsewhere && refusal !== undefined;
    return { kind: 'answered', failure: isUnsure ? unknown : refusal };
  }

  async readElsewhere(
    job: string,
    after: number,
    wait: Milliseconds,
  ): Promise<ResultSlice | Failure | undefined> {
    const node = await this.nodeThatReachesStore();
    if (node === undefined) return undefined;
    const request = { kind: 'read-for', job, after, wait } as const;
    const outcome = await this.ask<'read-for'>(node, request, wait + RESULTS_LIMIT + ANSWER_TIME);
    return outcome?.kind === 'answered' ? outcome.answer.read : undefined;
  }

  async endElsewhere(job: string): Promise<PassedOn | undefined> {
    const node = await this.nodeThatReachesStore();
    if (node === undefined) return undefined;
    const request = { kind: 'end-for', job } as const;
    const outcome = await this.ask<'end-for'>(node, request, END_LIMIT + ANSWER_TIME);
    return outcome?.kind === 'answered' ? outcome.answer : undefined;
  }

  /** Where this node is cut off from the store: one of the own zone that is not. */
  private async nodeThatReachesStore(): Promise<NodeId | undefined> {
    const { fleet, self, zone } = this.options;
    if (!fleet.isCutOff) return undefined;
    const others = fleet.liveNodes().filter((node) => node !== self.node);
    const isNear = (node: NodeId): boolean => fleet.zoneOf(node) === zone;
    const inOrder = [...others.filter(isNear), ...others.filter((node) => !isNear(node))];
    const states = inOrder
      .slice(0, MOST_STORE_PROBES)
      .map(async (node) => ((await this.reachesStore(node)) ? node : undefined));
    return (await Promise.all(states)).find((node) => node !== undefined);
  }

  /** True for a time from now on. */
  private whileAsked(limit: Milliseconds): () => boolean {
    const { clock } = this.options;
    const end = clock.now() + limit;
    return () => clock.now() < end;
  }

  async handOver(job: string): Promise<void> {
    const nodes = this.likelyOwners(job).slice(0, HAND_OVER_OFFERS);
    for (const node of nodes) {
      const request = { kind: 'take-job', job } as const;
      const outcome = await this.ask<'take-job'>(node.node, request, HAND_OVER_LIMIT);
      if (outcome?.kind === 'answered' && outcome.answer.isTaken) return;
    }
  }

  /** Has the node that is to run a job take it over; tells whether it did. */
  async adoptElsewhere(
    node: NodeId,
    job: string,
    owner: JobOwner,
    ownerAnswers: boolean,
  ): Promise<boolean> {
    const request = { kind: 'adopt-job', job, owner, ownerAnswers } as const;
    const outcome = await this.ask<'adopt-job'>(node, request, ADOPT_LIMIT);
    return outcome?.kind === 'answered' && outcome.answer.isTaken;
  }

  needWeights(need: WeightNeed): void {
    const holder = this.options.lock().holder;
    if (holder === undefined) return;
    if (holder === this.options.self.node) {
      this.options.weightsNeeded(need);
      return;
    }
    void this.ask<'need-weights'>(holder, { kind: 'need-weights', need }, NEED_LIMIT);
  }

  async answer(request: PeerRequest): Promise<PeerAnswers[PeerRequest['kind']]> {
    const { self, jobs, weightsNeeded } = this.options;
    switch (request.kind) {
      case 'probe':
        return {
          isAlive: request.owner.incarnation === self.incarnation,
          reachesStore: !this.options.fleet.isCutOff,
          hasDuties: this.options.fleet.hasDuties,
        };
      case 'kept-work':
        return { work: jobs().keptWorkOf(request.items) };
      case 'job-results':
        return jobs().ownListing(request.job, request.after, request.wait);
      case 'end-job':
        return { isEnded: !this.options.fleet.isCutOff && (await jobs().endOwn(request.job)) };
      case 'surrender-job':
        return { work: jobs().surrender(request.job) };
      case 'submit-for':
        return { failure: await this.submitFor(request.spec) };
      case 'adopt-job':
        return {
          isTaken: await jobs().adoptFrom(request.job, request.owner, request.ownerAnswers),
        };
      case 'item-body':
        return jobs().ownBody(request.job, request.item);
      case 'read-for':
        return { read: await jobs().readHere(request.job, request.after, request.wait) };
      case 'end-for':
        return { failure: await jobs().endHere(request.job, this.whileAsked(END_LIMIT)) };
      case 'take-job':
        return { isTaken: await jobs().takeReleased(request.job) };
      case 'follow-prefix':
        return this.options.relay().answer(request);
      case 'list-prefix':
        return this.options.relay().answerList(request);
      case 'resign-coordinator':
        return { lastOrderAge: this.options.lock().resign() };
      case 'need-weights':
        weightsNeeded(request.need);
        return { isNoted: true };
    }
  }

  /** Takes a job in for another node; refuses at once where the store is out of reach. */
  private async submitFor(spec: JobSpecification): Promise<Failure | undefined> {
    const { fleet, jobs } = this.options;
    if (fleet.isCutOff) {
      return failure('ledger_unavailable', 'the store does not answer', {
        retryAfter: STORE_RETRY_AFTER,
      });
    }
    return jobs().submitHere(spec, this.whileAsked(SUBMIT_LIMIT));
  }

  private async ask<Kind extends PeerRequest['kind']>(
    node: NodeId,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind> | undefined> {
    const address = this.options.fleet.addressOf(node);
    return address === undefined ? undefined : this.askAt<Kind>(address, request, limit);
  }

  private async askAt<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequestOf<Kind>,
    limit: Milliseconds,
  ): Promise<PeerOutcome<Kind>> {
    const outcome = await this.options.port.ask<Kind>(address, request, limit);
    const labels = { call: request.kind, outcome: outcome.kind };
    this.options.metrics.count('peer_calls', labels);
    return outcome;
  }
}

/** Whether one node's work on an item got further than another's. */
function isFurther(one: DigestedWork, other: DigestedWork | undefined): boolean {
  return other === undefined || progressOf(one) > progressOf(other);
}

function progressOf({ work }: DigestedWork): number {
  return work.kind === 'finished' ? Number.POSITIVE_INFINITY : work.progress.events.length;
}
