import t from 'tap';
import { OwedItems } from '../../../lab/soak/owed-items.js';

function fixture() {
  let time = 0;
  const owed = new OwedItems(() => time);
  const advance = (duration: number): void => {
    time += duration;
  };
  const leftOut = (since = 0): string[] => owed.leftOut(since, 5_000).map(({ item }) => item);
  return { owed, advance, leftOut };
}

t.test('an item is left out if it is at no worker for too long since all is calm', async (t) => {
  const { owed, advance, leftOut } = fixture();
  owed.noteAccepted('job', ['one', 'two']);
  owed.noteStarted('one');
  advance(5_001);
  t.same(leftOut(), ['two']);
  t.same(leftOut(100), [], 'the time before the calm does not count');
  owed.noteLeft('one');
  advance(4_999);
  owed.noteStarted('two');
  t.same(leftOut(), []);
  advance(2);
  t.same(leftOut(), ['one']);
});

t.test('an item that two workers have is left out only after both', async (t) => {
  const { owed, advance, leftOut } = fixture();
  owed.noteAccepted('job', ['one']);
  owed.noteStarted('one');
  owed.noteStarted('one');
  owed.noteLeft('one');
  advance(6_000);
  t.same(leftOut(), []);
  owed.noteLeft('one');
  advance(6_000);
  t.same(leftOut(), ['one']);
});

t.test(
  'nothing is owed of what is done or whose job was ended, also after a repeated 202',
  async (t) => {
    const { owed, advance, leftOut } = fixture();
    owed.noteAccepted('job', ['one', 'two']);
    owed.noteDone('one');
    owed.noteAccepted('job', ['one', 'two']);
    advance(6_000);
    t.same(leftOut(), ['two']);
    owed.noteEnded('job');
    t.same(leftOut(), []);
  },
);
