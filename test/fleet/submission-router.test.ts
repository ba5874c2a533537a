/** Guards against offers during an outage of the store together exceeding the caller's timeout. */
import t from 'tap';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import type { JobPlacement } from '../../src/fleet/job-placement.js';
import type { PeerRequester } from '../../src/fleet/peer-requester.js';
import { SUBMISSION_TIMEOUT, SubmissionRouter } from '../../src/fleet/submission-router.js';
import type { PeerRequestOf } from '../../src/peers/peer-messages.js';
import { ManualClock, OWNER, specification } from '../jobs/job-fixtures.js';

type Offer = PeerRequestOf<'submit-for'>;

interface RouterFixture {
  readonly router: SubmissionRouter;
  readonly clock: ManualClock;
  readonly askedNodes: readonly string[];
}

/** A node that offers a job to two others, which answer what `answerOffer` returns. */
function routerWith(answerOffer: (offer: Offer, clock: ManualClock) => unknown): RouterFixture {
  const clock = new ManualClock();
  const askedNodes: string[] = [];
  const calls = {
    request: async (node: string, request: Offer) => {
      askedNodes.push(node);
      return answerOffer(request, clock);
    },
  } as unknown as PeerRequester;
  const placement = {
    offerTargets: () => ['node-2', 'node-3'],
    noteUnresponsive: () => {},
  } as unknown as JobPlacement;
  const fleet = { isStoreUnreachable: false } as unknown as FleetRegistry;
  // The liveness checks during an offer never become due.
  clock.sleep = () => new Promise<void>(() => {});
  return {
    router: new SubmissionRouter({
      ...{ requester: calls, fleet, placement, self: OWNER, clock },
      acceptsJobsWithoutStore: () => false,
    }),
    clock,
    askedNodes,
  };
}

const rejection = { kind: 'answered', answer: { failure: { kind: 'ledger_unavailable' } } };

t.test('two owners that both wait for the store share one time limit', async (t) => {
  const { router, clock, askedNodes } = routerWith((offer, time) => {
    time.time += offer.limit;
    return rejection;
  });
  const startedAt = clock.now();
  const path = await router.route(specification('job', 1));
  t.ok(
    clock.now() - startedAt <= SUBMISSION_TIMEOUT,
    `rejected after ${clock.now() - startedAt} ms`,
  );
  t.match(path, { kind: 'answered', failure: { kind: 'ledger_unavailable' } });
  t.same(askedNodes, ['node-2'], 'no node is asked once the time is used up');
});

t.test('the second owner gets the time that the first has left', async (t) => {
  const limits: number[] = [];
  const { router, askedNodes } = routerWith((offer, time) => {
    limits.push(offer.limit);
    time.time += 1_500;
    return limits.length === 1 ? rejection : { kind: 'answered', answer: { failure: undefined } };
  });
  t.same(await router.route(specification('job', 1)), { kind: 'answered', failure: undefined });
  t.same(askedNodes, ['node-2', 'node-3']);
  t.same(limits, [SUBMISSION_TIMEOUT, SUBMISSION_TIMEOUT - 1_500]);
});

t.test('owners that reject at once leave the job to the node that received it', async (t) => {
  const { router } = routerWith(() => rejection);
  const path = await router.route(specification('job', 1));
  t.same(path, { kind: 'here', mayRunElsewhere: false });
});
