import fc from 'fast-check';
import t from 'tap';
import type { Configuration, Intent } from '../../src/config-feed/configuration.js';
import type { GenerationResult, TokenSegment } from '../../src/core/generation.js';
import { executionStateOf } from '../../src/errors/error-kinds.js';
import {
  checkHandOver,
  checkSegment,
  interactiveBounds,
  trainingBounds,
  versionFault,
} from '../../src/weights/staleness-bound.js';

const INTENT: Intent = {
  name: 'train',
  trainer: 'trainer',
  model: 'writer',
  zones: ['hall'],
  minimumVersion: 1,
  maximumVersion: null,
  stalenessBound: 2,
  versionSpan: 'record',
  interactive: { accounts: [], reservedShare: 0 },
  cutOff: { kind: 'serve', duration: 60_000 },
};

function viewOf(newest: number, configurationFresh = true) {
  const versions = Array.from({ length: newest }, (_, index) => ({
    version: index + 1,
    digest: `${index}`,
    bytes: 1,
  }));
  const configuration: Configuration = {
    revision: 1,
    intents: new Map(),
    catalogues: new Map(newest > 0 ? [['writer', { model: 'writer', versions }]] : []),
    groups: new Map(),
    drains: [],
  };
  return { configuration, configurationFresh };
}

function resultOf(versions: readonly number[]): GenerationResult {
  const segments: TokenSegment[] = versions.map((version, index) => ({
    version,
    firstToken: index * 10,
    tokenCount: 10,
  }));
  return { text: '', tokenCount: versions.length * 10, segments, finishReason: 'stop' };
}

function faultOf(intent: Intent, version: number) {
  const bounds = trainingBounds(viewOf(10), intent).unwrapOr({ oldest: 99, newest: null });
  return versionFault(bounds, version);
}

t.test('bounds: a version just inside is allowed, one behind it is not', async (t) => {
  t.equal(faultOf(INTENT, 8), undefined);
  t.match(faultOf(INTENT, 7), { kind: 'too-old', version: 7, oldest: 8 });
  const pinned = { ...INTENT, maximumVersion: 9 };
  t.equal(faultOf(pinned, 7), undefined);
  t.match(faultOf(pinned, 10), { kind: 'too-new', newest: 9 });
});

t.test('bounds: refused as not run where the newest version cannot be known', async (t) => {
  for (const [view, kind] of [
    [viewOf(10, false), 'cut_off'],
    [viewOf(0), 'version_unknown'],
  ] as const) {
    const bounds = trainingBounds(view, INTENT);
    t.ok(bounds.isErr);
    if (bounds.isOk) continue;
    t.equal(bounds.error.kind, kind);
    t.equal(executionStateOf(bounds.error), 'no');
  }
});

t.test('segment: gaps, repeats and a changed version under restart are found', async (t) => {
  const bounds = trainingBounds(viewOf(10), INTENT).unwrapOr({ oldest: 99, newest: null });
  const first = { version: 9, firstToken: 0, tokenCount: 5 };
  const next = { version: 10, firstToken: 5, tokenCount: 5 };
  t.equal(checkSegment(bounds, 'record', first, next).kind, 'allowed');
  t.match(checkSegment(bounds, 'restart', first, next), { kind: 'version-changed', from: 9 });
  const gap = { ...next, firstToken: 6 };
  t.match(checkSegment(bounds, 'record', first, gap), { kind: 'not-contiguous' });
  t.match(checkSegment(bounds, 'record', undefined, next), { kind: 'not-contiguous' });
});

t.test('hand-over: an answer that was fresh when made may be too old now', async (t) => {
  t.equal(checkHandOver(viewOf(10), INTENT, resultOf([8, 9])).kind, 'allowed');
  t.equal(checkHandOver(viewOf(11), INTENT, resultOf([8, 9])).kind, 'too-old');
  const held = checkHandOver(viewOf(10, false), INTENT, resultOf([10]));
  t.match(held, { kind: 'hold', failure: { kind: 'cut_off', ran: 'yes' } });
  const missing = { ...resultOf([10]), tokenCount: 11 };
  t.equal(checkHandOver(viewOf(10), INTENT, missing).kind, 'not-contiguous');
});

t.test('hand-over agrees with the definition for any versions', async () => {
  const version = fc.integer({ min: 1, max: 12 });
  const property = fc.property(
    fc.array(version, { minLength: 1, maxLength: 6 }),
    version,
    fc.integer({ min: 0, max: 5 }),
    fc.option(version),
    (versions, newest, stalenessBound, maximumVersion) => {
      const intent = { ...INTENT, stalenessBound, maximumVersion };
      const ceiling = Math.min(newest, maximumVersion ?? newest);
      const expected = versions.every(
        (each) => each >= ceiling - stalenessBound && each <= (maximumVersion ?? each),
      );
      const verdict = checkHandOver(viewOf(newest), intent, resultOf(versions));
      return (verdict.kind === 'allowed') === expected;
    },
  );
  fc.assert(property, { seed: 5, numRuns: 500 });
});

t.test('interactive work is bound by the limits of the intent only', async (t) => {
  t.same(interactiveBounds({ ...INTENT, minimumVersion: 3 }), { oldest: 3, newest: null });
});
