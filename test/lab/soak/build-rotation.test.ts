/** Which build's programs a soak starts. */
import path from 'node:path';
import t from 'tap';
import { BuildRotation } from '../../../lab/soak/build-rotation.js';

const OTHER = path.resolve('elsewhere/dist/platform/main.js');

t.test('one build starts all processes where no other is given', async (t) => {
  const builds = new BuildRotation(undefined);
  const first = builds.scriptFor('gateway-1', 'node');
  t.equal(builds.scriptFor('gateway-1', 'node'), first);
  t.equal(builds.scriptFor('gateway-2', 'node'), first);
  t.notSame(builds.scriptFor('gateway-2', 'suspendableNode'), first);
});

t.test('two builds run side by side, and each process changes with each start', async (t) => {
  const builds = new BuildRotation('elsewhere');
  const isOther = (name: string): boolean => builds.scriptFor(name, 'node') === OTHER;
  t.same(['gateway-1', 'gateway-2', 'gateway-3'].map(isOther), [false, true, false]);
  t.same(['gateway-1', 'gateway-2', 'gateway-3'].map(isOther), [true, false, true]);
  t.equal(isOther('gateway-1'), false);
});
