import t from 'tap';
import type { Oracle } from '../../../lab/proofs/oracle.js';
import { AtMostOnceOracle } from '../../../lab/proofs/oracles/at-most-once.js';
import { CompleteAnswerOracle } from '../../../lab/proofs/oracles/complete-answer.js';
import { ConfigInForceOracle } from '../../../lab/proofs/oracles/config-in-force.js';
import { DrainOracle } from '../../../lab/proofs/oracles/drain.js';
import { ExactlyOnceOracle } from '../../../lab/proofs/oracles/exactly-once.js';
import { NotRunIsTrueOracle } from '../../../lab/proofs/oracles/not-run-is-true.js';
import { PlannedStopOracle } from '../../../lab/proofs/oracles/planned-stop.js';
import { ResidencyOracle } from '../../../lab/proofs/oracles/residency.js';
import { StalenessBoundOracle } from '../../../lab/proofs/oracles/staleness-bound.js';
import { WeightVersionsOracle } from '../../../lab/proofs/oracles/weight-versions.js';
import type { Observation } from '../../../lab/simulation/observation.js';
import { drainKey } from '../../../src/config-feed/configuration.js';
import {
  ACCEPTED,
  ACKNOWLEDGE,
  answer,
  at,
  called,
  failed,
  intentPut,
  judge,
  NODE,
  PROMPT,
  page,
  published,
  question,
  READ,
  ran,
  replied,
  SUBMIT,
} from './histories.js';

interface Case {
  readonly name: string;
  readonly create: () => Oracle;
  readonly good: readonly Observation[];
  /** Histories that break the promise, by what is wrong with them. */
  readonly bad: Readonly<Record<string, readonly Observation[]>>;
}

const result = answer('q', [1, 2]);
const generated = (value: typeof result): Observation[] =>
  replied(5, 'c', { kind: 'done', body: { kind: 'generated', result: value } });
const asked = called(0, 'c', question('q'));
const submitted = [called(0, 's', SUBMIT), ...replied(1, 's', ACCEPTED)];
const read = (time: number, callId: string, reply: ReturnType<typeof page>): Observation[] => [
  called(time, callId, READ),
  ...replied(time + 1, callId, reply),
];
const threeZones = ['abdali-hall', 'sweifieh-hall', 'marka-hall'];
const drainPut = at(0, {
  kind: 'key-value-changed',
  key: drainKey({ kind: 'worker', name: 'worker-1' }),
  value: JSON.stringify({ target: { kind: 'worker', name: 'worker-1' }, reason: '' }),
  revision: 2,
});
const revisionSeen = (time: number, revision: number): Observation =>
  at(time, { kind: 'revision-seen', node: NODE, revision });
const message = (content: unknown, toZone: string): Observation =>
  at(20, { kind: 'message', from: NODE, to: `${toZone}-1`, toZone, content });
const firstText = answer(PROMPT, [1, 1, 1]);
const produced = at(3, {
  kind: 'engine-event',
  worker: 'worker-1',
  dispatchId: 'd1',
  event: {
    kind: 'segment',
    segment: { version: 1, firstToken: 0, tokenCount: 3 },
    text: firstText.text,
  },
});

