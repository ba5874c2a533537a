import t from 'tap';
import { SoakKeys } from '../../../lab/soak/soak-keys.js';

t.test('a key is held in two configurations', (t) => {
  const keys = new SoakKeys(() => 0);
  const held = (key: string): boolean =>
    keys.rotate().some(({ name, api_keys }) => name === 'brokers' && api_keys.includes(key));
  held('');
  const key = keys.newestKey('brokers');
  t.ok(keys.holds('brokers', key));
  t.notOk(keys.holds('trainers', key));
  t.ok(held(key));
  t.ok(keys.holds('brokers', key));
  t.notOk(held(key));
  t.notOk(keys.holds('brokers', key));
  t.end();
});
