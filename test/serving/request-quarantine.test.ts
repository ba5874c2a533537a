import t from 'tap';
import { EVIDENCE_LIFETIME, MAX_CRASHED_WORKERS } from '../../src/serving/crash-evidence.js';
import type { WorkerLiveness } from '../../src/serving/engine-port.js';
import { FingerprintedRequest } from '../../src/serving/request-fingerprint.js';
import {
  type CrashReport,
  type NextSender,
  RequestQuarantine,
} from '../../src/serving/request-quarantine.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog, worker } from './serving-fixtures.js';

function requestTo(path: string): FingerprintedRequest {
  const requestFields = {
    method: 'POST',
    host: 'h',
    path,
    tenant: undefined,
    body: Buffer.from('b'),
  };
  return new FingerprintedRequest(() => requestFields);
}

class Fixture {
  readonly clock = new ManualClock();
  readonly reports: CrashReport[] = [];
  readonly acquittals: string[] = [];
  readonly lines: readonly string[];
  readonly quarantine: RequestQuarantine;
  probes = 0;
  liveness: WorkerLiveness = 'ended';

  constructor() {
    const { log, lines } = recordingLog();
    this.lines = lines;
    this.quarantine = new RequestQuarantine({
      probeLiveness: async () => {
        this.probes += 1;
        return this.liveness;
      },
      reportCrash: (report) => this.reports.push(report),
      reportAcquittal: (request) => this.acquittals.push(request),
      clock: this.clock,
      log,
      metrics: new FleetMetrics(),
    });
  }

  /** Crashes the named workers under the request. */
  async crashUnder(request: FingerprintedRequest, names: string[], next: NextSender = 'any-node') {
    for (const name of names) await this.quarantine.noteBroken(worker(name), request, next);
  }
}

t.test('a request is rejected once three workers crashed under it', async (t) => {
  const fixture = new Fixture();
  const request = requestTo('/x');
  await fixture.crashUnder(request, ['w1', 'w2']);
  t.equal(fixture.quarantine.refusalOf(request), undefined);
  await fixture.crashUnder(request, ['w3']);
  t.equal(fixture.quarantine.refusalOf(request)?.kind, 'request_quarantined');
  t.equal(fixture.quarantine.refusalOf(requestTo('/y')), undefined);
  t.ok(fixture.lines.some((line) => line.includes('"request-quarantined"')));
});

t.test('one worker counts once, however often its crash is reported', async (t) => {
  const fixture = new Fixture();
  const request = requestTo('/x');
  await fixture.crashUnder(request, ['w1', 'w1']);
  fixture.quarantine.applyReport({ worker: 'w1', requests: [request.fingerprint] }, 0);
  t.equal(fixture.quarantine.crashesUnder(request).length, 1);
});

t.test(
  'attempts in flight count as crashes if there is evidence against the request',
  async (t) => {
    const fixture = new Fixture();
    const request = requestTo('/x');
    t.ok(fixture.quarantine.admits(request, 5), 'no evidence');
    await fixture.crashUnder(request, ['w1']);
    t.ok(fixture.quarantine.admits(request, MAX_CRASHED_WORKERS - 2));
    t.notOk(fixture.quarantine.admits(request, MAX_CRASHED_WORKERS - 1));
  },
);

t.test('a broken connection counts until a probe finds the worker alive', async (t) => {
  const fixture = new Fixture();
  fixture.liveness = 'lives';
  const request = requestTo('/x');
  const verdict = fixture.quarantine.noteBroken(worker('w1'), request, 'any-node');
  t.equal(fixture.quarantine.crashesUnder(request).length, 1);
  await verdict;
  t.equal(fixture.quarantine.crashesUnder(request).length, 0);
});

t.test('a worker that does not answer the probe in time counts as crashed', async (t) => {
  const fixture = new Fixture();
  fixture.liveness = 'unknown';
  const request = requestTo('/x');
  await fixture.crashUnder(request, ['w1']);
  t.equal(fixture.quarantine.crashesUnder(request).length, 1);
});

t.test('a worker is probed once for all requests that were on it', async (t) => {
  const fixture = new Fixture();
  const requests = ['/a', '/b', '/c', '/d'].map(requestTo);
  await Promise.all(requests.map((request) => fixture.crashUnder(request, ['w1'])));
  t.equal(fixture.probes, 1);
  await eventually(() => fixture.reports.length > 0);
  t.equal(fixture.reports.length, 1, 'one report for all requests');
  t.equal(fixture.reports[0]?.requests.length, 4);
});

