import t from 'tap';
import { describingHeaders, OfferedRequests } from '../../../lab/soak/offered-requests.js';

const SENT = { id: 'one', method: 'POST', path: '/a/one?x=1', body: Buffer.from('question') };

function arrived(fields: object = {}, headers: object = {}) {
  const named = { 'x-wardwing-request-id': 'one', ...describingHeaders('one'), ...headers };
  return { method: 'POST', url: '/a/one?x=1', headers: named, ...fields };
}

t.test('a request that came as it was sent is no difference', (t) => {
  const offered = new OfferedRequests();
  offered.note(SENT);
  t.equal(offered.differenceOf(arrived()), undefined);
  t.equal(offered.differenceOf(arrived(), Buffer.from('question')), undefined);
  t.end();
});

t.test('a request that nobody sent so is told', (t) => {
  const offered = new OfferedRequests();
  offered.note(SENT);
  offered.note({ ...SENT, id: 'half', isBrokenOff: true });
  const differences: [came: object, body: string, told: RegExp][] = [
    [arrived({}, { 'x-wardwing-request-id': 'two' }), 'question', /nobody sent .* id two/],
    [arrived({}, { 'x-wardwing-request-id': undefined }), 'question', /nobody sent/],
    [arrived({}, { 'x-wardwing-request-id': 'half' }), 'question', /broken off/],
    [arrived({ method: 'PUT' }), 'question', /came as PUT/],
    [arrived({ url: '/a/one?x=2' }), 'question', /came as POST .*x=2/],
    [arrived({}, { 'x-wardwing-model': 'other' }), 'question', /x-wardwing-model other/],
    [arrived({}, { 'x-wardwing-token-counts': '' }), 'question', /token-counts/],
    [arrived({}, { 'x-wardwing-prompt-prefix': undefined }), 'question', /prompt-prefix/],
    [arrived(), 'questions', /another body of 9 bytes/],
  ];
  for (const [came, body, told] of differences) {
    const difference = offered.differenceOf(came as ReturnType<typeof arrived>, Buffer.from(body));
    t.match(difference, told);
  }
  t.end();
});