const CASES: readonly Case[] = [
  {
    name: 'weight-versions',
    create: () => new WeightVersionsOracle(),
    good: [asked, ...generated(result)],
    bad: {
      'a token of another version': [
        asked,
        ...generated({ ...result, segments: [{ version: 1, firstToken: 0, tokenCount: 2 }] }),
      ],
      'a token without a version': [
        asked,
        ...generated({ ...result, segments: result.segments.slice(0, 1) }),
      ],
    },
  },
  {
    name: 'staleness-bound',
    create: () => new StalenessBoundOracle(),
    good: [
      intentPut(0, 2, threeZones),
      published(0, 3, 3),
      called(1, 's', SUBMIT),
      ...read(20_000, 'r', page([])),
      ...read(21_000, 'r2', page(['a'], 2)),
    ],
    bad: {
      'a version two behind': [
        intentPut(0, 2, threeZones),
        published(0, 3, 3),
        called(1, 's', SUBMIT),
        ...read(20_000, 'r', page([])),
        ...read(21_000, 'r2', page(['a'], 1)),
      ],
    },
  },
  {
    name: 'exactly-once',
    create: () => new ExactlyOnceOracle(),
    good: [...submitted, ...read(2, 'r', page(['a'])), ...read(4, 'r2', page(['a', 'b']))],
    bad: {
      'a sample twice': [...submitted, ...read(2, 'r', page(['a', 'a']))],
      'a sample lost': [...submitted, ...read(2, 'r', page(['a']))],
      'other bytes': [
        ...submitted,
        ...read(2, 'r', page(['a', 'b'])),
        ...read(4, 'r2', page(['a', 'b'], 2)),
      ],
      'another place': [
        ...submitted,
        ...read(2, 'r', page(['a', 'b'])),
        ...read(4, 'r2', page(['b', 'a'])),
      ],
      'a whole step forgotten': [
        ...submitted,
        ...read(2, 'r', page(['a', 'b'])),
        ...read(4, 'r2', page([])),
      ],
      'a cursor that fell': [
        ...submitted,
        ...read(2, 'r', page(['a', 'b'])),
        called(4, 'k', ACKNOWLEDGE),
        ...replied(5, 'k', {
          kind: 'done',
          body: { kind: 'step-acknowledged', stepId: 'step-1', cursor: 2 },
        }),
        ...read(6, 'r2', page(['a', 'b'])),
      ],
    },
  },
  {
    name: 'complete-answer',
    create: () => new CompleteAnswerOracle(),
    good: [asked, ...generated(result)],
    bad: {
      'the answer of another': [asked, ...generated(answer('other', [1, 2]))],
      'text cut off': [asked, ...generated({ ...result, text: result.text.slice(0, -3) })],
      'tokens missing': [ran(1, 'q'), asked, ...generated(answer('q', [1]))],
      'a stream that differs': [
        asked,
        at(3, {
          kind: 'reply-received',
          callId: 'c',
          reply: {
            kind: 'segment',
            segment: { version: 1, firstToken: 0, tokenCount: 1 },
            text: '',
          },
        }),
        ...generated(result),
      ],
    },
  },
  {
    name: 'not-run-is-true',
    create: () => new NotRunIsTrueOracle(),
    good: [asked, ran(2, 'q'), ...replied(3, 'c', failed('unknown'))],
    bad: {
      'run before': [asked, ran(2, 'q'), ...replied(3, 'c', failed('no'))],
      'run after': [asked, ...replied(3, 'c', failed('no')), ran(9, 'q')],
    },
  },
  {
    name: 'at-most-once',
    create: () => new AtMostOnceOracle(),
    good: [called(0, 'c', question('q', false)), ran(1, 'q')],
    bad: { 'run twice': [called(0, 'c', question('q', false)), ran(1, 'q'), ran(2, 'q')] },
  },
  {
    name: 'drain',
    create: () => new DrainOracle(),
    good: [drainPut, ran(2_900, 'q')],
    bad: {
      'work after an order': [drainPut, ran(3_100, 'q')],
      'work after its own sign': [
        at(0, { kind: 'worker-leaving', worker: 'worker-1', sign: 'report', leaving: true }),
        ran(3_100, 'q'),
      ],
    },
  },
  {
    name: 'planned-stop',
    create: () => new PlannedStopOracle(),
    good: [asked, at(1, { kind: 'node-stop-asked', node: NODE }), ...generated(result)],
    bad: {
      'a connection lost': [
        asked,
        at(1, { kind: 'node-stop-asked', node: NODE }),
        at(2, { kind: 'call-lost', callId: 'c', cause: 'connection-lost' }),
      ],
      'a node ended by force': [
        at(1, { kind: 'node-stop-asked', node: NODE }),
        at(2, { kind: 'node-ended', node: NODE, planned: false }),
      ],
      'an outcome lost': [
        asked,
        at(1, { kind: 'worker-leaving', worker: 'w', sign: 'report', leaving: true }),
        ran(1, 'q'),
        ...replied(2, 'c', failed('unknown')),
      ],
    },
  },
  {
    name: 'config-in-force',
    create: () => new ConfigInForceOracle(),
    good: [
      intentPut(0, 2, threeZones),
      intentPut(10_000, 5, ['marka-hall']),
      ran(15_900, 'q'),
      revisionSeen(16_000, 5),
    ],
    bad: {
      'served after its end': [
        intentPut(0, 2, threeZones),
        intentPut(10_000, 5, ['marka-hall']),
        ran(16_200, 'q'),
      ],
      'a revision that fell': [revisionSeen(1, 5), revisionSeen(2, 4)],
      'late in a calm fleet': [
        intentPut(0, 2, threeZones),
        at(1, { kind: 'healed' }),
        intentPut(2, 5, ['marka-hall']),
        revisionSeen(13_000, 2),
      ],
      'run on after its end': [
        at(0, { kind: 'node-started', node: NODE, zone: 'abdali-hall', incarnation: 1 }),
        intentPut(0, 2, threeZones),
        ran(9_000, 'q'),
        intentPut(10_000, 5, ['marka-hall']),
        { ...produced, at: 18_000 },
      ],
    },
  },
  {
    name: 'residency',
    create: () => new ResidencyOracle(),
    good: [intentPut(0, 2, ['abdali-hall']), message({ body: [PROMPT] }, 'abdali-hall')],
    bad: {
      'a prompt elsewhere': [
        intentPut(0, 2, ['abdali-hall']),
        message({ body: [PROMPT] }, 'marka-hall'),
      ],
      'a text elsewhere': [
        intentPut(0, 2, ['abdali-hall']),
        ran(2, PROMPT),
        produced,
        message(new Map([['result', firstText]]), 'marka-hall'),
      ],
      'work elsewhere': [intentPut(0, 2, ['abdali-hall']), ran(2, PROMPT, 'marka-hall')],
      'a prompt in the key-value service': [
        at(1, { kind: 'key-value-changed', key: '/wardwing/x', value: PROMPT, revision: 2 }),
      ],
      'samples handed over elsewhere': [
        intentPut(0, 2, ['abdali-hall']),
        called(1, 's', SUBMIT),
        called(2, 'r', READ, 'marka-hall'),
        ...replied(3, 'r', page(['a'])),
      ],
    },
  },
];

for (const { name, create, good, bad } of CASES) {
  t.test(name, async (t) => {
    const oracle = judge(create(), good);
    t.same(oracle.violations, [], 'a good history');
    t.ok(oracle.checked > 0, 'something was compared');
    for (const [fault, history] of Object.entries(bad)) {
      t.ok(judge(create(), history).violationCount > 0, fault);
    }
  });
}
