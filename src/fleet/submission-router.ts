/**
 * Selects the node that accepts a submitted job: its preferred owner, the next one if that fails,
 * or this node. The router tracks whether a node may have accepted the job, as a later rejection
 * must then report the outcome as unknown.
 *
 * A job that is limited to regions is offered to nodes in these only; a node outside them forwards
 * the job without storing it, or rejects it.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import type { SubmissionPath } from '../jobs/job-peers.js';
import type { JobOwner, JobSpecification } from '../jobs/job-records.js';
import type { PeerOutcome, PeerRequestOf } from '../peers/peer-messages.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';
import { type JobResidency, UNRESTRICTED_RESIDENCY } from '../placement/job-residency.js';
import type { Clock } from '../serving/clock.js';
import type { FleetRegistry } from './fleet-registry.js';
import type { JobPlacement } from './job-placement.js';
import type { PeerRequester } from './peer-requester.js';

/**
 * Time limit for all offers of a job together: callers wait some seconds for the answer, and during
 * an outage of the store the first offer may take long. If each of two nodes had this time for
 * itself, a caller would wait 12 s for a rejection.
 */
export const SUBMISSION_TIMEOUT: Milliseconds = 6_000;

/** Time added to a limit for the answer to arrive. */
const ANSWER_MARGIN: Milliseconds = 200;

/** Time between two checks whether a node that is accepting a job is live and reaches the store. */
const OFFER_CHECK_INTERVAL: Milliseconds = 800;

/** Minimum time for an offer; a node may need as long to store a job in normal operation. */
const MIN_OFFER_TIME: Milliseconds = 500;

/** Maximum number of nodes probed for a job that this node may not hold. */
const MAX_PROBED_NODES = 4;

/** Maximum number of nodes that answered a probe and are offered the job. */
const MAX_CROSS_REGION_OFFERS = 2;

export interface SubmissionRouterOptions {
  readonly requester: PeerRequester;
  readonly fleet: FleetRegistry;
  readonly placement: JobPlacement;
  readonly self: JobOwner;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  /** Whether this zone accepts jobs while the store is unreachable. */
  readonly acceptsJobsWithoutStore: () => boolean;
  /** Which nodes may hold a job. @default all */
  readonly residency?: JobResidency | undefined;
}

/** Finds the node that accepts a job. */
export class SubmissionRouter {
  private readonly residency: JobResidency;

  constructor(private readonly options: SubmissionRouterOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
  }

  /** Has another node accept the job, or returns that this node has to store it. */
  async route(spec: JobSpecification): Promise<SubmissionPath> {
    const { fleet, placement, self, clock, acceptsJobsWithoutStore } = this.options;
    const deadline = clock.now() + SUBMISSION_TIMEOUT;
    const allowed = this.residency.regionsForSpec(spec);
    const mayHoldHere = this.residency.mayHoldHere(allowed);
    const mayOwn = this.residency.holderFilter(allowed);
    const targets = mayHoldHere
      ? placement.offerTargets(spec.id, mayOwn)
      : await this.responsiveNodes(placement.remoteOfferTargets(spec.id, mayOwn));
    let mayRunElsewhere = false;
    for (const node of targets) {
      if (node === self.node) {
        if (fleet.isStoreUnreachable && !acceptsJobsWithoutStore()) continue;
        break;
      }
      const limit = deadline - clock.now();
      if (limit < MIN_OFFER_TIME) break;
      const origin = mayHoldHere ? {} : { isFromOutside: true };
      const outcome = await this.offer(node, { kind: 'submit-for', spec, limit, ...origin });
      if (outcome === undefined) continue;
      if (outcome.kind === 'answered') {
        const { failure: rejection } = outcome.answer;
        const isOutage = rejection?.kind === 'ledger_unavailable';
        const isTimeLeft = deadline - clock.now() >= MIN_OFFER_TIME;
        if (!isOutage || !isTimeLeft) return { kind: 'answered', failure: rejection };
        continue;
      }
      if (outcome.kind !== 'unsupported') placement.noteUnresponsive(node);
      if (outcome.kind === 'silent') {
        mayRunElsewhere = true;
        break;
      }
    }
    if (!mayHoldHere)
      return { kind: 'nowhere', failure: regionRejection(allowed, mayRunElsewhere) };
    if (fleet.isStoreUnreachable)
      return this.routeThroughConnectedNode(spec, mayRunElsewhere, deadline);
    return { kind: 'here', mayRunElsewhere };
  }