t.test('a request that another worker answers before the report is not reported', async (t) => {
  const fixture = new Fixture();
  const [answered, unanswered] = [requestTo('/a'), requestTo('/b')];
  await fixture.crashUnder(answered, ['w1']);
  await fixture.crashUnder(unanswered, ['w1']);
  fixture.quarantine.noteAnswered(answered);
  await eventually(() => fixture.reports.length > 0);
  t.same(fixture.reports, [{ worker: 'w1', requests: [unanswered.fingerprint] }]);
  t.same(fixture.acquittals, []);
});

t.test('an answer after the report withdraws it at all nodes', async (t) => {
  const fixture = new Fixture();
  const request = requestTo('/x');
  await fixture.crashUnder(request, ['w1', 'w2']);
  await eventually(() => fixture.reports.length === 2);
  fixture.quarantine.noteAnswered(request);
  t.same(fixture.acquittals, [request.fingerprint]);
  t.equal(fixture.quarantine.crashesUnder(request).length, 0);
  fixture.quarantine.noteAnswered(request);
  t.equal(fixture.acquittals.length, 1);
});

t.test(
  'crashes under a request that only one node sends are reported from the second on',
  async (t) => {
    const fixture = new Fixture();
    const request = requestTo('/x');
    await fixture.crashUnder(request, ['w1'], 'this-node');
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.equal(fixture.reports.length, 0);
    await fixture.crashUnder(request, ['w2'], 'this-node');
    await eventually(() => fixture.reports.length === 2);
    t.same(fixture.reports.map((report) => report.worker).sort(), ['w1', 'w2']);
  },
);

t.test(
  'the worker of a cancelled request is probed only if there is evidence against the request',
  async (t) => {
    const fixture = new Fixture();
    const request = requestTo('/x');
    fixture.quarantine.noteCancelled(worker('w1'), request);
    await new Promise((resolve) => setTimeout(resolve, 300));
    t.equal(fixture.probes, 0);
    await fixture.crashUnder(request, ['w1']);
    fixture.quarantine.noteCancelled(worker('w2'), request);
    await eventually(() => fixture.quarantine.crashesUnder(request).length === 2);
    fixture.liveness = 'lives';
    fixture.quarantine.noteCancelled(worker('w3'), request);
    await eventually(() => fixture.probes === 3);
    t.equal(fixture.quarantine.crashesUnder(request).length, 2);
  },
);

t.test('evidence expires at the time given by retryAfter', async (t) => {
  const fixture = new Fixture();
  const request = requestTo('/x');
  await fixture.crashUnder(request, ['w1']);
  fixture.clock.time += 5_000;
  await fixture.crashUnder(request, ['w2', 'w3']);
  const retryAfter = fixture.quarantine.refusalOf(request)?.retryAfter ?? 0;
  t.equal(retryAfter, EVIDENCE_LIFETIME - 5_000);
  fixture.clock.time += retryAfter + 1;
  t.equal(fixture.quarantine.refusalOf(request), undefined);
  t.equal(fixture.quarantine.crashesUnder(request).length, 2);
});

t.test('a request without evidence is not hashed', async (t) => {
  const fixture = new Fixture();
  const request = new FingerprintedRequest(() => {
    throw new Error('the fingerprint was computed without evidence');
  });
  t.ok(fixture.quarantine.admits(request));
  t.equal(fixture.quarantine.refusalOf(request), undefined);
  fixture.quarantine.noteAnswered(request);
});

t.test('after 200,000 reported requests evidence against 20,000 is stored', async (t) => {
  const fixture = new Fixture();
  for (let index = 0; index < 200_000; index += 1) {
    fixture.quarantine.applyReport({ worker: 'w1', requests: [`request-${index}`] }, 0);
  }
  const newest = { fingerprint: 'request-199999' } as FingerprintedRequest;
  const oldest = { fingerprint: 'request-100000' } as FingerprintedRequest;
  t.equal(fixture.quarantine.crashesUnder(newest).length, 1);
  t.equal(fixture.quarantine.crashesUnder(oldest).length, 0);
});

t.test('crashes of three incarnations of one worker count as three', async (t) => {
  const fixture = new Fixture();
  const request = requestTo('/x');
  for (const startedAt of [1_000, 2_000, 3_000]) {
    t.equal(fixture.quarantine.refusalOf(request), undefined);
    await fixture.quarantine.noteBroken(worker('w1', { startedAt }), request, 'any-node');
  }
  t.equal(fixture.quarantine.refusalOf(request)?.kind, 'request_quarantined');
});
