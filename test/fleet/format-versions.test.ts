/** Guards against a format being written while a node that cannot read it may be running. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { CURRENT_FORMAT_VERSION, FIRST_FORMAT_VERSION } from '../../src/core/format-version.js';
import { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { FormatVersions } from '../../src/fleet/format-versions.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { RECORDS } from '../fixtures/format-1.js';
import { FORMAT_1 } from '../fixtures/format-1-schemas.js';
import { OTHER } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

t.test('no format counts as read before the fleet was listed', async (t) => {
  const formats = new FormatVersions();
  formats.note('node-1', CURRENT_FORMAT_VERSION);
  t.notOk(formats.isReadByAll(CURRENT_FORMAT_VERSION, 0));
  formats.noteListed();
  t.ok(formats.isReadByAll(CURRENT_FORMAT_VERSION, 0));
  t.notOk(formats.isReadByAll(CURRENT_FORMAT_VERSION + 1, 0));
});

t.test('an older node counts as running for a while after its lease expired', async (t) => {
  const formats = new FormatVersions();
  formats.noteListed();
  formats.note('node-1', FIRST_FORMAT_VERSION);
  formats.noteExpired('node-1', 1_000);
  t.notOk(formats.isReadByAll(CURRENT_FORMAT_VERSION, 60_000));
  t.ok(formats.isReadByAll(CURRENT_FORMAT_VERSION, 62_000));
});

t.test('a rollback withdraws a format and the next upgrade allows it again', async (t) => {
  const formats = new FormatVersions();
  formats.noteListed();
  formats.note('node-1', CURRENT_FORMAT_VERSION);
  formats.note('node-1', FIRST_FORMAT_VERSION);
  t.notOk(formats.isReadByAll(CURRENT_FORMAT_VERSION, 0));
  formats.note('node-1', CURRENT_FORMAT_VERSION);
  t.ok(formats.isReadByAll(CURRENT_FORMAT_VERSION, 0));
});

t.test('a node reads the records of older nodes, and they read its own', async (t) => {
  const store = new SharedStoreEmulator();
  const put = (['fleet/node/node-1', 'fleet/replica/disk-1'] as const).map((key) => ({
    key,
    value: RECORDS[key],
  }));
  await store.commit({ expected: [], put });
  const { log } = recordingLog();
  const fleet = new FleetRegistry({
    store,
    self: OTHER,
    zone: 'zone-1',
    clock: PROCESS_CLOCK,
    log,
  });
  t.teardown(() => fleet.stop());
  await fleet.start();
  await eventually(() => fleet.liveNodes().length === 2);
  t.equal(fleet.capacityOf('node-1'), 0.5);
  t.ok(fleet.isReadByAll(FIRST_FORMAT_VERSION));
  t.notOk(fleet.isReadByAll(CURRENT_FORMAT_VERSION));

  const own = await store.get(`fleet/node/${OTHER.node}`);
  const text = own.kind === 'item' ? (own.item?.value ?? '') : '';
  const { incarnation, address } = OTHER;
  const asOlderNode = FORMAT_1.node.safeParse(JSON.parse(text)).data;
  t.same(asOlderNode, { incarnation, address, zone: 'zone-1', capacity: 1 });

  const later = { format: CURRENT_FORMAT_VERSION };
  await store.commit({
    expected: [],
    put: put.map(({ key, value }) => ({
      key,
      value: JSON.stringify({ ...JSON.parse(value), ...later }),
    })),
  });
  await eventually(() => fleet.isReadByAll(CURRENT_FORMAT_VERSION));
});