  /**
   * Returns the first nodes that answer a probe: an unresponsive node might accept an offer without
   * being able to answer.
   */
  private async responsiveNodes(nodes: readonly NodeId[]): Promise<NodeId[]> {
    const { requester, placement } = this.options;
    const probedNodes = nodes.slice(0, MAX_PROBED_NODES);
    const areLive = await Promise.all(probedNodes.map((node) => requester.isAlive(node)));
    const unresponsive = probedNodes.filter((_, index) => areLive[index] !== true);
    for (const node of unresponsive) placement.noteUnresponsive(node);
    return probedNodes
      .filter((_, index) => areLive[index] === true)
      .slice(0, MAX_CROSS_REGION_OFFERS);
  }

  /**
   * Offers the job to a node; `silent` if the node stops answering probes, or loses the store while
   * this node reaches it.
   */
  private async offer(
    node: NodeId,
    request: PeerRequestOf<'submit-for'>,
  ): Promise<PeerOutcome<'submit-for'> | undefined> {
    const { requester, clock, fleet } = this.options;
    const answer = requester.request<'submit-for'>(node, request, request.limit + ANSWER_MARGIN);
    for (;;) {
      const pause = clock.sleep(OFFER_CHECK_INTERVAL).then(() => 'pending' as const);
      const outcome = await Promise.race([answer, pause]);
      if (outcome !== 'pending') return outcome;
      const canReachStore = await requester.canReachStore(node);
      if (!canReachStore && !fleet.isStoreUnreachable) return { kind: 'silent' };
    }
  }

  /** Has a node that reaches the store accept the job, as this node cannot. */
  private async routeThroughConnectedNode(
    spec: JobSpecification,
    mayRunElsewhere: boolean,
    deadline: Milliseconds,
  ): Promise<SubmissionPath> {
    const { requester, clock, placement } = this.options;
    const mayHold = this.residency.holderFilter(this.residency.regionsForSpec(spec));
    const where = placement.runsJobsByZone ? 'own-zone' : 'anywhere';
    const node = await requester.findNodeReachingStore(where, mayHold);
    if (node === undefined) return { kind: 'here', mayRunElsewhere };
    const limit = Math.max(MIN_OFFER_TIME, deadline - clock.now());
    const request = { kind: 'submit-for', spec, limit } as const;
    const outcome = await requester.request<'submit-for'>(node, request, limit + ANSWER_MARGIN);
    if (outcome?.kind === 'silent') return { kind: 'answered', failure: MAY_BE_STORED };
    if (outcome?.kind !== 'answered') return { kind: 'here', mayRunElsewhere };
    const { failure: rejection } = outcome.answer;
    const isOutcomeUncertain = mayRunElsewhere && rejection !== undefined;
    return { kind: 'answered', failure: isOutcomeUncertain ? MAY_BE_STORED : rejection };
  }
}

const MAY_BE_STORED = failure('outcome_unknown', 'another node may have stored the job');

/** Returns why a node outside a job's regions rejects it: no node inside them accepted it. */
function regionRejection(allowed: AllowedRegions, mayRunElsewhere: boolean): Failure {
  if (mayRunElsewhere) return MAY_BE_STORED;
  const regions = allowed?.join(', ') ?? '';
  return failure('region_unavailable', `no node in the allowed regions (${regions}) answers`);
}
