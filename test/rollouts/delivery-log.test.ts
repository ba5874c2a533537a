import fc from 'fast-check';
import t from 'tap';
import {
  acknowledge,
  appendEntries,
  closeLog,
  expireStep,
  isSealed,
  PAGE_SIZE,
  pageOf,
} from '../../src/rollouts/delivery-log.js';
import type { DeliveryEntry, LedgerRecord, StepRecord } from '../../src/rollouts/records.js';

const ANY = (): boolean => true;
const STEP: StepRecord = {
  kind: 'step',
  stepId: 's',
  account: 'a',
  intent: 'i',
  model: 'm',
  samplesDigest: 'd',
  sampleCount: 3,
  timeout: 1_000,
  acknowledged: 2,
  state: 'open',
};

function entry(key: string, digest = 'd'): DeliveryEntry {
  return { key, digest };
}

t.test('two drivers that append in any order never deliver a key twice', async () => {
  const append = fc.record({ driver: fc.nat(1), keys: fc.array(fc.nat(300), { maxLength: 80 }) });
  fc.assert(
    fc.property(fc.array(append, { maxLength: 60 }), (appends) => {
      const pages: (LedgerRecord | null)[] = [null];
      const known = [new Set<string>(), new Set<string>()];
      const at = [0, 0];
      for (const { driver, keys } of appends) {
        const wanted = keys
          .map(String)
          .filter((key) => !known[driver]?.has(key))
          .map((key) => entry(key, `by-${driver}`));
        const page = at[driver] ?? 0;
        const current = pages[page] ?? null;
        const change = appendEntries(page, wanted, ANY)(current);
        if (change.kind === 'write') pages[page] = change.value;
        const after = pageOf(pages[page] ?? null, page);
        for (const { key } of after.entries) known[driver]?.add(key);
        if (isSealed(after)) at[driver] = page + 1;
      }
      const delivered = pages.flatMap((page, index) => pageOf(page, index).entries);
      return new Set(delivered.map(({ key }) => key)).size === delivered.length;
    }),
    { seed: 7, numRuns: 300 },
  );
});

t.test('a page never holds more than its size, and only grows', async (t) => {
  const many = Array.from({ length: PAGE_SIZE + 20 }, (_unused, index) => entry(`k${index}`));
  const change = appendEntries(0, many, ANY)(null);
  t.equal(change.kind, 'write');
  if (change.kind !== 'write') return;
  const page = pageOf(change.value, 0);
  t.equal(page.entries.length, PAGE_SIZE);
  t.same(appendEntries(0, [entry('more')], ANY)(page), { kind: 'keep' });
});

t.test(
  'nothing is appended to a closed log, and a result that is too old is left out',
  async (t) => {
    const closed = closeLog(0, { kind: 'deadline_exceeded', detail: 'late' })(null);
    t.equal(closed.kind, 'write');
    if (closed.kind === 'write') {
      t.same(appendEntries(0, [entry('a')], ANY)(closed.value), { kind: 'keep' });
    }
    const change = appendEntries(0, [entry('a'), entry('b')], ({ key }) => key === 'b')(null);
    t.match(change, { kind: 'write', value: { entries: [{ key: 'b' }] } });
  },
);

t.test('an acknowledged cursor never goes back', async (t) => {
  t.same(acknowledge(1, true)(STEP), { kind: 'keep' });
  t.match(acknowledge(3, true)(STEP), { kind: 'write', value: { acknowledged: 3 } });
});

t.test('an open step does not expire', async (t) => {
  t.same(expireStep()(STEP), { kind: 'keep' });
  t.match(expireStep()({ ...STEP, state: 'complete' }), { value: { state: 'expired' } });
});
