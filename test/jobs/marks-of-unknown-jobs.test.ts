/** Guards against ends of unknown jobs that cost the store more calls than needed, or miss their job. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { type CallerIdentity, UNRESTRICTED } from '../../src/tenants/tenant.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import { always, OTHER, OWNER, specification } from './job-fixtures.js';
import { jobNode } from './job-node.js';

const tenantCaller = (name: string): CallerIdentity => ({
  kind: 'tenant',
  tenant: { name, keyDigests: [], priority: undefined },
});

function nodeOf(emulator: SharedStoreEmulator, owner: typeof OWNER) {
  return jobNode(emulator, owner, new ScriptedEngine(), NO_PEERS, {
    isStoreUnreachable: () => false,
  });
}

t.test('a repeated end of an unknown job writes nothing more', async (t) => {
  const emulator = new SharedStoreEmulator();
  const node = nodeOf(emulator, OTHER);
  await node.service.cancel('job', UNRESTRICTED, always);
  const before = new Map(emulator.calls);
  for (let repeat = 0; repeat < 10; repeat += 1) {
    t.match(await node.service.cancel('job', UNRESTRICTED, always), { kind: 'not_found' });
  }
  t.equal(emulator.calls.get('commit'), before.get('commit'), 'commits');
  t.equal(emulator.calls.get('grant'), before.get('grant'), 'leases');
});

t.test('an end by the job’s tenant counts although another tenant sent one before', async (t) => {
  const emulator = new SharedStoreEmulator();
  const other = nodeOf(emulator, OTHER);
  const node = nodeOf(emulator, OWNER);
  await other.service.cancel('job', tenantCaller('tenant-b'), always);
  await other.service.cancel('job', tenantCaller('tenant-a'), always);
  const spec = { ...specification('job', 4), tenant: 'tenant-a' };
  t.equal(await node.service.submit(spec, always), undefined);
  t.equal(JSON.parse(emulator.valueOf('job/head/job') ?? '{}').ended, true);
  node.dispatcher.stop();
});

t.test('an end by a caller that may end a job without tenant', async (t) => {
  const emulator = new SharedStoreEmulator();
  const other = nodeOf(emulator, OTHER);
  const node = nodeOf(emulator, OWNER);
  await other.service.cancel('job', tenantCaller('tenant-a'), always);
  t.equal(await node.service.submit(specification('job', 4), always), undefined);
  t.equal(JSON.parse(emulator.valueOf('job/head/job') ?? '{}').ended, true);
  node.dispatcher.stop();
});
