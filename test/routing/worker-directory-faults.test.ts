import fc from 'fast-check';
import t from 'tap';
import { Fleet, MODEL, makeNode, makeWorker } from '../../lab/bench/routing-fixtures.js';
import { createRandomSource } from '../../src/core/random.js';

const ZONES = ['zone-a', 'zone-b'];
const NODES = ZONES.flatMap((zone) => [1, 2, 3].map((n) => makeNode(`${zone}-n${n}`, zone)));
const WORKERS = ZONES.flatMap((zone) => [1, 2, 3].map((n) => makeWorker(`${zone}-w${n}`, zone)));

const fault = fc.oneof(
  fc.record({ kind: fc.constant('node' as const), at: fc.nat(5), lives: fc.boolean() }),
  fc.record({
    kind: fc.constant('engine' as const),
    at: fc.nat(5),
    to: fc.constantFrom('fails' as const, 'hangs' as const, 'leaving' as const, 'well' as const),
  }),
  fc.record({ kind: fc.constant('version' as const), at: fc.nat(5), version: fc.nat(9) }),
  fc.record({ kind: fc.constant('loss' as const), share: fc.constantFrom(0, 0.3, 0.9) }),
  fc.record({ kind: fc.constant('wait' as const), duration: fc.integer({ min: 50, max: 4_000 }) }),
);

type Fault = typeof fault extends fc.Arbitrary<infer Kind> ? Kind : never;

/** Kills or starts a node; a started one is a new life. Killed ones have a negative life. */
function setNodeLife(fleet: Fleet, lives: Map<string, number>, at: number, starts: boolean): void {
  const name = NODES[at]?.node ?? '';
  const life = lives.get(name) ?? 1;
  if (!starts) lives.set(name, -Math.abs(life));
  else if (life < 0) lives.set(name, 1 - life);
  const live = NODES.filter(({ node }) => (lives.get(node) ?? 1) > 0);
  fleet.setNodes(live.map((node) => ({ ...node, incarnation: lives.get(node.node) ?? 1 })));
}

function applyFault(fleet: Fleet, lives: Map<string, number>, one: Fault): void {
  if (one.kind === 'wait') fleet.run(one.duration);
  if (one.kind === 'node') setNodeLife(fleet, lives, one.at, one.lives);
  if (one.kind === 'loss') {
    const random = createRandomSource(99);
    fleet.loses = () => random.fraction() < one.share;
  }
  if (one.kind !== 'version' && one.kind !== 'engine') return;
  const worker = WORKERS[one.at]?.worker ?? '';
  if (one.kind === 'version') fleet.reports.set(worker, { activeVersion: one.version });
  else if (one.to === 'leaving') fleet.reports.set(worker, { leaving: true });
  else if (one.to === 'well') fleet.reports.delete(worker);
  else fleet.reports.set(worker, one.to);
}

/**
 * What every live node must think of a worker once the network is calm. One that stopped answering
 * after it said that it was leaving may still count as leaving: that was its last word.
 */
function expectedOf(fleet: Fleet, worker: string, everLeft: boolean): readonly string[] {
  const report = fleet.reports.get(worker) ?? {};
  const isSilent = report === 'fails' || report === 'hangs';
  if (isSilent) return everLeft ? ['unreachable', 'absent'] : ['unreachable'];
  return report.leaving ? ['absent'] : [`in-service ${report.activeVersion ?? 1}`];
}

function hasSaidLeaving(faults: readonly Fault[], worker: string): boolean {
  return faults.some(
    (one) => one.kind === 'engine' && one.to === 'leaving' && WORKERS[one.at]?.worker === worker,
  );
}

t.test('after any faults all nodes come to the truth within 8 s of calm', async () => {
  fc.assert(
    fc.property(fc.array(fault, { maxLength: 25 }), (faults) => {
      const fleet = new Fleet(NODES, WORKERS);
      const lives = new Map<string, number>();
      for (const one of faults) applyFault(fleet, lives, one);
      fleet.loses = () => false;
      fleet.run(8_000);
      for (const [node, directory] of fleet.directories) {
        for (const { worker, zone } of WORKERS) {
          const seen = directory
            .candidates(MODEL, ZONES)
            .find((candidate) => candidate.record.worker === worker);
          const zoneIsLive = [...fleet.directories.keys()].some((name) => name.startsWith(zone));
          const everLeft = hasSaidLeaving(faults, worker);
          const expected = zoneIsLive ? expectedOf(fleet, worker, everLeft) : ['absent'];
          const version = seen?.state === 'in-service' ? ` ${seen.activeVersion}` : '';
          const found = seen === undefined ? 'absent' : `${seen.state}${version}`;
          if (!expected.includes(found))
            throw new Error(`${node} ${worker}: ${found}, not ${expected}`);
        }
      }
    }),
    { seed: 6, numRuns: 150 },
  );
});
