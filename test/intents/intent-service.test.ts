import t from 'tap';
import type { Intent } from '../../src/config-feed/configuration.js';
import type { Fault } from './fixtures/fake-key-value.js';
import {
  acceptedRevision,
  DRAFT,
  documentOf,
  EMPTY,
  failureOf,
  ServiceHarness,
} from './fixtures/service-harness.js';

const INTENT_KEY = '/wardwing/feed/intents/pricing';

function confirmCall(planId: string, account = 'amal') {
  return { kind: 'intent-confirm', account, planId } as const;
}

function historyOf(harness: ServiceHarness): readonly Record<string, unknown>[] {
  const reply = harness.run({ kind: 'intent-history', account: 'amal' });
  return documentOf(reply).changes as readonly Record<string, unknown>[];
}

t.test('a plan made by one node is confirmed by another and kept in the history', async (t) => {
  const harness = new ServiceHarness(2);
  const planId = harness.propose(DRAFT, 'amal', 0);
  t.notOk(harness.store.entries.has(INTENT_KEY), 'a plan alone changes nothing');
  const revision = acceptedRevision(harness.run(confirmCall(planId), [], 1));
  t.equal(harness.store.entries.get(INTENT_KEY)?.modRevision, revision);
  t.match(historyOf(harness), [{ revision, account: 'amal', plan_id: planId, kind: 'intent' }]);
  t.same(harness.changes, ['intent-proposed', 'intent-confirmed']);
  const again = failureOf(harness.run(confirmCall(planId, 'basil')));
  t.equal(again.kind, 'plan_used');
  t.match(again.detail, `"amal" at revision ${revision}`);
});

t.test(
  'of two racing plans one wins, and the loser is told what changed and by whom',
  async (t) => {
    const harness = new ServiceHarness(2);
    const first = harness.propose(DRAFT, 'amal', 0);
    const second = harness.propose({ ...DRAFT, stalenessBound: 5 }, 'basil', 1);
    const callIds = [
      harness.start(confirmCall(first, 'amal'), 0),
      harness.start(confirmCall(second, 'basil'), 1),
    ];
    while (harness.pending.length > 0) harness.serve('none');
    const replies = callIds.map((callId) => harness.replies.get(callId));
    t.equal(replies[0]?.kind, 'done');
    t.match(replies[1], { kind: 'failed', failure: { kind: 'plan_stale' } });
    const detail = replies[1]?.kind === 'failed' ? replies[1].failure.detail : '';
    t.match(detail, /changed by "amal" at revision \d+/);
    t.match(detail, /now differs in: staleness_bound/);
    t.equal(historyOf(harness).length, 1);
  },
);

t.test('two confirmations of one plan: it takes effect once', async (t) => {
  const harness = new ServiceHarness(2);
  const planId = harness.propose(DRAFT);
  const callIds = [0, 1].map((node) =>
    harness.start(confirmCall(planId, `operator-${node}`), node),
  );
  while (harness.pending.length > 0) harness.serve('none');
  t.equal(harness.replies.get(callIds[0] ?? '')?.kind, 'done');
  t.match(harness.replies.get(callIds[1] ?? ''), {
    failure: { kind: 'plan_used', detail: /"operator-0"/ },
  });
  t.equal(historyOf(harness).length, 1);
});

t.test('a lost answer is settled by reading back, applied or not', async (t) => {
  for (const fault of ['applied-answer-lost', 'lost-unapplied'] as const) {
    const harness = new ServiceHarness();
    const planId = harness.propose(DRAFT);
    const reads: Fault[] = ['none', 'none'];
    const faults = [...reads, fault, 'not-applied', ...reads, 'not-applied'] as const;
    const revision = acceptedRevision(harness.run(confirmCall(planId), faults));
    t.equal(revision, harness.store.entries.get(INTENT_KEY)?.modRevision, fault);
    t.match(historyOf(harness), [{ plan_id: planId, revision }]);
    t.equal(historyOf(harness).length, 1, 'one record, written once');
  }
});

t.test('a lost attempt that applies between two reads is not mistaken for a rival', async (t) => {
  const harness = new ServiceHarness();
  const planId = harness.propose(DRAFT);
  const callId = harness.start(confirmCall(planId));
  for (const fault of ['none', 'none', 'late'] as const) harness.serve(fault);
  harness.pass(200);
  harness.serve('none');
  harness.store.applyLate();
  while (harness.pending.length > 0) harness.serve('none');
  t.match(harness.replies.get(callId), { kind: 'done', body: { kind: 'accepted' } });
});

t.test('an outcome that cannot be settled in time is said to be unknown', async (t) => {
  const harness = new ServiceHarness();
  const planId = harness.propose(DRAFT);
  const down: Fault[] = Array(500).fill('not-applied');
  const reply = harness.run(confirmCall(planId), ['none', 'none', 'lost-unapplied', ...down]);
  t.equal(failureOf(reply).kind, 'confirm_unknown');
  const silent = harness.start(confirmCall(planId));
  harness.serve('none');
  harness.serve('none');
  harness.pass(10_000);
  t.match(harness.replies.get(silent), { failure: { kind: 'confirm_unknown' } });
});

t.test('an outage before anything was sent is reported with when to come back', async (t) => {
  const harness = new ServiceHarness();
  const planId = harness.propose(DRAFT);
  for (const faults of [['not-applied'], ['none', 'none', 'not-applied']] as const) {
    const value = failureOf(harness.run(confirmCall(planId), faults));
    t.match(value, { kind: 'configuration_unavailable', retryAfter: 200 });
  }
  t.equal(historyOf(harness).length, 0);
  t.equal(failureOf(harness.run(confirmCall('no-such-plan'))).kind, 'not_found');
});

