/** What a soak counts in the logs of its gateways. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import { SharedStoreEmulator } from '../../../lab/emulator/shared-store-emulator.js';
import { countAcceptances } from '../../../lab/soak/acceptance-log.js';

t.test('a job that one zone journaled and the store has of another is named', async (t) => {
  const folder = t.testdir();
  mkdirSync(folder, { recursive: true });
  const line = (zone: string, msg: string, job: string): string =>
    JSON.stringify({ level: 30, node: `node-${zone}`, zone, job, step: 1, msg });
  const first = [
    line('zone-a', 'job-journaled', 'stored-by-other'),
    line('zone-a', 'journaled-job-superseded', 'stored-by-other'),
    line('zone-a', 'job-journaled', 'journaled-twice'),
    line('zone-a', 'job-journaled', 'one'),
    line('zone-a', 'job-recovered', 'recovered'),
    '{"job":"cut short by a k',
  ];
  const second = [line('zone-b', 'job-journaled', 'journaled-twice')];
  writeFileSync(path.join(folder, 'gateway-1.log'), first.join('\n'));
  writeFileSync(path.join(folder, 'gateway-2.log'), second.join('\n'));
  const store = new SharedStoreEmulator();
  const counts = { total: 1, listed: 0, pages: 0, ended: false, specificationParts: 1 };
  const head = (job: string, zone: string): void => {
    const value = { owner: null, zone, submittedAt: 1, changeId: 'change', ...counts };
    store.write(`job/head/${job}`, JSON.stringify(value));
  };
  head('stored-by-other', 'zone-b');
  head('one', 'zone-a');
  t.same(countAcceptances(folder, store), {
    inStore: 2,
    acceptedByJournal: 4,
    journaledSuperseded: 1,
    recoveredFromJournal: 1,
    acceptedInTwoZones: ['stored-by-other', 'journaled-twice'],
  });
});
