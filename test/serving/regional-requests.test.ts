/**
 * Guards against a request being sent to a worker outside the regions that its route and its tenant
 * allow.
 */
import t from 'tap';
import { ResidencyRule } from '../../src/placement/residency-rule.js';
import { SendRules } from '../../src/placement/send-rules.js';
import { ZoneTopology } from '../../src/placement/zone-topology.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { RequestForwarder } from '../../src/serving/request-forwarder.js';
import { RouteMatcher } from '../../src/serving/route-matcher.js';
import type { Route } from '../../src/serving/traffic-configuration.js';
import { WorkerRegistry } from '../../src/serving/worker-registry.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import {
  answer,
  callerRequest,
  configuration,
  NOT_RUN,
  quarantine,
  RecordingSink,
  recordingLog,
  route,
  ScriptedEngine,
  VERSION_FIELD,
  worker,
} from './serving-fixtures.js';

const TOPOLOGY = new ZoneTopology(
  'north-1',
  new Map([
    ['north-1', 'north'],
    ['south-1', 'south'],
  ]),
);

interface ForwardResult {
  readonly sink: RecordingSink;
  readonly zones: readonly string[];
  readonly lines: readonly string[];
}

/** Forwards one request from a gateway in the north, with one worker in each given zone. */
async function forwardWith(
  workerZones: readonly string[],
  fields: Partial<Route>,
  tenantRegions?: readonly string[],
): Promise<ForwardResult> {
  const registry = new WorkerRegistry(new SendRules([new ResidencyRule(TOPOLOGY)]));
  for (const zone of workerZones) registry.put(worker(`w-${zone}`, { zone }));
  const engine = new ScriptedEngine([answer('done')]);
  const { log, lines } = recordingLog();
  const forwarder = new RequestForwarder({
    ...{ engine, registry, log, zone: 'north-1', versionField: VERSION_FIELD },
    ...{ quarantine: quarantine(), clock: PROCESS_CLOCK, metrics: new FleetMetrics() },
    onRunStarted: () => {},
  });
  const tenant: Tenant = {
    ...{ name: 'owner', keyDigests: [], priority: undefined },
    ...(tenantRegions === undefined ? {} : { allowedRegions: tenantRegions }),
  };
  const sink = new RecordingSink();
  const request = callerRequest({ caller: { kind: 'tenant', tenant } });
  await forwarder.forward(request, route(fields), 'service', sink);
  return { sink, zones: engine.requests.map((sent) => sent.worker.zone), lines };
}

t.test(
  'a request without a worker in its regions is rejected at once, with the regions in the detail',
  async (t) => {
    for (const kind of ['read-only', 'mutating', 'streaming'] as const) {
      const startedAt = PROCESS_CLOCK.now();
      const { sink, zones, lines } = await forwardWith(['north-1'], {
        kind,
        allowedRegions: ['south'],
      });
      t.match(sink.failure, { kind: 'region_unavailable', detail: /south/ }, kind);
      t.ok(PROCESS_CLOCK.now() - startedAt < 200);
      t.same(zones, []);
      t.match(lines.join(''), /request-refused/);
    }
  },
);

t.test('a request skips nearer workers outside its regions', async (t) => {
  const limited = { allowedRegions: ['south'] };
  const { sink, zones } = await forwardWith(['north-1', 'south-1'], limited);
  t.equal(sink.status, 200);
  t.same(zones, ['south-1']);
});

t.test('nothing is sent where the regions of route and tenant have no intersection', async (t) => {
  const { sink, zones } = await forwardWith(['north-1', 'south-1'], { allowedRegions: ['south'] }, [
    'north',
  ]);
  t.match(sink.failure, { kind: 'region_unavailable' });
  t.same(zones, []);
});

t.test('a limit that changes between two attempts applies to the second', async (t) => {
  const inRegion = (name: string): RouteMatcher =>
    new RouteMatcher(configuration([route({ allowedRegions: [name] })]));
  const registry = new WorkerRegistry(new SendRules([new ResidencyRule(TOPOLOGY)]));
  for (const zone of ['north-1', 'south-1']) registry.put(worker(`w-${zone}`, { zone }));
  const engine = new ScriptedEngine([NOT_RUN, answer('done')]);
  const [before, after] = [inRegion('north'), inRegion('south')];
  const forwarder = new RequestForwarder({
    ...{ engine, registry, zone: 'north-1', versionField: VERSION_FIELD },
    ...{ quarantine: quarantine(), clock: PROCESS_CLOCK, metrics: new FleetMetrics() },
    log: recordingLog().log,
    routes: () => (engine.requests.length === 0 ? before : after),
  });
  const sink = new RecordingSink();
  const arrivalRoute = route({ kind: 'mutating', allowedRegions: ['north'] });
  await forwarder.forward(callerRequest(), arrivalRoute, 'service', sink);
  t.same(
    engine.requests.map((sent) => sent.worker.zone),
    ['north-1', 'south-1'],
  );
  t.equal(sink.status, 200);
});

t.test('a service without workers is still reported as no_worker', async (t) => {
  const { sink } = await forwardWith([], { allowedRegions: ['south'] });
  t.match(sink.failure, { kind: 'no_worker' });
});
