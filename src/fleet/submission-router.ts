/**
 * Where a submitted job goes: to the node that is to run it, to the next one where that one is gone,
 * or to this node itself. A node that may have taken the job is never forgotten: what is refused
 * afterwards is then refused as unknown, not as if the job had not run.
 *
 * A job that is limited to regions goes to nodes in these alone. A node outside them that a caller
 * has connected to passes it straight to one inside, or refuses it.
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
 * Time for all nodes together to which a job is offered: in an outage of the store the first of them
 * runs the job's items meanwhile. Callers wait some seconds for a job to be taken; where each of
 * two nodes had this time for itself, a caller waited 12.4 s for a refusal.
 */
export const SUBMIT_LIMIT: Milliseconds = 6_000;

/** Time beyond a limit for the answer. */
const ANSWER_TIME: Milliseconds = 200;

/** Time between two looks whether a node that takes a job in still lives and reaches the store. */
const CHECK_INTERVAL: Milliseconds = 800;

/** Least time for which a node is asked: less would not take a job in on a calm day. */
const LEAST_OFFER: Milliseconds = 500;

/** Nodes in its regions that are probed for a job that this node may not hold. */
const MOST_PROBED = 4;

/** Those of them that answered and are offered the job. */
const OFFERS_ACROSS = 2;

/** Options of {@link SubmissionRouter}. */
export interface SubmissionRouterOptions {
  readonly calls: PeerRequester;
  readonly fleet: FleetRegistry;
  readonly placement: JobPlacement;
  readonly self: JobOwner;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  /** Whether this zone takes jobs in while the store is out of reach. */
  readonly acceptsJobsWithoutStore: () => boolean;
  /** Which nodes may hold a job. @default all */
  readonly residency?: JobResidency | undefined;
}

/** Finds the node that takes a job in. */
export class SubmissionRouter {
  private readonly residency: JobResidency;

  constructor(private readonly options: SubmissionRouterOptions) {
    this.residency = options.residency ?? UNRESTRICTED_RESIDENCY;
  }

  /** Has another node take the job in, or tells that it is for this one to store. */
  async route(spec: JobSpecification): Promise<SubmissionPath> {
    const { fleet, placement, self, clock, acceptsJobsWithoutStore: takesJobsAlone } = this.options;
    const deadline = clock.now() + SUBMIT_LIMIT;
    const allowed = this.residency.regionsForSpec(spec);
    const mayStayHere = this.residency.mayHoldHere(allowed);
    const mayOwn = this.residency.holderFilter(allowed);
    const offers = mayStayHere
      ? placement.offersFor(spec.id, mayOwn)
      : await this.answering(placement.offersElsewhere(spec.id, mayOwn));
    let mayRunElsewhere = false;
    for (const node of offers) {
      if (node === self.node) {
        if (fleet.isStoreUnreachable && !takesJobsAlone()) continue;
        break;
      }
      const limit = deadline - clock.now();
      if (limit < LEAST_OFFER) break;
      const outside = mayStayHere ? {} : { isFromOutside: true };
      const outcome = await this.offer(node, { kind: 'submit-for', spec, limit, ...outside });
      if (outcome === undefined) continue;
      if (outcome.kind === 'answered') {
        const { failure: refusal } = outcome.answer;
        const isOutage = refusal?.kind === 'ledger_unavailable';
        const isTimeLeft = deadline - clock.now() >= LEAST_OFFER;
        if (!isOutage || !isTimeLeft) return { kind: 'answered', failure: refusal };
        continue;
      }
      if (outcome.kind !== 'unsupported') placement.noteUnresponsive(node);
      if (outcome.kind === 'silent') {
        mayRunElsewhere = true;
        break;
      }
    }
    if (!mayStayHere) return { kind: 'nowhere', failure: refusalOutside(allowed, mayRunElsewhere) };
    if (fleet.isStoreUnreachable) return this.routeAnywhere(spec, mayRunElsewhere, deadline);
    return { kind: 'here', mayRunElsewhere };
  }

  /** Those of the first nodes that answer a probe: an offer to a silent one might be taken unheard. */
  private async answering(nodes: readonly NodeId[]): Promise<NodeId[]> {
    const { calls, placement } = this.options;
    const first = nodes.slice(0, MOST_PROBED);
    const lives = await Promise.all(first.map((node) => calls.isAlive(node)));
    const silent = first.filter((_, index) => lives[index] !== true);
    for (const node of silent) placement.noteUnresponsive(node);
    return first.filter((_, index) => lives[index] === true).slice(0, OFFERS_ACROSS);
  }

  /**
   * Offers the job to a node for as long as that one answers probes and does not alone miss the
   * store; `silent` once it does not.
   */
  private async offer(
    node: NodeId,
    request: PeerRequestOf<'submit-for'>,
  ): Promise<PeerOutcome<'submit-for'> | undefined> {
    const { calls, clock, fleet } = this.options;
    const asked = calls.request<'submit-for'>(node, request, request.limit + ANSWER_TIME);
    for (;;) {
      const pause = clock.sleep(CHECK_INTERVAL).then(() => 'pending' as const);
      const outcome = await Promise.race([asked, pause]);
      if (outcome !== 'pending') return outcome;
      const reaches = await calls.canReachStore(node);
      if (!reaches && !fleet.isStoreUnreachable) return { kind: 'silent' };
    }
  }

  /** Has some node take the job in that reaches the store, as this one does not. */
  private async routeAnywhere(
    spec: JobSpecification,
    mayRunElsewhere: boolean,
    deadline: Milliseconds,
  ): Promise<SubmissionPath> {
    const { calls, clock, placement } = this.options;
    const mayAsk = this.residency.holderFilter(this.residency.regionsForSpec(spec));
    const where = placement.isByZone ? 'own-zone' : 'anywhere';
    const node = await calls.findNodeReachingStore(where, mayAsk);
    if (node === undefined) return { kind: 'here', mayRunElsewhere };
    const limit = Math.max(LEAST_OFFER, deadline - clock.now());
    const request = { kind: 'submit-for', spec, limit } as const;
    const outcome = await calls.request<'submit-for'>(node, request, limit + ANSWER_TIME);
    if (outcome?.kind === 'silent') return { kind: 'answered', failure: MAY_BE_STORED };
    if (outcome?.kind !== 'answered') return { kind: 'here', mayRunElsewhere };
    const { failure: refusal } = outcome.answer;
    const isUnsure = mayRunElsewhere && refusal !== undefined;
    return { kind: 'answered', failure: isUnsure ? MAY_BE_STORED : refusal };
  }
}

const MAY_BE_STORED = failure('outcome_unknown', 'another node may have stored the job');

/** Why a node outside a job's regions does not take it: no node inside them did. */
function refusalOutside(allowed: AllowedRegions, mayRunElsewhere: boolean): Failure {
  if (mayRunElsewhere) return MAY_BE_STORED;
  const regions = allowed?.join(', ') ?? '';
  return failure('region_unavailable', `no node in the allowed regions (${regions}) answers`);
}
