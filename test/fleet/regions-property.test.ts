/**
 * Whatever callers ask for at whichever gateway, and whatever is cut off meanwhile: nothing of a job
 * that is limited to a region reaches a worker outside, or a gateway outside but the one that a caller
 * who asks for it is connected to.
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

/** Jobs of either route may lie in the south alone: the second for its tenant. */
const LIMITS: Limits = {
  routes: { pinned: ['south'], wide: ['north', 'south'] },
  tenants: { owner: ['south'] },
};

/** Time in which a caller's patience ends. */
const PATIENCE: Milliseconds = 250;

/** Time for what an event sets off. */
const PAUSE: Milliseconds = 40;

/** What callers do. */
const CALLS = ['submit', 'read', 'body', 'end'] as const;
/** What goes wrong, or right again. */
const CHANGES = ['alone', 'rejoined', 'without-store', 'apart', 'together', 'lapsed'] as const;

interface FleetEvent {
  readonly kind: (typeof CALLS)[number] | (typeof CHANGES)[number];
  /** The gateway that it concerns. */
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

/** Carries events out, and remembers at which gateways callers read. */
class Scenario {
  readonly readAt = new Set<string>();

  constructor(private readonly fleet: RegionalGateways) {}

  async bringAbout({ kind, at, job }: FleetEvent): Promise<void> {
    this.change(kind, at);
    await Promise.race([this.call(kind, at, job), PROCESS_CLOCK.sleep(PATIENCE)]);
    await PROCESS_CLOCK.sleep(PAUSE);
  }

  private change(kind: FleetEvent['kind'], at: string): void {
    const { fleet } = this;
    if (kind === 'alone') fleet.alone.add(at);
    if (kind === 'alone' || kind === 'without-store') fleet.withoutStore.add(at);
    if (kind === 'rejoined') for (const cut of [fleet.alone, fleet.withoutStore]) cut.delete(at);
    if (kind === 'apart' || kind === 'together') fleet.areRegionsApart = kind === 'apart';
    if (kind === 'lapsed') fleet.store.erase(`fleet/node/${at}`);
  }

  private async call(kind: FleetEvent['kind'], at: string, job: number): Promise<void> {
    const { jobs } = this.fleet.named(at).node;
    const id = `job-${job}`;
    const until = PROCESS_CLOCK.now() + PATIENCE;
    const wanted = (): boolean => PROCESS_CLOCK.now() < until;
    const spec = job === 0 ? jobOn('wide', id, 'owner') : jobOn('pinned', id);
    if (kind === 'submit') await jobs.submit(spec, wanted);
    if (kind === 'end') await jobs.cancel(id, UNRESTRICTED, wanted);
    if (kind !== 'read' && kind !== 'body') return;
    this.readAt.add(at);
    if (kind === 'read') await jobs.read(id, 0, 0, UNRESTRICTED);
    else await jobs.itemBody(id, `${id}-0`, UNRESTRICTED);
  }
}

t.test('nothing of a limited job gets outside but to who reads it there', async (t) => {
  let bodies = 0;
  const drawn = fc.asyncProperty(EVENTS, async (events) => {
    const fleet = new RegionalGateways();
    await fleet.start(LAYOUT, LIMITS);
    const scenario = new Scenario(fleet);
    const first = { kind: 'submit', at: 'n-1', job: 1 } as const;
    for (const event of [first, ...events]) await scenario.bringAbout(event);
    const outside = fleet.deliveries.filter(({ to }) => to.startsWith('n'));
    const strays = outside.filter(({ to }) => !scenario.readAt.has(to));
    const submitted = outside.filter(({ by }) => by === 'submit-for' || by === 'surrender-job');
    const runners = [0, 1, 2].flatMap((job) => fleet.runnersOf(`job-${job}`));
    bodies += fleet.deliveries.length;
    await fleet.stop();
    return (
      strays.length + submitted.length === 0 &&
      runners.every((name) => name.startsWith('s')) &&
      fleet.workerRegions().every((region) => region === 'south')
    );
  });
  await fc.assert(drawn, { numRuns: 25, endOnFailure: true });
  t.ok(bodies > 0, 'bodies and results passed between gateways');
});
