import t from 'tap';
import { NodeCounters } from '../../src/telemetry/counters.js';
import { ExplainLog } from '../../src/telemetry/explain-log.js';
import { createLogger } from '../../src/telemetry/logger.js';
import { COUNTERS, GAUGES } from '../../src/telemetry/metric-table.js';

t.test('each node has separate counters and gauges', async (t) => {
  const counters = new NodeCounters();
  const other = new NodeCounters();
  counters.increment('wardwing_refusals_total', { kind: 'cut_off' });
  counters.increment('wardwing_refusals_total', { kind: 'cut_off' }, 2);
  counters.set('wardwing_members', { state: 'live' }, 7);
  const text = await counters.countersText();
  t.match(text, 'wardwing_refusals_total{kind="cut_off"} 3');
  t.match(text, 'wardwing_members{state="live"} 7');
  counters.clear('wardwing_members');
  t.notMatch(await counters.countersText(), 'wardwing_members{');
  t.notMatch(await other.countersText(), 'cut_off');
  for (const [name, { help }] of Object.entries({ ...COUNTERS, ...GAUGES })) {
    t.match(text, `# HELP ${name} ${help}`);
  }
  t.match(counters.contentType, 'text/plain');
});

t.test('the log writes one line for each state change, with node and zone', async (t) => {
  const lines: string[] = [];
  const destination = { write: (line: string) => lines.push(line) };
  const logger = createLogger({ node: 'abdali-1', zone: 'abdali-hall', destination });
  logger.logStateChange('membership', 'member-dead', { member: 'marka-2' });
  logger.logFault('gateway', new Error('broken'));
  t.match(
    lines.map((line) => JSON.parse(line)),
    [
      {
        node: 'abdali-1',
        zone: 'abdali-hall',
        module: 'membership',
        details: { member: 'marka-2' },
      },
      { module: 'gateway', err: { message: 'broken' } },
    ],
  );
});

t.test('the explain log retains the newest records and finds them by subject', async (t) => {
  const log = new ExplainLog({ capacity: 4 });
  for (let at = 0; at < 10; at += 1) {
    log.add({ at, subject: `step-${at % 3}`, decision: 'sent', reason: 'free slot' });
  }
  t.equal(log.size, 4);
  t.match(log.recordsOf('step-0'), [{ at: 6 }, { at: 9 }]);
  t.match(log.recordsOf('step-1'), [{ at: 7 }]);
  t.same(log.recordsOf('step-9'), []);
});
