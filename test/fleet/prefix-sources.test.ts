/** Guards against a wrong or unlogged source of a prefix, or a wrong time without one. */
import t from 'tap';
import { PrefixSources, STORE_SOURCE } from '../../src/fleet/prefix-sources.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';

t.test('the age of a contact includes time for which the machine was suspended', async (t) => {
  const clock = new ManualClock();
  const sources = new PrefixSources({ clock, log: recordingLog().log });
  t.equal(sources.contactAge('op/'), Number.POSITIVE_INFINITY);
  sources.noteReceived('op/', STORE_SOURCE);
  clock.time += 100;
  clock.suspended += 9_000;
  t.equal(sources.contactAge('op/'), 9_100);
  sources.noteContact('op/');
  t.equal(sources.contactAge('op/'), 0);
});

t.test('a change of the source is logged with the time between, and a loss once', async (t) => {
  const clock = new ManualClock();
  const { log, lines } = recordingLog();
  const sources = new PrefixSources({ clock, log });
  sources.noteUnavailable('op/', []);
  sources.noteReceived('op/', 'node-1');
  clock.time += 400;
  sources.noteUnavailable('op/', ['node-1:silent']);
  sources.noteUnavailable('op/', ['node-1:silent']);
  clock.time += 300;
  sources.noteReceived('op/', STORE_SOURCE);
  t.match(
    lines.map((line) => JSON.parse(line)),
    [
      { by: 'nobody', before: 'node-1', unheardMs: 400, asked: 'node-1:silent' },
      { by: 'store', before: 'nobody', unheardMs: 700 },
    ],
  );
});
