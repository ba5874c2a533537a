import t from 'tap';
import { type HedgedOutcome, hedgedRead } from '../../src/fleet/hedged-read.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';

async function after(time: number, value: string): Promise<string> {
  await PROCESS_CLOCK.sleep(time);
  return value;
}

const isUsable = (outcome: string): boolean => outcome !== 'failed';

async function read(
  first: Promise<string>,
  second: () => Promise<string>,
): Promise<HedgedOutcome<string, string>> {
  return hedgedRead({
    first,
    second,
    delay: 50,
    isFirstUsable: isUsable,
    isSecondUsable: isUsable,
  });
}

t.test('the second source is not read if the first answers in time', async (t) => {
  for (const outcome of ['ok', 'failed']) {
    const second = (): Promise<string> => Promise.reject(new Error('the second source was read'));
    t.same(await read(after(5, outcome), second), { by: 'first', outcome });
  }
});

t.test('the first usable outcome is used once both sources are read', async (t) => {
  const quick = () => after(5, 'second');
  t.same(await read(after(300, 'first'), quick), { by: 'second', outcome: 'second' });
  const slow = () => after(300, 'second');
  t.same(await read(after(100, 'first'), slow), { by: 'first', outcome: 'first' });
  t.same(await read(after(100, 'failed'), slow), { by: 'second', outcome: 'second' });
});

t.test('a failed second source does not end the wait for the first', async (t) => {
  const failing = () => after(5, 'failed');
  t.same(await read(after(150, 'first'), failing), { by: 'first', outcome: 'first' });
  t.same(await read(after(150, 'failed'), failing), { by: 'second', outcome: 'failed' });
});
