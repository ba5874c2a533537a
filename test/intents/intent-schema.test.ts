import t from 'tap';
import { draftReader, intentDocument, parseIntent } from '../../src/intents/intent-schema.js';
import { DRAFT, ZONES } from './fixtures/service-harness.js';

const WRITTEN = {
  name: 'pricing',
  trainer: 'pricing-trainer',
  model: 'model-bench',
  zones: ['abdali-hall'],
  staleness_bound: 2,
  interactive: { accounts: ['portal'], reserved_share: 0.2 },
  cut_off: { rule: 'serve', duration: '30s' },
};

function problemsOf(changes: Record<string, unknown>) {
  const parsed = parseIntent({ ...WRITTEN, ...changes }, ZONES);
  return parsed.isErr ? parsed.error : [];
}

t.test('the written form is read with defaults, and written again', async (t) => {
  t.same(parseIntent(WRITTEN, ZONES).unwrapOr(null as never), DRAFT);
  t.same(parseIntent(intentDocument(DRAFT), ZONES).unwrapOr(null as never), DRAFT);
  t.same(problemsOf({ zones: [] }), [], 'no zones: the intent is revoked');
});

t.test('each mistake is named by key, with the reason and what is accepted', async (t) => {
  const cases: [Record<string, unknown>, object][] = [
    [{ zoness: [] }, { key: 'zoness', reason: /not known/, accepted: /name, trainer, model/ }],
    [{ name: 'a/b' }, { key: 'name', accepted: /letters/ }],
    [{ zones: ['nowhere'] }, { key: 'zones', accepted: /abdali-hall, marka-hall/ }],
    [{ zones: ['marka-hall', 'marka-hall'] }, { key: 'zones', reason: /twice/ }],
    [{ staleness_bound: -1 }, { key: 'staleness_bound', accepted: /0 or larger/ }],
    [{ staleness_bound: undefined }, { key: 'staleness_bound', reason: /missing/ }],
    [
      { minimum_version: 5, maximum_version: 4 },
      { key: 'maximum_version', accepted: /5 or/ },
    ],
    [{ version_span: 'both' }, { key: 'version_span', accepted: 'record, restart' }],
    [
      { interactive: { reserved_share: 0.95 } },
      { key: 'interactive.reserved_share', accepted: /0.9/ },
    ],
    [{ interactive: { account: [] } }, { key: 'interactive.account', accepted: /accounts/ }],
    [{ cut_off: { rule: 'serve' } }, { key: 'cut_off.duration' }],
    [{ cut_off: { rule: 'refuse', duration: '1s' } }, { key: 'cut_off.duration' }],
    [{ cut_off: { rule: 'serve', duration: '30' } }, { key: 'cut_off.duration', accepted: /ms/ }],
    [{ cut_off: { rule: 'serve', duration: '25h' } }, { key: 'cut_off.duration', accepted: /24h/ }],
    [{ trainer: null, interactive: {} }, { key: 'trainer' }],
  ];
  for (const [changes, expected] of cases) t.match(problemsOf(changes), [expected]);
  t.equal(problemsOf({ name: 1, model: 2, zones: 3 }).length, 3, 'several at once');
});

t.test('the gateway gets one failure for all problems', async (t) => {
  const read = draftReader(ZONES)({ ...WRITTEN, name: '', extra: 1 });
  t.match(read.isErr && read.error, { kind: 'invalid_intent', detail: /name: .*; extra: / });
});
