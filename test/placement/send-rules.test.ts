/** Guards against work being sent to a worker that a send rule rejects. */
import t from 'tap';
import { allowedByBoth, allowsRegion } from '../../src/placement/allowed-regions.js';
import { GuardedEngine } from '../../src/placement/guarded-engine.js';
import { ResidencyRule } from '../../src/placement/residency-rule.js';
import { type SendRule, SendRules } from '../../src/placement/send-rules.js';
import { ZoneEvacuations } from '../../src/placement/zone-evacuations.js';
import { ZoneTopology } from '../../src/placement/zone-topology.js';
import type { EnginePort, EngineRequest } from '../../src/serving/engine-port.js';
import type { WorkerRecord } from '../../src/serving/traffic-configuration.js';
import type { DecisionLog } from '../../src/telemetry/decision-log.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';

const TOPOLOGY = new ZoneTopology(
  'north-1',
  new Map([
    ['north-1', 'north'],
    ['north-2', 'north'],
    ['south-1', 'south'],
  ]),
);

function workerIn(zone: string): WorkerRecord {
  const address = '127.0.0.1:1';
  return { id: `w-${zone}`, service: 's', address, zone, slots: 4, draining: false, models: [] };
}

t.test('regions of a route and of a tenant both apply', async (t) => {
  t.same(allowedByBoth(['north', 'south'], ['south', 'west']), ['south']);
  t.same(allowedByBoth(undefined, ['south']), ['south']);
  t.equal(allowedByBoth(undefined, undefined), undefined);
  t.equal(allowsRegion(allowedByBoth(['north'], ['south']), 'north'), false, 'empty intersection');
  t.equal(allowsRegion(['north'], undefined), false, 'an unknown region is not allowed');
});

t.test('distances are relative to the zone of the node', async (t) => {
  t.equal(TOPOLOGY.distanceTo('north-1'), 'same-zone');
  t.equal(TOPOLOGY.distanceTo('north-2'), 'same-region');
  t.equal(TOPOLOGY.distanceTo('south-1'), 'other-region');
  t.equal(TOPOLOGY.spansRegions, true);
});

t.test('work stays in its regions; a zone without a known region is outside', async (t) => {
  const rules = new SendRules([new ResidencyRule(TOPOLOGY)]);
  t.equal(rules.rejectionOf(workerIn('south-1'), ['north']), 'region-not-allowed');
  t.equal(rules.rejectionOf(workerIn('nowhere'), ['north']), 'region-not-allowed');
  t.equal(rules.mayReceive(workerIn('north-2'), ['north']), true);
  t.equal(rules.mayReceive(workerIn('nowhere'), undefined), true);
});

t.test('an evacuated zone is sent no work until the evacuation ends', async (t) => {
  const evacuations = new ZoneEvacuations();
  const rules = new SendRules([evacuations]);
  t.equal(evacuations.begin('north-2'), true);
  t.equal(evacuations.begin('north-2'), false, 'already evacuated');
  t.equal(rules.rejectionOf(workerIn('north-2'), undefined), 'zone-evacuated');
  t.equal(rules.mayReceive(workerIn('north-1'), undefined), true);
  t.equal(evacuations.end('north-2'), true);
  t.equal(rules.mayReceive(workerIn('north-2'), undefined), true);
});

t.test('a request uses up one permit, and only where all rules admit it', async (t) => {
  let granted = 1;
  const permitRule: SendRule = {
    rejectionOf: () => (granted > 0 ? undefined : 'worker-cold'),
    noteSent: () => {
      granted -= 1;
    },
  };
  const evacuations = new ZoneEvacuations();
  const rules = new SendRules([permitRule, evacuations]);
  evacuations.begin('north-1');
  t.equal(rules.admit(workerIn('north-1'), undefined), 'zone-evacuated');
  t.equal(granted, 1, 'a rejected request uses up no permit');
  evacuations.end('north-1');
  t.equal(rules.admit(workerIn('north-1'), undefined), undefined);
  t.equal(rules.admit(workerIn('north-1'), undefined), 'worker-cold');
});

t.test('the guarded engine does not send what the rules reject', async (t) => {
  const sent: string[] = [];
  const engine = {
    order: async () => 'holds',
    report: async () => undefined,
    probeLiveness: async () => 'lives',
    probeColdTime: async () => undefined,
    forget: () => {},
    send: async ({ requestId }: EngineRequest) => {
      sent.push(requestId);
      return { kind: 'not-run', reason: 'full', load: undefined };
    },
  } as unknown as EnginePort;
  const lines: string[] = [];
  const log = { decision: (event: string) => lines.push(event) } as unknown as DecisionLog;
  const metrics = new FleetMetrics();
  const rules = new SendRules([new ResidencyRule(TOPOLOGY)]);
  const guarded = new GuardedEngine({ engine, rules, log, metrics });
  const request = (requestId: string, zone: string): EngineRequest => ({
    worker: workerIn(zone),
    requestId,
    method: 'POST',
    path: '/',
    host: 'h',
    headers: [],
    body: Buffer.alloc(0),
    remaining: 100,
    allowedRegions: ['north'],
  });
  const { signal } = new AbortController();
  const withheld = await guarded.send(request('a', 'south-1'), signal);
  t.match(withheld, { kind: 'not-run', reason: 'withheld' });
  t.match(await guarded.send(request('b', 'north-2'), signal), { reason: 'full' });
  t.same(sent, ['b']);
  t.same(lines, ['send-withheld']);
  t.equal(metrics.snapshot()['sends_withheld.region-not-allowed'], 1);
});
