/** Guards against accepted jobs that no node runs after a node failed to recover them. */
import t from 'tap';
import { checkAfterHealing, JOB, journaledOnly } from './zone-trainer.js';

/** Time for two scans of the journals. */
const SCAN_TIME = 7_000;

t.test('a job that one node could not recover is recovered by another', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const first = zones.start('zone-1');
  zones.setStore('late-and-unanswered', first);
  await zones.run(SCAN_TIME);
  zones.setStore('refusing', first);
  const second = zones.start('zone-1');
  await zones.run(2 * SCAN_TIME);
  const texts = await zones.read(second, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 2, 'the other node recovered it');
  await checkAfterHealing(t, zones, record, 1);
});

t.test('a recovered job whose creation was late is run', async (t) => {
  const { zones, record } = await journaledOnly(t);
  const node = zones.start('zone-1');
  zones.setStore('late-and-unanswered', node);
  await zones.run(SCAN_TIME);
  await node.port.applyLateCommits();
  zones.setStore('up', node);
  await zones.run(2 * SCAN_TIME);
  const texts = await zones.read(node, JOB);
  t.equal('failure' in texts ? texts.failure : texts.length, 2, 'its owner lists it');
  t.same(record.differences(), []);
  await checkAfterHealing(t, zones, record, 1);
});
