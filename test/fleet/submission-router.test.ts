/**
 * A job that was handed in during an outage of the store was offered to two owners in turn, and each
 * had the whole time for itself: 12.4 s until its caller was refused, who had given up by then.
 */
import t from 'tap';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import type { JobPlacement } from '../../src/fleet/job-placement.js';
import type { PeerRequester } from '../../src/fleet/peer-requester.js';
import { SUBMISSION_TIMEOUT, SubmissionRouter } from '../../src/fleet/submission-router.js';
import type { PeerRequestOf } from '../../src/peers/peer-messages.js';
import { ManualClock, OWNER, specification } from '../jobs/job-fixtures.js';

type Offer = PeerRequestOf<'submit-for'>;

interface Routed {
  readonly router: SubmissionRouter;
  readonly clock: ManualClock;
  readonly asked: readonly string[];
}

/** A node that is to offer a job to two others, which answer as `use` says. */
function routed(use: (offer: Offer, clock: ManualClock) => unknown): Routed {
  const clock = new ManualClock();
  const asked: string[] = [];
  const calls = {
    request: async (node: string, request: Offer) => {
      asked.push(node);
      return use(request, clock);
    },
  } as unknown as PeerRequester;
  const placement = {
    offerTargets: () => ['node-2', 'node-3'],
    noteUnresponsive: () => {},
  } as unknown as JobPlacement;
  const fleet = { isStoreUnreachable: false } as unknown as FleetRegistry;
  // Nothing is looked at in between.
  clock.sleep = () => new Promise<void>(() => {});
  return {
    router: new SubmissionRouter({
      ...{ calls, fleet, placement, self: OWNER, clock },
      acceptsJobsWithoutStore: () => false,
    }),
    clock,
    asked,
  };
}

const refused = { kind: 'answered', answer: { failure: { kind: 'ledger_unavailable' } } };

t.test('two owners that both wait for the store have one time together', async (t) => {
  const { router, clock, asked } = routed((offer, time) => {
    time.time += offer.limit;
    return refused;
  });
  const startedAt = clock.now();
  const path = await router.route(specification('job', 1));
  t.ok(
    clock.now() - startedAt <= SUBMISSION_TIMEOUT,
    `refused after ${clock.now() - startedAt} ms`,
  );
  t.match(path, { kind: 'answered', failure: { kind: 'ledger_unavailable' } });
  t.same(asked, ['node-2'], 'nobody is asked for whom no time is left');
});

t.test('the second owner gets what the first has left', async (t) => {
  const limits: number[] = [];
  const { router, asked } = routed((offer, time) => {
    limits.push(offer.limit);
    time.time += 1_500;
    return limits.length === 1 ? refused : { kind: 'answered', answer: { failure: undefined } };
  });
  t.same(await router.route(specification('job', 1)), { kind: 'answered', failure: undefined });
  t.same(asked, ['node-2', 'node-3']);
  t.same(limits, [SUBMISSION_TIMEOUT, SUBMISSION_TIMEOUT - 1_500]);
});

t.test('owners that refuse at once leave the job to the node that was called', async (t) => {
  const { router } = routed(() => refused);
  const path = await router.route(specification('job', 1));
  t.same(path, { kind: 'here', mayRunElsewhere: false });
});
