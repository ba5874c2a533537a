/** What a soak counts in the logs of its gateways. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import { countAcceptances } from '../../../lab/soak/acceptance-log.js';

t.test(
  'a job that two zones accepted is named, one that was retried in its zone is not',
  async (t) => {
    const folder = t.testdir();
    mkdirSync(folder, { recursive: true });
    const line = (zone: string, msg: string, job: string, outcome?: string): string =>
      JSON.stringify({ level: 30, node: `node-${zone}`, zone, job, step: 1, outcome, msg });
    const first = [
      line('zone-a', 'job-journaled', 'both'),
      line('zone-a', 'journaled-job-superseded', 'both', 'superseded'),
      line('zone-a', 'job-journaled', 'one'),
      line('zone-a', 'job-submitted', 'one', 'changed'),
      line('zone-a', 'job-recovered', 'other'),
      '{"job":"cut short by a k',
    ];
    const second = [
      line('zone-b', 'job-submitted', 'both', 'changed'),
      line('zone-b', 'job-submitted', 'one', 'superseded'),
    ];
    writeFileSync(path.join(folder, 'gateway-1.log'), first.join('\n'));
    writeFileSync(path.join(folder, 'gateway-2.log'), second.join('\n'));
    t.same(countAcceptances(folder), {
      acceptedByStore: 2,
      acceptedByJournal: 2,
      journaledSuperseded: 1,
      recoveredFromJournal: 1,
      acceptedInTwoZones: ['both'],
    });
  },
);
