import fc from 'fast-check';
import t from 'tap';
import { Fleet, MODEL, makeNode, makeWorker } from '../../lab/bench/routing-fixtures.js';
import { createRandomSource } from '../../src/core/random.js';

const ZONES = ['zone-a', 'zone-b'];
const NODES = ZONES.flatMap((zone) => [1, 2, 3].map((n) => makeNode(`${zone}-n${n}`, zone)));
const WORKERS = ZONES.flatMap((zone) => [1, 2, 3].map((n) => makeWorker(`${zone}-w${n}`, zone)));

const faultArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('node' as const), at: fc.nat(5), isAlive: fc.boolean() }),
  fc.record({
    kind: fc.constant('engine' as const),
    at: fc.nat(5),
    to: fc.constantFrom('fails' as const, 'hangs' as const, 'leaving' as const, 'well' as const),
  }),
  fc.record({ kind: fc.constant('version' as const), at: fc.nat(5), version: fc.nat(9) }),
  fc.record({ kind: fc.constant('loss' as const), share: fc.constantFrom(0, 0.3, 0.9) }),
  fc.record({ kind: fc.constant('wait' as const), duration: fc.integer({ min: 50, max: 4_000 }) }),
);

type Fault = typeof faultArbitrary extends fc.Arbitrary<infer Kind> ? Kind : never;

/** Kills a node, or starts its next incarnation. A negative incarnation marks a killed node. */
function setNodeIncarnation(
  fleet: Fleet,
  incarnations: Map<string, number>,
  at: number,
  starts: boolean,
): void {
  const name = NODES[at]?.node ?? '';
  const incarnation = incarnations.get(name) ?? 1;
  if (!starts) incarnations.set(name, -Math.abs(incarnation));
  else if (incarnation < 0) incarnations.set(name, 1 - incarnation);
  const live = NODES.filter(({ node }) => (incarnations.get(node) ?? 1) > 0);
  fleet.setNodes(live.map((node) => ({ ...node, incarnation: incarnations.get(node.node) ?? 1 })));
}

function applyFault(fleet: Fleet, incarnations: Map<string, number>, fault: Fault): void {
  if (fault.kind === 'wait') fleet.run(fault.duration);
  if (fault.kind === 'node') setNodeIncarnation(fleet, incarnations, fault.at, fault.isAlive);
  if (fault.kind === 'loss') {
    const random = createRandomSource(99);
    fleet.loses = () => random.fraction() < fault.share;
  }
  if (fault.kind !== 'version' && fault.kind !== 'engine') return;
  const worker = WORKERS[fault.at]?.worker ?? '';
  if (fault.kind === 'version') fleet.reports.set(worker, { activeVersion: fault.version });
  else if (fault.to === 'leaving') fleet.reports.set(worker, { leaving: true });
  else if (fault.to === 'well') fleet.reports.delete(worker);
  else fleet.reports.set(worker, fault.to);
}

/**
 * States of a worker that a live node may have once the network is stable. A worker that reported
 * leaving and then stopped answering may stay in the state leaving.
 */
function expectedStates(fleet: Fleet, worker: string, everLeft: boolean): readonly string[] {
  const report = fleet.reports.get(worker) ?? {};
  const isUnresponsive = report === 'fails' || report === 'hangs';
  if (isUnresponsive) return everLeft ? ['unreachable', 'absent'] : ['unreachable'];
  return report.leaving ? ['absent'] : [`in-service ${report.activeVersion ?? 1}`];
}

function hasReportedLeaving(faults: readonly Fault[], worker: string): boolean {
  return faults.some(
    (one) => one.kind === 'engine' && one.to === 'leaving' && WORKERS[one.at]?.worker === worker,
  );
}

t.test('after any faults all nodes converge to the actual state within 8 s', async () => {
  fc.assert(
    fc.property(fc.array(faultArbitrary, { maxLength: 25 }), (faults) => {
      const fleet = new Fleet(NODES, WORKERS);
      const incarnations = new Map<string, number>();
      for (const one of faults) applyFault(fleet, incarnations, one);
      fleet.loses = () => false;
      fleet.run(8_000);
      for (const [node, directory] of fleet.directories) {
        for (const { worker, zone } of WORKERS) {
          const candidate = directory
            .candidates(MODEL, ZONES)
            .find((other) => other.record.worker === worker);
          const zoneIsLive = [...fleet.directories.keys()].some((name) => name.startsWith(zone));
          const everLeft = hasReportedLeaving(faults, worker);
          const expected = zoneIsLive ? expectedStates(fleet, worker, everLeft) : ['absent'];
          const version = candidate?.state === 'in-service' ? ` ${candidate.activeVersion}` : '';
          const found = candidate === undefined ? 'absent' : `${candidate.state}${version}`;
          if (!expected.includes(found))
            throw new Error(`${node} ${worker}: ${found}, not ${expected}`);
        }
      }
    }),
    { seed: 6, numRuns: 150 },
  );
});