t.test('equal seeds on two nodes never mix up their plans', async (t) => {
  const harness = new ServiceHarness(2, 1, 'equal-seeds');
  const first = harness.propose(DRAFT, 'amal', 0);
  const second = harness.propose({ ...DRAFT, zones: [] }, 'basil', 1);
  t.not(first, second);
  harness.run(confirmCall(second));
  t.match(harness.store.entries.get(INTENT_KEY)?.value, '"zones":[]');
  const lost = documentOf(
    harness.run({ kind: 'intent-propose', account: 'amal', draft: DRAFT }, [
      'none',
      'applied-answer-lost',
    ]),
  );
  t.ok(harness.store.entries.has(`/wardwing/plans/${lost.plan_id}`));
  t.equal(harness.store.entries.size, 5, 'three plans, one intent, one record');
});

t.test('an abandoned call takes no further step', async (t) => {
  const harness = new ServiceHarness();
  const planId = harness.propose(DRAFT);
  const callId = harness.start(confirmCall(planId));
  harness.services[0]?.abandon(callId);
  harness.serve('none');
  t.equal(harness.pending.length, 0);
  t.notOk(harness.replies.has(callId));
});

t.test(
  'a plan says what starts, what stops, who is refused, and what a cut-off zone does',
  async (t) => {
    const harness = new ServiceHarness();
    harness.run(confirmCall(harness.propose(DRAFT)));
    const moved: Intent = { ...DRAFT, zones: ['marka-hall'], cutOff: { kind: 'refuse' } };
    const other: Intent = { ...DRAFT, name: 'portal', trainer: null };
    const configuration = { ...EMPTY, intents: new Map([['portal', other]]) };
    const call = { kind: 'intent-propose', account: 'amal', draft: moved } as const;
    const plan = documentOf(harness.run(call, [], 0, configuration));
    t.match(plan.diff, [
      { field: 'zones', before: ['abdali-hall'], after: ['marka-hall'] },
      { field: 'cut_off.rule', before: 'serve', after: 'refuse' },
      { field: 'cut_off.duration', before: '30s', after: null },
    ]);
    const trainer = { account: 'pricing-trainer', traffic: 'training', model: 'model-bench' };
    t.match(plan.effects, [
      {
        zone: 'abdali-hall',
        stops: [trainer],
        refused: [{ ...trainer, kind: 'zone_not_allowed' }],
        when_cut_off: 'refuses all work of this intent',
      },
      {
        zone: 'marka-hall',
        starts: [trainer, { account: 'portal', traffic: 'interactive' }],
        refused: [{ kind: 'version_unknown' }, { kind: 'version_unknown' }],
        when_cut_off: /at once/,
      },
    ]);
    const [left] = plan.effects as { stops: unknown[] }[];
    t.equal(left?.stops.length, 1, 'the portal stays allowed by another intent');
  },
);

t.test('a draft that breaks a rule is refused before anything is read', async (t) => {
  const harness = new ServiceHarness();
  const draft = { ...DRAFT, zones: ['nowhere'] };
  const callId = harness.start({ kind: 'intent-propose', account: 'amal', draft });
  t.match(harness.replies.get(callId), {
    failure: { kind: 'invalid_intent', detail: /zones: "nowhere".*abdali-hall, marka-hall/ },
  });
  t.equal(harness.pending.length, 0);
});

t.test('versions only rise, and publishing one again changes nothing', async (t) => {
  const harness = new ServiceHarness();
  const publish = (version: number, digest: string, account = 'amal', faults: Fault[] = []) => {
    const published = { version, digest, bytes: 10 };
    const call = { kind: 'version-publish', account, model: 'model-bench', version: published };
    const configuration = { ...EMPTY, intents: new Map([['pricing', DRAFT]]) };
    return harness.run(call as never, faults, 0, configuration);
  };
  const revision = acceptedRevision(publish(3, 'aa', 'amal', ['none', 'applied-answer-lost']));
  t.ok(revision > 0, 'a lost answer is settled');
  t.equal(acceptedRevision(publish(3, 'aa')), revision);
  t.equal(failureOf(publish(3, 'bb')).kind, 'key_conflict');
  t.equal(failureOf(publish(2, 'aa')).kind, 'malformed_request');
  t.ok(acceptedRevision(publish(4, 'cc', 'pricing-trainer')) > revision);
  t.equal(failureOf(publish(5, 'dd', 'portal')).kind, 'forbidden');
});

t.test('a drain is set and taken back once, also when answers are lost', async (t) => {
  const harness = new ServiceHarness();
  const target = { kind: 'worker', name: 'bench-1' } as const;
  const drain = (drained: boolean, faults: Fault[]) =>
    harness.run({ kind: 'drain', account: 'amal', target, reason: 'fan', drained }, faults);
  const set = acceptedRevision(drain(true, ['none', 'applied-answer-lost']));
  t.equal(harness.store.entries.get('/wardwing/feed/drains/worker/bench-1')?.modRevision, set);
  t.equal(acceptedRevision(drain(true, [])), set, 'repeating it changes nothing');
  t.ok(acceptedRevision(drain(false, ['none', 'lost-unapplied'])) > set);
  t.notOk(harness.store.entries.has('/wardwing/feed/drains/worker/bench-1'));
  t.match(historyOf(harness), [{ drained: true, account: 'amal' }, { drained: false }]);
});
