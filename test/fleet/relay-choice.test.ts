/**
 * Guards against a node without the store that loses contact because it requests nodes that do not
 * answer before those that do.
 */
import t from 'tap';
import { RelayChoice } from '../../src/fleet/relay-choice.js';
import { ManualClock } from '../jobs/job-fixtures.js';

/** Longer than a relay that failed is excluded. */
const PENALTY_TIME = 2_100;

const ZONES: Readonly<Record<string, string>> = {
  self: 'zone-1',
  'one-a': 'zone-1',
  'one-b': 'zone-1',
  'two-a': 'zone-2',
  'two-b': 'zone-2',
};

function choiceOf(clock: ManualClock, nodes = Object.keys(ZONES)): RelayChoice {
  const fleet = {
    liveNodes: () => nodes,
    zoneOf: (node: string) => ZONES[node],
    addressOf: (node: string) => node,
    renewalAge: () => 0,
  };
  return new RelayChoice({ fleet: () => fleet, self: 'self', zone: 'zone-1', clock });
}

t.test('nodes that did not answer are requested after those that may answer', async (t) => {
  const clock = new ManualClock();
  const choice = choiceOf(clock);
  const [own = '', far = ''] = choice.relaysInOrder(true);
  t.same([ZONES[own], ZONES[far]], ['zone-1', 'zone-2'], 'one of each zone');
  choice.noteSilence(own);
  choice.noteSilence(far);
  const others = choice.relaysInOrder(true);
  t.notOk(others.includes(own) || others.includes(far), 'they are excluded for a time');
  clock.time += PENALTY_TIME;
  t.same(choice.relaysInOrder(true), [...others, own, far], 'then they come last');
  choice.noteAnswer(own);
  t.equal(choice.relaysInOrder(true)[0], own, 'until they answer');
});

t.test('nodes that did not answer are requested if there are no others', async (t) => {
  const clock = new ManualClock();
  const choice = choiceOf(clock, ['self', 'one-a']);
  choice.noteSilence('one-a');
  clock.time += PENALTY_TIME;
  t.same(choice.relaysInOrder(true), ['one-a']);
});
