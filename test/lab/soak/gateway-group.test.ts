/** Guards against a gateway of the soak that goes on under its old name beside its successor. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import type { BuildRotation } from '../../../lab/soak/build-rotation.js';
import { GatewayGroup, type SoakGateway } from '../../../lab/soak/gateway-group.js';
import type { StoreDoor } from '../../../lab/soak/store-door.js';

class CountedBuilds implements Pick<BuildRotation, 'scriptFor'> {
  readonly started: string[] = [];
  constructor(private readonly script: string) {}
  scriptFor(name: string): string {
    this.started.push(name);
    return this.script;
  }
}

async function oneGateway(test: Pick<typeof t, 'teardown' | 'testdir'>) {
  const folder = test.testdir();
  const script = path.join(folder, 'idle.cjs');
  writeFileSync(script, 'setInterval(() => {}, 1_000);\n');
  const builds = new CountedBuilds(script);
  const door = { address: '127.0.0.1:1' } as StoreDoor;
  const group = new GatewayGroup(folder, async () => door, builds as unknown as BuildRotation);
  test.teardown(() => group.stop());
  await group.start(1);
  const [gateway] = group.gateways;
  if (gateway === undefined) throw new Error('no gateway');
  return { group, gateway, builds };
}

/** Counts the processes of a gateway that were replaced by another one while they ran. */
function watchOrphans(gateway: SoakGateway): { readonly count: number } {
  const orphans = { count: 0 };
  let { process } = gateway;
  Object.defineProperty(gateway, 'process', {
    get: () => process,
    set: (next: SoakGateway['process']) => {
      if (process.child.exitCode === null && process.child.signalCode === null) orphans.count += 1;
      process = next;
    },
  });
  return orphans;
}

for (const [restart, replacement] of [
  [20, 200],
  [200, 20],
  [20, 20],
] as const) {
  t.test(
    `a restart after ${restart} ms beside a replacement after ${replacement} ms`,
    async (t) => {
      const { group, gateway, builds } = await oneGateway(t);
      const orphans = watchOrphans(gateway);
      const formerName = gateway.name;
      await Promise.all([
        group.replace(gateway, replacement),
        group.killAndRestart(gateway, restart),
        group.stopAndRestart(gateway),
      ]);
      t.equal(orphans.count, 0, builds.started.join());
      t.not(gateway.name, formerName);
      t.equal(builds.started.at(-1), gateway.name);
      t.equal(gateway.process.name, gateway.name);
    },
  );
}
