/** Which running work is moved away from a worker that leaves. */
import t from 'tap';
import type { GenerationRequest } from '../../src/core/generation.js';
import type { NodePorts } from '../../src/core/node-ports.js';
import { failure } from '../../src/errors/error-kinds.js';
import { mechanismsWithout } from '../../src/node/mechanisms.js';
import { type GenerationPermission, WorkPlacement } from '../../src/node/work-placement.js';
import type { Router } from '../../src/routing/router.js';
import type { WorkerDirectory } from '../../src/routing/worker-directory.js';

const SAMPLE = { model: 'm', trafficClass: 'training', repeatable: true } as GenerationRequest;

/** A placement whose worker `leaver` leaves while the others stay. */
function placementOf(others: readonly string[], isAllowed = true): WorkPlacement {
  const directory = {
    isLeaving: (worker: string) => worker === 'leaver',
    candidates: (_model: string, zones: readonly string[]) =>
      zones.length === 0 ? [] : others.map((worker) => ({ record: { worker } })),
  } as unknown as WorkerDirectory;
  const answer = isAllowed
    ? { kind: 'allowed', permission: { zones: ['z'] } }
    : { kind: 'refused', failure: failure('cut_off', '') };
  const permission = (() => answer) as unknown as GenerationPermission;
  const ports = { mechanisms: mechanismsWithout() } as NodePorts;
  return new WorkPlacement(ports, directory, {} as Router, ['z'], permission);
}

t.test('samples move away from a leaving worker, where there is another one', async (t) => {
  t.match(placementOf(['other']).moveAway(SAMPLE, 'leaver'), { kind: 'no_worker' });
  t.equal(placementOf(['other']).moveAway(SAMPLE, 'stayer'), null);
  t.equal(placementOf([]).moveAway(SAMPLE, 'leaver'), null, 'it may still finish there');
  t.equal(placementOf(['leaver']).moveAway(SAMPLE, 'leaver'), null);
  t.equal(placementOf(['other'], false).moveAway(SAMPLE, 'leaver'), null);
});

t.test('interactive work and work that may run once stay to their end', async (t) => {
  const placement = placementOf(['other']);
  t.equal(placement.moveAway({ ...SAMPLE, trafficClass: 'interactive' }, 'leaver'), null);
  t.equal(placement.moveAway({ ...SAMPLE, repeatable: false }, 'leaver'), null);
});
