import t from 'tap';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { DecisionLog } from '../../src/telemetry/decision-log.js';
import { formatTraceLine, parseLogLine, traceSubject } from '../../src/telemetry/log-trace.js';
import { ManualClock } from '../jobs/job-fixtures.js';

function line(second: number, node: string, msg: string, fields = {}): string {
  const time = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return JSON.stringify({ level: 30, time, node, zone: 'z', ...fields, msg });
}

const LOG = [
  line(0, 'n1', 'job-submitted', { job: 'j1', step: 3 }),
  line(0.5, 'n1', 'item-run-ended', { item: 'i1', job: 'j1', worker: 'w1', end: 'interrupted' }),
  line(0.6, 'n1', 'item-run-completed', { item: 'i2', job: 'j1', worker: 'w2' }),
  line(0.7, 'n1', 'worker-gone', { worker: 'w1' }),
  line(0.8, 'n1', 'worker-gone', { worker: 'w9' }),
  line(0.9, 'n3', 'store-lost'),
  line(1.5, 'n2', 'job-adopted', { job: 'j1', previous: 'n1' }),
  line(2, 'n2', 'item-run-completed', { item: 'i1', job: 'j1', worker: 'w2' }),
  line(2.5, 'n2', 'store-lost'),
  line(60, 'n2', 'store-lost'),
  'not a line of a log',
].map((text) => `   1.2 prefix ${text}`);

const parsed = LOG.map(parseLogLine).filter((entry) => entry !== undefined);

t.test(
  'the trace of an item has its runs, its job and the state changes around them',
  async (t) => {
    const trace = traceSubject(parsed, 'i1');
    t.same(
      trace.map(({ node, event, relation }) => [node, event, relation]),
      [
        ['n1', 'job-submitted', 'job'],
        ['n1', 'item-run-ended', 'subject'],
        ['n1', 'worker-gone', 'context'],
        ['n2', 'job-adopted', 'job'],
        ['n2', 'item-run-completed', 'subject'],
        ['n2', 'store-lost', 'context'],
      ],
    );
    const [, second] = trace;
    const text = second && formatTraceLine(second, 1_700_000_000_000);
    t.match(text, /0\.500 s \* n1 {2}item-run-ended {2}item=i1 job=j1 worker=w1 end=interrupted/);
  },
);

t.test('a subject that no line names has no trace', async (t) => {
  t.same(traceSubject(parsed, 'unknown'), []);
});

t.test('decisions beyond the rate limit are counted by event', async (t) => {
  const clock = new ManualClock();
  const lines: string[] = [];
  const destination = { write: (text: string) => void lines.push(text) };
  const log = new DecisionLog({ node: 'n', zone: 'z', clock, linesPerSecond: 50, destination });
  for (let index = 0; index < 10_000; index += 1) log.decision('request-answered', { index });
  t.equal(lines.length, 50);
  log.state('store-lost');
  t.equal(lines.length, 51, 'a state change is always written');
  clock.time += 1_000;
  log.decision('request-answered', { index: 0 });
  const dropped = lines.map((text) => JSON.parse(text)).find((e) => e.msg === 'log-lines-dropped');
  t.equal(dropped?.['request-answered'], 9_950);
});

t.test('a destination that never drains does not block the log', async (t) => {
  const log = new DecisionLog({
    node: 'n',
    zone: 'z',
    clock: PROCESS_CLOCK,
    destination: { write: () => false as unknown as undefined },
  });
  for (let index = 0; index < 1_000; index += 1) log.state('store-lost');
  t.pass('all lines were written without blocking');
});
