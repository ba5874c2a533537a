import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import type { CallerIdentity } from '../../src/tenants/tenant.js';
import { answer, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, OTHER, OWNER, specification } from './job-fixtures.js';
import { isFinished, jobNode, workUntil } from './job-node.js';

const caller = (name: string): CallerIdentity => ({
  kind: 'tenant',
  tenant: { name, keyDigests: [], priority: undefined },
});
const NORTH = caller('north');
const SOUTH = caller('south');

const ofNorth = (items: number): JobSpecification => ({
  ...specification('job', items),
  tenant: 'north',
});

t.test('only its tenant reads and cancels a job, at any node', async (t) => {
  const emulator = new SharedStoreEmulator();
  const owner = jobNode(emulator, OWNER);
  t.equal(await owner.service.submit(ofNorth(2), always), undefined);
  for (const { service } of [owner, jobNode(emulator, OTHER)]) {
    t.match(await service.read('job', 0, 0, SOUTH), { kind: 'not_found' });
    t.match(await service.itemBody('job', 'item-1', SOUTH), { kind: 'not_found' });
    t.match(await service.cancel('job', SOUTH, always), { kind: 'not_found' });
    t.match(await service.read('job', 0, 0, { kind: 'anonymous' }), { kind: 'not_found' });
    t.match(await service.read('job', 0, 0, NORTH), { total: 2 });
    t.ok(Buffer.isBuffer(await service.itemBody('job', 'item-1', NORTH)));
  }
  t.equal(owner.service.ownedJobs()[0]?.isOpen, true, 'no other caller has cancelled it');
  t.equal(await jobNode(emulator, OTHER).service.cancel('job', NORTH, always), undefined);
});

t.test('another tenant gets the same response as for an absent job', async (t) => {
  const emulator = new SharedStoreEmulator();
  const node = jobNode(emulator, OWNER);
  await node.service.submit(ofNorth(1), always);
  t.same(await node.service.read('job', 0, 0, SOUTH), await node.service.read('no', 0, 0, SOUTH));
  t.match(node.lines.join('\n'), /job-access-refused/, 'only the log shows the difference');
});

t.test('a job of another tenant with the same id is not treated as a repetition', async (t) => {
  const emulator = new SharedStoreEmulator();
  const node = jobNode(emulator, OWNER);
  await node.service.submit(ofNorth(1), always);
  const ofSouth = { ...ofNorth(1), tenant: 'south' };
  for (const { service } of [node, jobNode(emulator, OTHER)]) {
    t.match(await service.submit(ofSouth, always), { kind: 'not_found' });
    t.equal(await service.submit(ofNorth(1), always), undefined);
  }
});

t.test('a job that was stored without a tenant can still be read', async (t) => {
  const emulator = new SharedStoreEmulator();
  await jobNode(emulator, OWNER).service.submit(specification('job', 1), always);
  t.match(await jobNode(emulator, OTHER).service.read('job', 0, 0, NORTH), { total: 1 });
});

t.test('items run under the tenant that submitted their job', async (t) => {
  const engine = new ScriptedEngine([
    answer(events(0, 'ab'), { isStream: true }),
    answer(events(0, 'cd'), { isStream: true }),
  ]);
  const node = jobNode(new SharedStoreEmulator(), OWNER, engine);
  node.registry.put(worker('w1'));
  await node.service.submit(ofNorth(2), always);
  await workUntil(node, isFinished(node));
  t.same(
    engine.requests.map((request) => request.tenant),
    ['north', 'north'],
  );
});
