import t from 'tap';
import { type RequestContent, requestFingerprint } from '../../src/serving/request-fingerprint.js';

const WORK: RequestContent = {
  method: 'POST',
  host: 'site.example',
  path: '/a/x',
  tenant: undefined,
  body: Buffer.from('question'),
};

t.test('the same content has the same fingerprint', async (t) => {
  const again = { ...WORK, body: Buffer.from('question') };
  t.equal(requestFingerprint(again), requestFingerprint(WORK));
  t.match(requestFingerprint(WORK), /^[0-9a-f]{32}$/);
});

t.test('any difference gives another fingerprint', async (t) => {
  const others: RequestContent[] = [
    { ...WORK, method: 'GET' },
    { ...WORK, host: 'other.example' },
    { ...WORK, path: '/a/y' },
    { ...WORK, path: '/a/x?y' },
    { ...WORK, tenant: 'brokers' },
    { ...WORK, body: Buffer.from('questions') },
    { ...WORK, body: Buffer.alloc(0) },
  ];
  const all = new Set([WORK, ...others].map(requestFingerprint));
  t.equal(all.size, others.length + 1);
});
