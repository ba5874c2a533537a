import path from 'node:path';
import t from 'tap';
import { AcceptedLog } from '../../../lab/emulator/accepted-log.js';

const request = (requestId: string, at: number) => ({ requestId, prompt: 'p', seed: 1, at });

t.test('acceptances are counted by request and outlive the process', (t) => {
  const file = path.join(t.testdir(), 'engine.accepted');
  const before = new AcceptedLog(file);
  before.add(request('a', 1));
  before.add(request('b', 2));
  const after = new AcceptedLog(file);
  after.add(request('a', 3));
  t.same(after.document(), {
    counts: { a: 2, b: 1 },
    accepted: [request('a', 1), request('b', 2), request('a', 3)],
  });
  t.same(new AcceptedLog(null).document(), { counts: {}, accepted: [] });
  t.end();
});
