/**
 * Guards against data of a job that is limited to a region reaching a worker outside the region, or
 * a gateway outside it at which no caller reads the job.
 */
import fc from 'fast-check';
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { jobOn, type Limits, RegionalGateways } from './regional-gateways.js';

const LAYOUT = {
  ...{ 'n-1': 'north-1', 'n-2': 'north-1', 'n-3': 'north-2' },
  ...{ 's-1': 'south-1', 's-2': 'south-1', 's-3': 'south-2' },
};
const NAMES = Object.keys(LAYOUT);

/** Either route limits its jobs to the south; `wide` does so by the tenant's limit. */
const LIMITS: Limits = {
  routes: { pinned: ['south'], wide: ['north', 'south'] },
  tenants: { owner: ['south'] },
};

/** Time limit of a caller. */
const CALL_TIMEOUT: Milliseconds = 250;

/** Time for the effects of an event. */
const SETTLE_TIME: Milliseconds = 40;

const CALLS = ['submit', 'read', 'body', 'end'] as const;
/** Failures and recoveries. */
const CHANGES = ['alone', 'rejoined', 'without-store', 'apart', 'together', 'lapsed'] as const;

interface FleetEvent {
  readonly kind: (typeof CALLS)[number] | (typeof CHANGES)[number];
  /** The gateway concerned. */
  readonly at: string;
  readonly job: number;
}

const EVENTS: fc.Arbitrary<readonly FleetEvent[]> = fc.array(
  fc.record({
    kind: fc.oneof(fc.constantFrom(...CALLS), fc.constantFrom(...CHANGES)),
    at: fc.constantFrom(...NAMES),
    job: fc.integer({ min: 0, max: 2 }),
  }),
  { minLength: 4, maxLength: 14 },
);

/** Applies events, and records the gateways at which callers read. */
class Scenario {
  readonly readAt = new Set<string>();

  constructor(private readonly fleet: RegionalGateways) {}

  async applyEvent({ kind, at, job }: FleetEvent): Promise<void> {
    this.change(kind, at);
    await Promise.race([this.call(kind, at, job), PROCESS_CLOCK.sleep(CALL_TIMEOUT)]);
    await PROCESS_CLOCK.sleep(SETTLE_TIME);
  }

  private change(kind: FleetEvent['kind'], at: string): void {
    const { fleet } = this;
    if (kind === 'alone') fleet.isolated.add(at);
    if (kind === 'alone' || kind === 'without-store') fleet.withoutStore.add(at);
    if (kind === 'rejoined')
      for (const failures of [fleet.isolated, fleet.withoutStore]) failures.delete(at);
    if (kind === 'apart' || kind === 'together') fleet.areRegionsPartitioned = kind === 'apart';
    if (kind === 'lapsed') fleet.store.erase(`fleet/node/${at}`);
  }

  private async call(kind: FleetEvent['kind'], at: string, job: number): Promise<void> {
    const { jobs } = this.fleet.gatewayNamed(at).node;
    const id = `job-${job}`;
    const until = PROCESS_CLOCK.now() + CALL_TIMEOUT;
    const isStillNeeded = (): boolean => PROCESS_CLOCK.now() < until;
    const spec = job === 0 ? jobOn('wide', id, 'owner') : jobOn('pinned', id);
    if (kind === 'submit') await jobs.submit(spec, isStillNeeded);
    if (kind === 'end') await jobs.cancel(id, UNRESTRICTED, isStillNeeded);
    if (kind !== 'read' && kind !== 'body') return;
    this.readAt.add(at);
    if (kind === 'read') await jobs.read(id, 0, 0, UNRESTRICTED);
    else await jobs.itemBody(id, `${id}-0`, UNRESTRICTED);
  }
}

t.test('a limited job leaves its regions only to gateways at which callers read it', async (t) => {
  let bodies = 0;
  const property = fc.asyncProperty(EVENTS, async (events) => {
    const fleet = new RegionalGateways();
    await fleet.start(LAYOUT, LIMITS);
    const scenario = new Scenario(fleet);
    const firstEvent = { kind: 'submit', at: 'n-1', job: 1 } as const;
    for (const event of [firstEvent, ...events]) await scenario.applyEvent(event);
    const outside = fleet.deliveries.filter(({ to }) => to.startsWith('n'));
    const leaks = outside.filter(({ to }) => !scenario.readAt.has(to));
    const submitted = outside.filter(({ by }) => by === 'submit-for' || by === 'surrender-job');
    const runners = [0, 1, 2].flatMap((job) => fleet.runnersOf(`job-${job}`));
    bodies += fleet.deliveries.length;
    await fleet.stop();
    return (
      leaks.length + submitted.length === 0 &&
      runners.every((name) => name.startsWith('s')) &&
      fleet.workerRegions().every((region) => region === 'south')
    );
  });
  await fc.assert(property, { numRuns: 25, endOnFailure: true });
  t.ok(bodies > 0, 'bodies and results passed between gateways');
});
