import { readdirSync } from 'node:fs';
import path from 'node:path';
import t from 'tap';
import { isMechanismName } from '../../../lab/proofs/mechanism-names.js';
import { readTrace } from '../../../lab/proofs/trace.js';
import { replayTrace } from '../../../lab/replay/replay-trace.js';
import { createNodeFactory } from '../../../lab/simulation/node-core-factory.js';
import { createStubFactory } from '../simulation/stub-node.js';

const FOLDER = 'lab/traces';
const files = readdirSync(FOLDER).filter((name) => name.endsWith('.ndjson'));

t.ok(files.length > 0, 'there are traces');
for (const file of files) {
  t.test(file, async (t) => {
    const trace = readTrace(path.join(FOLDER, file));
    const without = trace.header.without.filter(isMechanismName);
    t.same(without, trace.header.without, 'all mechanisms are known');
    const result = replayTrace(trace, createNodeFactory(without));
    t.same(result.differences, []);
    t.ok(result.checked > 0, 'something was compared');
  });
}

t.test('a changed outcome is told readably', async (t) => {
  const header = {
    kind: 'header' as const,
    proof: 'exactly-once',
    simulationSeed: 1,
    without: [],
    note: 'a test',
    outcome: { holds: true, firstViolation: null },
  };
  const action = {
    kind: 'submit-step' as const,
    trainer: 0,
    samples: 2,
    maxTokens: 4,
    timeout: 3_600_000,
  };
  const trace = { header, steps: [{ after: 1, action }] };
  t.same(replayTrace(trace, createStubFactory()).differences, []);
  const [first, second] = replayTrace(trace, createStubFactory('twice')).differences;
  t.equal(first, 'holds: stated true, came out false');
  t.match(second, /firstViolation: stated null, came out .*sample-/);
});
