import t from 'tap';
import type { TokenSegment } from '../../src/core/generation.js';
import { SegmentSequence } from '../../src/dispatch/segment-sequence.js';

const first: TokenSegment = { version: 1, firstToken: 0, tokenCount: 2 };
const second: TokenSegment = { version: 2, firstToken: 2, tokenCount: 1 };
const result = {
  text: 'a b c ',
  tokenCount: 3,
  segments: [first, second],
  finishReason: 'stop',
} as const;

function collect(): { readonly sequence: SegmentSequence; readonly texts: string[] } {
  const texts: string[] = [];
  return { sequence: new SegmentSequence((_, text) => texts.push(text)), texts };
}

t.test(
  'segments that overtake each other or come twice are passed on once, in order',
  async (t) => {
    const { sequence, texts } = collect();
    sequence.accept(second, 'c ');
    t.notOk(sequence.hasPassed, 'an early segment waits');
    sequence.accept(first, 'a b ');
    sequence.accept(first, 'a b ');
    sequence.complete(result);
    t.same(texts, ['a b ', 'c ']);
  },
);

t.test('what was lost on the way is completed from the answer', async (t) => {
  for (const arrived of [[], [first], [second]]) {
    const { sequence, texts } = collect();
    for (const segment of arrived) sequence.accept(segment, segment === first ? 'a b ' : 'c ');
    sequence.complete(result);
    t.equal(texts.join(''), result.text);
  }
});
