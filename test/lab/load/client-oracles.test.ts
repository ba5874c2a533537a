import path from 'node:path';
import t from 'tap';
import { expectedText } from '../../../lab/emulator/generated-text.js';
import type { AnswerEvent, ClientEvent } from '../../../lab/load/client-events.js';
import {
  judgeRecording,
  outcomeOf,
  type RecordingHeader,
  violationsOf,
  writeRecording,
} from '../../../lab/load/client-recording.js';
import { InteractiveOracle } from '../../../lab/load/interactive-oracle.js';
import { InteractiveReport } from '../../../lab/load/interactive-report.js';
import { TrainerOracle } from '../../../lab/load/trainer-oracle.js';
import { TrainerReport } from '../../../lab/load/trainer-report.js';

const OPTIONS = { stalenessBound: 1, versionGrace: 10 };
const NO_VIOLATION = violationsOf(new TrainerReport(), new InteractiveReport());

const versions = (version: number) => [{ version, firstToken: 0, tokenCount: 3 }];
const accepted: ClientEvent = {
  kind: 'step-accepted',
  at: 0,
  stepId: 's',
  samples: ['a', 'b'].map((key, seed) => ({ key, prompt: 'p', seed })),
};
const sample = (key: 'a' | 'b', position: number, change: object = {}): ClientEvent => ({
  kind: 'sample',
  at: 0,
  stepId: 's',
  key,
  position,
  text: expectedText('p', key === 'a' ? 0 : 1, versions(1)),
  versions: versions(1),
  ...change,
});
const over: ClientEvent = { kind: 'step-over', at: 0, stepId: 's', state: 'complete' };
const whole = [accepted, sample('a', 0), sample('b', 1), over];

function answer(at: number, change: Partial<AnswerEvent> = {}): AnswerEvent {
  return {
    kind: 'answer',
    at,
    order: true,
    prompt: 'q',
    seed: 7,
    status: 200,
    problem: null,
    ran: 'yes',
    text: expectedText('q', 7, versions(1)),
    versions: versions(1),
    ...change,
  };
}
const notRun = (at: number) =>
  answer(at, { status: 503, problem: 'no_worker', ran: 'no', text: '', versions: [] });
const runAt = (at: number): ClientEvent => {
  return { kind: 'accepted', at, worker: 'w', prompt: 'q', seed: 7 };
};

/** Violations that the oracles see in some events. */
function seen(events: readonly ClientEvent[]): Readonly<Record<string, number>> {
  const trainer = new TrainerOracle(OPTIONS, new TrainerReport());
  const interactive = new InteractiveOracle(new InteractiveReport());
  for (const event of events) {
    trainer.take(event);
    interactive.take(event);
  }
  interactive.finish();
  const violations = violationsOf(trainer.report, interactive.report);
  return Object.fromEntries(Object.entries(violations).filter(([, count]) => count > 0));
}

t.test("a trainer's oracle sees each kind of fault", (t) => {
  t.same(seen(whole), {});
  t.same(seen([accepted, sample('a', 0), sample('a', 1), sample('b', 2), over]), { twice: 1 });
  t.same(seen([accepted, sample('a', 0), over]), { lost: 1 });
  t.same(seen([accepted, sample('a', 0), { ...over, state: 'closed' } as ClientEvent]), {});
  t.same(seen([accepted, sample('a', 0, { text: 'x' }), sample('b', 1), over]), { wrongText: 1 });
  const again = sample('a', 1, { kind: 'sample-again' });
  t.same(seen([...whole, again]), { changed: 1 });
  const published = (version: number): ClientEvent => ({ kind: 'published', at: 0, version });
  const late = [accepted, published(3), sample('a', 0, { at: 11 }), sample('b', 1), over];
  t.same(seen(late), { tooOld: 1 });
  t.end();
});

t.test("the callers' oracle sees each kind of fault", (t) => {
  t.same(seen([answer(1), answer(2), runAt(0)]), {});
  t.same(seen([answer(1, { text: 'x' })]), { wrongAnswer: 1 });
  const other = answer(2, { text: expectedText('q', 7, versions(2)), versions: versions(2) });
  t.same(seen([answer(1), other]), { differentRepeats: 1 });
  const conflict = answer(2, { status: 409, problem: 'key_conflict', ran: 'no' });
  t.same(seen([answer(1), conflict]), { differentRepeats: 1 });
  t.same(seen([answer(1), runAt(0), runAt(1)]), { ordersRunTwice: 1 });
  t.same(seen([notRun(1), notRun(2), runAt(3)]), { falseNotRun: 1 });
  t.same(seen([notRun(2), answer(4), runAt(1)]), { falseNotRun: 1 }, 'ran before the refusal');
  t.same(seen([notRun(2), answer(4), runAt(3)]), {}, 'ran for the second call');
  const unknown = answer(1, { status: 504, problem: 'outcome_unknown', ran: 'unknown' });
  t.same(seen([unknown, notRun(3), runAt(2)]), {}, 'ran for the first call');
  t.end();
});

t.test('a recording is judged again, and a difference named', (t) => {
  const trainer = new TrainerOracle(OPTIONS, new TrainerReport());
  for (const event of whole) trainer.take(event);
  const outcome = outcomeOf([{ trainer: trainer.report, interactive: new InteractiveReport() }]);
  t.same(outcome, { holds: true, checked: 2, violations: NO_VIOLATION });
  const header: RecordingHeader = {
    kind: 'client-recording',
    deployments: [{ name: 'd', ...OPTIONS }],
    outcome,
  };
  const file = path.join(t.testdir(), 'run.ndjson');
  const lines = whole.map((event) => ({ deployment: 'd', event }));
  writeRecording(file, header, lines);
  t.match(judgeRecording(file), { holds: true, checked: 2, differences: [] });
  writeRecording(file, header, lines.toSpliced(1, 1));
  t.match(judgeRecording(file), {
    holds: false,
    differences: [
      'holds: stated true, came out false',
      'checked: stated 2, came out 1',
      'lost: stated 0, came out 1',
    ],
  });
  t.end();
});
