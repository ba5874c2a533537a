import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { CrashReports } from '../../src/fleet/crash-reports.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

const PREFIX = 'fleet/worker-end/';

/** The platform's store refuses larger commits. */
const MAX_COMMIT_ENTRIES = 32;

/** A store that refuses commits with too many entries. */
class LimitedStore extends SharedStoreEmulator {
  override async commit(
    change: Parameters<SharedStoreEmulator['commit']>[0],
  ): ReturnType<SharedStoreEmulator['commit']> {
    const { expected, put = [], remove = [] } = change;
    const entries = expected.length + put.length + remove.length;
    if (entries > MAX_COMMIT_ENTRIES) return { kind: 'failed', effect: 'not-done' };
    return super.commit(change);
  }
}

/** The crash reports of one node; `follow` applies what the store holds, as a watch does. */
function startReports(
  store: SharedStoreEmulator,
  self: string,
): { readonly reports: CrashReports; follow(): Promise<void> } {
  const reports = new CrashReports({
    store,
    self,
    liveNodes: () => [],
    notifyNode: async () => true,
    onReport: () => {},
    onWithdrawal: () => {},
    clock: PROCESS_CLOCK,
    log: recordingLog().log,
    metrics: new FleetMetrics(),
  });
  let followedTo = 0;
  const follow = async (): Promise<void> => {
    const outcome = await store.watch(PREFIX, followedTo, 0, new AbortController().signal);
    if (outcome.kind !== 'changes') throw new Error(`the watch ended with ${outcome.kind}`);
    for (const change of outcome.changes) reports.applyChange(change);
    followedTo = outcome.revision;
  };
  return { reports, follow };
}

t.test('a request is withdrawn from the records of many workers', async (t) => {
  const store = new LimitedStore();
  const { reports } = startReports(store, 'node-1');
  const workers = 70;
  for (let number = 0; number < workers; number += 1) {
    reports.report({ worker: `worker-${number}`, requests: ['same'] });
  }
  await eventually(() => store.keys(PREFIX).length === workers);
  reports.withdraw('same');
  await eventually(() => store.keys(PREFIX).length === 0);
  t.ok((store.calls.get('commit') ?? 0) <= 10);
});

/** The requests that the record of node-1 names. */
function namedRequests(store: SharedStoreEmulator): readonly string[] | undefined {
  const value = store.valueOf(`${PREFIX}worker-1/node-1`);
  return value === undefined ? undefined : JSON.parse(value).requests;
}

t.test('a report that takes effect late does not restore a withdrawn request', async (t) => {
  const store = new SharedStoreEmulator();
  const one = startReports(store, 'node-1');
  const two = startReports(store, 'node-2');
  one.reports.report({ worker: 'worker-1', requests: ['first'] });
  await eventually(() => namedRequests(store)?.length === 1);
  store.loseAnswers('applied-late');
  one.reports.report({ worker: 'worker-1', requests: ['second'] });
  await eventually(() => namedRequests(store)?.length === 2);
  await two.follow();
  two.reports.withdraw('first');
  await eventually(() => namedRequests(store)?.length === 1);
  store.applyLateCommits();
  t.same(namedRequests(store), ['second']);
});

t.test('a further report does not restore a request withdrawn by another node', async (t) => {
  const store = new SharedStoreEmulator();
  const one = startReports(store, 'node-1');
  const two = startReports(store, 'node-2');
  one.reports.report({ worker: 'worker-1', requests: ['first'] });
  await eventually(() => namedRequests(store) !== undefined);
  await two.follow();
  two.reports.withdraw('first');
  await eventually(() => namedRequests(store) === undefined);
  one.reports.report({ worker: 'worker-1', requests: ['second'] });
  await one.follow();
  await eventually(() => namedRequests(store) !== undefined);
  t.same(namedRequests(store), ['second']);
});

t.test('a restarted node adds its report to the record of its earlier incarnation', async (t) => {
  const store = new SharedStoreEmulator();
  startReports(store, 'node-1').reports.report({ worker: 'worker-1', requests: ['first'] });
  await eventually(() => namedRequests(store) !== undefined);
  const restarted = startReports(store, 'node-1');
  restarted.reports.report({ worker: 'worker-1', requests: ['second'] });
  await new Promise((resolve) => setTimeout(resolve, 20));
  await restarted.follow();
  await eventually(() => namedRequests(store)?.includes('second') === true);
  t.same(namedRequests(store), ['first', 'second']);
});

t.test('an expired record that was written again is not removed', async (t) => {
  const store = new SharedStoreEmulator();
  const { reports, follow } = startReports(store, 'node-2');
  const key = `${PREFIX}worker-1/node-1`;
  store.write(key, JSON.stringify({ requests: ['first'], at: 0 }));
  await follow();
  store.write(key, JSON.stringify({ requests: ['first', 'second'], at: Date.now() }));
  await reports.removeExpired();
  t.same(namedRequests(store), ['first', 'second']);
  store.write(key, JSON.stringify({ requests: ['first'], at: 0 }));
  await follow();
  await reports.removeExpired();
  t.equal(namedRequests(store), undefined);
});
