import t from 'tap';
import { PermissionCheck, type PermissionQuestion } from '../../src/access/permission.js';
import type { Configuration, Intent } from '../../src/config-feed/configuration.js';

const INTENT: Intent = {
  name: 'wordings',
  trainer: 'trainer',
  model: 'bench',
  zones: ['abdali', 'marka'],
  minimumVersion: 1,
  maximumVersion: null,
  stalenessBound: 2,
  versionSpan: 'record',
  interactive: { accounts: ['broker'], reservedShare: 0.2 },
  cutOff: { kind: 'serve', duration: 10_000 },
};
const TRAINING: PermissionQuestion = { kind: 'training', account: 'trainer', model: 'bench' };
const LOOKUP: PermissionQuestion = { kind: 'interactive', account: 'broker', model: 'bench' };

function configurationOf(intent: Intent): Configuration {
  const versions = [4, 7].map((version) => ({ version, digest: 'd', bytes: 1 }));
  return {
    revision: 9,
    intents: new Map([[intent.name, intent]]),
    catalogues: new Map([['bench', { model: 'bench', versions }]]),
    groups: new Map(),
    drains: [],
  };
}

function check(zone: string, question: PermissionQuestion, age: number, intent = INTENT) {
  const options = { zone, freshnessBound: 6_000, freshnessRule: true, residencyAtGateway: true };
  const view = { configuration: configurationOf(intent), freshnessAge: age };
  return new PermissionCheck(options).check(question, view);
}

t.test('a fresh configuration allows the zones of the intent and names the bound', async (t) => {
  t.match(check('abdali', TRAINING, 100), {
    kind: 'allowed',
    permission: { zones: ['abdali', 'marka'], oldestVersion: 5 },
  });
});

t.test('the oldest version that may be used at all holds for lookups too', async (t) => {
  t.match(check('abdali', LOOKUP, 100), { permission: { oldestVersion: 1 } });
  const raised: Intent = { ...INTENT, minimumVersion: 6 };
  t.match(check('abdali', LOOKUP, 100, raised), { permission: { oldestVersion: 6 } });
});

t.test('a zone that the intent does not name is refused', async (t) => {
  t.match(check('sweifieh', TRAINING, 100), { failure: { kind: 'zone_not_allowed' } });
  t.match(check('abdali', TRAINING, 100, { ...INTENT, zones: [] }), {
    failure: { kind: 'zone_not_allowed' },
  });
});

t.test('another account or model is refused', async (t) => {
  t.match(check('abdali', { ...TRAINING, account: 'other' }, 0), {
    failure: { kind: 'forbidden' },
  });
  t.match(check('abdali', { ...LOOKUP, model: 'other' }, 0), { failure: { kind: 'forbidden' } });
});

t.test('cut off: lookups go on in the own zone for the time the intent names', async (t) => {
  t.match(check('abdali', LOOKUP, 10_000), { permission: { zones: ['abdali'] } });
  t.match(check('abdali', LOOKUP, 10_001), { failure: { kind: 'cut_off' } });
  const refusing: Intent = { ...INTENT, cutOff: { kind: 'refuse' } };
  t.match(check('abdali', LOOKUP, 6_001, refusing), { failure: { kind: 'cut_off' } });
});

t.test('cut off: training is refused, since the newest version cannot be known', async (t) => {
  t.match(check('abdali', TRAINING, 6_001), { failure: { kind: 'cut_off' } });
});

t.test('a node that never learned a configuration allows nothing', async (t) => {
  t.match(check('abdali', LOOKUP, Number.POSITIVE_INFINITY), { failure: { kind: 'cut_off' } });
});
