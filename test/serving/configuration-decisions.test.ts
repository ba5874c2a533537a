/** Guards against final rejections by a configuration that is not current, and against waits by one that is. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { type Failure, failure } from '../../src/errors/error-kinds.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import {
  ConfigurationDecisions,
  type ConfigurationFreshness,
} from '../../src/serving/configuration-decisions.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';

const REQUEST = { requestId: 'id-1', host: 'h', path: '/a', timeout: 500 };
const NOT_FOUND = failure('not_found', 'no route matches');
const ADMITTED = { route: 'a' };

/** A configuration that is refreshed after a time, or not at all. */
class Freshness implements ConfigurationFreshness {
  readonly age = 3_000;
  readonly source = 'relay-1';
  refreshes = 0;

  constructor(
    public isCurrent: boolean,
    private readonly refreshTime: Milliseconds = Number.POSITIVE_INFINITY,
  ) {}

  async refresh(): Promise<void> {
    this.refreshes += 1;
    if (!Number.isFinite(this.refreshTime)) return;
    await PROCESS_CLOCK.sleep(this.refreshTime);
    this.isCurrent = true;
  }
}

interface Decided {
  readonly outcome: object;
  readonly decisions: number;
  readonly lines: object[];
  readonly time: Milliseconds;
}

async function decide(
  freshness: Freshness,
  ...outcomes: (typeof ADMITTED | Failure)[]
): Promise<Decided> {
  const lines: object[] = [];
  const decisions = new ConfigurationDecisions({
    ...{ configuration: { version: 3 }, freshness, metrics: new FleetMetrics() },
    log: { rejection: (event, details) => void lines.push({ event, ...details }) },
  });
  const startedAt = PROCESS_CLOCK.now();
  let count = 0;
  const outcome = await decisions.decide(REQUEST, () => {
    count += 1;
    return outcomes[count - 1] ?? ADMITTED;
  });
  return { outcome, decisions: count, lines, time: PROCESS_CLOCK.now() - startedAt };
}

t.test('a current configuration rejects at once', async (t) => {
  const freshness = new Freshness(true);
  const { outcome, decisions, lines } = await decide(freshness, NOT_FOUND);
  t.equal(outcome, NOT_FOUND);
  t.equal(decisions, 1);
  t.equal(freshness.refreshes, 0);
  t.match(lines, [{ event: 'request-rejected', basis: 'current', version: 3, by: 'relay-1' }]);
});

t.test('a request that an older configuration rejects is decided once more', async (t) => {
  const { outcome, decisions, lines } = await decide(new Freshness(false, 20), NOT_FOUND, ADMITTED);
  t.equal(outcome, ADMITTED);
  t.equal(decisions, 2);
  t.same(lines, []);
});

t.test('a request that the refreshed configuration rejects too is rejected', async (t) => {
  const freshness = new Freshness(false, 20);
  const { outcome, lines } = await decide(freshness, NOT_FOUND, NOT_FOUND);
  t.equal(outcome, NOT_FOUND);
  t.match(lines, [{ basis: 'refreshed', kind: 'not_found' }]);
});

t.test('a configuration that can not be refreshed rejects for now', async (t) => {
  const { outcome, decisions, lines, time } = await decide(new Freshness(false), NOT_FOUND);
  t.match(outcome, { kind: 'cut_off', retryAfter: 300 });
  t.equal(decisions, 1);
  t.match(lines, [{ basis: 'unconfirmed', kind: 'not_found', ageMs: 3_000 }]);
  t.ok(time < 100, `rejected after ${time} ms`);
});

t.test('a caller waits for a refresh no longer than its timeout allows', async (t) => {
  const { outcome, time } = await decide(new Freshness(false, 2_000), NOT_FOUND);
  t.match(outcome, { kind: 'cut_off' });
  t.ok(time < 400, `rejected after ${time} ms`);
});

t.test(
  'a request that is admitted does not wait, and has the configuration refreshed',
  async (t) => {
    const freshness = new Freshness(false, 2_000);
    const { outcome, time } = await decide(freshness, ADMITTED);
    t.equal(outcome, ADMITTED);
    t.ok(time < 100, `admitted after ${time} ms`);
    t.equal(freshness.refreshes, 1);
  },
);

t.test('a rejection after which the caller may come back is not held', async (t) => {
  const full = failure('overloaded', 'all workers are full');
  const { outcome, decisions } = await decide(new Freshness(false, 2_000), full);
  t.equal(outcome, full);
  t.equal(decisions, 1);
});
